// Traffic core of the decision library: admits, routes, runs, retries and
// answers callers' requests. It performs no I/O: it consumes events and emits
// actions, and the same inputs produce the same outputs. Not thread-safe.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Limits/fair_queue.h"
#include "Limits/retry_budget.h"
#include "Limits/token_share.h"
#include "Limits/unit_lease.h"
#include "Routing/endpoint_table.h"
#include "Routing/read_router.h"
#include "Sql/statement_class.h"
#include "Traffic/connection_pool.h"
#include "Traffic/request_state.h"
#include "Traffic/traffic_messages.h"
#include "Traffic/transaction_state.h"

namespace tiller::traffic {

struct TrafficOptions {
  HostId host;
  ZoneId zone;
  Milliseconds default_deadline{5'000};
  Milliseconds max_deadline{60'000};
  Milliseconds default_max_staleness{2'000};
  // Longest wait for a rate token before the request is refused.
  Milliseconds rate_token_wait{300};
  // Longest wait for a replica before a read goes to the primary.
  Milliseconds replica_wait{20};
  Milliseconds read_timeout{400};  // per attempt
  // Per attempt of a write with an idempotency key.
  Milliseconds keyed_write_timeout{1'000};
  Milliseconds confirm_limit{500};  // per wait for a majority
  Milliseconds probe_interval{200};
  Milliseconds probe_timeout{400};
  Milliseconds transaction_idle{10'000};
  Milliseconds transaction_total{60'000};
  std::chrono::seconds record_retention{86'400};
  std::size_t queue_capacity = 512;  // per endpoint
  std::size_t workspace_queue_capacity = 128;
};

// The owner calls Handle() for each event and performs the actions that
// TakeActions() returns.
class TrafficCore {
 public:
  TrafficCore(TrafficOptions options, const Clock* clock, Random* random,
              Counters* counters);

  void Handle(const Event& event);
  std::vector<Action> TakeActions();

  std::size_t OpenRequests() const { return m_requests.size(); }
  std::size_t OpenTransactions() const { return m_transactions.Size(); }
  // For tests only.
  const routing::EndpointTable& Endpoints() const { return m_endpoints; }
  limits::TokenShare& RateTokens() { return m_rate_tokens; }
  limits::UnitLease& Slots() { return m_slots; }

 private:
  // Event handlers.
  void On(const CallerRequest& call);
  void On(const PipelineDone& done);
  void On(const ConnectionOpened& opened);
  void On(const ConnectionClosed& closed);
  void On(const ViewChanged& changed);
  void On(const ShareMessageArrived& received);
  void On(const DrainStarted& event);
  void On(const TimerFired& timer);

  // Admission.
  Result<void> Admit(Request* request);
  Result<void> Authenticate(Request* request);
  Result<void> CheckStatements(Request* request);
  Result<void> BindWorkspace(Request* request, const WorkspaceId& workspace);
  void AcquireRateToken(Request* request);
  // Routes waiting requests while there are rate tokens, and refuses those that
  // have waited for too long.
  void ServeRateTokenQueue(const WorkspaceId& workspace);

  // Routing and queues.
  void Route(Request* request);
  void RouteToPrimary(Request* request);
  void RouteRead(Request* request);
  void WaitForRoute(Request* request, Duration delay);
  void Enqueue(Request* request, const EndpointId& endpoint);
  void DispatchQueued(const EndpointId& endpoint);
  void Dispatch(Request* request, Connection* connection);
  Plan PlanFor(Request* request);
  PlanKind PlanKindOf(const Request& request) const;
  // Limit of one wait for a majority; never exceeds the time to the deadline.
  Milliseconds ConfirmLimit(const Request& request) const;
  Duration AttemptTimeout(const Request& request, Instant now) const;
  void RerouteAfterTermChange(const GroupId& group);

  // Results and retries.
  void OnResults(Request* request, Connection* connection,
                 const std::vector<endpoint::StepResult>& results);
  void OnAttemptFailed(Request* request, PipelineFailure failure);
  void OnReadResults(Request* request, Connection* connection,
                     const std::vector<endpoint::StepResult>& results);
  void OnWriteResults(Request* request, Connection* connection,
                      const std::vector<endpoint::StepResult>& results);
  void OnInsertKeyAndRunWriteResults(
      Request* request, Connection* connection,
      const std::vector<endpoint::StepResult>& results);
  void OnRecordLookupResults(Request* request, Connection* connection,
                             const std::vector<endpoint::StepResult>& results);
  void OnConfirmResult(Request* request, Connection* connection,
                       const endpoint::StepResult& result);
  void AcknowledgeWrite(Request* request, GroupPosition position);
  void RetryOrRefuse(Request* request, ErrorCode reason);
  // If the endpoint refused because its role or term changed, schedules a retry
  // and returns true.
  bool RetryOnRoleChange(Request* request, Connection* connection,
                         const endpoint::StepResult& result);
  RunOutcome OutcomeSoFar(const Request& request) const;

  // Interactive transactions.
  void StartTransactionCall(Request* request);
  void ResolveLostCommit(Request* request, Error error);
  void OnTransactionResults(Request* request, Connection* connection,
                            const std::vector<endpoint::StepResult>& results);
  void FinishTransactionCall(Request* request, Connection* connection,
                             const std::string& body);
  void EndTransaction(const std::string& id, std::string_view reason);
  void EndInvalidTransactions(Instant now);

  // Connections.
  void RunPlan(Connection* connection, Request* request, Plan plan,
               Duration timeout);
  void Reset(Connection* connection);
  void Close(ConnectionId id, bool failed);
  // Releases the request's slot, and its connection, after a reset if needed.
  void ReleaseConnection(Request* request, Connection* connection);
  void ReleaseSlot(Request* request);
  void SuspectEndpoint(const EndpointId& endpoint);
  void OnProbeResults(Connection* connection,
                      const std::vector<endpoint::StepResult>& results);
  void SendDueProbes(Instant now);
  void RecordEndpointStatus(const EndpointId& endpoint,
                            const endpoint::StepResult& status);

  // Answers, time-outs and messages to other hosts.
  void Succeed(Request* request, std::string body);
  void Refuse(Request* request, Error error);
  void ProcessDueRequests(Instant now);
  bool IsStuckInQueue(const Request& request, Instant now) const;
  // Takes the request off its endpoint's queue, so that it can be rerouted.
  void LeaveQueueAndExcludeEndpoint(Request* request);
  // Emits the messages of m_rate_tokens and m_slots to other hosts.
  void SendPendingShareMessages();

  Request* Find(RequestId id);
  Instant Now() const { return m_clock->Now(); }
  limits::FairQueue& QueueOf(const EndpointId& endpoint);

  const TrafficOptions m_options;
  const Clock* const m_clock;
  Random* const m_random;
  Counters* const m_counters;

  TrafficViewPtr m_view;
  // When the process exits at the latest; set while it is being stopped.
  std::optional<Instant> m_exit_at;
  routing::EndpointTable m_endpoints;
  routing::ReadRouter m_router;
  ConnectionPool m_pool;
  // This host's share of the workspaces' rates.
  limits::TokenShare m_rate_tokens;
  // This host's share of the endpoints' slots.
  limits::UnitLease m_slots;
  limits::RetryBudget m_retry_budget;
  sql::StatementClassCache m_statement_classes;
  TransactionTable m_transactions;
  // Requests that have not been answered yet.
  std::unordered_map<RequestId, Request> m_requests;
  // Requests in stage kAwaitRateToken, in arrival order.
  std::unordered_map<WorkspaceId, std::deque<RequestId>> m_rate_token_queues;
  // Requests in stage kQueued, per endpoint.
  std::unordered_map<EndpointId, limits::FairQueue> m_queues;
  std::unordered_map<EndpointId, Instant> m_next_probe_at;
  std::vector<Action> m_actions;
};

}  // namespace tiller::traffic
