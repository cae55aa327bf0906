// Implementation of lent units.
#include "Limits/unit_lease.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tiller::limits {
namespace {

// Short, so that a lost borrower costs its unit for a moment only.
constexpr Milliseconds kLoanLifetime{500};
constexpr Milliseconds kRenewBefore{250};
constexpr Milliseconds kAnswerTimeout{200};
// A borrowed unit without use goes back after this time; its owner can recall
// it at any time before.
constexpr Milliseconds kReturnIdleAfter{20};
constexpr Milliseconds kAskInterval{10};
constexpr std::size_t kMaxWaiting = 64;
constexpr double kMaxClockDrift = 0.01;

Instant LoanEnd(Instant granted) {
  return granted + std::chrono::duration_cast<Duration>(kLoanLifetime *
                                                        (1.0 + kMaxClockDrift));
}

// Deals units to zones in turn, the resource's own zone first, so that no
// single zone's hosts take all of them along when they are lost.
std::vector<int> OwnersOf(const UnitLimit& limit, const SeatView& seats) {
  std::map<ZoneId, std::vector<int>> by_zone;
  for (std::size_t i = 0; i < seats.zones.size(); ++i) {
    by_zone[seats.zones[i]].push_back(static_cast<int>(i));
  }
  std::vector<std::vector<int>> lanes;
  for (auto& [zone, zone_seats] : by_zone) {
    auto ranked = RankSeats(limit.resource, zone_seats, zone_seats.size());
    const auto at = zone == limit.zone ? lanes.begin() : lanes.end();
    lanes.insert(at, std::move(ranked));
  }
  std::vector<int> owners;
  for (int unit = 0; unit < limit.units && !lanes.empty(); ++unit) {
    const auto index = static_cast<std::size_t>(unit);
    const auto& lane = lanes[index % lanes.size()];
    owners.push_back(lane[index / lanes.size() % lane.size()]);
  }
  return owners;
}

}  // namespace

UnitLease::UnitLease(HostId self, Counters* counters)
    : m_self(std::move(self)), m_counters(counters) {}

void UnitLease::Update(const std::vector<UnitLimit>& limits,
                       const SeatView& seats, Instant now) {
  m_seats = seats;
  std::set<std::string> present;
  for (const auto& limit : limits) {
    present.insert(limit.resource);
    auto& resource = m_resources[limit.resource];
    resource.limit = limit;
    resource.owners = OwnersOf(limit, seats);
    const auto owned = static_cast<int>(
        std::count_if(resource.owners.begin(), resource.owners.end(),
                      [&](int seat) { return seats.Holds(seat); }));
    if (now >= resource.owned_from) resource.ready = resource.owned;
    if (owned > resource.owned) resource.owned_from = LoanEnd(now);
    resource.ready = std::min(resource.ready, owned);
    resource.owned = owned;
    m_woken.push_back(limit.resource);
  }
  std::erase_if(m_resources, [&](const auto& item) {
    return present.count(item.first) == 0;
  });
}

int UnitLease::FreeOwned(const Resource& resource, Instant now) const {
  if (!Usable(now)) return 0;
  const int ready = now < resource.owned_from ? resource.ready : resource.owned;
  return ready - resource.own_in_use - static_cast<int>(resource.lent.size());
}

std::optional<UnitUse> UnitLease::TryAcquire(const std::string& name,
                                             Instant now) {
  const auto it = m_resources.find(name);
  if (it == m_resources.end()) return std::nullopt;
  auto& resource = it->second;
  for (auto& [key, loan] : resource.borrowed) {
    if (loan.in_use || loan.recalled || loan.until <= now) continue;
    loan.in_use = true;
    loan.use_id = m_next_id++;
    return UnitUse{name, key.first, key.second, loan.use_id};
  }
  // A borrower that has waited longer goes first.
  const bool borrower_first =
      !resource.waiting.empty() && resource.local_demand &&
      resource.waiting.front().since < *resource.local_demand;
  if (FreeOwned(resource, now) > 0 && !borrower_first) {
    ++resource.own_in_use;
    resource.local_demand.reset();
    return UnitUse{name, {}, 0, m_next_id++};
  }
  if (!resource.local_demand) resource.local_demand = now;
  ServeWaiting(&resource, now);
  Ask(&resource, now);
  if (resource.owned > 0) Recall(&resource);
  return std::nullopt;
}

void UnitLease::Ask(Resource* resource, Instant now) {
  std::set<HostId> owners;
  for (const int seat : resource->owners) {
    const auto& holder = m_seats.holders[static_cast<std::size_t>(seat)];
    if (!holder.empty() && holder != m_self) owners.insert(holder);
  }
  for (const auto& owner : owners) {
    auto& next = resource->next_ask[owner];
    if (next > now) continue;
    next = now + kAskInterval;
    const bool already = std::any_of(
        resource->asked.begin(), resource->asked.end(), [&](const auto& item) {
          return item.second.owner == owner && item.second.renews == 0;
        });
    if (already) continue;
    const auto id = m_next_id++;
    resource->asked[id] = {owner, now, 0};
    m_out.push_back({owner, UnitRequest{resource->limit.resource, id, 0}});
    m_counters->Add("units_requested");
  }
}

void UnitLease::Recall(Resource* resource) {
  for (auto& [loan_id, lent] : resource->lent) {
    if (lent.recalled) continue;
    lent.recalled = true;
    m_out.push_back({lent.to, UnitRecall{resource->limit.resource, loan_id}});
    return;
  }
}

void UnitLease::Release(const UnitUse& use, Instant now) {
  const auto it = m_resources.find(use.resource);
  if (it == m_resources.end()) return;
  auto& resource = it->second;
  m_woken.push_back(use.resource);
  if (use.owner.empty()) {
    resource.own_in_use = std::max(0, resource.own_in_use - 1);
    ServeWaiting(&resource, now);
    return;
  }
  const LoanKey key{use.owner, use.loan_id};
  const auto loan = resource.borrowed.find(key);
  if (loan == resource.borrowed.end() || loan->second.use_id != use.use_id) {
    return;
  }
  loan->second.in_use = false;
  loan->second.idle_since = now;
  if (loan->second.recalled) GiveBack(&resource, key);
}

void UnitLease::GiveBack(Resource* resource, const LoanKey& key) {
  if (resource->borrowed.erase(key) == 0) return;
  m_out.push_back(
      {key.first, UnitReturn{resource->limit.resource, key.second}});
}

void UnitLease::ServeWaiting(Resource* resource, Instant now) {
  while (!resource->waiting.empty()) {
    const auto next = resource->waiting.front();
    if (now - next.since > kAnswerTimeout) {
      resource->waiting.pop_front();
      continue;
    }
    const bool local_first =
        resource->local_demand && *resource->local_demand < next.since;
    if (FreeOwned(*resource, now) <= 0 || local_first) return;
    resource->waiting.pop_front();
    const auto loan_id = m_next_id++;
    resource->lent[loan_id] = {next.borrower, next.request_id, LoanEnd(now),
                               false};
    m_out.push_back({next.borrower, UnitGrant{resource->limit.resource,
                                              next.request_id, loan_id}});
    m_counters->Add("units_lent");
  }
}

void UnitLease::Handle(const HostId& from, const UnitRequest& message,
                       Instant now) {
  const auto it = m_resources.find(message.resource);
  if (it == m_resources.end()) return;
  auto& resource = it->second;
  if (message.renews != 0) {
    const auto lent = resource.lent.find(message.renews);
    const bool extend = lent != resource.lent.end() &&
                        lent->second.to == from && !lent->second.recalled &&
                        Usable(now);
    if (extend) lent->second.until = LoanEnd(now);
    m_out.push_back({from, UnitGrant{message.resource, message.request_id,
                                     extend ? message.renews : 0}});
    return;
  }
  if (resource.waiting.size() >= kMaxWaiting) return;
  resource.waiting.push_back({from, message.request_id, now});
  ServeWaiting(&resource, now);
  if (!resource.waiting.empty()) Recall(&resource);
}

void UnitLease::Handle(const HostId& from, const UnitGrant& message,
                       Instant now) {
  const auto it = m_resources.find(message.resource);
  if (it == m_resources.end()) return;
  auto& resource = it->second;
  const auto asked = resource.asked.find(message.request_id);
  if (asked == resource.asked.end() || asked->second.owner != from) {
    // Too late to be used; its owner should not wait for the loan to lapse.
    if (message.loan_id != 0 &&
        resource.borrowed.count({from, message.loan_id}) == 0) {
      m_out.push_back({from, UnitReturn{message.resource, message.loan_id}});
    }
    return;
  }
  const auto until = asked->second.sent + kLoanLifetime;
  const auto renews = asked->second.renews;
  resource.asked.erase(asked);
  if (renews != 0) {
    const auto loan = resource.borrowed.find({from, renews});
    if (loan == resource.borrowed.end()) return;
    loan->second.renewing = false;
    if (message.loan_id == renews) loan->second.until = until;
    return;
  }
  if (message.loan_id == 0 || until <= now) return;
  resource.borrowed[{from, message.loan_id}] = {until, now,   false,
                                                false, false, 0};
  resource.local_demand.reset();
  m_counters->Add("units_borrowed");
  m_woken.push_back(message.resource);
}

void UnitLease::Handle(const HostId& from, const UnitReturn& message,
                       Instant now) {
  const auto it = m_resources.find(message.resource);
  if (it == m_resources.end()) return;
  const auto lent = it->second.lent.find(message.loan_id);
  if (lent == it->second.lent.end() || lent->second.to != from) return;
  it->second.lent.erase(lent);
  ServeWaiting(&it->second, now);
  m_woken.push_back(message.resource);
}

void UnitLease::Handle(const HostId& from, const UnitRecall& message, Instant) {
  const auto it = m_resources.find(message.resource);
  if (it == m_resources.end()) return;
  const LoanKey key{from, message.loan_id};
  const auto loan = it->second.borrowed.find(key);
  if (loan == it->second.borrowed.end()) return;
  loan->second.recalled = true;
  if (!loan->second.in_use) GiveBack(&it->second, key);
}

void UnitLease::TickBorrowed(Resource* resource, Instant now,
                             std::vector<UnitUse>* lapsed) {
  std::vector<LoanKey> idle;
  for (auto it = resource->borrowed.begin(); it != resource->borrowed.end();) {
    auto& [key, loan] = *it;
    if (loan.until <= now) {
      if (loan.in_use) {
        lapsed->push_back(
            {resource->limit.resource, key.first, key.second, loan.use_id});
      }
      it = resource->borrowed.erase(it);
      continue;
    }
    if (!loan.in_use && now - loan.idle_since > kReturnIdleAfter) {
      idle.push_back(key);
    } else if (loan.in_use && !loan.renewing &&
               loan.until - now < kRenewBefore) {
      loan.renewing = true;
      const auto id = m_next_id++;
      resource->asked[id] = {key.first, now, key.second};
      m_out.push_back(
          {key.first, UnitRequest{resource->limit.resource, id, key.second}});
    }
    ++it;
  }
  for (const auto& key : idle) GiveBack(resource, key);
}

void UnitLease::TickLent(Resource* resource, Instant now) {
  const auto before = resource->lent.size();
  std::erase_if(resource->lent,
                [&](const auto& item) { return item.second.until <= now; });
  if (resource->lent.size() < before) {
    m_counters->Add("units_expired", before - resource->lent.size());
    m_woken.push_back(resource->limit.resource);
  }
  ServeWaiting(resource, now);
}

std::vector<UnitUse> UnitLease::Tick(Instant now) {
  std::vector<UnitUse> lapsed;
  for (auto& [name, resource] : m_resources) {
    std::erase_if(resource.asked, [&](const auto& item) {
      return now - item.second.sent > kAnswerTimeout;
    });
    TickBorrowed(&resource, now, &lapsed);
    TickLent(&resource, now);
  }
  return lapsed;
}

std::vector<std::string> UnitLease::TakeWoken() {
  return std::exchange(m_woken, {});
}

std::vector<AddressedShareMessage> UnitLease::TakeMessages() {
  return std::exchange(m_out, {});
}

int UnitLease::InUse(const std::string& name) const {
  const auto it = m_resources.find(name);
  if (it == m_resources.end()) return 0;
  int count = it->second.own_in_use;
  for (const auto& [loan_id, loan] : it->second.borrowed) {
    if (loan.in_use) ++count;
  }
  return count;
}

int UnitLease::OwnedUnits(const std::string& name) const {
  const auto it = m_resources.find(name);
  return it == m_resources.end() ? 0 : it->second.owned;
}

}  // namespace tiller::limits
