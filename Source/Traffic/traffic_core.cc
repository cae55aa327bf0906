// Admission of requests, handling of events, and replies to callers.
#include "Traffic/traffic_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Common/crypto.h"

namespace tiller::traffic {
namespace {

constexpr std::size_t kClassCacheEntries = 4096;
constexpr std::size_t kMaxIdempotencyKeyLength = 200;
constexpr std::size_t kMaxStatements = 64;
constexpr std::size_t kMinRateTokenWaiters = 16;

bool NeedsStatements(RequestKind kind) {
  return kind == RequestKind::kExecute || kind == RequestKind::kBatch ||
         kind == RequestKind::kTransactionExecute;
}

std::string DigestOf(const std::vector<Statement>& statements) {
  std::string text;
  const auto append = [&](const std::string& part) {
    text += std::to_string(part.size()) + ":" + part;
  };
  for (const auto& statement : statements) {
    append(statement.sql);
    for (const auto& cell : statement.parameters) {
      append(cell ? "v" + *cell : "n");
    }
    text += ";";
  }
  return Sha256Hex(text);
}

}  // namespace

TrafficCore::TrafficCore(TrafficOptions options, const Clock* clock,
                         Random* random, Counters* counters)
    : m_options(std::move(options)),
      m_clock(clock),
      m_random(random),
      m_counters(counters),
      m_router(m_options.zone),
      m_rate_tokens(m_options.host, random, counters),
      m_slots(m_options.host, counters),
      m_statement_classes(kClassCacheEntries) {}

void TrafficCore::Handle(const Event& event) {
  std::visit([this](const auto& kind) { On(kind); }, event);
  SendPendingShareMessages();
}

std::vector<Action> TrafficCore::TakeActions() {
  return std::exchange(m_actions, {});
}

Request* TrafficCore::Find(RequestId id) {
  const auto it = m_requests.find(id);
  return it == m_requests.end() ? nullptr : &it->second;
}

void TrafficCore::On(const CallerRequest& call) {
  Request new_request;
  new_request.call = call;
  new_request.arrived_at = Now();
  const auto requested_deadline =
      call.deadline.count() > 0 ? call.deadline : m_options.default_deadline;
  new_request.deadline = new_request.arrived_at +
                         std::min(requested_deadline, m_options.max_deadline);
  auto* request = &(m_requests[call.id] = std::move(new_request));
  m_counters->Add("requests");
  const auto admitted = Admit(request);
  if (!admitted) return Refuse(request, admitted.error());
  m_retry_budget.AddCredit();
  const bool ends_transaction =
      call.kind == RequestKind::kCommit || call.kind == RequestKind::kRollback;
  if (ends_transaction) return Route(request);
  AcquireRateToken(request);
}

void TrafficCore::On(const DrainStarted& event) {
  m_exit_at = Now() + event.exit_time;
}

Result<void> TrafficCore::Admit(Request* request) {
  if (!m_view || !m_view->config) {
    return MakeError(ErrorCode::kPlatformUnavailable, "no configuration yet");
  }
  const auto& call = request->call;
  const bool in_transaction = !call.transaction.empty();
  if (m_view->zone_out_of_service && !in_transaction) {
    return MakeError(ErrorCode::kZoneOut, "the host's zone is out of service");
  }
  if (m_view->draining && call.kind == RequestKind::kBegin) {
    return MakeError(ErrorCode::kShuttingDown, "no new transactions here");
  }
  if (m_exit_at && request->deadline > *m_exit_at &&
      call.kind != RequestKind::kRollback) {
    return MakeError(ErrorCode::kShuttingDown,
                     "the host stops before the deadline");
  }
  const auto authenticated = Authenticate(request);
  if (!authenticated) return authenticated.error();
  if (!call.token.empty()) {
    auto session = session::DecodeToken(
        call.token, m_view->config->session_secret, request->workspace);
    if (!session) return session.error();
    request->session = std::move(session.value());
  }
  request->session.workspace = request->workspace;
  return CheckStatements(request);
}

Result<void> TrafficCore::Authenticate(Request* request) {
  auto& call = request->call;
  const auto& config = *m_view->config;
  if (call.kind == RequestKind::kOpenRoute) {
    const auto* route = config.FindOpenRoute(call.open_route);
    if (route == nullptr) {
      return MakeError(ErrorCode::kRouteUnknown, "no such open route");
    }
    call.statements = {{route->statement, {}}};
    call.max_staleness = route->max_staleness;
    return BindWorkspace(request, route->workspace);
  }
  if (call.key.empty()) {
    return MakeError(ErrorCode::kKeyMissing, "Authorization: Bearer KEY");
  }
  if (Now() >= m_view->keys_valid_until) {
    return MakeError(ErrorCode::kKeysUnconfirmed,
                     "cannot confirm that no key was withdrawn");
  }
  const auto* key = config.FindKeyByHash(Sha256Hex(call.key));
  call.key.clear();
  if (key == nullptr) return MakeError(ErrorCode::kKeyUnknown, "unknown key");
  if (key->withdrawn) {
    return MakeError(ErrorCode::kKeyWithdrawn, "the key was withdrawn");
  }
  request->key_id = key->id;
  return BindWorkspace(request, key->workspace);
}

Result<void> TrafficCore::BindWorkspace(Request* request,
                                        const WorkspaceId& name) {
  const auto* workspace = m_view->config->FindWorkspace(name);
  if (workspace == nullptr) {
    return MakeError(ErrorCode::kWorkspaceUnknown, name);
  }
  request->workspace = workspace->name;
  request->group = workspace->group;
  request->weight = workspace->weight;
  return Success();
}

Result<void> TrafficCore::CheckStatements(Request* request) {
  const auto& call = request->call;
  if (NeedsStatements(call.kind) &&
      (call.statements.empty() || call.statements.size() > kMaxStatements)) {
    return MakeError(ErrorCode::kBadRequest, "1 to 64 statements");
  }
  if (call.idempotency_key &&
      (call.idempotency_key->empty() ||
       call.idempotency_key->size() > kMaxIdempotencyKeyLength)) {
    return MakeError(ErrorCode::kBadRequest,
                     "an idempotency key has 1 to 200 characters");
  }
  request->writes = call.kind == RequestKind::kBegin;
  for (const auto& statement : call.statements) {
    const auto& classified = m_statement_classes.Lookup(statement.sql);
    if (classified.kind == sql::StatementClass::kRefused) {
      return MakeError(ErrorCode::kStatementRefused, classified.reason);
    }
    request->writes |= classified.kind == sql::StatementClass::kWrite;
    request->leaves_state |= classified.leaves_state;
  }
  if (call.kind == RequestKind::kOpenRoute && request->writes) {
    return MakeError(ErrorCode::kStatementRefused, "open routes only read");
  }
  request->max_age =
      call.max_staleness.value_or(m_options.default_max_staleness);
  if (call.idempotency_key) request->digest = DigestOf(call.statements);
  return Success();
}

void TrafficCore::AcquireRateToken(Request* request) {
  auto& waiters = m_rate_token_queues[request->workspace];
  if (waiters.empty() && m_rate_tokens.TrySpend(request->workspace, Now())) {
    return Route(request);
  }
  const auto* workspace = m_view->config->FindWorkspace(request->workspace);
  const auto max_waiters = std::max<std::size_t>(
      kMinRateTokenWaiters,
      workspace == nullptr ? 0 : static_cast<std::size_t>(workspace->burst));
  if (waiters.size() >= max_waiters) {
    auto error = MakeError(ErrorCode::kRateExceeded, "rate exceeded");
    error.retry_after = m_rate_tokens.TokenInterval(request->workspace) *
                        static_cast<int>(waiters.size() + 1);
    return Refuse(request, std::move(error));
  }
  waiters.push_back(request->call.id);
  m_rate_tokens.RequestFromPeers(request->workspace, waiters.size(), Now());
}

void TrafficCore::ServeRateTokenQueue(const WorkspaceId& workspace) {
  auto& waiters = m_rate_token_queues[workspace];
  while (!waiters.empty()) {
    auto* request = Find(waiters.front());
    const bool waiting =
        request != nullptr && request->stage == RequestStage::kAwaitRateToken;
    if (!waiting) {
      waiters.pop_front();
      continue;
    }
    if (m_rate_tokens.TrySpend(workspace, Now())) {
      waiters.pop_front();
      Route(request);
      continue;
    }
    if (Now() - request->arrived_at < m_options.rate_token_wait &&
        Now() < request->deadline) {
      break;
    }
    waiters.pop_front();
    auto error = MakeError(ErrorCode::kRateExceeded, "rate exceeded");
    error.retry_after = m_rate_tokens.TokenInterval(workspace) *
                        static_cast<int>(waiters.size() + 1);
    Refuse(request, std::move(error));
  }
  m_rate_tokens.RequestFromPeers(workspace, waiters.size(), Now());
}

void TrafficCore::On(const ViewChanged& changed) {
  const auto previous_view = m_view;
  m_view = changed.view;
  if (!m_view || !m_view->config) return;
  const auto& config = *m_view->config;
  const auto now = Now();
  m_endpoints.Update(config);
  m_pool.Update(config, m_view->seats);
  std::vector<limits::RateLimit> rate_limits;
  for (const auto& workspace : config.workspaces) {
    rate_limits.push_back({workspace.name, workspace.rate, workspace.burst});
  }
  std::vector<limits::UnitLimit> slot_limits;
  for (const auto& group : config.groups) {
    for (const auto& endpoint : group.endpoints) {
      slot_limits.push_back({endpoint.name, group.slots, endpoint.zone});
    }
  }
  m_rate_tokens.Update(rate_limits, m_view->seats, now);
  m_slots.Update(slot_limits, m_view->seats, now);
  for (const auto& [group, view] : m_view->groups) {
    if (!m_endpoints.AdoptPrimary(group, view.term, view.primary)) continue;
    RerouteAfterTermChange(group);
  }
  EndInvalidTransactions(now);
}

void TrafficCore::On(const ShareMessageArrived& received) {
  const auto now = Now();
  const auto& from = received.from;
  if (const auto* request =
          std::get_if<limits::TokenRequest>(&received.message)) {
    m_rate_tokens.Handle(from, *request, now);
  } else if (const auto* grant =
                 std::get_if<limits::TokenGrant>(&received.message)) {
    const auto workspace = m_rate_tokens.Handle(from, *grant, now);
    if (workspace) ServeRateTokenQueue(*workspace);
  } else {
    // The other messages concern slots. Requests and grants of tokens were
    // handled above; they are excluded because m_slots has no handler for them.
    std::visit(
        [&](const auto& message) {
          using Kind = std::decay_t<decltype(message)>;
          if constexpr (!std::is_same_v<Kind, limits::TokenRequest> &&
                        !std::is_same_v<Kind, limits::TokenGrant>) {
            m_slots.Handle(from, message, now);
          }
        },
        received.message);
  }
  for (const auto& endpoint : m_slots.TakeResourcesToRetry())
    DispatchQueued(endpoint);
}

void TrafficCore::On(const TimerFired&) {
  const auto now = Now();
  for (const auto& expired_use : m_slots.Tick(now)) {
    // The loan of a slot expired while a statement was using it: another host
    // may use the slot now, so the attempt is aborted by closing the connection
    // and handled like any lost connection: a commit that was sent may or may
    // not have taken effect.
    for (auto& [id, request] : m_requests) {
      if (!request.slot || request.slot->use_id != expired_use.use_id) continue;
      m_counters->Add("slot_loans_lapsed_in_use");
      request.slot.reset();
      OnAttemptFailed(&request, PipelineFailure::kConnectionLost);
      break;
    }
  }
  for (auto& [workspace, waiters] : m_rate_token_queues) {
    if (!waiters.empty()) ServeRateTokenQueue(workspace);
  }
  ProcessDueRequests(now);
  EndInvalidTransactions(now);
  SendDueProbes(now);
  for (const auto& endpoint : m_slots.TakeResourcesToRetry())
    DispatchQueued(endpoint);
  for (auto& [endpoint, queue] : m_queues) {
    if (queue.Size() > 0) DispatchQueued(endpoint);
  }
}

void TrafficCore::ProcessDueRequests(Instant now) {
  std::vector<RequestId> due;
  for (const auto& [id, request] : m_requests) {
    const bool awaiting_route = request.stage == RequestStage::kAwaitRoute;
    if (now >= request.deadline ||
        (awaiting_route && now >= request.not_before) ||
        IsStuckInQueue(request, now)) {
      due.push_back(id);
    }
  }
  std::sort(due.begin(), due.end());
  for (const auto id : due) {
    auto* request = Find(id);
    if (request == nullptr) continue;
    if (now < request->deadline) {
      if (request->stage == RequestStage::kQueued)
        LeaveQueueAndExcludeEndpoint(request);
      Route(request);
      continue;
    }
    if (request->stage == RequestStage::kRunning) {
      OnAttemptFailed(request, PipelineFailure::kTimeout);
      continue;
    }
    const auto outcome = OutcomeSoFar(*request);
    const bool no_primary =
        request->stage == RequestStage::kAwaitRoute && request->writes;
    Refuse(request, MakeError(no_primary ? ErrorCode::kPrimaryUnavailable
                                         : ErrorCode::kDeadlineExceeded,
                              "not answered within the deadline", outcome));
  }
}

// True for a read that should be rerouted because its endpoint was removed, is
// being avoided after failures, or kept it queued for longer than the timeout.
bool TrafficCore::IsStuckInQueue(const Request& request, Instant now) const {
  if (request.stage != RequestStage::kQueued || request.writes) return false;
  const auto* row = m_endpoints.Find(request.endpoint);
  return row == nullptr || now < row->backoff_until ||
         now - request.queued_at > m_options.read_timeout;
}

void TrafficCore::LeaveQueueAndExcludeEndpoint(Request* request) {
  m_counters->Add("retry_left_queue");
  QueueOf(request->endpoint).Remove(request->workspace, request->call.id);
  request->excluded.insert(request->endpoint);
}

RunOutcome TrafficCore::OutcomeSoFar(const Request& request) const {
  if (request.effect_possible) return RunOutcome::kUnknown;
  // A read that was sent may have run, although it has no effect.
  const bool sent_read = !request.writes && request.attempts > 0;
  return sent_read ? RunOutcome::kUnknown : RunOutcome::kNotRun;
}

void TrafficCore::Succeed(Request* request, std::string body) {
  const auto latency =
      std::chrono::duration<double, std::micro>(Now() - request->arrived_at);
  m_counters->Observe(request->writes ? "write_latency" : "read_latency",
                      latency.count());
  m_counters->Add("answered");
  ReleaseSlot(request);
  m_actions.push_back(Reply{
      request->call.id, std::move(body),
      session::EncodeToken(request->session, m_view->config->session_secret),
      std::nullopt});
  m_requests.erase(request->call.id);
}

void TrafficCore::Refuse(Request* request, Error error) {
  m_counters->Add("refused_" + std::string(NameOf(error.code)));
  if (error.outcome == RunOutcome::kUnknown) {
    m_counters->Add("outcome_unknown");
  }
  ReleaseSlot(request);
  if (request->stage == RequestStage::kQueued) {
    QueueOf(request->endpoint).Remove(request->workspace, request->call.id);
  }
  m_actions.push_back(Reply{request->call.id, {}, {}, std::move(error)});
  m_requests.erase(request->call.id);
}

void TrafficCore::SendPendingShareMessages() {
  for (auto& item : m_rate_tokens.TakeMessages()) {
    m_actions.push_back(SendShareMessage{item.to, std::move(item.message)});
  }
  for (auto& item : m_slots.TakeMessages()) {
    m_actions.push_back(SendShareMessage{item.to, std::move(item.message)});
  }
}

}  // namespace tiller::traffic
