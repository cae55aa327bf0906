// Placement of reads under load management, when connections go through shared
// pools.
#include <algorithm>
#include <utility>

#include "Relay/connection_table.h"
#include "Relay/relay_core.h"

namespace tiller::relay {

const std::vector<EndpointId>& RelayCore::HomeOrder(
    const GroupId& group, const WorkspaceId& workspace) {
  auto known = m_homes.find(group);
  if (known == m_homes.end()) {
    std::vector<EndpointId> members;
    for (auto& member : MembersOf(group)) members.push_back(member.endpoint);
    m_outliers.SetMembers(group, members);
    std::map<WorkspaceId, double> rates;
    for (const auto& [name, entry] : m_directory->workspaces) {
      rates.emplace(name, entry.rate);
    }
    known = m_homes
                .emplace(group,
                         balance::ComputeHomes(group, MembersOf(group), rates))
                .first;
  }
  auto order = known->second.find(workspace);
  if (order == known->second.end()) {
    order = known->second
                .emplace(workspace, balance::RankMembers(
                                        group, MembersOf(group), workspace))
                .first;
  }
  return order->second;
}

std::vector<balance::GroupMember> RelayCore::MembersOf(
    const GroupId& group) const {
  const auto listed = m_directory->groups.find(group);
  std::vector<balance::GroupMember> members;
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (endpoint.group != group) continue;
    const bool primary =
        listed != m_directory->groups.end() && listed->second.primary == id;
    members.push_back({id, endpoint.slots, primary});
  }
  return members;
}

std::vector<balance::PlacementCandidate> RelayCore::PlacementCandidates(
    const Session& session, GroupPosition needed) {
  const auto& request = *session.request;
  const auto& group = session.route.group;
  const auto first_seen = m_groups[group].watermarks.FirstSeen(needed);
  const Duration age = first_seen ? Now() - *first_seen : Duration{};
  const auto* primary = PrimaryOf(group);
  struct Use {
    std::size_t held = 0;
    std::size_t in_progress = 0;
    bool ready = false;
  };
  std::map<EndpointId, Use> uses;
  for (const auto& [id, connection] : m_connections) {
    if (connection.group != group) continue;
    auto& use = uses[connection.endpoint];
    use.held += connection.pool_host_id.empty() ? 0 : 1;
    use.in_progress += connection.state == ConnectionState::kBusy ? 1 : 0;
    use.ready |= connection.state == ConnectionState::kIdle &&
                 connection.workspace == session.workspace;
  }
  std::vector<balance::PlacementCandidate> candidates;
  for (const auto& id : HomeOrder(group, session.workspace)) {
    const auto* endpoint = FindEndpoint(id);
    if (endpoint == nullptr || endpoint->leaving) continue;
    if (request.excluded.count(id) > 0) continue;
    if (m_pool_zones.Silent().count(endpoint->zone) > 0) continue;
    auto& health = HealthOf(id);
    if (health.InBackoff(Now())) continue;
    const auto judged = JudgedUse(session, id);
    if (judged == balance::OutlierDetector::Use::kNone) continue;
    const auto& use = uses[id];
    balance::PlacementCandidate candidate;
    candidate.endpoint = id;
    candidate.primary = primary != nullptr && primary->id == id;
    candidate.same_zone = endpoint->zone == m_settings.zone;
    candidate.connection_ready = use.ready;
    candidate.connection_possible =
        request.pending_connection == 0 && use.held < kMaxPooledConnections;
    candidate.in_progress = use.in_progress;
    candidate.slots = endpoint->slots;
    candidate.response_time = health.ResponseTime();
    candidate.known_fresh =
        candidate.primary ||
        (health.LastKnownPosition() && *health.LastKnownPosition() >= needed);
    candidate.likely_fresh = health.Lag() <= age;
    candidate.probe = judged == balance::OutlierDetector::Use::kProbe;
    candidate.load = m_loads.FindNewest(id, session.workspace, Now());
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

balance::OutlierDetector::Use RelayCore::JudgedUse(const Session& session,
                                                   const EndpointId& endpoint) {
  using Use = balance::OutlierDetector::Use;
  const auto& group = session.route.group;
  const auto use = m_outliers.UseForRead(group, endpoint, Now());
  if (use == Use::kNormal) return use;
  // The connection for a probe has been opened.
  const auto* pending = FindConnection(session.request->pending_connection);
  if (pending != nullptr && pending->endpoint == endpoint) return Use::kProbe;
  // A read that has failed once should not fail again.
  return session.request->attempts == 0 ? use : Use::kNone;
}

void RelayCore::RecordResult(const Connection& connection,
                             const StatementResult& result) {
  if (connection.pool_host_id.empty()) return;
  // A pool refuses with kAborted what it has not sent, because the endpoint
  // does not answer. In a transaction it may be the endpoint's own refusal.
  const bool unanswered =
      result.refusal == Refusal::kInDoubt ||
      (result.refusal == Refusal::kAborted && !connection.in_transaction);
  const bool failed = unanswered || result.refusal == Refusal::kFailed;
  if (!failed && !result.Ok()) return;
  m_outliers.Record(connection.group, connection.endpoint, failed, Now());
}

bool RelayCore::DispatchReadByPlacement(Session* session,
                                        GroupPosition needed) {
  const auto& group = session->route.group;
  auto candidates = PlacementCandidates(*session, needed);
  std::optional<EndpointId> choice;
  for (const auto& candidate : candidates) {
    if (!candidate.probe) continue;
    if (!candidate.connection_ready && !candidate.connection_possible) continue;
    if (!candidate.known_fresh && !candidate.likely_fresh) continue;
    choice = candidate.endpoint;
    m_outliers.RecordProbe(group, candidate.endpoint, Now());
  }
  if (!choice) {
    std::erase_if(candidates, [](const auto& item) { return item.probe; });
    choice = m_placement.Choose(group, session->workspace, candidates, Now());
  }
  if (!choice) return false;
  auto* connection = FindIdle(&m_connections, *choice, session->workspace);
  if (connection != nullptr) {
    AssignConnection(connection, session);
    return true;
  }
  auto& request = *session->request;
  if (request.pending_connection != 0) return false;
  request.pending_connection =
      Open(m_directory->endpoints.at(*choice), session->workspace)->id;
  return false;
}

}  // namespace tiller::relay
