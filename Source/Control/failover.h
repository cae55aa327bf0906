// Detects a failed primary, fences its group, and selects and promotes a new
// primary.
//
// Safety depends on the group's own endpoints, not on clocks or on the
// platform: an endpoint promises a term to one owner only, a promotion needs
// the promises of a majority, and a write is acknowledged only when a majority
// holds it in the primary's term. Any two majorities share an endpoint. The
// selected log therefore contains every acknowledged write, and a primary that
// has lost its majority cannot acknowledge any. Which host starts a failover,
// and when, affects only how long the group is without a primary.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Config/config.h"
#include "Control/control_context.h"
#include "Control/member_table.h"

namespace tiller::control {

class Failover {
 public:
  Failover(ControlContext* context, MemberTable* members)
      : m_context(context), m_members(members) {}

  // Adopts the groups and endpoints of a configuration.
  void Configure(const config::Config& config);
  void Handle(const traffic::EndpointStatusReport& report);
  void Handle(const traffic::EndpointUnresponsive& failure);
  // Returns false if the result is for another component's call.
  bool Handle(const GroupCallDone& done);
  // Adopts a group's record if its term is higher than the current one.
  void Merge(const peer::GroupRecord& record);
  // Starts a promotion requested by an operator; the result is sent as an
  // OperatorReply with `ticket`. `preferred` decides between candidates whose
  // logs are equally recent.
  void Promote(CallId ticket, const GroupId& group,
               const std::optional<EndpointId>& preferred);
  void Tick();
  // Called when this process was paused: measured silences are invalid, so they
  // are reset, and running attempts are abandoned.
  void OnPause();

  std::vector<peer::GroupRecord> Records() const;
  // Number of groups, and of groups whose primary answered this host recently.
  int GroupCount() const { return static_cast<int>(m_groups.size()); }
  int ReachablePrimaries() const;
  // Returns true once after a primary has changed.
  bool TakeChanged() { return std::exchange(m_changed, false); }
  // Groups and endpoints as JSON, for the operators' status command.
  Json::Value Describe() const;

 private:
  enum class Phase { kIdle, kFencing, kPromoting };
  struct EndpointRow {
    config::Endpoint settings;
    bool zone_out = false;
    endpoint::EndpointStatus status;
    bool reported = false;  // `status` has been received at least once
    // When the last status arrived. Also set to restart the detection time, for
    // a new primary or after a pause of this process.
    Instant last_contact{};
    // Start of the current silence; absent while the endpoint answers.
    std::optional<Instant> silent_since;
    // Since when its term or role has contradicted the group's record.
    std::optional<Instant> inconsistent_since;
    Instant next_repair{};
  };
  struct GroupRow {
    GroupId name;
    std::map<EndpointId, EndpointRow> endpoints;
    peer::GroupRecord record;  // the one with the highest term seen
    std::optional<Instant> suspect_since;
    Instant backoff_until{};  // no new attempt before this time

    Phase phase = Phase::kIdle;
    Term attempt_term = 0;
    Instant phase_since{};
    // Endpoints that promised the attempt's term, with the status they
    // reported.
    std::map<EndpointId, endpoint::EndpointStatus> promises;
    // Endpoints whose fence call has finished, successfully or not.
    std::set<EndpointId> answered;
    EndpointId candidate;
    std::optional<EndpointId> preferred;
    std::vector<CallId> tickets;  // operator commands awaiting the result
  };
  enum class CallKind { kFence, kPromote, kFollow };
  struct PendingCall {
    CallKind kind = CallKind::kFence;
    GroupId group;
    EndpointId endpoint;
    Term term = 0;
  };

  void TickGroup(GroupRow* group);
  // The reason why the group needs a new primary; absent if it needs none.
  std::optional<std::string> FailoverReason(const GroupRow& group) const;
  bool PrimaryFailed(const GroupRow& group) const;
  bool MajorityConfirmsFailure(const GroupRow& group) const;
  Duration StaggerDelay(const GroupRow& group) const;
  void StartAttempt(GroupRow* group, const std::string& reason);
  void OnFenced(GroupRow* group, const EndpointId& endpoint,
                const std::optional<endpoint::StepResult>& result);
  void OnPromoted(GroupRow* group, const PendingCall& call,
                  const std::optional<endpoint::StepResult>& result);
  void ChooseCandidate(GroupRow* group);
  EndpointId BestCandidate(const GroupRow& group,
                           const std::set<EndpointId>& candidates) const;
  void Abandon(GroupRow* group, const std::string& reason);
  void FinishAttempt(GroupRow* group);
  void RepairInconsistentEndpoints(GroupRow* group);
  bool IsInconsistent(const GroupRow& group, const EndpointRow& row) const;
  void SendFollow(GroupRow* group, EndpointRow* row);
  void Call(CallKind kind, GroupRow* group, const EndpointRow& row, Term term,
            endpoint::Step step);
  void AnswerTickets(GroupRow* group, const Result<Json::Value>& result);
  // True if operators have taken the endpoint or its zone out of service.
  bool Excluded(const EndpointRow& row) const {
    return row.settings.draining || row.zone_out;
  }
  std::size_t MajorityOf(const GroupRow& group) const {
    return group.endpoints.size() / 2 + 1;
  }

  ControlContext* const m_context;
  MemberTable* const m_members;
  std::map<GroupId, GroupRow> m_groups;
  std::map<EndpointId, GroupId> m_group_of;
  std::map<CallId, PendingCall> m_calls;
  bool m_changed = false;
};

}  // namespace tiller::control
