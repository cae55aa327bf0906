// Implementation of the token share.
#include "Limits/token_share.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace tiller::limits {
namespace {

// A grant is valid only if it arrives within this time after its request was
// sent.
constexpr Milliseconds kGrantLifetime{100};
// Largest relative difference between the rates of two hosts' clocks.
constexpr double kMaxClockDrift = 0.01;
// A home seat should be able to hold at least this many whole tokens; this
// bounds the number of home seats of a workspace.
constexpr double kMinTokensPerSeat = 2;
constexpr Milliseconds kMinBackoff{10};
constexpr Milliseconds kMaxBackoff{160};
constexpr std::size_t kMaxPending = 3;
// Parts of a token from several hosts add up, so that a workspace with few
// tokens in each bucket gets them all. A host that is asked for more tokens
// than it earns grants whole ones only: parts would be spread over too many
// hosts to admit anything.
constexpr MicroTokens kMinGrant = kMicroPerToken / 4;
// A host answers within this time unless it is slow or gone; then the tokens
// are requested from another one. Two transfers between zones take 8 ms.
constexpr Milliseconds kAnswerTime{20};
// A host that did not answer is asked after all others for this long.
constexpr Milliseconds kUnansweredMemory{2'000};
// A host that has not spent a token for this long lends its whole level.
constexpr Milliseconds kIdleThreshold{200};
constexpr std::size_t kMaxSettledIds = 32;
// Tokens earned under a higher limit may be spent for this long after it was
// lowered. A limit change may take this long to take effect on all hosts.
constexpr Milliseconds kLoweredLimitGrace{2'500};

// The longest time that `duration` on another host's clock may take on this
// host's clock.
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
  // Credit the tokens earned until now under the previous seats and limits.
  for (auto& [name, bucket] : m_buckets) Refill(&bucket, now);
  const double restart_share_before = m_seats.restart_share;
  m_seats = seats;
  SetCounted(seats.CountedSeats());
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
      bucket.extra_tokens.push_back(
          {level_before - bucket.level, now + kLoweredLimitGrace, {}, 0});
    }
  }
  std::erase_if(m_buckets, [&](const auto& item) {
    return present.count(item.first) == 0;
  });
}

void TokenShare::SetCounted(std::vector<int> counted) {
  std::sort(counted.begin(), counted.end());
  if (counted == m_counted && m_counted_version > 0) return;
  m_counted_added.clear();
  std::set_difference(counted.begin(), counted.end(), m_counted.begin(),
                      m_counted.end(), std::back_inserter(m_counted_added));
  m_counted_removed.clear();
  std::set_difference(m_counted.begin(), m_counted.end(), counted.begin(),
                      counted.end(), std::back_inserter(m_counted_removed));
  m_counted = std::move(counted);
  ++m_counted_version;
}

// Load pattern: hundreds of hosts start, and their seats begin to count one
// after another. Only the added seats can take the place of a home seat.
std::vector<int> TokenShare::RankHomes(const Bucket& bucket,
                                       std::size_t count) const {
  const auto& name = bucket.limit.workspace;
  const auto& homes = bucket.home_seats;
  const auto rank = [&](const std::vector<int>& seats) {
    m_counters->Add("token_seats_ranked", seats.size());
    return RankSeats(name, seats, count);
  };
  const bool homes_remain =
      bucket.ranked_from + 1 == m_counted_version && !homes.empty() &&
      homes.size() == count &&
      std::none_of(homes.begin(), homes.end(), [&](int seat) {
        return std::binary_search(m_counted_removed.begin(),
                                  m_counted_removed.end(), seat);
      });
  if (!homes_remain) return rank(m_counted);
  const SeatWeights weight(name);
  const auto lowest = weight.Of(homes.back());
  auto candidates = homes;
  std::copy_if(m_counted_added.begin(), m_counted_added.end(),
               std::back_inserter(candidates),
               [&](int seat) { return weight.Of(seat) > lowest; });
  return candidates.size() == homes.size() ? homes : rank(candidates);
}

void TokenShare::SetSeats(Bucket* bucket, const SeatView& seats,
                          double restart_share_before, Instant now) {
  const auto home_count = std::clamp<std::size_t>(
      static_cast<std::size_t>(bucket->limit.burst / kMinTokensPerSeat), 1,
      std::max<std::size_t>(m_counted.size(), 1));
  // Ranking hundreds of seats for hundreds of workspaces takes longer than a
  // request may wait, so it is repeated only when its result can change.
  if (bucket->ranked_from != m_counted_version ||
      bucket->home_seats.size() != home_count) {
    bucket->home_seats = RankHomes(*bucket, home_count);
    bucket->ranked_from = m_counted_version;
  }
  std::vector<int> held;
  for (const int seat : bucket->home_seats) {
    if (seats.Holds(seat)) held.push_back(seat);
  }
  std::size_t kept_count = 0;
  for (const int seat : held) {
    kept_count += static_cast<std::size_t>(
        std::count(bucket->held.begin(), bucket->held.end(), seat));
  }
  const double per_seat = 1.0 / static_cast<double>(std::max<std::size_t>(
                                    bucket->home_seats.size(), 1));
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
  if (bucket->withheld_until <= now) bucket->withheld_cap = 0;
  bucket->withheld_cap = std::min(bucket->withheld_cap, cap_of(kept_count));
  bucket->level = std::clamp<MicroTokens>(
      bucket->level, 0,
      std::max<MicroTokens>(cap_of(kept_count) - bucket->withheld_cap -
                                ReservedTotal(bucket, now),
                            0));
  const auto allowance = [&](std::size_t count, double share) {
    return std::min(cap_of(count),
                    static_cast<MicroTokens>(
                        bucket->limit.restart_allowance * share * per_seat *
                        static_cast<double>(count) * kMicroPerToken));
  };
  // A seat that was held before may use more of the allowance if the restart
  // share has grown.
  const auto added_allowance = allowance(
      kept_count, std::max(seats.restart_share - restart_share_before, 0.0));
  bucket->withheld_cap =
      std::max<MicroTokens>(bucket->withheld_cap - added_allowance, 0);
  const auto new_seats_cap = cap_of(held.size() - kept_count);
  const auto new_seats_allowance =
      allowance(held.size() - kept_count, seats.restart_share);
  bucket->last_refill = now;
  if (new_seats_cap > 0) {
    // Tokens lent by the seat's previous holder may still be in flight. They
    // occupy the seat's part of the bucket until they arrive or expire.
    bucket->withheld_cap += new_seats_cap - new_seats_allowance;
    bucket->withheld_until = now + WithDrift(kGrantLifetime);
  }
  bucket->level =
      std::max(bucket->level,
               std::min(bucket->level + added_allowance + new_seats_allowance,
                        MaxLevel(bucket, now)));
}

void TokenShare::Refill(Bucket* bucket, Instant now) const {
  // No tokens accrue after the lease on the seats has expired.
  const auto accrual_end = std::min(now, m_seats.valid_until);
  if (accrual_end <= bucket->last_refill) return;
  const double earned =
      bucket->remainder +
      bucket->refill_per_ns *
          static_cast<double>((accrual_end - bucket->last_refill).count());
  const auto whole = static_cast<MicroTokens>(std::floor(earned));
  bucket->remainder = earned - static_cast<double>(whole);
  bucket->last_refill = accrual_end;
  bucket->level = std::max(
      bucket->level, std::min(bucket->level + whole, MaxLevel(bucket, now)));
}

MicroTokens TokenShare::MaxLevel(Bucket* bucket, Instant now) {
  if (bucket->withheld_until <= now) bucket->withheld_cap = 0;
  return bucket->cap - bucket->withheld_cap - ReservedTotal(bucket, now);
}

MicroTokens TokenShare::ReservedTotal(Bucket* bucket, Instant now) {
  std::erase_if(bucket->reserved,
                [&](const auto& item) { return item.expires_at <= now; });
  MicroTokens sum = 0;
  for (const auto& item : bucket->reserved) sum += item.amount;
  return sum;
}

bool TokenShare::TrySpend(const WorkspaceId& workspace, Instant now,
                          TokenUse use) {
  auto* bucket = Find(workspace);
  if (bucket == nullptr || !SeatLeaseValid(now)) return false;
  Refill(bucket, now);
  bucket->last_spend = now;
  const MicroTokens beyond_one =
      std::max<MicroTokens>(bucket->cap - kMicroPerToken, 0);
  const MicroTokens required =
      kMicroPerToken + (use == TokenUse::kSurplus ? beyond_one / 2 : 0);
  const auto extra_total = ExtraTotal(bucket, now);
  if (bucket->level + extra_total < required) return false;
  MicroTokens uncharged = kMicroPerToken;
  for (auto& extra : bucket->extra_tokens) {
    const auto charged = std::min(uncharged, extra.amount);
    extra.amount -= charged;
    uncharged -= charged;
    if (extra.amount == 0 && !extra.lender.empty()) {
      ReportSettled(&bucket->peers[extra.lender], extra.request_id);
    }
  }
  bucket->level -= uncharged;
  bucket->spends.Record(now);
  return true;
}

void TokenShare::ReportSettled(Peer* peer, std::uint64_t request_id) {
  if (peer->settled.size() < kMaxSettledIds) {
    peer->settled.push_back(request_id);
  }
}

MicroTokens TokenShare::ExtraTotal(Bucket* bucket, Instant now) {
  std::erase_if(bucket->extra_tokens, [&](const auto& extra) {
    return extra.expires_at <= now || extra.amount == 0;
  });
  MicroTokens sum = 0;
  for (const auto& extra : bucket->extra_tokens) sum += extra.amount;
  return sum;
}

void TokenShare::RequestFromPeers(const WorkspaceId& workspace,
                                  std::size_t waiting, Instant now) {
  auto* bucket = Find(workspace);
  if (bucket == nullptr || !SeatLeaseValid(now) || waiting == 0) return;
  std::erase_if(bucket->pending_requests, [&](const auto& item) {
    return now - item.second.sent > kGrantLifetime;
  });
  std::set<HostId> candidates;
  for (const int seat : bucket->home_seats) {
    const auto& holder = m_seats.holders[static_cast<std::size_t>(seat)];
    if (holder.empty() || holder == m_self) continue;
    if (bucket->peers[holder].next_request <= now) candidates.insert(holder);
  }
  MicroTokens expected = 0;
  for (const auto& [id, request] : bucket->pending_requests) {
    if (now - request.sent < kAnswerTime) {
      expected += request.wanted;
    } else {
      m_unanswered_until[request.host] = now + kUnansweredMemory;
    }
  }
  const auto ahead =
      static_cast<MicroTokens>(bucket->spends.Expected(now, kGrantLifetime)) *
      kMicroPerToken;
  const auto missing = static_cast<MicroTokens>(waiting) * kMicroPerToken +
                       ahead - bucket->level - ExtraTotal(bucket, now) -
                       expected;
  if (missing <= 0 || bucket->pending_requests.size() >= kMaxPending) return;
  std::vector<HostId> targets(candidates.begin(), candidates.end());
  Shuffle(&targets);
  std::stable_partition(
      targets.begin(), targets.end(), [&](const HostId& host) {
        const auto until = m_unanswered_until.find(host);
        return until == m_unanswered_until.end() || until->second <= now;
      });
  // Borrowed tokens that are not spent in time are lost, so no more are
  // requested than are missing. Grants below one token are refused.
  const auto missing_tokens = (missing + kMicroPerToken - 1) / kMicroPerToken;
  targets.resize(
      std::min({targets.size(), kMaxPending - bucket->pending_requests.size(),
                static_cast<std::size_t>(missing_tokens)}));
  const auto target_count = static_cast<MicroTokens>(targets.size());
  for (const auto& host : targets) {
    auto& peer = bucket->peers[host];
    peer.next_request = now + kGrantLifetime;
    const auto wanted = (missing + target_count - 1) / target_count;
    TokenRequest request{workspace, m_next_request_id++, wanted,
                         std::exchange(peer.settled, {})};
    bucket->pending_requests[request.request_id] = {host, now, wanted};
    m_outgoing.push_back({host, std::move(request)});
    m_counters->Add("tokens_requested");
  }
}

void TokenShare::Shuffle(std::vector<HostId>* hosts) {
  for (std::size_t i = hosts->size(); i > 1; --i) {
    std::swap((*hosts)[i - 1], (*hosts)[m_random->UniformBelow(i)]);
  }
}

Milliseconds TokenShare::TokenInterval(const WorkspaceId& workspace) const {
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
  if (bucket != nullptr && SeatLeaseValid(now)) {
    std::erase_if(bucket->reserved, [&](const auto& item) {
      return item.to == from &&
             std::count(message.settled.begin(), message.settled.end(),
                        item.request_id) > 0;
    });
    Refill(bucket, now);
    const bool idle = now - bucket->last_spend > kIdleThreshold;
    const auto lendable =
        idle ? bucket->level
             : std::max<MicroTokens>(bucket->level / 2, kMicroPerToken);
    grant.granted = std::clamp<MicroTokens>(message.wanted, 0, lendable);
    bucket->requests.Record(now);
    constexpr std::chrono::seconds kSpan{1};
    const bool in_demand =
        bucket->requests.Expected(now, kSpan) * kMicroPerToken >
        bucket->refill_per_ns * static_cast<double>(Duration(kSpan).count());
    const auto min_grant = std::min<MicroTokens>(
        message.wanted, in_demand ? kMicroPerToken : kMinGrant);
    if (std::min(grant.granted, bucket->level) < min_grant) grant.granted = 0;
    if (grant.granted > 0) {
      bucket->level -= grant.granted;
      bucket->reserved.push_back({from, message.request_id, grant.granted,
                                  now + WithDrift(kGrantLifetime)});
      m_counters->Add("tokens_lent", static_cast<std::uint64_t>(grant.granted));
    }
  }
  m_outgoing.push_back({from, std::move(grant)});
}

std::optional<WorkspaceId> TokenShare::Handle(const HostId& from,
                                              const TokenGrant& message,
                                              Instant now) {
  m_unanswered_until.erase(from);
  auto* bucket = Find(message.workspace);
  if (bucket == nullptr) return std::nullopt;
  const auto pending = bucket->pending_requests.find(message.request_id);
  // The request has timed out, or this is a duplicate of a processed grant.
  if (pending == bucket->pending_requests.end() ||
      pending->second.host != from) {
    return std::nullopt;
  }
  const auto grant_expiry = pending->second.sent + kGrantLifetime;
  bucket->pending_requests.erase(pending);
  auto& peer = bucket->peers[from];
  if (message.granted <= 0) {
    peer.backoff =
        std::clamp<Duration>(peer.backoff * 2, kMinBackoff, kMaxBackoff);
    peer.next_request = now + peer.backoff;
    return std::nullopt;
  }
  peer.backoff = Duration{};
  peer.next_request = now;
  if (now > grant_expiry) {
    m_counters->Add("tokens_lost_late");
    return std::nullopt;
  }
  Refill(bucket, now);
  const auto free_capacity = MaxLevel(bucket, now) - bucket->level;
  m_counters->Add("tokens_borrowed",
                  static_cast<std::uint64_t>(message.granted));
  if (message.granted <= free_capacity) {
    bucket->level += message.granted;
    ReportSettled(&peer, message.request_id);
    return message.workspace;
  }
  // The tokens exceed this bucket's capacity. They count towards the lender's
  // capacity, so the request id is not added to `settled` before they are
  // spent, and the lender keeps them reserved until they expire.
  bucket->extra_tokens.push_back(
      {message.granted, grant_expiry, from, message.request_id});
  return message.workspace;
}

std::vector<AddressedShareMessage> TokenShare::TakeMessages() {
  return std::exchange(m_outgoing, {});
}

MicroTokens TokenShare::Level(const WorkspaceId& workspace, Instant now) {
  auto* bucket = Find(workspace);
  if (bucket == nullptr || !SeatLeaseValid(now)) return 0;
  Refill(bucket, now);
  return bucket->level;
}

MicroTokens TokenShare::InFlight(const WorkspaceId& workspace, Instant now) {
  auto* bucket = Find(workspace);
  return bucket == nullptr ? 0 : ReservedTotal(bucket, now);
}

MicroTokens TokenShare::Capacity(const WorkspaceId& workspace) const {
  const auto it = m_buckets.find(workspace);
  if (it == m_buckets.end()) return 0;
  return static_cast<MicroTokens>(it->second.limit.burst * kMicroPerToken);
}

}  // namespace tiller::limits
