// Implementation of read routing.
#include "Routing/read_router.h"

namespace tiller::routing {
namespace {

// An endpoint that was not heard of for this long gets no reads.
constexpr Milliseconds kHeardWithin{1500};
// Price of leaving the own zone.
constexpr Milliseconds kOtherZoneCost{1};
// Reads prefer replicas: the primary's slots are the ones writes need.
constexpr Milliseconds kPrimaryCost{10};

bool IsReachable(const EndpointRow& row, Instant now) {
  return row.accepts_work && row.status_known && now >= row.avoid_until &&
         now - row.heard < kHeardWithin;
}

bool HasSeen(const EndpointRow& row, GroupPosition seen) {
  return row.status.term >= seen.term && row.status.applied >= seen.position;
}

}  // namespace

bool ReadRouter::Qualifies(const EndpointTable& table, const EndpointRow& row,
                           const ReadNeeds& needs, Instant now) {
  if (!IsReachable(row, now) || needs.excluded.count(row.name) > 0) {
    return false;
  }
  if (row.status.role != endpoint::Role::kReplica) return false;
  if (!HasSeen(row, needs.seen)) return false;
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
                              const ReadNeeds& needs, Duration waited,
                              Duration patience, Instant now) const {
  const auto* group = table.FindGroup(needs.group);
  if (group == nullptr) return {};
  const EndpointRow* best = nullptr;
  const EndpointRow* likely = nullptr;
  bool may_catch_up = false;
  for (const auto& name : group->endpoints) {
    const auto* row = table.Find(name);
    if (row == nullptr) continue;
    if (!Qualifies(table, *row, needs, now)) {
      const bool may = IsReachable(*row, now) &&
                       row->status.role == endpoint::Role::kReplica &&
                       needs.excluded.count(name) == 0;
      may_catch_up |= may;
      if (may && waited >= row->catch_up &&
          (likely == nullptr || Cost(*row) < Cost(*likely))) {
        likely = row;
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
  // What is known of a replica is as old as its last answer. It has probably
  // moved on, and the read's own answer will tell for certain.
  if (likely != nullptr && patience > Duration::zero()) {
    return {ReadTarget::kReplica, likely->name};
  }
  if (may_catch_up && patience > Duration::zero()) {
    return {ReadTarget::kWait, {}};
  }
  if (primary_ok) return {ReadTarget::kPrimary, primary->name};
  return {may_catch_up ? ReadTarget::kWait : ReadTarget::kNone, {}};
}

}  // namespace tiller::routing
