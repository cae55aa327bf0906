// Routes admitted requests to endpoints, queues them and dispatches them to
// connections.
#include <algorithm>
#include <utility>

#include "Traffic/traffic_core.h"

namespace tiller::traffic {
namespace {

// Delay before routing is tried again if no endpoint is usable.
constexpr Milliseconds kRouteRetryDelay{10};
// Delay before routing is tried again if no replica is fresh enough yet.
constexpr Milliseconds kReplicaPollInterval{3};
constexpr Milliseconds kTransactionRetryAfter{1000};

}  // namespace

limits::FairQueue& TrafficCore::QueueOf(const EndpointId& endpoint) {
  return m_queues
      .try_emplace(endpoint, m_options.queue_capacity,
                   m_options.workspace_queue_capacity)
      .first->second;
}

void TrafficCore::Route(Request* request) {
  if (!request->call.transaction.empty()) {
    return StartTransactionCall(request);
  }
  if (request->writes) return RouteToPrimary(request);
  RouteRead(request);
}

void TrafficCore::WaitForRoute(Request* request, Duration delay) {
  request->stage = RequestStage::kAwaitRoute;
  request->not_before = Now() + delay;
}

void TrafficCore::RouteToPrimary(Request* request) {
  const auto* group = m_endpoints.FindGroup(request->group);
  const auto* primary =
      group == nullptr ? nullptr : m_endpoints.Find(group->primary);
  if (primary == nullptr || Now() < primary->backoff_until) {
    m_counters->Add("wait_primary_unavailable");
    return WaitForRoute(request, kRouteRetryDelay);
  }
  // Transactions may pin all connections but one, which stays available for
  // other requests.
  const auto pinned = static_cast<int>(m_pool.PinnedCount(primary->name));
  if (request->call.kind == RequestKind::kBegin &&
      pinned + 1 >= m_pool.ConnectionLimit(primary->name)) {
    auto error = MakeError(ErrorCode::kTransactionLimit,
                           "too many open transactions on this host");
    error.retry_after = kTransactionRetryAfter;
    return Refuse(request, std::move(error));
  }
  Enqueue(request, primary->name);
}

void TrafficCore::RouteRead(Request* request) {
  routing::ReadRequirements requirements;
  requirements.group = request->group;
  requirements.seen = request->session.LastSeenPosition(request->group);
  requirements.max_age = request->max_age;
  requirements.excluded = request->excluded;
  if (const auto* group = m_endpoints.FindGroup(request->group)) {
    for (const auto& name : group->endpoints) {
      m_endpoints.Find(name)->load =
          QueueOf(name).Size() + m_pool.BusyCount(name);
    }
  }
  const auto waited = Now() - request->arrived_at;
  // If max_age is shorter than the replica wait, a replica's data can't be
  // proved to be recent enough, so waiting for one gains nothing.
  const bool skip_replica_wait = request->max_age < m_options.replica_wait;
  const auto remaining_wait =
      std::min<Duration>(m_options.replica_wait,
                         (request->deadline - request->arrived_at) / 2) -
      waited;
  const auto allowed_wait =
      skip_replica_wait ? Duration::zero() : remaining_wait;
  const auto choice =
      m_router.Choose(m_endpoints, requirements, waited, allowed_wait, Now());
  switch (choice.kind) {
    case routing::ReadTarget::kReplica:
    case routing::ReadTarget::kPrimary:
      return Enqueue(request, choice.endpoint);
    case routing::ReadTarget::kWait:
      m_counters->Add("wait_replica_position");
      return WaitForRoute(request, kReplicaPollInterval);
    case routing::ReadTarget::kNone:
      break;
  }
  // Every endpoint was tried or is unreachable: start over after a delay.
  request->excluded.clear();
  m_counters->Add("wait_replica_unavailable");
  WaitForRoute(request, kRouteRetryDelay);
}

void TrafficCore::Enqueue(Request* request, const EndpointId& endpoint) {
  auto* row = m_endpoints.Find(endpoint);
  const auto* group = m_view->config->FindGroup(request->group);
  auto& queue = QueueOf(endpoint);
  const int slots = group == nullptr ? 1 : group->slots;
  const auto expected =
      row->service_time * static_cast<int>(queue.Size() + 1) / slots;
  if (Now() + expected > request->deadline) {
    auto error = MakeError(ErrorCode::kQueueFull,
                           "the queue is longer than the deadline",
                           OutcomeSoFar(*request));
    error.retry_after = std::chrono::ceil<Milliseconds>(expected);
    return Refuse(request, std::move(error));
  }
  const auto pushed =
      queue.Push(request->workspace, request->weight, request->call.id);
  const auto retry_after = std::chrono::ceil<Milliseconds>(expected);
  if (!pushed.accepted) {
    auto error = MakeError(ErrorCode::kQueueFull, "too many requests wait",
                           OutcomeSoFar(*request));
    error.retry_after = retry_after;
    return Refuse(request, std::move(error));
  }
  request->stage = RequestStage::kQueued;
  request->endpoint = endpoint;
  request->queued_at = Now();
  if (pushed.evicted) {
    if (auto* evicted_request = Find(*pushed.evicted)) {
      m_counters->Add("queue_evictions");
      auto error = MakeError(ErrorCode::kQueueFull, "too many requests wait",
                             OutcomeSoFar(*evicted_request));
      error.retry_after = retry_after;
      Refuse(evicted_request, std::move(error));
    }
  }
  DispatchQueued(endpoint);
}

void TrafficCore::DispatchQueued(const EndpointId& endpoint) {
  auto& queue = QueueOf(endpoint);
  auto* row = m_endpoints.Find(endpoint);
  if (row == nullptr) return;
  while (queue.Size() > 0) {
    auto* connection = m_pool.TakeIdle(endpoint);
    if (connection == nullptr) {
      if (auto open = m_pool.TryOpen(endpoint, row->address, Now())) {
        m_actions.emplace_back(std::move(*open));
      }
      return;
    }
    auto slot = m_slots.TryAcquire(endpoint, Now());
    if (!slot) return m_pool.MarkIdle(connection, connection->idle_since);
    const auto id = queue.Pop();
    auto* request = id ? Find(*id) : nullptr;
    if (request == nullptr) {
      m_slots.Release(*slot, Now());
      m_pool.MarkIdle(connection, connection->idle_since);
      continue;
    }
    request->slot = slot;
    Dispatch(request, connection);
  }
}

PlanKind TrafficCore::PlanKindOf(const Request& request) const {
  if (request.call.kind == RequestKind::kBegin) return PlanKind::kBegin;
  if (!request.writes) {
    const auto* group = m_endpoints.FindGroup(request.group);
    return group != nullptr && group->primary == request.endpoint
               ? PlanKind::kPrimaryRead
               : PlanKind::kReplicaRead;
  }
  if (!request.call.idempotency_key) return PlanKind::kWrite;
  return request.plan == PlanKind::kRecordLookup
             ? PlanKind::kRecordLookup
             : PlanKind::kInsertKeyAndRunWrite;
}

Plan TrafficCore::PlanFor(Request* request) {
  const auto& call = request->call;
  const auto limit = ConfirmLimit(*request);
  switch (request->plan) {
    case PlanKind::kReplicaRead:
      return MakeReplicaRead(request->workspace, call.statements);
    case PlanKind::kPrimaryRead:
      return MakePrimaryRead(request->workspace, call.statements, limit);
    case PlanKind::kBegin:
      return MakeBegin(request->workspace, request->term);
    case PlanKind::kInsertKeyAndRunWrite: {
      const auto now = std::chrono::duration_cast<std::chrono::seconds>(
          m_clock->WallNow().time_since_epoch());
      return MakeInsertKeyAndRunWrite(
          request->workspace, request->term,
          {*call.idempotency_key, request->digest,
           (now + m_options.record_retention).count(), now.count()},
          call.statements);
    }
    case PlanKind::kRecordLookup:
      return MakeRecordLookup(request->workspace, request->term,
                              *call.idempotency_key, limit);
    default:
      return MakeWrite(request->workspace, request->term, call.statements,
                       limit);
  }
}

Milliseconds TrafficCore::ConfirmLimit(const Request& request) const {
  return std::min<Milliseconds>(
      m_options.confirm_limit,
      std::chrono::ceil<Milliseconds>(request.deadline - Now()));
}

Duration TrafficCore::AttemptTimeout(const Request& request,
                                     Instant now) const {
  const Duration remaining = request.deadline - now;
  if (!request.writes) {
    return std::min<Duration>(remaining, m_options.read_timeout);
  }
  // Only a keyed write can be retried, so only its attempts time out before the
  // deadline.
  if (!request.call.idempotency_key) return remaining;
  return std::min<Duration>(remaining, m_options.keyed_write_timeout);
}

void TrafficCore::Dispatch(Request* request, Connection* connection) {
  const auto* group = m_endpoints.FindGroup(request->group);
  request->stage = RequestStage::kRunning;
  request->term = group == nullptr ? 0 : group->term;
  request->plan = PlanKindOf(*request);
  ++request->attempts;
  request->dispatched_at = Now();
  RunPlan(connection, request, PlanFor(request),
          AttemptTimeout(*request, Now()));
}

void TrafficCore::RerouteAfterTermChange(const GroupId& group) {
  const auto* row = m_endpoints.FindGroup(group);
  std::vector<RequestId> affected;
  for (const auto& [id, request] : m_requests) {
    if (request.group != group || request.endpoint == row->primary) continue;
    const bool needed_primary =
        request.writes || request.plan == PlanKind::kPrimaryRead;
    if (needed_primary) affected.push_back(id);
  }
  std::sort(affected.begin(), affected.end());
  for (const auto id : affected) {
    auto* request = Find(id);
    if (request == nullptr) continue;
    if (request->stage == RequestStage::kQueued) {
      QueueOf(request->endpoint).Remove(request->workspace, id);
      Route(request);
    } else if (request->stage == RequestStage::kRunning) {
      // The old primary can no longer confirm anything.
      m_counters->Add("retry_term_changed");
      OnAttemptFailed(request, PipelineFailure::kConnectionLost);
    } else if (request->stage == RequestStage::kAwaitRoute) {
      request->not_before = Now();
    }
  }
}

}  // namespace tiller::traffic
