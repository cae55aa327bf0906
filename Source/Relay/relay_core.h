// Decisions of the traffic thread for sessions that speak statement by
// statement: admission, placement, transactions, retries and outcomes. No I/O.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Limits/retry_budget.h"
#include "Limits/token_share.h"
#include "Relay/relay_messages.h"
#include "Relay/relay_state.h"

namespace tiller::relay {

struct RelaySettings {
  HostId host;
  ZoneId zone;
  // Tolerance of the limit on rates: a workspace may exceed what its rate and
  // burst allow in a window by a part of it and by some operations.
  std::chrono::duration<double> rate_window{5};
  double rate_overage = 0;
  double rate_slack = 0;
};

class RelayCore {
 public:
  // `clock` counts time during which the host was suspended.
  RelayCore(RelaySettings settings, const Clock* clock, Random* random,
            Counters* counters);

  void Handle(const Event& event);
  std::vector<Action> TakeActions();

  std::size_t SessionCount() const { return m_sessions.size(); }
  std::size_t OpenTransactions() const;
  std::size_t OpenRequests() const;
  std::size_t ConnectionCount() const { return m_connections.size(); }

 private:
  struct AdminJob {
    AdminRequest request;
    Instant deadline;
    ConnectionId connection = 0;
  };

  // ---- events
  void On(const SessionOpened& event);
  void On(const StatementReceived& event);
  void On(const SessionClosed& event);
  void On(const ConnectionOpened& event);
  void On(const ConnectionRefused& event);
  void On(const ConnectionLost& event);
  void On(const StatementDone& event);
  void On(const DirectoryChanged& event);
  void On(const SeatsChanged& event);
  void On(const ShareReceived& event);
  void On(const AdminRequest& event);
  void On(const EndpointSilence& event);
  void On(const DrainStarted& event);
  void On(const TimerFired& event);

  // ---- sessions (session_flow.cc)
  void HandleLocal(Session* session, const StatementReceived& event);
  void HandleInTransaction(Session* session, const StatementReceived& event);
  void HandleFailedTransaction(Session* session,
                               const StatementReceived& event);
  void StartOperation(Session* session, const StatementReceived& event);
  void StartRequest(Session* session, const StatementReceived& event);
  Refusal CheckRoute(Session* session) const;
  // Finds out whether the statement is another attempt of an operation.
  void NoteAttempt(Session* session);
  // The operation can't be answered within its target latency any more.
  bool IsLate(const Session& session) const;
  bool TakeToken(Session* session);
  void AskForTokens(const WorkspaceId& workspace);
  void OperationAdmitted(Session* session);
  void EndTransaction(Session* session, TxState state);
  void AnswerLocally(Session* session);
  void Refuse(Session* session, Refusal refusal, const std::string& reason);
  void ReplyAndForget(Session* session, StatementResult result);
  void DropOrphan(Session* session);

  // ---- requests (request_flow.cc)
  bool NeedsPrimary(const Session& session) const;
  bool IsWrite(const Session& session, const Statement& statement) const;
  // The position that a read of this session needs; nothing if it can't be
  // proved by the marks at hand.
  std::optional<GroupPosition> NeededPosition(const Session& session) const;
  bool Place(Session* session);
  bool PlaceOnPrimary(Session* session);
  bool PlaceRead(Session* session, GroupPosition needed);
  void StartOn(Connection* connection, Session* session);
  void NextStep(Connection* connection);
  void SendUserStatement(Connection* connection, Session* session);
  Statement BackendForm(const Session& session,
                        const Statement& statement) const;
  void OnUserResult(Connection* connection, const StatementResult& result);
  void OnUserSuccess(Connection* connection, Session* session,
                     const StatementResult& result);
  void OnUserRefusal(Connection* connection, Session* session,
                     const StatementResult& result);
  void RetryOrRefuse(Session* session, Refusal refusal,
                     const std::string& reason);
  void OnRequestLost(Session* session, Refusal doubt,
                     const std::string& reason);
  void PumpWaiters(const GroupId& group);
  bool CanRetry(const Session& session) const;
  Duration ReadPatience(const Session& session,
                        const EndpointId& endpoint) const;

  // ---- connections (connection_flow.cc)
  std::size_t ShareAt(const Endpoint& endpoint) const;
  bool CanOpen(const Endpoint& endpoint) const;
  // Connections of the group go through shared pools.
  bool Pooled(const GroupId& group) const;
  // Another host's pool does not answer, or leaves.
  void AvoidPool(const HostId& host, const std::string& reason);
  // A pool says that the group's primary is silent.
  void HoldPrimary(const GroupId& group);
  void TrimIdle();
  std::size_t ConnectionsAt(const EndpointId& endpoint) const;
  Connection* Open(const Endpoint& endpoint, const WorkspaceId& workspace);
  bool EvictIdle(const EndpointId& endpoint);
  void Send(Connection* connection, Step step, Statement statement,
            Duration limit);
  void Release(Connection* connection);
  void CloseAndForget(ConnectionId id);
  void OnStepDone(Connection* connection, const StatementResult& result);
  void OnBeginDone(Connection* connection, const StatementResult& result);
  void OnStepRefused(Connection* connection, const StatementResult& result);
  void LoseConnection(ConnectionId id, bool silent, const std::string& reason);
  void NotePosition(const Connection& connection,
                    const StatementResult& result);
  void NoteLeader(const Connection& connection, const StatementResult& result);
  void NoteDeposed(const Connection& connection);
  void StartAdmin(AdminJob* job);
  void FinishAdmin(std::uint64_t id, bool answered,
                   const StatementResult& result);

  // ---- upkeep (relay_core.cc)
  void NotePrimary(const DirectoryPtr& old, const Group& group);
  void ExpireSteps();
  void ExpireRequests();
  void ExpireIdleTransactions();
  void ProbePrimaries();
  void ReportPrimaries();
  Duration SilenceOf(const GroupId& name, const EndpointId& primary);
  void CheckReachability();
  std::vector<limits::RateLimit> RateLimits() const;
  void Drain();
  void CloseIdle();
  const Endpoint* PrimaryOf(const GroupId& group) const;
  // It is known and answers.
  bool PrimaryUsable(const GroupId& group) const;
  const Endpoint* FindEndpoint(const EndpointId& id) const;
  Session* FindSession(SessionId id);
  Connection* FindConnection(ConnectionId id);
  EndpointHealth& HealthOf(const EndpointId& id) { return m_health[id]; }
  Instant Now() const { return m_clock->Now(); }
  void TakeShareMessages();

  const RelaySettings m_settings;
  const Clock* const m_clock;
  Random* const m_random;
  Counters* const m_counters;
  limits::TokenShare m_tokens;
  limits::RetryBudget m_retries;
  limits::SeatView m_seats;
  DirectoryPtr m_directory;
  std::unordered_map<SessionId, Session> m_sessions;
  std::map<ConnectionId, Connection> m_connections;
  std::map<EndpointId, EndpointHealth> m_health;
  std::map<EndpointId, Instant> m_leaving_since;
  // Hosts whose pools are not used until then.
  std::map<HostId, Instant> m_avoided_pools;
  // As told by this host's own pool.
  std::map<EndpointId, Duration> m_pool_silence;
  mutable std::map<GroupId, GroupState> m_groups;
  std::map<std::uint64_t, AdminJob> m_admin;
  ConnectionId m_next_connection = 1;
  std::optional<Instant> m_drain_started;
  // Sessions that came before the first directory.
  std::vector<SessionOpened> m_early_sessions;
  // Most primaries are out of reach since then.
  std::optional<Instant> m_unreachable_since;
  bool m_cut_off = false;
  std::vector<Action> m_actions;
};

}  // namespace tiller::relay
