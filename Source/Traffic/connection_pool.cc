// Connection pool: limits per endpoint, idle connections and reopen backoff.
#include "Traffic/connection_pool.h"

#include <algorithm>
#include <utility>

namespace tiller::traffic {
namespace {

constexpr int kMinReserved = 2;
constexpr int kReservedDivisor = 10;
constexpr Milliseconds kInitialReopenDelay{50};
constexpr int kMaxReopenDoublings = 4;

}  // namespace

int ReservedConnections(int connections) {
  return std::min(connections - 1,
                  std::max(kMinReserved, connections / kReservedDivisor));
}

int ConnectionShare(int connections, const limits::SeatView& seats) {
  const auto seat_count = static_cast<int>(seats.zones.size());
  if (seat_count == 0) return 0;
  const int shared = connections - ReservedConnections(connections);
  int share = 0;
  // Connection number n belongs to seat n modulo seat_count.
  for (const int seat : seats.held) {
    share += shared / seat_count + (seat < shared % seat_count ? 1 : 0);
  }
  return share;
}

void ConnectionPool::Update(const config::Config& config,
                            const limits::SeatView& seats) {
  for (auto& [endpoint, pool] : m_endpoint_pools) pool.limit = 0;
  for (const auto& group : config.groups) {
    const int share = ConnectionShare(group.connections, seats);
    for (const auto& endpoint : group.endpoints) {
      m_endpoint_pools[endpoint.name].limit = share;
    }
  }
}

Connection* ConnectionPool::TakeIdle(const EndpointId& endpoint) {
  auto& pool = m_endpoint_pools[endpoint];
  while (!pool.idle.empty()) {
    auto* connection = Find(pool.idle.back());
    pool.idle.pop_back();
    if (connection == nullptr) continue;
    connection->state = ConnectionState::kBusy;
    return connection;
  }
  return nullptr;
}

std::optional<OpenConnection> ConnectionPool::TryOpen(
    const EndpointId& endpoint, const std::string& address, Instant now) {
  auto& pool = m_endpoint_pools[endpoint];
  if (static_cast<int>(pool.count) >= pool.limit || now < pool.retry_at) {
    return std::nullopt;
  }
  const auto id = m_next_id++;
  Connection connection;
  connection.id = id;
  connection.endpoint = endpoint;
  connection.idle_since = now;
  m_connections.emplace(id, std::move(connection));
  ++pool.count;
  return OpenConnection{id, endpoint, address};
}

Connection* ConnectionPool::Find(ConnectionId id) {
  const auto it = m_connections.find(id);
  return it == m_connections.end() ? nullptr : &it->second;
}

void ConnectionPool::OnOpened(Connection* connection, Instant now) {
  m_endpoint_pools[connection->endpoint].failures = 0;
  MarkIdle(connection, now);
}

void ConnectionPool::MarkIdle(Connection* connection, Instant now) {
  connection->state = ConnectionState::kIdle;
  connection->request = 0;
  connection->probing = false;
  connection->resetting = false;
  connection->transaction.clear();
  connection->idle_since = now;
  m_endpoint_pools[connection->endpoint].idle.push_back(connection->id);
}

void ConnectionPool::RemoveConnection(ConnectionId id, bool failed,
                                      Instant now) {
  const auto it = m_connections.find(id);
  if (it == m_connections.end()) return;
  auto& pool = m_endpoint_pools[it->second.endpoint];
  std::erase(pool.idle, id);
  --pool.count;
  if (failed) {
    const int doublings = std::min(pool.failures++, kMaxReopenDoublings);
    pool.retry_at = now + kInitialReopenDelay * (1 << doublings);
  }
  m_connections.erase(it);
}

std::vector<ConnectionId> ConnectionPool::IdleConnections(
    const EndpointId& endpoint) const {
  const auto it = m_endpoint_pools.find(endpoint);
  return it == m_endpoint_pools.end() ? std::vector<ConnectionId>{}
                                      : it->second.idle;
}

std::size_t ConnectionPool::ConnectionCount(const EndpointId& endpoint) const {
  const auto it = m_endpoint_pools.find(endpoint);
  return it == m_endpoint_pools.end() ? 0 : it->second.count;
}

std::size_t ConnectionPool::BusyCount(const EndpointId& endpoint) const {
  const auto it = m_endpoint_pools.find(endpoint);
  return it == m_endpoint_pools.end()
             ? 0
             : it->second.count - it->second.idle.size();
}

std::size_t ConnectionPool::PinnedCount(const EndpointId& endpoint) const {
  return static_cast<std::size_t>(std::count_if(
      m_connections.begin(), m_connections.end(), [&](const auto& item) {
        return item.second.endpoint == endpoint &&
               !item.second.transaction.empty();
      }));
}

int ConnectionPool::ConnectionLimit(const EndpointId& endpoint) const {
  const auto it = m_endpoint_pools.find(endpoint);
  return it == m_endpoint_pools.end() ? 0 : it->second.limit;
}

}  // namespace tiller::traffic
