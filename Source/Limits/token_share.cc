// Implementation of the shared rate.
#include "Limits/token_share.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace tiller::limits {
namespace {

// A grant counts only when it arrives within this time of its request.
constexpr Milliseconds kGrantLifetime{100};
// Clocks of two hosts may run apart by this share.
constexpr double kMaxClockDrift = 0.01;
// A home seat should be able to hold at least this many whole tokens.
constexpr double kMinTokensPerSeat = 2;
constexpr Milliseconds kMinBackoff{10};
constexpr Milliseconds kMaxBackoff{160};
constexpr std::size_t kMaxAskedAtOnce = 3;
// A host without a spend for this long lends all it has.
constexpr Milliseconds kIdleAfter{200};
constexpr std::size_t kMaxSettledListed = 32;
// Tokens that were earned under a higher limit may be spent for this long after
// it was lowered; a change has that long to be in force on all hosts.
constexpr Milliseconds kLoweredGrace{2'500};

Duration WithDrift(Duration duration) {
  return std::chrono::duration_cast<Duration>(duration *
                                              (1.0 + kMaxClockDrift));
}

}  // namespace

TokenShare::TokenShare(HostId self, Random* random, Counters* counters)
    : m_self(std::move(self)), m_random(random), m_counters(counters) {}

TokenShare::Bucket* TokenShare::Find(const WorkspaceId& workspace) {
  const auto it = m_buckets.find(workspace);
  return it == m_buckets.end() ? nullptr : &it->second;
}

void TokenShare::Update(const std::vector<RateLimit>& limits,
                        const SeatView& seats, Instant now) {
  // Tokens earned until now belong to the old seats.
  for (auto& [name, bucket] : m_buckets) Refill(&bucket, now);
  const double restart_share_before = m_seats.restart_share;
  m_seats = seats;
  std::set<WorkspaceId> present;
  for (const auto& limit : limits) {
    present.insert(limit.workspace);
    auto& bucket = m_buckets[limit.workspace];
    const bool lowered = limit.burst < bucket.limit.burst;
    const auto held_before = bucket.held;
    const auto level_before = bucket.level;
    bucket.limit = limit;
    SetSeats(&bucket, seats, restart_share_before, now);
    if (lowered && bucket.held == held_before && bucket.level < level_before) {
      bucket.loans.push_back(
          {level_before - bucket.level, now + kLoweredGrace});
    }
  }
  std::erase_if(m_buckets, [&](const auto& item) {
    return present.count(item.first) == 0;
  });
}

void TokenShare::SetSeats(Bucket* bucket, const SeatView& seats,
                          double restart_share_before, Instant now) {
  const auto counted = seats.Counted();
  const auto spread = std::clamp<std::size_t>(
      static_cast<std::size_t>(bucket->limit.burst / kMinTokensPerSeat), 1,
      std::max<std::size_t>(counted.size(), 1));
  bucket->home = RankSeats(bucket->limit.workspace, counted, spread);
  std::vector<int> held;
  for (const int seat : bucket->home) {
    if (seats.Holds(seat)) held.push_back(seat);
  }
  std::size_t kept = 0;
  for (const int seat : held) {
    kept += static_cast<std::size_t>(
        std::count(bucket->held.begin(), bucket->held.end(), seat));
  }
  const double per_seat = 1.0 / static_cast<double>(bucket->home.size());
  const auto cap_of = [&](std::size_t count) {
    return static_cast<MicroTokens>(bucket->limit.burst * per_seat *
                                    static_cast<double>(count) *
                                    kMicroPerToken);
  };
  bucket->held = held;
  bucket->cap = cap_of(held.size());
  bucket->refill_per_ns = bucket->limit.rate * per_seat *
                          static_cast<double>(held.size()) * kMicroPerToken /
                          1e9;
  if (bucket->new_cap_until <= now) bucket->new_cap = 0;
  bucket->new_cap = std::min(bucket->new_cap, cap_of(kept));
  bucket->level = std::clamp<MicroTokens>(
      bucket->level, 0,
      std::max<MicroTokens>(
          cap_of(kept) - bucket->new_cap - Reserved(bucket, now), 0));
  const auto allowance = [&](std::size_t count, double share) {
    return std::min(cap_of(count),
                    static_cast<MicroTokens>(
                        bucket->limit.restart_allowance * share * per_seat *
                        static_cast<double>(count) * kMicroPerToken));
  };
  // A kept seat may use more of the allowance than it could at first.
  const auto more = allowance(
      kept, std::max(seats.restart_share - restart_share_before, 0.0));
  bucket->new_cap = std::max<MicroTokens>(bucket->new_cap - more, 0);
  const auto gained = cap_of(held.size() - kept);
  const auto given = allowance(held.size() - kept, seats.restart_share);
  bucket->refilled = now;
  if (gained > 0) {
    // Tokens that the last holder of a seat lent may still be on their way;
    // they fill the seat's part of the bucket until they arrive or lapse.
    bucket->new_cap += gained - given;
    bucket->new_cap_until = now + WithDrift(kGrantLifetime);
  }
  bucket->level = std::max(
      bucket->level, std::min(bucket->level + more + given, Room(bucket, now)));
}

void TokenShare::Refill(Bucket* bucket, Instant now) const {
  // Nothing accrues after the lease on the seats has lapsed.
  const auto until = std::min(now, m_seats.valid_until);
  if (until <= bucket->refilled) return;
  const double earned =
      bucket->remainder +
      bucket->refill_per_ns *
          static_cast<double>((until - bucket->refilled).count());
  const auto whole = static_cast<MicroTokens>(std::floor(earned));
  bucket->remainder = earned - static_cast<double>(whole);
  bucket->refilled = until;
  bucket->level = std::max(bucket->level,
                           std::min(bucket->level + whole, Room(bucket, now)));
}

// How high the level may be now.
MicroTokens TokenShare::Room(Bucket* bucket, Instant now) {
  if (bucket->new_cap_until <= now) bucket->new_cap = 0;
  return bucket->cap - bucket->new_cap - Reserved(bucket, now);
}

MicroTokens TokenShare::Reserved(Bucket* bucket, Instant now) {
  std::erase_if(bucket->reserved,
                [&](const auto& item) { return item.until <= now; });
  MicroTokens sum = 0;
  for (const auto& item : bucket->reserved) sum += item.amount;
  return sum;
}

bool TokenShare::TrySpend(const WorkspaceId& workspace, Instant now,
                          TokenUse use) {
  auto* bucket = Find(workspace);
  if (bucket == nullptr || !Usable(now)) return false;
  Refill(bucket, now);
  bucket->last_spend = now;
  const MicroTokens beyond_one =
      std::max<MicroTokens>(bucket->cap - kMicroPerToken, 0);
  const MicroTokens least =
      kMicroPerToken + (use == TokenUse::kSurplus ? beyond_one / 2 : 0);
  const auto borrowed = Borrowed(bucket, now);
  if (bucket->level + borrowed < least) return false;
  MicroTokens due = kMicroPerToken;
  for (auto& loan : bucket->loans) {
    const auto part = std::min(due, loan.amount);
    loan.amount -= part;
    due -= part;
  }
  bucket->level -= due;
  return true;
}

MicroTokens TokenShare::Borrowed(Bucket* bucket, Instant now) {
  std::erase_if(bucket->loans, [&](const auto& loan) {
    return loan.until <= now || loan.amount == 0;
  });
  MicroTokens sum = 0;
  for (const auto& loan : bucket->loans) sum += loan.amount;
  return sum;
}

void TokenShare::Demand(const WorkspaceId& workspace, std::size_t waiting,
                        Instant now) {
  auto* bucket = Find(workspace);
  if (bucket == nullptr || !Usable(now) || waiting == 0) return;
  std::erase_if(bucket->asked, [&](const auto& item) {
    return now - item.second.sent > kGrantLifetime;
  });
  std::set<HostId> candidates;
  for (const int seat : bucket->home) {
    const auto& holder = m_seats.holders[static_cast<std::size_t>(seat)];
    if (holder.empty() || holder == m_self) continue;
    if (bucket->peers[holder].next_ask <= now) candidates.insert(holder);
  }
  const auto missing = static_cast<MicroTokens>(waiting) * kMicroPerToken -
                       bucket->level - Borrowed(bucket, now);
  if (missing <= 0 || bucket->asked.size() >= kMaxAskedAtOnce) return;
  std::vector<HostId> order(candidates.begin(), candidates.end());
  Shuffle(&order);
  order.resize(std::min(order.size(), kMaxAskedAtOnce - bucket->asked.size()));
  // Each is asked for a part, since a loan that is not spent is lost.
  const auto whole = (missing + kMicroPerToken - 1) / kMicroPerToken;
  const auto asked = static_cast<MicroTokens>(order.size());
  for (const auto& host : order) {
    auto& peer = bucket->peers[host];
    peer.next_ask = now + kGrantLifetime;
    const auto wanted = (whole + asked - 1) / asked * kMicroPerToken;
    TokenRequest request{workspace, m_next_request++, wanted,
                         std::exchange(peer.settled, {})};
    bucket->asked[request.request_id] = {host, now};
    m_out.push_back({host, std::move(request)});
    m_counters->Add("tokens_requested");
  }
}

void TokenShare::Shuffle(std::vector<HostId>* hosts) {
  for (std::size_t i = hosts->size(); i > 1; --i) {
    std::swap((*hosts)[i - 1], (*hosts)[m_random->Below(i)]);
  }
}

Milliseconds TokenShare::RefillTime(const WorkspaceId& workspace) const {
  const auto it = m_buckets.find(workspace);
  constexpr Milliseconds kUnknown{1000};
  if (it == m_buckets.end() || it->second.limit.rate <= 0) return kUnknown;
  return Milliseconds(
      static_cast<std::int64_t>(std::ceil(1000.0 / it->second.limit.rate)));
}

void TokenShare::Handle(const HostId& from, const TokenRequest& message,
                        Instant now) {
  TokenGrant grant{message.workspace, message.request_id, 0};
  auto* bucket = Find(message.workspace);
  if (bucket != nullptr && Usable(now)) {
    std::erase_if(bucket->reserved, [&](const auto& item) {
      return item.to == from &&
             std::count(message.settled.begin(), message.settled.end(),
                        item.request_id) > 0;
    });
    Refill(bucket, now);
    const bool idle = now - bucket->last_spend > kIdleAfter;
    const auto spare =
        idle ? bucket->level
             : std::max<MicroTokens>(bucket->level / 2, kMicroPerToken);
    grant.granted = std::clamp<MicroTokens>(message.wanted, 0, spare);
    // A fraction would rarely admit a request and costs as many messages.
    const auto least = std::min<MicroTokens>(message.wanted, kMicroPerToken);
    if (std::min(grant.granted, bucket->level) < least) grant.granted = 0;
    if (grant.granted > 0) {
      bucket->level -= grant.granted;
      bucket->reserved.push_back({from, message.request_id, grant.granted,
                                  now + WithDrift(kGrantLifetime)});
      m_counters->Add("tokens_lent", static_cast<std::uint64_t>(grant.granted));
    }
  }
  m_out.push_back({from, std::move(grant)});
}

std::optional<WorkspaceId> TokenShare::Handle(const HostId& from,
                                              const TokenGrant& message,
                                              Instant now) {
  auto* bucket = Find(message.workspace);
  if (bucket == nullptr) return std::nullopt;
  const auto asked = bucket->asked.find(message.request_id);
  // Also the second copy of a message that arrived before.
  if (asked == bucket->asked.end() || asked->second.host != from) {
    return std::nullopt;
  }
  const auto lapses = asked->second.sent + kGrantLifetime;
  bucket->asked.erase(asked);
  auto& peer = bucket->peers[from];
  if (message.granted <= 0) {
    peer.backoff =
        std::clamp<Duration>(peer.backoff * 2, kMinBackoff, kMaxBackoff);
    peer.next_ask = now + peer.backoff;
    return std::nullopt;
  }
  peer.backoff = Duration{};
  peer.next_ask = now;
  if (now > lapses) {
    m_counters->Add("tokens_lost_late");
    return std::nullopt;
  }
  Refill(bucket, now);
  const auto room = Room(bucket, now) - bucket->level;
  m_counters->Add("tokens_borrowed",
                  static_cast<std::uint64_t>(message.granted));
  if (message.granted <= room) {
    bucket->level += message.granted;
    if (peer.settled.size() < kMaxSettledListed) {
      peer.settled.push_back(message.request_id);
    }
    return message.workspace;
  }
  // Beyond the bucket's own capacity a loan counts as the lender's, which
  // keeps it reserved until it lapses.
  bucket->loans.push_back({message.granted, lapses});
  return message.workspace;
}

std::vector<AddressedShareMessage> TokenShare::TakeMessages() {
  return std::exchange(m_out, {});
}

MicroTokens TokenShare::Level(const WorkspaceId& workspace, Instant now) {
  auto* bucket = Find(workspace);
  if (bucket == nullptr || !Usable(now)) return 0;
  Refill(bucket, now);
  return bucket->level;
}

MicroTokens TokenShare::InFlight(const WorkspaceId& workspace, Instant now) {
  auto* bucket = Find(workspace);
  return bucket == nullptr ? 0 : Reserved(bucket, now);
}

MicroTokens TokenShare::Capacity(const WorkspaceId& workspace) const {
  const auto it = m_buckets.find(workspace);
  if (it == m_buckets.end()) return 0;
  return static_cast<MicroTokens>(it->second.limit.burst * kMicroPerToken);
}

}  // namespace tiller::limits
