// Pool of endpoint connections that this host shares with all hosts. No I/O.
//
// Load pattern: an endpoint accepts fewer connections than there are hosts and
// workspaces, and a connection serves one workspace only. If the connections
// were divided among the hosts, each host would hold less than one, and almost
// every operation would have to open a new one. Instead, one host keeps a
// workspace's connections to an endpoint, and the other hosts connect to that
// host as if it were the endpoint. Each of their sessions occupies an endpoint
// connection only while it runs a statement or has a transaction open.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Balance/connection_quota.h"
#include "Balance/schedule.h"
#include "Balance/wait_forecast.h"
#include "Balance/workspace_demand.h"
#include "Common/clock.h"
#include "Common/counters.h"
#include "Relay/endpoint_health.h"
#include "Relay/endpoint_silence.h"
#include "Relay/operation_meter.h"
#include "Relay/pool_shares.h"
#include "Relay/relay_messages.h"
#include "Relay/relay_state.h"
#include "Relay/tick_monitor.h"

namespace tiller::relay {

struct SharedPoolSettings {
  // Statements are ordered by their schedules and answered with load reports,
  // and connections follow the demand of the workspaces.
  bool load_management = false;
  // For the options and prepared statements of all sessions.
  std::size_t session_values_bytes = kMaxBytesOfAllSessions;
  // Counts operations for usage reports; nullptr: none are counted.
  OperationMeter* operations = nullptr;
};

// Serves the sessions that hosts open to endpoints through this host.
// Takes events and returns the resulting actions.
class SharedPool {
 public:
  SharedPool(const Clock* clock, Counters* counters,
             const SharedPoolSettings& settings = {})
      : m_clock(clock),
        m_counters(counters),
        m_load_management(settings.load_management),
        m_operations(settings.operations == nullptr ? &m_no_operations
                                                    : settings.operations),
        m_session_memory(settings.session_values_bytes) {}

  void Handle(const PoolEvent& event);
  std::vector<PoolAction> TakeActions();
  std::size_t SessionCount() const { return m_sessions.size(); }
  std::size_t ConnectionCount() const { return m_connections.size(); }
  // Bytes of the sessions' options and prepared statements.
  std::size_t SessionBytes() const { return m_session_memory.Used(); }

 private:
  // A session that a host has opened to one endpoint through this pool.
  struct PoolSession {
    explicit PoolSession(MemoryAccount* memory)
        : values(kPoolSessionLimits, memory) {}

    SessionId id = 0;
    EndpointId endpoint;
    WorkspaceId workspace;
    SessionValues values;
    TxState state = TxState::kIdle;
    // Occupied from the start of a statement until no transaction is open; 0:
    // none.
    ConnectionId connection = 0;
    std::optional<StatementReceived> pending;
    int priority = 0;  // of the last statement that named one
    Instant arrived;   // arrival of the pending statement
    Instant assigned;  // when it got its connection
    // What was last reported to its host, and when.
    std::optional<balance::LoadReport> reported;
    Instant reported_at;
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

  // Answers statements that need no endpoint, such as setting an option.
  // Returns false if the statement has to be sent to the endpoint.
  bool HandleLocal(PoolSession* session, const Statement& statement);
  // Runs the pending statement on an idle connection, or opens one and leaves
  // the statement waiting. An administrative statement uses no state of the
  // session, so it runs on an idle connection of any workspace. It is refused
  // at once if this host has no connection to wait for; another host may have.
  void AssignConnection(PoolSession* session);
  // Sends the next setup step, or the pending statement if none is left.
  void SendNextStep(Connection* connection, PoolSession* session);
  // `confirmed`: the answer is no repetition of an earlier one.
  void OnUserResult(Connection* connection, const StatementResult& result,
                    bool confirmed);
  // Closes a connection on which the answer to the statement in progress, or
  // the state of the session, is unknown.
  void GiveUpConnection(Connection* connection, const std::string& reason);
  void LogMismatch(const Connection& connection, AnswerMatch match,
                   const StatementResult& result);
  void Send(Connection* connection, Step step, SendStatement action,
            Duration limit);
  void Release(Connection* connection);
  // Assigns connections to waiting statements: to administrative ones first,
  // then fairly among workspaces.
  void DispatchWaiting(const EndpointId& endpoint);
  // Endpoints for which statements wait for a connection.
  std::set<EndpointId> EndpointsWithWaiting() const;
  void Answer(PoolSession* session, StatementResult result);
  void Refuse(PoolSession* session, Refusal refusal, const std::string& reason);
  // True if the session's statement has waited too long for a connection.
  bool WaitIsOver(const PoolSession& session) const;
  void EndSession(SessionId id);
  // `silent`: an answer is overdue, so this host closes the connection.
  void HandleConnectionLoss(ConnectionId id, bool silent,
                            const std::string& reason);
  void CloseAndRemove(ConnectionId id);

  bool TryOpenConnection(const PoolSession& session, const Endpoint& endpoint);
  void StartOpening(const PoolSession& session, const Endpoint& endpoint);
  bool EvictIdle(const EndpointId& endpoint);
  // Number of the endpoint's connections that this host may hold.
  std::size_t MaxPerHost(const Endpoint& endpoint) const;
  // ---- load management (shared_pool_quota.cc)
  // As TryOpenConnection, within this host's part of the endpoint's connections
  // and beyond it with backoff.
  bool OpenByDemand(const PoolSession& session, const Endpoint& endpoint);
  // `connections`: all to one endpoint.
  std::vector<balance::IdleConnection> IdleByDemand(
      const std::vector<const Connection*>& connections) const;
  void RecordConnectionAccepted(const Connection& connection);
  void RecordConnectionRefused(const EndpointId& endpoint, Refusal refusal);
  void TrimByDemand();

  void ExpireSteps();
  void ExpireSessions();
  // Ends open transactions without a statement for statements that wait for one
  // of the endpoint's connections.
  void EndIdleTransactions(const EndpointId& endpoint);
  void TrimIdle();

  // ---- the queue, and what hosts are told of it (pool_queue.cc)
  // Schedule of the pending statement, if it is to be used.
  const balance::Schedule* ScheduleOf(const PoolSession& session) const;
  bool IsLate(const PoolSession& session) const;
  // By when the pending statement should be answered; see WaitingRequest.
  Instant DueTime(const PoolSession& session) const;
  Duration MaxWaitOf(const PoolSession& session) const;
  // Refuses a waiting statement that will not get a connection in time.
  void RefuseIfHopeless(PoolSession* session);
  balance::LoadReport LoadOf(const PoolSession& session) const;
  // Adds the load to an answer, if the host knows reports and this one differs
  // enough from the last.
  void AddLoad(PoolSession* session, StatementResult* result);
  void RecordOccupied(const PoolSession& session);

  // ---- silence of endpoints (pool_silence.cc)
  // Returns true if the statement must not be sent, because the endpoint does
  // not answer.
  bool IsSilentFor(const PoolSession& session) const;
  void ReportSilence();
  // Asks endpoints that have not answered for their status, on an idle
  // connection or on a new one.
  void ProbeSilentEndpoints();
  void OpenProbe(const Endpoint& endpoint);
  Silence SilenceOf(const EndpointId& endpoint) const;
  Silence SilenceOf(const EndpointId& endpoint,
                    const PendingRequests& pending) const;
  const Endpoint* FindEndpoint(const EndpointId& id) const;
  PoolSession* FindSession(SessionId id);
  Connection* FindConnection(ConnectionId id);
  Instant Now() const { return m_clock->Now(); }

  const Clock* const m_clock;
  Counters* const m_counters;
  const bool m_load_management;
  OperationMeter m_no_operations{false};
  OperationMeter* const m_operations;
  std::map<EndpointId, balance::WaitForecast> m_forecasts;
  DirectoryPtr m_directory;
  // Number of hosts with a counted seat.
  std::map<ZoneId, std::size_t> m_hosts_by_zone;
  MemoryAccount m_session_memory;
  std::map<SessionId, PoolSession> m_sessions;
  std::map<ConnectionId, Connection> m_connections;
  std::map<EndpointId, EndpointHealth> m_health;
  std::map<EndpointId, Instant> m_last_write_answer;
  // Whether the last report on an endpoint said that it does not answer.
  std::map<EndpointId, bool> m_silence_reported;
  // Only used under load management.
  PoolShares m_shares;
  balance::WorkspaceDemand m_demand;
  std::map<EndpointId, balance::ConnectionQuota> m_quotas;
  Instant m_next_trim{};
  ConnectionId m_next_connection = 1;
  TickMonitor m_ticks;
  bool m_draining = false;
  // From then on, a host that is being stopped runs no more statements of open
  // transactions.
  Instant m_transactions_end = Instant::max();
  std::vector<PoolAction> m_actions;
};

}  // namespace tiller::relay
