// Relay: which shared pools of other hosts are used; see pool_health.h.
#include <utility>

#include "Common/log.h"
#include "Relay/connection_path.h"
#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

// Longer than a pool leaves an administrative statement waiting for a
// connection.
constexpr Milliseconds kPoolAdminTimeout{250};

}  // namespace

void RelayCore::AvoidPool(const Connection& connection,
                          const std::string& reason) {
  const auto& host = connection.pool_host_id;
  m_pools.Avoid({host, connection.endpoint, connection.workspace}, Now());
  m_counters->Add("pools_avoided");
  log::Event(log::Channel::kEndpoint, log::Level::kInfo, "pool_avoided",
             {{"host", host}, {"detail", reason}});
  // The host may be frozen or cut off, so idle connections through it are not
  // usable either.
  std::vector<ConnectionId> idle;
  for (const auto& [id, other] : m_connections) {
    if (other.pool_host_id != host) continue;
    if (other.state == ConnectionState::kIdle) idle.push_back(id);
  }
  for (const auto id : idle) CloseAndRemove(id);
}

// A statement that waits for an endpoint says nothing about the pool.
void RelayCore::OnPoolStepOverdue(const Connection& connection,
                                  const std::string& reason) {
  if (m_pools.IsSilent(connection, m_ticks.OnTimeSince(Now()))) {
    return AvoidPool(connection, reason);
  }
  m_counters->Add("pool_steps_overdue");
  if (connection.step == Step::kAdmin &&
      Now() - connection.step_sent < kPoolAdminTimeout) {
    m_counters->Add("admin_waited_in_pool");
  }
}

void RelayCore::ProbePools() {
  const auto on_time_since = m_ticks.OnTimeSince(Now());
  std::vector<PoolHealth::Trial> probes;
  for (const auto* waiting :
       m_pools.PoolsToProbe(m_connections, on_time_since, Now())) {
    probes.push_back(
        {waiting->pool_host_id, waiting->endpoint, waiting->workspace});
  }
  for (const auto& probe : probes) {
    m_counters->Add("pool_probes");
    Connection* idle = nullptr;
    for (auto& [id, connection] : m_connections) {
      if (connection.pool_host_id != probe.host) continue;
      if (connection.state == ConnectionState::kIdle) idle = &connection;
    }
    if (idle == nullptr) {
      OpenForTrial(probe);
      continue;
    }
    idle->state = ConnectionState::kBusy;
    Send(idle, Step::kRollback, {Verb::kRollback, "", "", ""},
         PoolAnswerTimeout(m_random));
  }
  for (const auto& trial : m_pools.TakeDueTrials(Now())) {
    m_counters->Add("pool_trials");
    // A host that has gone gives up its seat.
    if (!OpenForTrial(trial)) m_pools.EndAvoidance(trial.host);
  }
}

std::optional<PoolHost> RelayCore::PoolFor(const Endpoint& endpoint,
                                           const WorkspaceId& workspace) const {
  return ChoosePool(endpoint, workspace, m_seats, m_pools.Avoided(), Now(),
                    m_pool_zones.Silent());
}

void RelayCore::RecordPoolAnswer(const Connection& connection) {
  m_pools.RecordAnswer(connection.pool_host_id, Now());
  if (!m_pool_zones.RecordAnswer(connection.pool_zone, Now())) return;
  log::Event(log::Channel::kEndpoint, log::Level::kInfo, "pool_zone_answers",
             {{"zone", connection.pool_zone}});
}

bool RelayCore::OpenForTrial(const PoolHealth::Trial& trial) {
  const auto* endpoint = FindEndpoint(trial.endpoint);
  const auto pool_host = FindPool(trial.host, m_seats);
  if (endpoint == nullptr || !pool_host || !IsPooled(endpoint->group)) {
    return false;
  }
  OpenThrough(*endpoint, trial.workspace, pool_host);
  return true;
}

}  // namespace tiller::relay
