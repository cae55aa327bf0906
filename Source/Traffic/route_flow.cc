// Routing of admitted requests, their queues, and their dispatch.
#include <algorithm>
#include <utility>

#include "Traffic/traffic_core.h"

namespace tiller::traffic {
namespace {

// A request without a usable endpoint looks again after this time.
constexpr Milliseconds kRouteRetry{10};
constexpr Milliseconds kReplicaWaitStep{3};
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
  if (primary == nullptr || Now() < primary->avoid_until) {
    m_counters->Add("wait_primary_unavailable");
    return WaitForRoute(request, kRouteRetry);
  }
  // One connection stays free for requests outside of transactions.
  const auto open = static_cast<int>(m_pool.PinnedOf(primary->name));
  if (request->call.kind == RequestKind::kBegin &&
      open + 1 >= m_pool.LimitOf(primary->name)) {
    auto error = MakeError(ErrorCode::kTransactionLimit,
                           "too many open transactions on this host");
    error.retry_after = kTransactionRetryAfter;
    return Refuse(request, std::move(error));
  }
  Enqueue(request, primary->name);
}

void TrafficCore::RouteRead(Request* request) {
  routing::ReadNeeds needs;
  needs.group = request->group;
  needs.seen = request->session.SeenIn(request->group);
  needs.max_age = request->max_age;
  needs.excluded = request->excluded;
  if (const auto* group = m_endpoints.FindGroup(request->group)) {
    for (const auto& name : group->endpoints) {
      m_endpoints.Find(name)->load = QueueOf(name).Size() + m_pool.BusyOf(name);
    }
  }
  const auto waited = Now() - request->arrived;
  // A bound this tight can't be proved for a replica, so nothing is gained by
  // waiting for one.
  const bool fresh = request->max_age < m_options.replica_patience;
  const auto patience =
      std::min<Duration>(m_options.replica_patience,
                         (request->deadline - request->arrived) / 2) -
      waited;
  const auto usable_patience = fresh ? Duration::zero() : patience;
  const auto choice =
      m_router.Choose(m_endpoints, needs, waited, usable_patience, Now());
  switch (choice.kind) {
    case routing::ReadTarget::kReplica:
    case routing::ReadTarget::kPrimary:
      return Enqueue(request, choice.endpoint);
    case routing::ReadTarget::kWait:
      m_counters->Add("wait_replica_position");
      return WaitForRoute(request, kReplicaWaitStep);
    case routing::ReadTarget::kNone:
      break;
  }
  // Every endpoint was tried or is unreachable: start over after a while.
  request->excluded.clear();
  m_counters->Add("wait_replica_unavailable");
  WaitForRoute(request, kRouteRetry);
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
  request->queued = Now();
  if (pushed.evicted) {
    if (auto* victim = Find(*pushed.evicted)) {
      m_counters->Add("queue_evictions");
      auto error = MakeError(ErrorCode::kQueueFull, "too many requests wait",
                             OutcomeSoFar(*victim));
      error.retry_after = retry_after;
      Refuse(victim, std::move(error));
    }
  }
  Pump(endpoint);
}

void TrafficCore::Pump(const EndpointId& endpoint) {
  auto& queue = QueueOf(endpoint);
  auto* row = m_endpoints.Find(endpoint);
  if (row == nullptr) return;
  while (queue.Size() > 0) {
    auto* connection = m_pool.TakeIdle(endpoint);
    if (connection == nullptr) {
      if (auto open = m_pool.Grow(endpoint, row->address, Now())) {
        m_actions.emplace_back(std::move(*open));
      }
      return;
    }
    auto unit = m_units.TryAcquire(endpoint, Now());
    if (!unit) return m_pool.MarkIdle(connection, connection->since);
    const auto id = queue.Pop();
    auto* request = id ? Find(*id) : nullptr;
    if (request == nullptr) {
      m_units.Release(*unit, Now());
      m_pool.MarkIdle(connection, connection->since);
      continue;
    }
    request->unit = unit;
    Dispatch(request, connection);
  }
}

PlanKind TrafficCore::KindOf(const Request& request) const {
  if (request.call.kind == RequestKind::kBegin) return PlanKind::kBegin;
  if (!request.writes) {
    const auto* group = m_endpoints.FindGroup(request.group);
    return group != nullptr && group->primary == request.endpoint
               ? PlanKind::kPrimaryRead
               : PlanKind::kReplicaRead;
  }
  if (!request.call.idempotency_key) return PlanKind::kWrite;
  return request.plan == PlanKind::kRecordLookup ? PlanKind::kRecordLookup
                                                 : PlanKind::kClaim;
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
    case PlanKind::kClaim: {
      const auto now = std::chrono::duration_cast<std::chrono::seconds>(
          m_clock->WallNow().time_since_epoch());
      return MakeClaim(
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
  const Duration left = request.deadline - now;
  if (!request.writes) {
    return std::min<Duration>(left, m_options.read_timeout);
  }
  // Only a keyed write can be sent again, so only it gives up early.
  if (!request.call.idempotency_key) return left;
  return std::min<Duration>(left, m_options.keyed_write_timeout);
}

void TrafficCore::Dispatch(Request* request, Connection* connection) {
  const auto* group = m_endpoints.FindGroup(request->group);
  request->stage = RequestStage::kRunning;
  request->term = group == nullptr ? 0 : group->term;
  request->plan = KindOf(*request);
  ++request->attempts;
  request->dispatched = Now();
  RunOn(connection, request, PlanFor(request), AttemptTimeout(*request, Now()));
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
      // The old primary can't confirm anything any more.
      m_counters->Add("retry_term_changed");
      OnAttemptFailed(request, PipelineFailure::kLost);
    } else if (request->stage == RequestStage::kAwaitRoute) {
      request->not_before = Now();
    }
  }
}

}  // namespace tiller::traffic
