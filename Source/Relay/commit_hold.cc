// Relay: holds of commits. While another host replaces the primary, commits are
// neither sent nor passed on.
#include <algorithm>

#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

// Answers to commits that were sent before a hold are awaited for this long.
constexpr Milliseconds kCommitAnswerTime{100};
// Unless the primary has not answered for this long.
constexpr Milliseconds kSilentPrimary{100};

}  // namespace

void RelayCore::On(const HoldCommits& event) {
  auto& hold = m_groups[event.group].hold;
  if (event.token < hold.token) return;
  if (event.token > hold.token) {
    const bool continued = hold.active && (hold.reported || hold.continued);
    hold = {};
    hold.token = event.token;
    hold.active = true;
    hold.since = Now();
    hold.continued = continued;
  }
  if (!event.target.empty()) hold.target = event.target;
  if (event.released) {
    hold.active = false;
    hold.released = true;
  }
  EndHoldIfTargetLeads(event.group);
  ReportHold(event.group);
  if (!IsHeld(event.group)) DispatchWaiting(event.group);
}

void RelayCore::EndHoldIfTargetLeads(const GroupId& group) {
  auto& hold = m_groups[group].hold;
  if (!hold.active || hold.target.empty() || !m_directory) return;
  const auto row = m_directory->groups.find(group);
  if (row == m_directory->groups.end()) return;
  if (row->second.primary == hold.target) hold.active = false;
}

bool RelayCore::IsHeld(const GroupId& group) const {
  const auto state = m_groups.find(group);
  return state != m_groups.end() && state->second.hold.active;
}

bool RelayCore::HasCommitInProgress(const GroupId& group) {
  for (const auto& commit : m_unconfirmed_commits) {
    if (commit.group == group) return true;
  }
  return std::any_of(
      m_connections.begin(), m_connections.end(), [&](const auto& item) {
        const auto& connection = item.second;
        if (connection.group != group || connection.step != Step::kUser) {
          return false;
        }
        const auto* session = FindSession(connection.session_id);
        return session != nullptr && session->request &&
               session->request->connection == item.first && Commits(*session);
      });
}

void RelayCore::ReportHold(const GroupId& group) {
  auto& state = m_groups[group];
  auto& hold = state.hold;
  if (!hold.active || hold.reported) return;
  const bool awaits_answers = Now() - hold.since < kCommitAnswerTime &&
                              state.silent_for < kSilentPrimary &&
                              HasCommitInProgress(group);
  if (awaits_answers) return;
  hold.reported = true;
  m_actions.push_back(CommitsHeld{group, hold.token, state.acknowledged});
}

}  // namespace tiller::relay
