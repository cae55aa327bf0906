// Relay: commits that a change of primary may discard are not passed on.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Common/names.h"
#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

// A commit is in doubt if no endpoint of another zone answers for this long.
constexpr Milliseconds kContactTimeout{600};
// Time between probes of other zones while commits wait for an answer.
constexpr Milliseconds kConfirmInterval{10};
constexpr char kRefusedText[] =
    "primary may have been replaced, retry after 500 ms";

}  // namespace

// - A promotion discards commits that its target lacks when it takes effect.
//   The host that replaces the primary asks for a hold before that.
// - A commit at a primary in a zone that is cut off may have been acknowledged
//   by a replica in the zone alone. Hosts outside do not know of one that has
//   just started, and leave out one that has been missing for long.
// - A host that asked for no hold here, since the zone was cut off, may have
//   called a promotion that takes effect only after the primary has answered
//   again.
RelayCore::CommitRisk RelayCore::RiskOfCommit(const GroupId& group) const {
  const auto found = m_directory->groups.find(group);
  if (found == m_directory->groups.end() || !found->second.synchronous) {
    return CommitRisk::kNone;
  }
  const auto now = Now();
  const auto state = m_groups.find(group);
  if (state != m_groups.end()) {
    const auto& observed = state->second;
    if (observed.hold.active &&
        (observed.hold.reported || observed.hold.continued)) {
      return CommitRisk::kHeld;
    }
    if (observed.silent_for >= kReplaceableAfter ||
        now < observed.primary_uncertain_until) {
      return CommitRisk::kPrimaryUncertain;
    }
  }
  if (now >= m_commits_until) return CommitRisk::kNoLease;
  if (m_isolated && m_zone_contact.SilentFor(now) > Duration{}) {
    return CommitRisk::kZoneIsolated;
  }
  if (!m_isolated && now >= m_primary_uncertain_until) return CommitRisk::kNone;
  if (InOtherZone(found->second.primary)) return CommitRisk::kNone;
  return m_isolated ? CommitRisk::kZoneIsolated : CommitRisk::kPrimaryUncertain;
}

void RelayCore::LogRisk(const GroupId& group) {
  const auto risk = NameOf(kCommitRiskNames, RiskOfCommit(group));
  auto& logged = m_groups[group].logged_risk;
  if (logged.empty()) logged = NameOf(kCommitRiskNames, CommitRisk::kNone);
  if (risk == logged) return;
  logged = risk;
  log::Event(log::Channel::kFailover, log::Level::kInfo, "commit_risk",
             {{"group", group}, {"risk", std::string(risk)}});
}

void RelayCore::MarkInDoubt(const std::string& request, const GroupId& group,
                            CommitRisk risk, StatementResult* answer) {
  const std::string name(NameOf(kCommitRiskNames, risk));
  m_counters->Add("in_doubt_" + name);
  log::Event(log::Channel::kTraffic, log::Level::kInfo, "commit_in_doubt",
             {{"request", request},
              {"group", group},
              {"position", answer->position ? TextOf(*answer->position) : ""},
              {"reason", name}});
  answer->refusal = Refusal::kInDoubt;
  answer->text = "primary may have been replaced, the commit may be lost";
}

// An endpoint that is not listed may be in this zone.
bool RelayCore::NeedsContact(const EndpointId& endpoint,
                             const GroupId& group) const {
  const auto found = m_directory->groups.find(group);
  if (found == m_directory->groups.end() || !found->second.synchronous) {
    return false;
  }
  if (InOtherZone(endpoint)) return false;
  return std::any_of(m_directory->endpoints.begin(),
                     m_directory->endpoints.end(),
                     [&](const auto& item) { return InOtherZone(item.first); });
}

RelayCore::CommitRisk RelayCore::RiskOfAnswer(const EndpointId& endpoint,
                                              const GroupId& group,
                                              Instant sent) const {
  const auto risk = RiskOfCommit(group);
  const auto found = m_directory->groups.find(group);
  if (risk != CommitRisk::kNone || found == m_directory->groups.end() ||
      !found->second.synchronous) {
    return risk;
  }
  const auto& primary = found->second.primary;
  if (!primary.empty() && primary != endpoint) {
    return CommitRisk::kPrimaryReplaced;
  }
  const auto state = m_groups.find(group);
  if (state == m_groups.end()) return CommitRisk::kNone;
  const auto& hold = state->second.hold;
  const bool held_since =
      hold.token > 0 && !hold.released && !hold.active && sent < hold.since;
  return held_since ? CommitRisk::kPrimaryReplaced : CommitRisk::kNone;
}

void RelayCore::AnswerCommit(Session* session, const EndpointId& endpoint,
                             const GroupId& group, Instant sent,
                             StatementResult answer) {
  auto& request = *session->request;
  const auto risk = RiskOfAnswer(endpoint, group, sent);
  if (risk == CommitRisk::kNone && NeedsContact(endpoint, group)) {
    m_counters->Add("commits_unconfirmed");
    m_unconfirmed_commits.push_back({session->id, request.id, endpoint, group,
                                     sent, std::move(answer), Now()});
    request.connection = 0;
    return RequestContact(kConfirmInterval);
  }
  if (risk != CommitRisk::kNone) {
    MarkInDoubt(request.id, group, risk, &answer);
  }
  FinishRequest(session, std::move(answer));
}

void RelayCore::ConfirmCommits(std::optional<Instant> asked_at) {
  for (auto& commit : std::exchange(m_unconfirmed_commits, {})) {
    auto* session = FindSession(commit.session);
    if (session == nullptr || !session->request) continue;
    if (session->request->id != commit.request) continue;
    auto risk = RiskOfAnswer(commit.endpoint, commit.group, commit.sent);
    const bool contact = asked_at && *asked_at >= commit.since;
    const bool overdue = Now() - commit.since >= kContactTimeout ||
                         Now() >= session->request->deadline;
    if (risk == CommitRisk::kNone && !contact && !overdue) {
      m_unconfirmed_commits.push_back(std::move(commit));
      continue;
    }
    if (risk == CommitRisk::kNone && !contact) risk = CommitRisk::kZoneIsolated;
    if (risk != CommitRisk::kNone) {
      MarkInDoubt(commit.request, commit.group, risk, &commit.answer);
    }
    FinishRequest(session, std::move(commit.answer));
  }
  if (!m_unconfirmed_commits.empty()) RequestContact(kConfirmInterval);
}

void RelayCore::RefuseCommit(Session* session, CommitRisk risk) {
  m_counters->Add("refused_" + std::string(NameOf(kCommitRiskNames, risk)));
  if (session->state == TxState::kOpen) {
    return RefuseInTransaction(session, Refusal::kAborted,
                               "primary may have been replaced, transaction "
                               "was rolled back");
  }
  Refuse(session, Refusal::kBusy, kRefusedText);
}

}  // namespace tiller::relay
