// Implementation of the unit leases.
#include "Limits/unit_lease.h"

#include <algorithm>
#include <set>
#include <utility>

namespace tiller::limits {
namespace {

// Short, so that a unit lent to a host that fails is soon available again.
constexpr Milliseconds kLoanLifetime{500};
constexpr Milliseconds kRenewalMargin{250};
constexpr Milliseconds kRequestTimeout{200};
// An unused borrowed unit is returned after this time. The owner can recall it
// earlier.
constexpr Milliseconds kIdleReturnDelay{20};
constexpr Milliseconds kRequestInterval{10};
constexpr std::size_t kMaxQueuedRequests = 64;
constexpr double kMaxClockDrift = 0.01;

// When the owner may use a unit again that it lent at `granted`: the loan's
// lifetime, lengthened by the maximum clock drift.
Instant OwnerLoanExpiry(Instant granted) {
  return granted + std::chrono::duration_cast<Duration>(kLoanLifetime *
                                                        (1.0 + kMaxClockDrift));
}

// Returns the owning seat of each unit. Assigns the units round-robin over the
// zones, starting with the resource's own zone, so that the loss of one zone
// does not make all units unavailable.
std::vector<int> AssignOwners(const UnitLimit& limit, const SeatView& seats) {
  std::map<ZoneId, std::vector<int>> by_zone;
  for (std::size_t i = 0; i < seats.zones.size(); ++i) {
    by_zone[seats.zones[i]].push_back(static_cast<int>(i));
  }
  std::vector<std::vector<int>> ranked_by_zone;
  for (auto& [zone, zone_seats] : by_zone) {
    auto ranked = RankSeats(limit.resource, zone_seats, zone_seats.size());
    const auto position =
        zone == limit.zone ? ranked_by_zone.begin() : ranked_by_zone.end();
    ranked_by_zone.insert(position, std::move(ranked));
  }
  std::vector<int> owners;
  for (int unit = 0; unit < limit.units && !ranked_by_zone.empty(); ++unit) {
    const auto index = static_cast<std::size_t>(unit);
    const auto& ranked_seats = ranked_by_zone[index % ranked_by_zone.size()];
    owners.push_back(
        ranked_seats[index / ranked_by_zone.size() % ranked_seats.size()]);
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
    resource.owners = AssignOwners(limit, seats);
    const auto owned = static_cast<int>(
        std::count_if(resource.owners.begin(), resource.owners.end(),
                      [&](int seat) { return seats.Holds(seat); }));
    if (now >= resource.all_usable_from) resource.usable_owned = resource.owned;
    if (owned > resource.owned) resource.all_usable_from = OwnerLoanExpiry(now);
    resource.usable_owned = std::min(resource.usable_owned, owned);
    resource.owned = owned;
    m_resources_to_retry.push_back(limit.resource);
  }
  std::erase_if(m_resources, [&](const auto& item) {
    return present.count(item.first) == 0;
  });
}

int UnitLease::FreeOwned(const Resource& resource, Instant now) const {
  if (!SeatLeaseValid(now)) return 0;
  const int usable_owned =
      now < resource.all_usable_from ? resource.usable_owned : resource.owned;
  return usable_owned - resource.owned_in_use -
         static_cast<int>(resource.lent.size());
}

std::optional<UnitUse> UnitLease::TryAcquire(const std::string& name,
                                             Instant now) {
  const auto it = m_resources.find(name);
  if (it == m_resources.end()) return std::nullopt;
  auto& resource = it->second;
  for (auto& [key, loan] : resource.borrowed) {
    if (loan.in_use || loan.recalled || loan.expires_at <= now) continue;
    loan.in_use = true;
    loan.use_id = m_next_id++;
    return UnitUse{name, key.first, key.second, loan.use_id};
  }
  // A borrower that has waited longer than the local statements has priority.
  const bool borrower_first =
      !resource.queued_requests.empty() && resource.local_waiting_since &&
      resource.queued_requests.front().since < *resource.local_waiting_since;
  if (FreeOwned(resource, now) > 0 && !borrower_first) {
    ++resource.owned_in_use;
    resource.local_waiting_since.reset();
    return UnitUse{name, {}, 0, m_next_id++};
  }
  if (!resource.local_waiting_since) resource.local_waiting_since = now;
  ServeQueuedRequests(&resource, now);
  RequestUnits(&resource, now);
  if (resource.owned > 0) RecallOneUnit(&resource);
  return std::nullopt;
}

void UnitLease::RequestUnits(Resource* resource, Instant now) {
  std::set<HostId> owners;
  for (const int seat : resource->owners) {
    const auto& holder = m_seats.holders[static_cast<std::size_t>(seat)];
    if (!holder.empty() && holder != m_self) owners.insert(holder);
  }
  for (const auto& owner : owners) {
    auto& next = resource->next_request[owner];
    if (next > now) continue;
    next = now + kRequestInterval;
    const bool request_pending = std::any_of(
        resource->pending_requests.begin(), resource->pending_requests.end(),
        [&](const auto& item) {
          return item.second.owner == owner && item.second.renews == 0;
        });
    if (request_pending) continue;
    const auto id = m_next_id++;
    resource->pending_requests[id] = {owner, now, 0};
    m_outgoing.push_back({owner, UnitRequest{resource->limit.resource, id, 0}});
    m_counters->Add("units_requested");
  }
}

void UnitLease::RecallOneUnit(Resource* resource) {
  for (auto& [loan_id, lent] : resource->lent) {
    if (lent.recalled) continue;
    lent.recalled = true;
    m_outgoing.push_back(
        {lent.to, UnitRecall{resource->limit.resource, loan_id}});
    return;
  }
}

void UnitLease::Release(const UnitUse& use, Instant now) {
  const auto it = m_resources.find(use.resource);
  if (it == m_resources.end()) return;
  auto& resource = it->second;
  m_resources_to_retry.push_back(use.resource);
  if (use.owner.empty()) {
    resource.owned_in_use = std::max(0, resource.owned_in_use - 1);
    ServeQueuedRequests(&resource, now);
    return;
  }
  const LoanKey key{use.owner, use.loan_id};
  const auto loan = resource.borrowed.find(key);
  if (loan == resource.borrowed.end() || loan->second.use_id != use.use_id) {
    return;
  }
  loan->second.in_use = false;
  loan->second.idle_since = now;
  if (loan->second.recalled) ReturnUnit(&resource, key);
}

void UnitLease::ReturnUnit(Resource* resource, const LoanKey& key) {
  if (resource->borrowed.erase(key) == 0) return;
  m_outgoing.push_back(
      {key.first, UnitReturn{resource->limit.resource, key.second}});
}

void UnitLease::ServeQueuedRequests(Resource* resource, Instant now) {
  while (!resource->queued_requests.empty()) {
    const auto next = resource->queued_requests.front();
    if (now - next.since > kRequestTimeout) {
      resource->queued_requests.pop_front();
      continue;
    }
    const bool local_first = resource->local_waiting_since &&
                             *resource->local_waiting_since < next.since;
    if (FreeOwned(*resource, now) <= 0 || local_first) return;
    resource->queued_requests.pop_front();
    const auto loan_id = m_next_id++;
    resource->lent[loan_id] = {next.borrower, next.request_id,
                               OwnerLoanExpiry(now), false};
    m_outgoing.push_back({next.borrower, UnitGrant{resource->limit.resource,
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
                        SeatLeaseValid(now);
    if (extend) lent->second.expires_at = OwnerLoanExpiry(now);
    m_outgoing.push_back({from, UnitGrant{message.resource, message.request_id,
                                          extend ? message.renews : 0}});
    return;
  }
  if (resource.queued_requests.size() >= kMaxQueuedRequests) return;
  resource.queued_requests.push_back({from, message.request_id, now});
  ServeQueuedRequests(&resource, now);
  if (!resource.queued_requests.empty()) RecallOneUnit(&resource);
}

void UnitLease::Handle(const HostId& from, const UnitGrant& message,
                       Instant now) {
  const auto it = m_resources.find(message.resource);
  if (it == m_resources.end()) return;
  auto& resource = it->second;
  const auto pending = resource.pending_requests.find(message.request_id);
  if (pending == resource.pending_requests.end() ||
      pending->second.owner != from) {
    // The grant arrived too late to be used. Return the unit, so that the owner
    // need not wait for the loan to expire.
    if (message.loan_id != 0 &&
        resource.borrowed.count({from, message.loan_id}) == 0) {
      m_outgoing.push_back(
          {from, UnitReturn{message.resource, message.loan_id}});
    }
    return;
  }
  const auto expires_at = pending->second.sent + kLoanLifetime;
  const auto renews = pending->second.renews;
  resource.pending_requests.erase(pending);
  if (renews != 0) {
    const auto loan = resource.borrowed.find({from, renews});
    if (loan == resource.borrowed.end()) return;
    loan->second.renewal_pending = false;
    if (message.loan_id == renews) loan->second.expires_at = expires_at;
    return;
  }
  if (message.loan_id == 0 || expires_at <= now) return;
  resource.borrowed[{from, message.loan_id}] = {expires_at, now,   false,
                                                false,      false, 0};
  resource.local_waiting_since.reset();
  m_counters->Add("units_borrowed");
  m_resources_to_retry.push_back(message.resource);
}

void UnitLease::Handle(const HostId& from, const UnitReturn& message,
                       Instant now) {
  const auto it = m_resources.find(message.resource);
  if (it == m_resources.end()) return;
  const auto lent = it->second.lent.find(message.loan_id);
  if (lent == it->second.lent.end() || lent->second.to != from) return;
  it->second.lent.erase(lent);
  ServeQueuedRequests(&it->second, now);
  m_resources_to_retry.push_back(message.resource);
}

void UnitLease::Handle(const HostId& from, const UnitRecall& message, Instant) {
  const auto it = m_resources.find(message.resource);
  if (it == m_resources.end()) return;
  const LoanKey key{from, message.loan_id};
  const auto loan = it->second.borrowed.find(key);
  if (loan == it->second.borrowed.end()) return;
  loan->second.recalled = true;
  if (!loan->second.in_use) ReturnUnit(&it->second, key);
}

void UnitLease::TickBorrowed(Resource* resource, Instant now,
                             std::vector<UnitUse>* expired) {
  std::vector<LoanKey> idle;
  for (auto it = resource->borrowed.begin(); it != resource->borrowed.end();) {
    auto& [key, loan] = *it;
    if (loan.expires_at <= now) {
      if (loan.in_use) {
        expired->push_back(
            {resource->limit.resource, key.first, key.second, loan.use_id});
      }
      it = resource->borrowed.erase(it);
      continue;
    }
    if (!loan.in_use && now - loan.idle_since > kIdleReturnDelay) {
      idle.push_back(key);
    } else if (loan.in_use && !loan.renewal_pending &&
               loan.expires_at - now < kRenewalMargin) {
      loan.renewal_pending = true;
      const auto id = m_next_id++;
      resource->pending_requests[id] = {key.first, now, key.second};
      m_outgoing.push_back(
          {key.first, UnitRequest{resource->limit.resource, id, key.second}});
    }
    ++it;
  }
  for (const auto& key : idle) ReturnUnit(resource, key);
}

void UnitLease::TickLent(Resource* resource, Instant now) {
  const auto before = resource->lent.size();
  std::erase_if(resource->lent, [&](const auto& item) {
    return item.second.expires_at <= now;
  });
  if (resource->lent.size() < before) {
    m_counters->Add("units_expired", before - resource->lent.size());
    m_resources_to_retry.push_back(resource->limit.resource);
  }
  ServeQueuedRequests(resource, now);
}

std::vector<UnitUse> UnitLease::Tick(Instant now) {
  std::vector<UnitUse> expired;
  for (auto& [name, resource] : m_resources) {
    std::erase_if(resource.pending_requests, [&](const auto& item) {
      return now - item.second.sent > kRequestTimeout;
    });
    TickBorrowed(&resource, now, &expired);
    TickLent(&resource, now);
  }
  return expired;
}

std::vector<std::string> UnitLease::TakeResourcesToRetry() {
  return std::exchange(m_resources_to_retry, {});
}

std::vector<AddressedShareMessage> UnitLease::TakeMessages() {
  return std::exchange(m_outgoing, {});
}

int UnitLease::InUse(const std::string& name) const {
  const auto it = m_resources.find(name);
  if (it == m_resources.end()) return 0;
  int count = it->second.owned_in_use;
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
