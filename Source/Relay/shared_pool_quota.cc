// The shared pool's connections under load management: they follow the demand
// of the workspaces within the pool's part of the endpoint's connections.
#include <algorithm>
#include <chrono>
#include <map>
#include <tuple>
#include <utility>

#include "Common/log.h"
#include "Common/names.h"
#include "Relay/shared_pool.h"

namespace tiller::relay {
namespace {

// Opening a connection takes a few round trips and 12 ms in a slot. One that
// takes longer has probably been lost and keeps no others from being opened.
constexpr Milliseconds kOpeningCounted{100};
// Idle connections beyond what the pool keeps are closed after this time. In a
// replay with a hot workspace, 500 ms saved no connections but quintupled the
// refusals at the limit.
constexpr Milliseconds kIdleTimeout{200};
// Idle connections are checked less often than on each tick, since a host keeps
// up to hundreds.
constexpr Milliseconds kTrimInterval{100};

}  // namespace

std::vector<balance::IdleConnection> SharedPool::IdleByDemand(
    const std::vector<const Connection*>& connections) const {
  std::map<WorkspaceId, std::size_t> held;
  for (const auto* connection : connections) ++held[connection->workspace];
  std::vector<balance::IdleConnection> idle;
  for (const auto* connection : connections) {
    if (connection->state != ConnectionState::kIdle) continue;
    const double rate =
        m_demand.Rate(connection->endpoint, connection->workspace, Now());
    idle.push_back(
        {connection->id,
         balance::DemandForLast(rate, held.at(connection->workspace)),
         connection->idle_since});
  }
  return idle;
}

bool SharedPool::OpenByDemand(const PoolSession& session,
                              const Endpoint& endpoint) {
  const auto& quota = m_quotas[endpoint.id];
  if (quota.MustWait(Now())) return false;
  balance::ConnectionUse use;
  use.part = m_shares.PartOf(endpoint, *m_directory);
  use.slots = endpoint.slots;
  use.waited = Now() - session.arrived;
  std::vector<const Connection*> held;
  for (const auto& [id, connection] : m_connections) {
    if (connection.endpoint != endpoint.id) continue;
    held.push_back(&connection);
    const bool own = connection.workspace == session.workspace;
    if (connection.state == ConnectionState::kOpening) {
      use.opening += Now() - connection.step_sent < kOpeningCounted ? 1 : 0;
      use.workspace_opening += own ? 1 : 0;
    }
    if (connection.state == ConnectionState::kBusy && own &&
        !connection.in_transaction) {
      ++use.workspace_running;
    }
  }
  use.held = held.size();
  use.workspace_waiting = static_cast<std::size_t>(std::count_if(
      m_sessions.begin(), m_sessions.end(), [&](const auto& item) {
        const auto& other = item.second;
        return other.pending && other.connection == 0 &&
               other.endpoint == endpoint.id &&
               other.workspace == session.workspace;
      }));
  if (use.held >= use.part.held) {
    use.least_wanted = balance::LeastWanted(IdleByDemand(held));
    const auto of_workspace =
        std::count_if(held.begin(), held.end(), [&](const auto* connection) {
          return connection->workspace == session.workspace;
        });
    use.demand = balance::DemandForLast(
        m_demand.Rate(endpoint.id, session.workspace, Now()),
        static_cast<std::size_t>(of_workspace) + 1);
  }
  const auto decision = quota.Decide(use, Now());
  m_counters->Add("pool_open_" +
                  std::string(NameOf(balance::kOpenDecisionNames, decision)));
  if (decision == balance::OpenDecision::kWait) return false;
  if (decision == balance::OpenDecision::kReplace) {
    m_counters->Add("pool_connections_evicted");
    CloseAndRemove(use.least_wanted->id);
  }
  StartOpening(session, endpoint);
  return true;
}

void SharedPool::RecordConnectionAccepted(const Connection& connection) {
  const auto* endpoint = FindEndpoint(connection.endpoint);
  if (endpoint == nullptr) return;
  const auto& part = m_shares.PartOf(*endpoint, *m_directory);
  const auto held = std::count_if(
      m_connections.begin(), m_connections.end(), [&](const auto& item) {
        return item.second.endpoint == connection.endpoint;
      });
  m_quotas[connection.endpoint].RecordOpened(static_cast<std::size_t>(held) >
                                             part.held);
}

void SharedPool::RecordConnectionRefused(const EndpointId& endpoint,
                                         Refusal refusal) {
  auto& quota = m_quotas[endpoint];
  if (refusal == Refusal::kNone || refusal == Refusal::kMisrouted) {
    return quota.RecordUnreachable(Now());
  }
  const bool known = quota.AtLimit(Now());
  quota.RecordRefused(Now());
  if (known) return;
  m_counters->Add("pool_endpoints_at_limit");
  log::Event(log::Channel::kEndpoint, log::Level::kInfo, "endpoint_at_limit",
             {{"endpoint", endpoint},
              {"backoff_ms", log::MillisecondsText(quota.BorrowAt() - Now())}});
}

// Closes the idle connections of the least demand at endpoints of which the
// pool holds more than it keeps.
void SharedPool::TrimByDemand() {
  if (Now() < m_next_trim) return;
  m_next_trim = Now() + kTrimInterval;
  m_demand.ForgetIdle(Now());
  std::map<EndpointId, std::vector<const Connection*>> held;
  for (const auto& [id, connection] : m_connections) {
    held[connection.endpoint].push_back(&connection);
  }
  std::vector<ConnectionId> surplus;
  for (const auto& [id, connections] : held) {
    const auto* endpoint = FindEndpoint(id);
    const auto kept =
        endpoint == nullptr ? 0 : m_shares.PartOf(*endpoint, *m_directory).kept;
    if (connections.size() <= kept) continue;
    auto excess = connections.size() - kept;
    auto idle = IdleByDemand(connections);
    std::sort(idle.begin(), idle.end(), [](const auto& a, const auto& b) {
      return std::tie(a.demand, a.idle_since) <
             std::tie(b.demand, b.idle_since);
    });
    for (const auto& connection : idle) {
      if (excess == 0) break;
      if (Now() - connection.idle_since < kIdleTimeout) continue;
      surplus.push_back(connection.id);
      --excess;
    }
  }
  for (const auto id : surplus) {
    m_counters->Add("pool_connections_trimmed");
    CloseAndRemove(id);
  }
}

}  // namespace tiller::relay
