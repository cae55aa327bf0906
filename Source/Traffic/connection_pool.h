// This host's connections to endpoints. The host opens connections only within
// its share of each endpoint's limit. A connection has one owner at a time and
// is never reused if its state is uncertain.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Config/config.h"
#include "Limits/seat_view.h"
#include "Traffic/traffic_messages.h"

namespace tiller::traffic {

enum class ConnectionState { kOpening, kIdle, kBusy };

struct Connection {
  ConnectionId id = 0;
  EndpointId endpoint;
  ConnectionState state = ConnectionState::kOpening;
  // Sequence number of the current or the last exchange.
  Generation generation = 0;
  // Request that uses the connection; 0 while the connection is idle, runs a
  // probe or a reset, or waits for the next call of a transaction.
  RequestId request = 0;
  bool probing = false;
  bool resetting = false;
  // Id of the interactive transaction that owns the connection, if any. Such a
  // pinned connection is never given to other requests.
  std::string transaction;
  // When the connection last became idle, also within a transaction. Until it
  // is first idle: when its opening started.
  Instant idle_since;
  Instant exchange_sent_at;
};

class ConnectionPool {
 public:
  // Recomputes the connection limit of each endpoint from the seats that this
  // host holds.
  void Update(const config::Config& config, const limits::SeatView& seats);

  // Marks an idle connection as busy and returns it; nullptr if there is none.
  Connection* TakeIdle(const EndpointId& endpoint);
  // Registers a new connection and returns the action that opens it; nothing if
  // the connection limit is reached or the endpoint is in reopen backoff.
  std::optional<OpenConnection> TryOpen(const EndpointId& endpoint,
                                        const std::string& address,
                                        Instant now);

  Connection* Find(ConnectionId id);
  void OnOpened(Connection* connection, Instant now);
  // Removes a connection from the pool; `failed` starts or extends the backoff
  // before the next one is opened to the same endpoint.
  void RemoveConnection(ConnectionId id, bool failed, Instant now);
  void MarkIdle(Connection* connection, Instant now);

  // Connections to `endpoint`. Pinned ones belong to interactive transactions.
  std::vector<ConnectionId> IdleConnections(const EndpointId& endpoint) const;
  std::size_t ConnectionCount(const EndpointId& endpoint) const;
  std::size_t BusyCount(const EndpointId& endpoint) const;
  std::size_t PinnedCount(const EndpointId& endpoint) const;
  int ConnectionLimit(const EndpointId& endpoint) const;
  std::unordered_map<ConnectionId, Connection>& All() { return m_connections; }

 private:
  struct EndpointPool {
    int limit = 0;
    std::vector<ConnectionId> idle;  // most recently used last
    std::size_t count = 0;           // in all states
    int failures = 0;                // since the last successful open
    Instant retry_at{};              // no connection is opened before this
  };

  ConnectionId m_next_id = 1;
  std::unordered_map<ConnectionId, Connection> m_connections;
  std::unordered_map<EndpointId, EndpointPool> m_endpoint_pools;
};

// Number of an endpoint's connections that are reserved for control commands.
int ReservedConnections(int connections);
// Number of connections that the holder of `seats.held` may open to one
// endpoint. `connections` is the endpoint's limit over all hosts, including the
// reserved connections.
int ConnectionShare(int connections, const limits::SeatView& seats);

}  // namespace tiller::traffic
