// This host's connections to endpoints: opened within the host's share of
// each endpoint's limit, owned by one user at a time, never reused in doubt.
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
  // Number of the exchange in progress or last finished.
  Generation generation = 0;
  // Owner while busy: a request, or a probe or reset when 0.
  RequestId request = 0;
  bool probing = false;
  bool resetting = false;
  // Set while an interactive transaction owns the connection; it is then
  // never handed to another request.
  std::string transaction;
  Instant since;  // of the current state
  Instant exchange_sent;
};

class ConnectionPool {
 public:
  // Connections that this host may hold to an endpoint, from its seats.
  void Update(const config::Config& config, const limits::SeatView& seats);

  // Takes an idle connection; nothing when there is none.
  Connection* TakeIdle(const EndpointId& endpoint);
  // Starts another connection if the share and the back-off allow it.
  std::optional<OpenConnection> Grow(const EndpointId& endpoint,
                                     const std::string& address, Instant now);

  Connection* Find(ConnectionId id);
  void OnOpened(Connection* connection, Instant now);
  // Forgets a connection; `failed` delays the next attempt.
  void Forget(ConnectionId id, bool failed, Instant now);
  void MarkIdle(Connection* connection, Instant now);

  // Idle connections of `endpoint`.
  std::vector<ConnectionId> IdleOf(const EndpointId& endpoint) const;
  std::size_t CountOf(const EndpointId& endpoint) const;
  std::size_t BusyOf(const EndpointId& endpoint) const;
  std::size_t PinnedOf(const EndpointId& endpoint) const;
  int LimitOf(const EndpointId& endpoint) const;
  std::unordered_map<ConnectionId, Connection>& All() { return m_connections; }

 private:
  struct Lane {
    int limit = 0;
    std::vector<ConnectionId> idle;  // last used at the back
    std::size_t count = 0;           // in every state
    int failures = 0;
    Instant retry_at{};
  };

  ConnectionId m_next_id = 1;
  std::unordered_map<ConnectionId, Connection> m_connections;
  std::unordered_map<EndpointId, Lane> m_lanes;
};

// Part of an endpoint's connections that is kept for control commands.
int ReservedConnections(int connections);
// Connections that `held` seats out of all may open to one endpoint.
int ConnectionShare(int connections, const limits::SeatView& seats);

}  // namespace tiller::traffic
