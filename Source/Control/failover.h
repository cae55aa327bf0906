// Detects a failed primary, and fences, chooses and promotes the next one.
//
// Safety rests on the group's own endpoints, not on clocks or on the platform:
// an endpoint promises a term to one owner only, a promotion needs the
// promises of a majority, and a write is acknowledged only when a majority
// holds it in the primary's term. Every two majorities share an endpoint, so
// the log chosen holds every acknowledged write, and a primary that lost its
// majority can acknowledge nothing. Which host starts, and when, only decides
// how long the gap is.
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

  void Configure(const config::Config& config);
  void Handle(const traffic::EndpointHeard& heard);
  void Handle(const traffic::EndpointSilent& silent);
  // Returns false if the answer is for another system's call.
  bool Handle(const GroupCallDone& done);
  // Adopts what another host knows of a group.
  void Merge(const peer::GroupRecord& record);
  // Starts a promotion by an operator's hand; answers through OperatorReply.
  void Promote(CallId ticket, const GroupId& group,
               const std::optional<EndpointId>& preferred);
  void Tick();
  // Time stood still for this host: what it remembers of silence is void.
  void OnPause();

  std::vector<peer::GroupRecord> Records() const;
  // Groups, and those whose primary answered this host lately.
  int GroupCount() const { return static_cast<int>(m_groups.size()); }
  int ReachablePrimaries() const;
  // True once after a primary changed.
  bool TakeChanged() { return std::exchange(m_changed, false); }
  Json::Value Describe() const;

 private:
  enum class Phase { kIdle, kFencing, kPromoting };
  struct EndpointRow {
    config::Endpoint settings;
    bool zone_out = false;
    endpoint::EndpointStatus status;
    bool known = false;
    Instant heard{};
    // Start of the silence that still lasts.
    std::optional<Instant> silent_since;
    // Since when its term or role disagrees with the group's.
    std::optional<Instant> stray_since;
    Instant next_repair{};
  };
  struct GroupRow {
    GroupId name;
    std::map<EndpointId, EndpointRow> endpoints;
    peer::GroupRecord record;  // highest term known
    std::optional<Instant> suspect_since;
    Instant not_before{};  // back-off after a failed attempt

    Phase phase = Phase::kIdle;
    Term attempt_term = 0;
    Instant phase_since{};
    // Endpoints that promised the attempt's term, with what they hold.
    std::map<EndpointId, endpoint::EndpointStatus> granted;
    std::set<EndpointId> answered;
    EndpointId candidate;
    std::optional<EndpointId> preferred;
    std::vector<CallId> tickets;
  };
  enum class CallKind { kFence, kPromote, kFollow };
  struct PendingCall {
    CallKind kind = CallKind::kFence;
    GroupId group;
    EndpointId endpoint;
    Term term = 0;
  };

  void TickGroup(GroupRow* group);
  // Why the group needs another primary, or nothing.
  std::optional<std::string> ReasonToAct(const GroupRow& group) const;
  bool PrimaryFailed(const GroupRow& group) const;
  bool MajorityAgrees(const GroupRow& group) const;
  Duration TurnDelay(const GroupRow& group) const;
  void StartAttempt(GroupRow* group, const std::string& reason);
  void OnFenced(GroupRow* group, const EndpointId& endpoint,
                const std::optional<endpoint::StepResult>& result);
  void OnPromoted(GroupRow* group, const PendingCall& call,
                  const std::optional<endpoint::StepResult>& result);
  void ChooseCandidate(GroupRow* group);
  EndpointId BestOf(const GroupRow& group,
                    const std::set<EndpointId>& choices) const;
  void Abandon(GroupRow* group, const std::string& reason);
  void FinishAttempt(GroupRow* group);
  void RepairStrays(GroupRow* group);
  bool IsStray(const GroupRow& group, const EndpointRow& row) const;
  void SendFollow(GroupRow* group, EndpointRow* row);
  void Call(CallKind kind, GroupRow* group, const EndpointRow& row, Term term,
            endpoint::Step step);
  void AnswerTickets(GroupRow* group, const Result<Json::Value>& result);
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
