// Connections to endpoints that this host keeps for all hosts. No I/O.
//
// Load pattern: an endpoint accepts fewer connections than there are hosts and
// workspaces, and a connection serves one workspace only. Divided over the
// hosts, each would hold less than one, and almost every operation would have
// to open its own. Instead, one host keeps the connections of a workspace to an
// endpoint, and the others reach it as if it were that endpoint. A session of
// such a host occupies a connection only while it runs a statement or has a
// transaction open.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Relay/endpoint_health.h"
#include "Relay/relay_messages.h"
#include "Relay/relay_state.h"

namespace tiller::relay {

class SharedPool {
 public:
  SharedPool(const Clock* clock, Counters* counters)
      : m_clock(clock), m_counters(counters) {}

  void Handle(const PoolEvent& event);
  std::vector<PoolAction> TakeActions();
  std::size_t SessionCount() const { return m_sessions.size(); }
  std::size_t ConnectionCount() const { return m_connections.size(); }

 private:
  struct PoolSession {
    SessionId id = 0;
    EndpointId endpoint;
    WorkspaceId workspace;
    std::map<std::string, std::string> options;
    std::map<std::string, PreparedStatement> prepared;
    TxState state = TxState::kIdle;
    // Occupied from a statement's start until no transaction is open.
    ConnectionId connection = 0;
    std::optional<StatementReceived> pending;
    Instant arrived;  // of the pending statement
    Instant last_active;
  };

  void On(const PoolSessionOpened& event);
  void On(const StatementReceived& event);
  void On(const SessionClosed& event);
  void On(const ConnectionOpened& event);
  void On(const ConnectionRefused& event);
  void On(const ConnectionLost& event);
  void On(const StatementDone& event);
  void On(const DirectoryChanged& event);
  void On(const SeatsChanged& event);
  void On(const DrainStarted& event);
  void On(const TimerFired& event);

  // Returns true if the statement concerns the session alone.
  bool HandleLocal(PoolSession* session, const Statement& statement);
  void Place(PoolSession* session);
  void Advance(Connection* connection, PoolSession* session);
  void OnUserResult(Connection* connection, const StatementResult& result);
  void Send(Connection* connection, Step step, SendStatement action,
            Duration limit);
  void Release(Connection* connection);
  void Pump(const EndpointId& endpoint);
  void Answer(PoolSession* session, StatementResult result);
  void Refuse(PoolSession* session, Refusal refusal, const std::string& reason);
  void EndSession(SessionId id);
  void LoseConnection(ConnectionId id, bool silent, const std::string& reason);
  void CloseConnectionOf(ConnectionId id);

  bool OpenFor(const PoolSession& session, const Endpoint& endpoint);
  bool EvictIdle(const EndpointId& endpoint);
  std::size_t Allowed(const Endpoint& endpoint) const;
  void ExpireSteps();
  void ExpireSessions();
  void TrimIdle();
  void ReportSilence();
  Duration SilenceOf(const EndpointId& endpoint) const;
  const Endpoint* FindEndpoint(const EndpointId& id) const;
  PoolSession* FindSession(SessionId id);
  Connection* FindConnection(ConnectionId id);
  Instant Now() const { return m_clock->Now(); }

  const Clock* const m_clock;
  Counters* const m_counters;
  DirectoryPtr m_directory;
  limits::SeatView m_seats;
  std::map<SessionId, PoolSession> m_sessions;
  std::map<ConnectionId, Connection> m_connections;
  std::map<EndpointId, EndpointHealth> m_health;
  std::map<EndpointId, Instant> m_last_write_answer;
  // Endpoints whose silence was reported last.
  std::map<EndpointId, bool> m_reported;
  ConnectionId m_next_connection = 1;
  bool m_draining = false;
  std::vector<PoolAction> m_actions;
};

}  // namespace tiller::relay
