// Implementation of failover.
#include "Control/failover.h"

#include <algorithm>
#include <utility>

#include "Common/crypto.h"
#include "Common/names.h"

namespace tiller::control {
namespace {

using endpoint::Role;

// An endpoint's status is considered current for this long.
constexpr Milliseconds kStatusLifetime{1'500};
// A replica whose primary has been silent for less than this time does not
// confirm a failure of that primary.
constexpr Milliseconds kMinPrimarySilence{400};
constexpr Milliseconds kStaggerStep{150};
constexpr std::size_t kMaxStaggerSteps = 8;
constexpr Milliseconds kCallTimeout{700};
// Once a majority has promised the term, the attempt waits this long for the
// remaining endpoints: one of them may have a more recent log, and endpoints
// that are fenced now need no repair later.
constexpr Milliseconds kFenceExtraWait{30};
constexpr Milliseconds kMaxBackoff{400};
constexpr Milliseconds kRepairDelay{300};
constexpr Milliseconds kRepairInterval{1'000};
constexpr Milliseconds kStalePromiseDelay{500};
constexpr Milliseconds kPlannedFailoverRetryDelay{1'000};

}  // namespace

void Failover::Configure(const config::Config& config) {
  std::set<GroupId> present;
  m_group_of.clear();
  for (const auto& settings : config.groups) {
    present.insert(settings.name);
    auto& group = m_groups[settings.name];
    group.name = settings.name;
    group.record.group = settings.name;
    std::set<EndpointId> endpoints;
    for (const auto& endpoint : settings.endpoints) {
      endpoints.insert(endpoint.name);
      m_group_of[endpoint.name] = settings.name;
      auto& row = group.endpoints[endpoint.name];
      const auto* zone = config.FindZone(endpoint.zone);
      row.settings = endpoint;
      row.zone_out = zone != nullptr && zone->out_of_service;
    }
    std::erase_if(group.endpoints, [&](const auto& item) {
      return endpoints.count(item.first) == 0;
    });
  }
  std::erase_if(m_groups, [&](const auto& item) {
    return present.count(item.first) == 0;
  });
}

void Failover::Handle(const traffic::EndpointStatusReport& report) {
  const auto group_name = m_group_of.find(report.endpoint);
  if (group_name == m_group_of.end()) return;
  auto& group = m_groups[group_name->second];
  auto& row = group.endpoints[report.endpoint];
  row.status = report.status;
  row.reported = true;
  row.last_contact = m_context->Now();
  row.silent_since.reset();
  if (report.status.role == Role::kPrimary) {
    Merge({group.name, report.status.term, report.endpoint,
           report.status.fence_owner});
  }
}

void Failover::Handle(const traffic::EndpointUnresponsive& failure) {
  const auto group_name = m_group_of.find(failure.endpoint);
  if (group_name == m_group_of.end()) return;
  auto& row = m_groups[group_name->second].endpoints[failure.endpoint];
  if (!row.silent_since) row.silent_since = m_context->Now();
}

void Failover::Merge(const peer::GroupRecord& record) {
  const auto it = m_groups.find(record.group);
  if (it == m_groups.end() || record.term <= it->second.record.term) return;
  auto& group = it->second;
  group.record = record;
  group.suspect_since.reset();
  m_changed = true;
  // Restart the detection time: the new primary is suspected only after all of
  // it has passed.
  const auto row = group.endpoints.find(record.primary);
  if (row != group.endpoints.end()) {
    row->second.last_contact = m_context->Now();
    row->second.silent_since.reset();
  }
  if (group.phase == Phase::kFencing && record.term >= group.attempt_term) {
    Abandon(&group, "another host was first");
  }
  m_context->Log(log::Channel::kFailover, log::Level::kInfo, "primary_changed",
                 {{"group", record.group},
                  {"term", std::to_string(record.term)},
                  {"primary", record.primary}});
}

void Failover::OnPause() {
  const auto now = m_context->Now();
  m_context->Stats()->Add("pauses_detected");
  for (auto& [name, group] : m_groups) {
    group.suspect_since.reset();
    if (group.phase != Phase::kIdle) Abandon(&group, "this host was paused");
    for (auto& [endpoint, row] : group.endpoints) {
      row.silent_since.reset();
      row.inconsistent_since.reset();
      if (row.reported) row.last_contact = now;
    }
  }
}

void Failover::Tick() {
  for (auto& [name, group] : m_groups) TickGroup(&group);
}

void Failover::TickGroup(GroupRow* group) {
  const auto now = m_context->Now();
  if (group->phase == Phase::kFencing) {
    const bool has_majority = group->promises.size() >= MajorityOf(*group);
    const bool all_answered = group->answered.size() == group->endpoints.size();
    if (has_majority &&
        (all_answered || now - group->phase_since >= kFenceExtraWait)) {
      return ChooseCandidate(group);
    }
    if (all_answered || now - group->phase_since >= kCallTimeout) {
      Abandon(group, "no majority promised the term");
    }
    return;
  }
  if (group->phase == Phase::kPromoting) {
    if (now - group->phase_since >= kCallTimeout) {
      Abandon(group, "the candidate did not answer");
    }
    return;
  }
  RepairInconsistentEndpoints(group);
  const auto reason = FailoverReason(*group);
  if (!reason) {
    group->suspect_since.reset();
    return;
  }
  if (!group->suspect_since) group->suspect_since = now;
  if (now < group->backoff_until ||
      now - *group->suspect_since < StaggerDelay(*group)) {
    return;
  }
  StartAttempt(group, *reason);
}

bool Failover::PrimaryFailed(const GroupRow& group) const {
  const auto it = group.endpoints.find(group.record.primary);
  if (it == group.endpoints.end()) return true;
  const auto& row = it->second;
  const auto now = m_context->Now();
  const bool demoted = row.reported &&
                       now - row.last_contact < kStatusLifetime &&
                       row.status.role != Role::kPrimary &&
                       row.status.fence_term >= group.record.term;
  if (demoted) return true;
  return row.silent_since &&
         now - row.last_contact >= m_context->Options().suspect_after;
}

// A majority of the endpoints, not counting a working primary, must be
// reachable and must not be in contact with the primary. Otherwise it is this
// host that is disconnected.
bool Failover::MajorityConfirmsFailure(const GroupRow& group) const {
  const auto now = m_context->Now();
  std::size_t confirming = 0;
  for (const auto& [name, row] : group.endpoints) {
    if (!row.reported || now - row.last_contact >= kStatusLifetime) continue;
    if (name == group.record.primary) {
      // A primary that answers and has been demoted confirms the failure.
      if (row.status.role != Role::kPrimary) ++confirming;
      continue;
    }
    const bool follows = row.status.role == Role::kReplica &&
                         row.status.fence_term == group.record.term &&
                         group.record.term > 0;
    const bool primary_is_active =
        follows && row.status.primary_silence < kMinPrimarySilence;
    if (!primary_is_active) ++confirming;
  }
  return confirming >= MajorityOf(group);
}

std::optional<std::string> Failover::FailoverReason(
    const GroupRow& group) const {
  const auto now = m_context->Now();
  if (!group.tickets.empty()) return "operator";
  if (PrimaryFailed(group)) {
    if (!MajorityConfirmsFailure(group)) return std::nullopt;
    return group.record.term == 0 ? "bootstrap" : "primary_failed";
  }
  const auto primary = group.endpoints.find(group.record.primary);
  if (primary != group.endpoints.end() && Excluded(primary->second)) {
    std::size_t reachable = 0;
    std::size_t eligible = 0;
    for (const auto& [name, row] : group.endpoints) {
      if (!row.reported || now - row.last_contact >= kStatusLifetime) continue;
      ++reachable;
      if (!Excluded(row)) ++eligible;
    }
    // Excluded endpoints count as reachable: they can still promise a term and
    // hold log entries.
    if (eligible > 0 && reachable >= MajorityOf(group)) return "primary_leaves";
  }
  // A failed attempt left a promise of a higher term, which prevents a replica
  // from following the primary.
  for (const auto& [name, row] : group.endpoints) {
    const bool blocked =
        row.reported && now - row.last_contact < kStatusLifetime &&
        row.status.fence_term > group.record.term && row.inconsistent_since &&
        now - *row.inconsistent_since >= kStalePromiseDelay;
    if (blocked) return "promise_left_behind";
  }
  return std::nullopt;
}

// Hosts wait for different times before they start a failover, so that usually
// only one starts. Their order differs from group to group and from term to
// term.
Duration Failover::StaggerDelay(const GroupRow& group) const {
  const auto seed = group.name + "/" + std::to_string(group.record.term) + "/";
  const auto own_hash = StableHash(seed + m_context->Options().host);
  std::size_t hosts_before = 0;
  for (const auto& row : m_members->Live()) {
    if (StableHash(seed + row.record.host) < own_hash) ++hosts_before;
  }
  return kStaggerStep *
         static_cast<int>(std::min(hosts_before, kMaxStaggerSteps));
}

void Failover::Call(CallKind kind, GroupRow* group, const EndpointRow& row,
                    Term term, endpoint::Step step) {
  step.sync_after = true;
  const auto id = m_context->NextId();
  m_calls[id] = {kind, group->name, row.settings.name, term};
  m_context->Emit(CallGroup{id, row.settings.name, row.settings.address,
                            std::move(step), kCallTimeout});
}

void Failover::StartAttempt(GroupRow* group, const std::string& reason) {
  Term highest = group->record.term;
  for (const auto& [name, row] : group->endpoints) {
    highest = std::max({highest, row.status.fence_term, row.status.term});
  }
  group->attempt_term = highest + 1;
  group->phase = Phase::kFencing;
  group->phase_since = m_context->Now();
  group->promises.clear();
  group->answered.clear();
  group->candidate.clear();
  m_context->Stats()->Add("failover_attempts");
  m_context->Log(log::Channel::kFailover, log::Level::kWarn, "failover_started",
                 {{"group", group->name},
                  {"term", std::to_string(group->attempt_term)},
                  {"reason", reason}});
  for (const auto& [name, row] : group->endpoints) {
    Call(CallKind::kFence, group, row, group->attempt_term,
         endpoint::FenceStep(group->attempt_term, m_context->Options().host));
  }
}

bool Failover::Handle(const GroupCallDone& done) {
  const auto it = m_calls.find(done.id);
  if (it == m_calls.end()) return false;
  const auto call = it->second;
  m_calls.erase(it);
  const auto found = m_groups.find(call.group);
  if (found == m_groups.end()) return true;
  auto* group = &found->second;
  if (call.kind == CallKind::kFollow) return true;
  // Results for an abandoned attempt are ignored.
  if (call.term != group->attempt_term) return true;
  if (call.kind == CallKind::kFence && group->phase == Phase::kFencing) {
    OnFenced(group, call.endpoint, done.result);
  } else if (call.kind == CallKind::kPromote &&
             group->phase == Phase::kPromoting) {
    OnPromoted(group, call, done.result);
  }
  return true;
}

void Failover::OnFenced(GroupRow* group, const EndpointId& endpoint,
                        const std::optional<endpoint::StepResult>& result) {
  group->answered.insert(endpoint);
  if (result && result->ok) {
    const auto status = endpoint::ParseStatus(*result);
    const bool promised =
        status && status.value().fence_term == group->attempt_term &&
        status.value().fence_owner == m_context->Options().host;
    if (promised) group->promises[endpoint] = status.value();
  }
  TickGroup(group);
}

EndpointId Failover::BestCandidate(
    const GroupRow& group, const std::set<EndpointId>& candidates) const {
  EndpointId best;
  const auto rank = [&](const EndpointId& name) {
    const auto& status = group.promises.at(name);
    const auto& row = group.endpoints.at(name);
    const bool is_preferred = group.preferred && *group.preferred == name;
    return std::make_tuple(status.term, status.received, is_preferred,
                           !Excluded(row), name == group.record.primary);
  };
  for (const auto& name : candidates) {
    if (best.empty() || rank(name) > rank(best)) best = name;
  }
  return best;
}

// The most recent log in any majority of the endpoints holds every acknowledged
// write. If the eligible endpoints that promised the term form a majority by
// themselves, the candidate is chosen from them only.
void Failover::ChooseCandidate(GroupRow* group) {
  std::set<EndpointId> all_candidates;
  std::set<EndpointId> eligible;
  const bool by_operator = group->preferred.has_value();
  for (const auto& [name, status] : group->promises) {
    all_candidates.insert(name);
    const bool leaving = by_operator && name == group->record.primary &&
                         *group->preferred != name;
    if (!Excluded(group->endpoints[name]) && !leaving) eligible.insert(name);
  }
  group->candidate = BestCandidate(*group, eligible.size() >= MajorityOf(*group)
                                               ? eligible
                                               : all_candidates);
  group->phase = Phase::kPromoting;
  group->phase_since = m_context->Now();
  Call(CallKind::kPromote, group, group->endpoints[group->candidate],
       group->attempt_term,
       endpoint::PromoteStep(group->attempt_term, m_context->Options().host));
}

void Failover::OnPromoted(GroupRow* group, const PendingCall& call,
                          const std::optional<endpoint::StepResult>& result) {
  if (!result || !result->ok) {
    return Abandon(group, "the candidate refused");
  }
  group->phase = Phase::kIdle;
  group->preferred.reset();
  // A primary that is to be replaced was promoted again because only it had the
  // newest entries. The other endpoints will have caught up by the next
  // attempt.
  if (Excluded(group->endpoints[call.endpoint])) {
    group->backoff_until = m_context->Now() + kPlannedFailoverRetryDelay;
  }
  m_context->Stats()->Add("failovers");
  Merge({group->name, call.term, call.endpoint, m_context->Options().host});
  FinishAttempt(group);
}

void Failover::FinishAttempt(GroupRow* group) {
  m_members->Announce({group->record});
  for (auto& [name, row] : group->endpoints) {
    if (name == group->record.primary) continue;
    SendFollow(group, &row);
  }
  Json::Value result;
  result["group"] = group->name;
  result["term"] = Json::UInt64(group->record.term);
  result["primary"] = group->record.primary;
  AnswerTickets(group, result);
}

void Failover::Abandon(GroupRow* group, const std::string& reason) {
  m_context->Stats()->Add("failover_attempts_abandoned");
  m_context->Log(log::Channel::kFailover, log::Level::kWarn,
                 "failover_abandoned",
                 {{"group", group->name},
                  {"term", std::to_string(group->attempt_term)},
                  {"reason", reason}});
  group->phase = Phase::kIdle;
  group->backoff_until =
      m_context->Now() + Milliseconds(m_context->Rng()->UniformBelow(
                             static_cast<std::uint64_t>(kMaxBackoff.count())));
  group->preferred.reset();
  AnswerTickets(group, MakeError(ErrorCode::kConflict, reason));
}

void Failover::AnswerTickets(GroupRow* group,
                             const Result<Json::Value>& result) {
  for (const auto ticket : std::exchange(group->tickets, {})) {
    m_context->Emit(OperatorReply{ticket, result});
  }
}

void Failover::Promote(CallId ticket, const GroupId& name,
                       const std::optional<EndpointId>& preferred) {
  const auto it = m_groups.find(name);
  if (it == m_groups.end()) {
    m_context->Emit(OperatorReply{
        ticket, MakeError(ErrorCode::kNotFound, "no group " + name)});
    return;
  }
  auto& group = it->second;
  if (preferred && group.endpoints.count(*preferred) == 0) {
    m_context->Emit(OperatorReply{
        ticket, MakeError(ErrorCode::kNotFound, "no endpoint " + *preferred)});
    return;
  }
  group.tickets.push_back(ticket);
  if (group.phase != Phase::kIdle) return;
  group.preferred = preferred;
  StartAttempt(&group, "operator");
}

bool Failover::IsInconsistent(const GroupRow& group,
                              const EndpointRow& row) const {
  const auto& status = row.status;
  if (status.fence_term > group.record.term) return true;
  if (status.role == Role::kFenced) return true;
  if (row.settings.name == group.record.primary) return false;
  return status.fence_term < group.record.term ||
         (status.role == Role::kPrimary && status.term < group.record.term);
}

// Sends the current primary to endpoints that missed a promotion. The same call
// fences and demotes a former primary that comes back.
void Failover::RepairInconsistentEndpoints(GroupRow* group) {
  const auto now = m_context->Now();
  if (group->record.term == 0) return;
  for (auto& [name, row] : group->endpoints) {
    const bool current =
        row.reported && now - row.last_contact < kStatusLifetime;
    if (!current || !IsInconsistent(*group, row)) {
      row.inconsistent_since.reset();
      continue;
    }
    if (!row.inconsistent_since) row.inconsistent_since = now;
    const bool can_follow = row.status.fence_term <= group->record.term &&
                            name != group->record.primary;
    if (!can_follow || now < row.next_repair ||
        now - *row.inconsistent_since < kRepairDelay + StaggerDelay(*group)) {
      continue;
    }
    m_context->Stats()->Add("endpoints_repaired");
    SendFollow(group, &row);
  }
}

void Failover::SendFollow(GroupRow* group, EndpointRow* row) {
  row->next_repair = m_context->Now() + kRepairInterval;
  const auto primary = group->endpoints.find(group->record.primary);
  if (primary == group->endpoints.end()) return;
  Call(CallKind::kFollow, group, *row, group->record.term,
       endpoint::FollowStep(group->record.term, group->record.owner,
                            primary->second.settings.address));
}

std::vector<peer::GroupRecord> Failover::Records() const {
  std::vector<peer::GroupRecord> out;
  for (const auto& [name, group] : m_groups) {
    if (group.record.term > 0) out.push_back(group.record);
  }
  return out;
}

int Failover::ReachablePrimaries() const {
  const auto now = m_context->Now();
  return static_cast<int>(
      std::count_if(m_groups.begin(), m_groups.end(), [&](const auto& item) {
        const auto& group = item.second;
        const auto row = group.endpoints.find(group.record.primary);
        return row != group.endpoints.end() && row->second.reported &&
               now - row->second.last_contact < kStatusLifetime;
      }));
}

Json::Value Failover::Describe() const {
  const auto now = m_context->Now();
  Json::Value out(Json::arrayValue);
  for (const auto& [name, group] : m_groups) {
    Json::Value item;
    item["group"] = name;
    item["term"] = Json::UInt64(group.record.term);
    item["primary"] = group.record.primary;
    for (const auto& [endpoint, row] : group.endpoints) {
      Json::Value part;
      part["endpoint"] = endpoint;
      part["zone"] = row.settings.zone;
      part["role"] =
          row.reported
              ? std::string(NameOf(endpoint::kRoleNames, row.status.role))
              : "unknown";
      part["term"] = Json::UInt64(row.status.term);
      part["applied"] = Json::UInt64(row.status.applied);
      part["received"] = Json::UInt64(row.status.received);
      part["draining"] = row.settings.draining;
      part["heard_ms_ago"] =
          row.reported ? Json::Int64(std::chrono::duration_cast<Milliseconds>(
                                         now - row.last_contact)
                                         .count())
                       : Json::Int64(-1);
      item["endpoints"].append(part);
    }
    out.append(item);
  }
  return out;
}

}  // namespace tiller::control
