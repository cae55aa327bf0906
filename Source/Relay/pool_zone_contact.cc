// Relay: zones whose shared pools do not answer; see pool_zones.h.
#include <set>

#include "Common/log.h"
#include "Relay/relay_core.h"

namespace tiller::relay {

// A host's own zone is not judged: without it, the host serves nobody.
void RelayCore::CheckPoolZones() {
  if (!m_settings.load_management) return;
  std::vector<PoolZones::Unanswered> requests;
  for (const auto& [id, connection] : m_connections) {
    if (connection.pool_host_id.empty()) continue;
    if (connection.pool_zone == m_settings.zone) continue;
    if (connection.state != ConnectionState::kBusy &&
        connection.state != ConnectionState::kOpening) {
      continue;
    }
    requests.push_back({connection.pool_host_id, connection.pool_zone,
                        connection.step_sent, IsAnsweredByPool(connection)});
  }
  const auto decision = m_pool_zones.Update(requests, m_pools_by_zone,
                                            m_ticks.OnTimeSince(Now()), Now());
  for (const auto& zone : decision.silent) LeavePoolZone(zone);
  for (const auto& [zone, count] : decision.probes) ProbePoolZone(zone, count);
}

// Asks random pools: the same ones each time might be those that are slow.
void RelayCore::ProbePoolZone(const ZoneId& zone, std::size_t count) {
  std::set<HostId> asked;
  std::map<HostId, Connection*> idle;
  for (auto& [id, connection] : m_connections) {
    if (connection.pool_zone != zone) continue;
    if (connection.state == ConnectionState::kIdle) {
      idle[connection.pool_host_id] = &connection;
    } else if (IsAnsweredByPool(connection)) {
      asked.insert(connection.pool_host_id);
    }
  }
  std::vector<HostId> pools;
  for (const int seat : PoolSeats(zone, m_seats, {}, Now())) {
    const auto index = static_cast<std::size_t>(seat);
    if (m_seats.zones[index] != zone) return;
    const auto& host = m_seats.holders[index];
    if (asked.count(host) == 0) pools.push_back(host);
  }
  for (; count > 0 && !pools.empty(); --count) {
    const auto pick = pools.begin() + static_cast<std::ptrdiff_t>(
                                          m_random->UniformBelow(pools.size()));
    const auto found = idle.find(*pick);
    if (found == idle.end()) {
      OpenForProbe(*pick);
    } else {
      m_counters->Add("pool_zone_probes");
      found->second->state = ConnectionState::kBusy;
      Send(found->second, Step::kRollback, {Verb::kRollback, "", "", ""},
           PoolAnswerTimeout(m_random));
    }
    pools.erase(pick);
  }
}

// A pool accepts the opening for any endpoint, and does not connect to it.
void RelayCore::OpenForProbe(const HostId& host) {
  if (m_directory->workspaces.empty()) return;
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (!IsPooled(endpoint.group)) continue;
    if (OpenForTrial({host, id, m_directory->workspaces.begin()->first})) {
      m_counters->Add("pool_zone_probes");
    }
    return;
  }
}

void RelayCore::LeavePoolZone(const ZoneId& zone) {
  m_counters->Add("pool_zones_silent");
  log::Event(log::Channel::kEndpoint, log::Level::kWarn, "pool_zone_silent",
             {{"zone", zone}});
  std::vector<ConnectionId> idle;
  for (auto& [id, connection] : m_connections) {
    if (connection.pool_zone != zone) continue;
    if (connection.state == ConnectionState::kIdle) idle.push_back(id);
    if (connection.state != ConnectionState::kBusy) continue;
    if (connection.step != Step::kUser || connection.in_transaction) continue;
    const auto* session = FindSession(connection.session_id);
    if (session == nullptr || !session->request) continue;
    if (IsWrite(*session, session->request->statement)) continue;
    connection.step_deadline = Now();
  }
  for (const auto id : idle) CloseAndRemove(id);
  // What waits for a connection to the zone opens another one.
  for (auto& [id, session] : m_sessions) {
    if (!session.request) continue;
    const auto* opening = FindConnection(session.request->pending_connection);
    if (opening == nullptr || opening->pool_zone != zone) continue;
    session.request->pending_connection = 0;
  }
}

}  // namespace tiller::relay
