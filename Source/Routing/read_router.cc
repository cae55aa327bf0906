// Implementation of read routing.
#include "Routing/read_router.h"

namespace tiller::routing {
namespace {

// An endpoint whose last answer is older than this gets no reads.
constexpr Milliseconds kMaxAnswerAge{1500};
// Penalty for an endpoint in another zone.
constexpr Milliseconds kOtherZoneCost{1};
// Penalty for the primary: reads prefer replicas, because writes need the
// primary's slots.
constexpr Milliseconds kPrimaryCost{10};

bool IsReachable(const EndpointRow& row, Instant now) {
  return row.accepts_work && row.status_known && now >= row.backoff_until &&
         now - row.last_answer_at < kMaxAnswerAge;
}

bool HasApplied(const EndpointRow& row, GroupPosition seen) {
  return row.status.term >= seen.term && row.status.applied >= seen.position;
}

}  // namespace

bool ReadRouter::Qualifies(const EndpointTable& table, const EndpointRow& row,
                           const ReadRequirements& needs, Instant now) {
  if (!IsReachable(row, now) || needs.excluded.count(row.name) > 0) {
    return false;
  }
  if (row.status.role != endpoint::Role::kReplica) return false;
  if (!HasApplied(row, needs.seen)) return false;
  if (!needs.max_age) return true;
  const auto age = table.AgeOf(row, now);
  return age && *age <= *needs.max_age;
}

Duration ReadRouter::Cost(const EndpointRow& row) const {
  Duration cost = row.service_time * static_cast<int>(row.load + 1);
  if (row.zone != m_own_zone) cost += kOtherZoneCost;
  return cost;
}

ReadChoice ReadRouter::Choose(const EndpointTable& table,
                              const ReadRequirements& needs, Duration waited,
                              Duration wait_budget, Instant now) const {
  const auto* group = table.FindGroup(needs.group);
  if (group == nullptr) return {};
  const EndpointRow* best = nullptr;
  const EndpointRow* probable = nullptr;
  bool may_catch_up = false;
  for (const auto& name : group->endpoints) {
    const auto* row = table.Find(name);
    if (row == nullptr) continue;
    if (!Qualifies(table, *row, needs, now)) {
      const bool may_be_usable = IsReachable(*row, now) &&
                                 row->status.role == endpoint::Role::kReplica &&
                                 needs.excluded.count(name) == 0;
      may_catch_up |= may_be_usable;
      if (may_be_usable && waited >= row->catch_up_delay &&
          (probable == nullptr || Cost(*row) < Cost(*probable))) {
        probable = row;
      }
      continue;
    }
    if (best == nullptr || Cost(*row) < Cost(*best)) best = row;
  }
  const auto* primary = table.Find(group->primary);
  const bool primary_ok = primary != nullptr && IsReachable(*primary, now) &&
                          needs.excluded.count(primary->name) == 0;
  if (best != nullptr) {
    // A long queue at the replicas makes the primary the better choice.
    if (primary_ok && Cost(*primary) + kPrimaryCost < Cost(*best)) {
      return {ReadTarget::kPrimary, primary->name};
    }
    return {ReadTarget::kReplica, best->name};
  }
  // The known status of a replica is as old as its last answer. The replica has
  // probably advanced since, and the answer to the read shows for certain.
  if (probable != nullptr && wait_budget > Duration::zero()) {
    return {ReadTarget::kReplica, probable->name};
  }
  if (may_catch_up && wait_budget > Duration::zero()) {
    return {ReadTarget::kWait, {}};
  }
  if (primary_ok) return {ReadTarget::kPrimary, primary->name};
  return {may_catch_up ? ReadTarget::kWait : ReadTarget::kNone, {}};
}

}  // namespace tiller::routing
