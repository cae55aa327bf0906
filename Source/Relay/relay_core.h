// The relay's state machine, which runs on the traffic thread. For each session
// it decides on admission, the choice of an endpoint, transactions, retries and
// results, one statement at a time. It takes events and returns actions; it
// does no I/O.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Balance/endpoint_placement.h"
#include "Balance/home_table.h"
#include "Balance/load_table.h"
#include "Balance/outlier_detector.h"
#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Limits/retry_budget.h"
#include "Limits/token_share.h"
#include "Relay/connection_path.h"
#include "Relay/endpoint_silence.h"
#include "Relay/operation_meter.h"
#include "Relay/pool_health.h"
#include "Relay/pool_zones.h"
#include "Relay/relay_messages.h"
#include "Relay/relay_state.h"
#include "Relay/tick_monitor.h"
#include "Relay/zone_contact.h"

namespace tiller::relay {

struct RelaySettings {
  HostId host;
  ZoneId zone;
  // Tolerance of the rate limit. In a window of `rate_window` a workspace may
  // exceed what its rate and burst allow by the fraction `rate_overage` of it,
  // plus `rate_slack` operations.
  std::chrono::duration<double> rate_window{5};
  double rate_overage = 0;
  double rate_slack = 0;
  // Where connections go through shared pools: statements carry schedules, and
  // reads are placed by homes and load reports.
  bool load_management = false;
  // For the options and prepared statements of all sessions.
  std::size_t session_values_bytes = kMaxBytesOfAllSessions;
  // Operations are counted for usage reports.
  bool count_operations = false;
};

// Limits the file descriptors that are used for the pools of one endpoint.
inline constexpr std::size_t kMaxPooledConnections = 64;

class RelayCore {
 public:
  // `clock` must also advance while the host is suspended. The pointers must
  // outlive this object.
  RelayCore(RelaySettings settings, const Clock* clock, Random* random,
            Counters* counters);

  void Handle(const Event& event);
  // Returns the actions that have accumulated since the last call, in order.
  std::vector<Action> TakeActions();

  // Counts the operations of this host, also those of its shared pool.
  OperationMeter* Operations() { return &m_operations; }
  std::size_t SessionCount() const { return m_sessions.size(); }
  std::size_t OpenTransactions() const;
  std::size_t OpenRequests() const;
  std::size_t ConnectionCount() const { return m_connections.size(); }
  // Bytes of the sessions' options and prepared statements.
  std::size_t SessionBytes() const { return m_session_memory.Used(); }

 private:
  enum class LossCause {
    kClosed,  // by the other side
    kSilent,  // an answer is overdue
    kAnswer   // it is unknown what the last answer belongs to
  };
  struct AdminJob {
    AdminRequest request;
    Instant deadline;
    ConnectionId connection = 0;
    bool opened = false;  // a connection has been opened for it
    Instant retry_at{};
    // Hosts whose pools could not run it.
    std::set<HostId> tried_pools;
    // The endpoint's own refusal, if there was one.
    std::optional<StatementResult> refused;
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
  void On(const HoldCommits& event);
  void On(const CommitLeaseChanged& event) {
    m_commits_until = event.valid_until;
  }
  void On(const DrainStarted& event);
  void On(const TimerFired& event);

  // ---- sessions (session_flow.cc)
  void HandleLocal(Session* session, const StatementReceived& event);
  void HandleInTransaction(Session* session, const StatementReceived& event);
  void RefuseInTransaction(Session* session, Refusal refusal,
                           const std::string& reason);
  void HandleFailedTransaction(Session* session,
                               const StatementReceived& event);
  void StartOperation(Session* session, const StatementReceived& event);
  void StartRequest(Session* session, const StatementReceived& event);
  Refusal CheckRoute(Session* session) const;
  // True if the session's key still belongs to the workspace of its open
  // transaction.
  bool KeyHolds(const Session& session) const;
  // Decides whether the statement retries the session's last operation, and
  // updates `session->operation` accordingly.
  void DetectRetry(Session* session);
  // True if the operation can no longer be answered within its target latency.
  bool IsLate(const Session& session) const;
  bool TryTakeToken(Session* session);
  void RequestTokens(const WorkspaceId& workspace);
  void OnOperationAdmitted(Session* session);
  void EndTransaction(Session* session, TxState state);
  void AnswerLocally(Session* session);
  void Refuse(Session* session, Refusal refusal, const std::string& reason);
  void FinishRequest(Session* session, StatementResult result);
  void RemoveSession(Session* session);

  // ---- requests (request_flow.cc)
  bool NeedsPrimary(const Session& session) const;
  bool IsWrite(const Session& session, const Statement& statement) const;
  // True if the request may change data that others see.
  bool Commits(const Session& session) const;
  // The lowest log position that satisfies the route's consistency for a read
  // of this session; nullopt if no watermark is recent enough to prove one.
  std::optional<GroupPosition> NeededPosition(const Session& session) const;
  // Tries to run the session's request now. Returns true if the request was
  // assigned a connection or refused; false if it has to wait.
  bool Dispatch(Session* session);
  bool DispatchToPrimary(Session* session);
  bool DispatchRead(Session* session, GroupPosition needed);
  // ---- placement of reads under load management (read_placement.cc)
  bool DispatchReadByPlacement(Session* session, GroupPosition needed);
  std::vector<balance::PlacementCandidate> PlacementCandidates(
      const Session& session, GroupPosition needed);
  // The group's endpoints in the order in which they are preferred.
  const std::vector<EndpointId>& HomeOrder(const GroupId& group,
                                           const WorkspaceId& workspace);
  std::vector<balance::GroupMember> MembersOf(const GroupId& group) const;
  // Whether a read may go to the endpoint, as far as results tell.
  balance::OutlierDetector::Use JudgedUse(const Session& session,
                                          const EndpointId& endpoint);
  void RecordResult(const Connection& connection,
                    const StatementResult& result);

  void AssignConnection(Connection* connection, Session* session);
  void SendNextStep(Connection* connection);
  void SendUserStatement(Connection* connection, Session* session);
  Statement ToEndpointStatement(const Session& session,
                                const Statement& statement) const;
  void OnUserResult(Connection* connection, const StatementResult& result);
  void OnUserSuccess(Connection* connection, Session* session,
                     const StatementResult& result);
  void OnUserRefusal(Connection* connection, Session* session,
                     const StatementResult& result);
  void RetryOrRefuse(Session* session, Refusal refusal,
                     const std::string& reason);
  void OnRequestLost(Session* session, Refusal unknown_outcome,
                     Refusal without_effect, const std::string& reason);
  void DispatchWaiting(const GroupId& group);
  // Groups for which requests wait for a connection.
  std::set<GroupId> GroupsWithWaiting() const;
  bool CanRetry(const Session& session) const;
  Duration ReadTimeout(const Session& session,
                       const EndpointId& endpoint) const;

  // ---- connections (connection_flow.cc)
  std::size_t ConnectionShareAt(const Endpoint& endpoint) const;
  bool CanOpenConnection(const Endpoint& endpoint) const;
  // True if connections to the group's endpoints go through shared pools.
  bool IsPooled(const GroupId& group) const;
  // A shared pool reported that the endpoint does not answer. If it is the
  // group's primary, nothing is sent to it for a while.
  void OnSilenceReported(const Connection& connection);
  void TrimIdle();
  std::size_t ConnectionsAt(const EndpointId& endpoint) const;
  Connection* Open(const Endpoint& endpoint, const WorkspaceId& workspace);
  // `pool_host`: the pool that it goes through, if any.
  Connection* OpenThrough(const Endpoint& endpoint,
                          const WorkspaceId& workspace,
                          const std::optional<PoolHost>& pool_host);
  bool EvictIdle(const EndpointId& endpoint);
  void Send(Connection* connection, Step step, Statement statement,
            Duration limit);
  void Release(Connection* connection);
  void CloseAndRemove(ConnectionId id);
  void OnStepDone(Connection* connection, const StatementResult& result,
                  bool confirmed);
  void OnBeginDone(Connection* connection, const StatementResult& result);
  void OnStepRefused(Connection* connection, const StatementResult& result);
  // `without_effect`: why a request is retried that has had no effect.
  void HandleConnectionLoss(ConnectionId id, LossCause cause,
                            const std::string& reason,
                            Refusal without_effect = Refusal::kAborted);
  void LogMismatch(const Connection& connection, AnswerMatch match,
                   const StatementResult& result);
  void RecordRefusal(const Connection& connection, Refusal refusal);
  void RecordPosition(const Connection& connection,
                      const StatementResult& result);
  void RecordConfirmedPrimary(const Connection& connection,
                              const StatementResult& result);
  void RecordDeposedPrimary(const Connection& connection);

  // ---- shared pools of other hosts (pool_contact.cc)
  // Stops using the pool of the connection for a while, because it does not
  // answer or its host is leaving.
  void AvoidPool(const Connection& connection, const std::string& reason);
  void OnPoolStepOverdue(const Connection& connection,
                         const std::string& reason);
  // Asks pools whether they answer, before they are avoided and before they are
  // used again.
  void ProbePools();
  // Returns false if the pool or the endpoint is no longer listed.
  bool OpenForTrial(const PoolHealth::Trial& trial);
  // The host that keeps the workspace's connections to the endpoint, of those
  // that are not avoided.
  std::optional<PoolHost> PoolFor(const Endpoint& endpoint,
                                  const WorkspaceId& workspace) const;
  void RecordPoolAnswer(const Connection& connection);

  // ---- zones whose pools do not answer (pool_zone_contact.cc)
  void CheckPoolZones();
  // Asks `count` further pools of the zone.
  void ProbePoolZone(const ZoneId& zone, std::size_t count);
  void OpenForProbe(const HostId& host);
  // Reads that wait there are tried elsewhere.
  void LeavePoolZone(const ZoneId& zone);

  // ---- load of shared pools (pool_load.cc)
  // The schedule to send with the session's statement; nothing if its pool does
  // not know schedules, or the statement cannot wait there.
  std::optional<balance::Schedule> ScheduleFor(const Connection& connection,
                                               const Session& session,
                                               Step step) const;
  void RecordLoad(const Connection& connection, const StatementResult& result);
  // Refuses the request if the pool that it needs has reported that it cannot
  // be served in time. Returns false if that is not known.
  bool RefuseIfOverloaded(Session* session);

  // ---- administrative statements (admin_flow.cc)
  void StartAdmin(AdminJob* job);
  // Opens a connection to the endpoint for the job, through a pool that has not
  // been tried.
  void OpenForAdmin(AdminJob* job, const Endpoint& endpoint);
  // Runs the job on the connection if that is idle and goes to its endpoint,
  // not through a pool that has been tried.
  bool TryRunAdmin(AdminJob* job, Connection* connection);
  // Runs a waiting job on an idle connection. Returns false if none needs it.
  bool RunWaitingAdmin(Connection* connection);
  // Starts the jobs that have no connection once more.
  void StartWaitingAdmin();
  // If the result does not answer the statement, because its pool had no
  // connection or the endpoint was busy: prepares another attempt, or finishes
  // the job, and returns true.
  bool RetryRefusedAdmin(std::uint64_t id, const Connection& connection,
                         const StatementResult& result);
  // The status may be that of an earlier statement. Prepares another attempt on
  // another connection and returns true, if the job needs the present one.
  bool RetryUnconfirmedAdmin(std::uint64_t id, const Connection& connection);
  // The connection that served the job was lost.
  void OnAdminLost(const Connection& connection, LossCause cause);
  void RetryAdmin(AdminJob* job, const Connection& connection,
                  const std::string& reason);
  void FinishAdmin(std::uint64_t id, bool answered,
                   const StatementResult& result);

  // ---- contact with other zones (zone_isolation.cc)
  bool InOtherZone(const EndpointId& id) const;
  // The endpoint has answered, and not a shared pool in its place. `confirmed`:
  // the answer is that to the statement in progress.
  void RecordContact(const Connection& connection, bool confirmed);
  Duration IsolationTimeout() const;
  void CheckIsolation();
  void ProbeOtherZones();
  // Probes them unless that was done within `interval`.
  void RequestContact(Milliseconds interval);

  // ---- commits while primaries are replaced (commit_hold.cc)
  // Why a commit of the group may be rolled back.
  enum class CommitRisk {
    kNone,
    kHeld,
    kNoLease,
    kPrimaryUncertain,
    kPrimaryReplaced,
    kZoneIsolated
  };
  static constexpr std::array<std::string_view, 6> kCommitRiskNames = {
      "none",
      "commits_held",
      "no_commit_lease",
      "primary_uncertain",
      "primary_replaced",
      "zone_isolated"};
  CommitRisk RiskOfCommit(const GroupId& group) const;
  void LogRisk(const GroupId& group);
  // Answers a commit. One of a primary in this host's zone waits until the host
  // knows that the zone was not cut off when it was acknowledged.
  void AnswerCommit(Session* session, const EndpointId& endpoint,
                    const GroupId& group, Instant sent, StatementResult answer);
  // Why a commit that the endpoint has answered may be rolled back.
  CommitRisk RiskOfAnswer(const EndpointId& endpoint, const GroupId& group,
                          Instant sent) const;
  void MarkInDoubt(const std::string& request, const GroupId& group,
                   CommitRisk risk, StatementResult* answer);
  bool NeedsContact(const EndpointId& endpoint, const GroupId& group) const;
  // `asked_at`: when the statement was sent that an endpoint of another zone
  // has just answered. Earlier ones may have been answered before a cut.
  void ConfirmCommits(std::optional<Instant> asked_at);
  // Precondition: the statement has not been sent.
  void RefuseCommit(Session* session, CommitRisk risk);
  // True if a hold allows no new commits of the group.
  bool IsHeld(const GroupId& group) const;
  bool HasCommitInProgress(const GroupId& group);
  // Reports a hold once the commits in progress are answered or overdue.
  void ReportHold(const GroupId& group);
  void EndHoldIfTargetLeads(const GroupId& group);

  // ---- whether this host is cut off (reachability.cc)
  void CheckReachability();
  bool NoEndpointAnswers();
  void ProbeAnyEndpoint();
  // True if only a primary can serve the request, and the group has been
  // without one for longer than a failover takes.
  bool LacksPrimary(const Session& session) const;
  // Precondition: the statement has not been sent.
  void RefuseWithoutPrimary(Session* session);

  // ---- periodic work and look-ups (relay_core.cc)
  void HandlePrimaryChange(const Group& group);
  void ExpireSteps();
  void ExpireRequests();
  void ExpireIdleTransactions();
  void ProbePrimaries();
  void ReportPrimaries();
  // `requests`: those that are pending at the primary.
  Duration SilenceOf(const GroupId& name, const EndpointId& primary,
                     const PendingRequests& requests, Instant on_time_since);
  std::vector<limits::RateLimit> RateLimits() const;
  void Drain();
  // True if the process may exit before it could answer this request.
  bool ExitsBeforeAnswer(const Request& request) const;
  // Closes sessions without an operation in progress that were opened before
  // the given time and have been idle for `min_idle`.
  void CloseIdleSessions(Instant opened_before, Duration min_idle);
  const Endpoint* PrimaryOf(const GroupId& group) const;
  // True if the group's primary is known and answers.
  bool PrimaryUsable(const GroupId& group) const;
  const Endpoint* FindEndpoint(const EndpointId& id) const;
  Session* FindSession(SessionId id);
  Connection* FindConnection(ConnectionId id);
  EndpointHealth& HealthOf(const EndpointId& id) { return m_health[id]; }
  Instant Now() const { return m_clock->Now(); }
  void TakeShareMessages();
  void TakeOperations();

  const RelaySettings m_settings;
  const Clock* const m_clock;
  Random* const m_random;
  Counters* const m_counters;
  limits::TokenShare m_tokens;
  limits::RetryBudget m_retry_budget;
  limits::SeatView m_seats;
  // Number of counted hosts with a shared pool.
  std::map<ZoneId, std::size_t> m_pools_by_zone;
  DirectoryPtr m_directory;
  MemoryAccount m_session_memory{m_settings.session_values_bytes};
  std::unordered_map<SessionId, Session> m_sessions;
  std::map<ConnectionId, Connection> m_connections;
  OperationMeter m_operations;
  std::map<EndpointId, EndpointHealth> m_health;
  std::map<EndpointId, Instant> m_leaving_since;
  PoolHealth m_pools;
  PoolZones m_pool_zones;
  TickMonitor m_ticks;
  // How long endpoints have not answered this host's own shared pool.
  std::map<EndpointId, Duration> m_pool_silence;
  mutable std::map<GroupId, GroupState> m_groups;
  std::map<std::uint64_t, AdminJob> m_admin;
  // Only used under load management. The homes are those of `m_directory`; a
  // group's are computed at its first read.
  std::map<GroupId, balance::HomeOrders> m_homes;
  balance::LoadTable m_loads;
  balance::EndpointPlacement m_placement;
  balance::OutlierDetector m_outliers;
  ConnectionId m_next_connection = 1;
  // Set while the process is being stopped.
  struct DrainTimes {
    Instant started;
    Instant transactions_end;
    Instant exit;
  };
  std::optional<DrainTimes> m_drain;
  // Sessions that were opened before the first directory arrived.
  std::vector<SessionOpened> m_deferred_sessions;
  // Since when most groups have been unreachable, through this host's own
  // trouble as far as it can tell.
  std::optional<Instant> m_unreachable_since;
  Instant m_last_endpoint_probe{};
  bool m_cut_off = false;
  ZoneContact m_zone_contact;
  // The zone is cut off, as far as this host can tell at the last tick.
  bool m_isolated = false;
  // As in GroupState, for primaries in this zone, after an isolation.
  Instant m_primary_uncertain_until{};
  Instant m_last_tick{};
  Instant m_last_contact_probe{};
  Instant m_last_write_sent{};
  struct UnconfirmedCommit {
    SessionId session = 0;
    std::string request;
    EndpointId endpoint;
    GroupId group;
    Instant sent;
    StatementResult answer;
    Instant since;
  };
  std::vector<UnconfirmedCommit> m_unconfirmed_commits;
  // Until when this host may pass on commits; see CommitLeaseChanged.
  Instant m_commits_until = Instant::max();
  std::vector<Action> m_actions;
};

}  // namespace tiller::relay
