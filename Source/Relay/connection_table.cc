// Implementation of the connection queries.
#include "Relay/connection_table.h"

#include <algorithm>

namespace tiller::relay {

Connection* FindIdle(ConnectionTable* connections, const EndpointId& endpoint,
                     const WorkspaceId& workspace) {
  Connection* best = nullptr;
  for (auto& [id, connection] : *connections) {
    if (connection.state != ConnectionState::kIdle) continue;
    if (connection.endpoint != endpoint) continue;
    if (connection.workspace != workspace) continue;
    if (best == nullptr || connection.idle_since > best->idle_since) {
      best = &connection;
    }
  }
  return best;
}

Connection* FindIdleOfAny(ConnectionTable* connections,
                          const EndpointId& endpoint) {
  Connection* best = nullptr;
  for (auto& [id, connection] : *connections) {
    if (connection.state != ConnectionState::kIdle) continue;
    if (connection.endpoint != endpoint) continue;
    if (best == nullptr || connection.idle_since > best->idle_since) {
      best = &connection;
    }
  }
  return best;
}

std::optional<ConnectionId> LongestIdle(const ConnectionTable& connections,
                                        const EndpointId& endpoint) {
  const Connection* oldest = nullptr;
  for (const auto& [id, connection] : connections) {
    if (connection.endpoint != endpoint) continue;
    if (connection.state != ConnectionState::kIdle) continue;
    if (oldest == nullptr || connection.idle_since < oldest->idle_since) {
      oldest = &connection;
    }
  }
  if (oldest == nullptr) return std::nullopt;
  return oldest->id;
}

std::vector<const Connection*> IdleNewestFirst(
    const ConnectionTable& connections) {
  std::vector<const Connection*> idle;
  for (const auto& [id, connection] : connections) {
    if (connection.state == ConnectionState::kIdle) idle.push_back(&connection);
  }
  std::sort(idle.begin(), idle.end(), [](const auto* a, const auto* b) {
    return a->idle_since > b->idle_since;
  });
  return idle;
}

std::vector<ConnectionId> ObsoleteIdleConnections(
    const ConnectionTable& connections, const Directory* before,
    const Directory& now) {
  std::vector<ConnectionId> obsolete;
  for (const auto& [id, connection] : connections) {
    if (connection.state != ConnectionState::kIdle) continue;
    const auto listed = now.endpoints.find(connection.endpoint);
    bool unusable = listed == now.endpoints.end() ||
                    (listed->second.leaving && !listed->second.primary);
    if (!unusable && before != nullptr) {
      const auto old = before->endpoints.find(connection.endpoint);
      unusable =
          old != before->endpoints.end() &&
          old->second.process_start_ms != listed->second.process_start_ms;
    }
    if (unusable) obsolete.push_back(id);
  }
  return obsolete;
}

std::vector<ConnectionId> OverdueConnections(const ConnectionTable& connections,
                                             Instant now) {
  std::vector<ConnectionId> overdue;
  for (const auto& [id, connection] : connections) {
    const bool working = connection.state == ConnectionState::kBusy ||
                         connection.state == ConnectionState::kOpening;
    if (working && connection.step_deadline <= now) overdue.push_back(id);
  }
  return overdue;
}

}  // namespace tiller::relay
