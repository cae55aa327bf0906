// What the results of an attempt mean: an answer, another attempt, or a
// refusal that says truthfully whether the request ran.
#include <utility>

#include "Traffic/traffic_core.h"

namespace tiller::traffic {
namespace {

using endpoint::StepResult;
using Results = std::vector<StepResult>;

constexpr std::string_view kSerializationFailure = "40001";
// Wait for the new primary after an old one refused.
constexpr Milliseconds kTermRetry{20};

// Plans whose pipeline carries a COMMIT.
bool MayCommit(PlanKind plan) {
  return plan == PlanKind::kWrite || plan == PlanKind::kFinish ||
         plan == PlanKind::kCommit || plan == PlanKind::kConfirm;
}

std::string ReasonName(PipelineFailure failure) {
  switch (failure) {
    case PipelineFailure::kNotSent:
      return "retry_not_sent";
    case PipelineFailure::kTimeout:
      return "retry_timeout";
    default:
      return "retry_connection_lost";
  }
}

}  // namespace

void TrafficCore::On(const PipelineDone& done) {
  auto* connection = m_pool.Find(done.connection);
  if (connection == nullptr) return;
  if (done.generation != connection->generation ||
      connection->state != ConnectionState::kBusy) {
    // An answer to an exchange that was given up belongs to nobody.
    m_counters->Add("answers_of_other_exchanges");
    return;
  }
  const auto endpoint = connection->endpoint;
  auto* request = Find(connection->request);
  if (done.failure != PipelineFailure::kNone) {
    const bool pinned = !connection->transaction.empty();
    const auto transaction = connection->transaction;
    if (request != nullptr) {
      OnAttemptFailed(request, done.failure);
    } else {
      Close(done.connection, true);
      if (pinned) m_transactions.Remove(transaction);
    }
    if (done.failure != PipelineFailure::kNotSent) SuspectEndpoint(endpoint);
  } else if (connection->probing) {
    OnProbeResults(connection, done.results);
  } else if (connection->resetting) {
    if (FirstFailure(done.results) == nullptr) {
      m_pool.MarkIdle(connection, Now());
    } else {
      Close(done.connection, false);
    }
  } else if (request != nullptr) {
    OnResults(request, connection, done.results);
  } else {
    Close(done.connection, false);
  }
  Pump(endpoint);
}

void TrafficCore::OnResults(Request* request, Connection* connection,
                            const Results& results) {
  const auto& layout = request->layout;
  m_endpoints.ObserveServiceTime(connection->endpoint,
                                 Now() - request->dispatched);
  if (layout.status >= 0)
    Observe(connection->endpoint, At(results, layout.status));
  switch (request->plan) {
    case PlanKind::kReplicaRead:
    case PlanKind::kPrimaryRead:
      return OnReadResults(request, connection, results);
    case PlanKind::kWrite:
    case PlanKind::kFinish:
      return OnWriteResults(request, connection, results);
    case PlanKind::kClaim:
      return OnClaimResults(request, connection, results);
    case PlanKind::kRecordLookup:
      return OnRecordResults(request, connection, results);
    case PlanKind::kConfirm:
      return OnConfirmResult(request, connection, results.back());
    default:
      return OnTransactionResults(request, connection, results);
  }
}

void TrafficCore::OnReadResults(Request* request, Connection* connection,
                                const Results& results) {
  const auto& layout = request->layout;
  const auto name = connection->endpoint;
  const auto status = endpoint::ParseStatus(At(results, layout.status));
  const auto seen = request->session.SeenIn(request->group);
  GiveBack(request, connection);
  if (!status) return RetryOrRefuse(request, ErrorCode::kMessageInvalid);
  const bool holds_seen = status.value().term >= seen.term &&
                          status.value().applied >= seen.position;
  GroupPosition reached;
  if (request->plan == PlanKind::kPrimaryRead) {
    const auto confirmed =
        endpoint::ParseConfirmation(At(results, layout.confirm));
    if (!holds_seen || !confirmed || !confirmed.value().confirmed ||
        confirmed.value().at.term != status.value().term) {
      // It could not prove that it still is the primary.
      request->excluded.insert(name);
      return RetryOrRefuse(request, ErrorCode::kNotConfirmed);
    }
    reached = confirmed.value().at;
    m_endpoints.AddMark(request->group, {request->dispatched, reached});
  } else {
    const auto* row = m_endpoints.Find(name);
    const auto age =
        row == nullptr ? std::nullopt : m_endpoints.AgeOf(*row, Now());
    if (!holds_seen || !age || *age > request->max_age) {
      m_counters->Add("retry_replica_behind");
      m_endpoints.ObserveReached(name, false);
      return WaitForRoute(request, Milliseconds(1));
    }
    m_endpoints.ObserveReached(name, true);
    const auto after = endpoint::ParseStatus(At(results, layout.status_after));
    const auto& last = after ? after.value() : status.value();
    reached = {last.term, last.applied};
  }
  if (const auto* failed = FirstFailure(results)) {
    const auto error = endpoint::ErrorOf(*failed);
    if (error.code == ErrorCode::kNotPrimary) {
      // It wrote after all: run it where writes run.
      m_counters->Add("retry_read_that_writes");
      request->writes = true;
      return WaitForRoute(request, Duration::zero());
    }
    return Refuse(request, error);
  }
  m_counters->Add(request->plan == PlanKind::kPrimaryRead ? "reads_primary"
                                                          : "reads_replica");
  request->session.Advance(request->group, reached);
  Succeed(request, ResultJson(results, layout,
                              request->call.kind == RequestKind::kBatch));
}

bool TrafficCore::RefusedByEndpoint(Request* request, Connection* connection,
                                    const StepResult& result) {
  if (result.ok) return false;
  const auto error = endpoint::ErrorOf(result);
  const bool role_changed = error.code == ErrorCode::kNotPrimary ||
                            error.code == ErrorCode::kStaleTerm ||
                            error.code == ErrorCode::kFenced;
  if (!role_changed) return false;
  m_counters->Add("retry_" + std::string(NameOf(error.code)));
  Reset(connection);
  ReleaseUnit(request);
  WaitForRoute(request, kTermRetry);
  return true;
}

void TrafficCore::OnWriteResults(Request* request, Connection* connection,
                                 const Results& results) {
  const auto& layout = request->layout;
  if (layout.expect >= 0 &&
      RefusedByEndpoint(request, connection, At(results, layout.expect))) {
    return;
  }
  const auto& commit = At(results, layout.commit);
  if (RefusedByEndpoint(request, connection, commit)) return;
  if (!commit.ok) {
    const auto* failed = FirstFailure(results);
    const auto error = endpoint::ErrorOf(failed != nullptr ? *failed : commit);
    GiveBack(request, connection);
    if (error.sqlstate == kSerializationFailure) {
      return RetryOrRefuse(request, ErrorCode::kStatementFailed);
    }
    return Refuse(request, error);
  }
  request->effect_possible = true;
  if (request->plan == PlanKind::kWrite) {
    request->pending_body =
        ResultJson(results, layout, request->call.kind == RequestKind::kBatch);
  }
  OnConfirmResult(request, connection, At(results, layout.confirm));
}

void TrafficCore::OnConfirmResult(Request* request, Connection* connection,
                                  const StepResult& result) {
  const auto confirmed = endpoint::ParseConfirmation(result);
  const bool same_term =
      confirmed && confirmed.value().at.term == request->term;
  if (same_term && confirmed.value().confirmed) {
    const auto position = confirmed.value().at;
    GiveBack(request, connection);
    return FinishCommitted(request, position);
  }
  m_counters->Add("retry_not_confirmed");
  const bool keyed = request->call.idempotency_key.has_value() &&
                     request->call.transaction.empty();
  if (!same_term || keyed) {
    GiveBack(request, connection);
    if (keyed) return RetryOrRefuse(request, ErrorCode::kNotConfirmed);
    return Refuse(request, MakeError(ErrorCode::kNotConfirmed,
                                     "committed by a primary that was replaced",
                                     RunOutcome::kUnknown));
  }
  // Without a key the write can't be sent again, but its confirmation can be
  // awaited for as long as the caller waits.
  const auto left = request->deadline - Now();
  request->plan = PlanKind::kConfirm;
  RunOn(connection, request, MakeConfirm(ConfirmLimit(*request)), left);
}

void TrafficCore::FinishCommitted(Request* request, GroupPosition position) {
  m_counters->Add("writes_acknowledged");
  request->session.Advance(request->group, position);
  Succeed(request, std::move(request->pending_body));
}

void TrafficCore::OnClaimResults(Request* request, Connection* connection,
                                 const Results& results) {
  const auto& layout = request->layout;
  if (RefusedByEndpoint(request, connection, At(results, layout.expect))) {
    return;
  }
  const auto& claim = At(results, layout.claim);
  if (!claim.ok && claim.sqlstate == endpoint::kUniqueViolation) {
    // The request ran before, or its first attempt did: find its answer.
    m_counters->Add("idempotent_replays");
    Reset(connection);
    ReleaseUnit(request);
    request->plan = PlanKind::kRecordLookup;
    return WaitForRoute(request, Duration::zero());
  }
  if (const auto* failed = FirstFailure(results)) {
    const auto error = endpoint::ErrorOf(*failed);
    Reset(connection);
    ReleaseUnit(request);
    if (error.sqlstate == kSerializationFailure) {
      return RetryOrRefuse(request, ErrorCode::kStatementFailed);
    }
    auto refused = error;
    refused.outcome = OutcomeSoFar(*request);
    return Refuse(request, std::move(refused));
  }
  request->pending_body =
      ResultJson(results, layout, request->call.kind == RequestKind::kBatch);
  request->plan = PlanKind::kFinish;
  const auto limit = ConfirmLimit(*request);
  RunOn(
      connection, request,
      MakeFinish(*request->call.idempotency_key, request->pending_body, limit),
      AttemptTimeout(*request, Now()));
}

void TrafficCore::OnRecordResults(Request* request, Connection* connection,
                                  const Results& results) {
  const auto& layout = request->layout;
  if (RefusedByEndpoint(request, connection, At(results, layout.expect))) {
    return;
  }
  const auto& record = At(results, layout.record);
  const auto confirmed =
      endpoint::ParseConfirmation(At(results, layout.confirm));
  GiveBack(request, connection);
  if (!record.ok || !confirmed || !confirmed.value().confirmed ||
      confirmed.value().at.term != request->term) {
    return RetryOrRefuse(request, ErrorCode::kNotConfirmed);
  }
  if (record.rows.empty() && request->call.kind == RequestKind::kCommit) {
    return Refuse(request, MakeError(ErrorCode::kTransactionUnknown,
                                     "not open here, and not recorded",
                                     RunOutcome::kUnknown));
  }
  if (record.rows.empty()) {
    // The other attempt was rolled back; this one may run.
    request->plan = PlanKind::kClaim;
    return RetryOrRefuse(request, ErrorCode::kConflict);
  }
  const auto& row = record.rows.front();
  if (row.size() < 2 || row[0] != request->digest) {
    return Refuse(request, MakeError(ErrorCode::kIdempotencyKeyReused,
                                     "the key was used for another request"));
  }
  request->pending_body = row[1].value_or("");
  FinishCommitted(request, confirmed.value().at);
}

void TrafficCore::OnAttemptFailed(Request* request, PipelineFailure failure) {
  const auto connection = request->connection;
  const auto endpoint = request->endpoint;
  Close(connection, true);
  ReleaseUnit(request);
  request->stage = RequestStage::kAwaitRoute;
  const bool sent = failure != PipelineFailure::kNotSent;
  if (sent && MayCommit(request->plan)) request->effect_possible = true;
  const auto& transaction = request->call.transaction;
  if (!transaction.empty()) {
    m_transactions.Remove(transaction);
    const bool unknown = request->effect_possible;
    return Refuse(
        request,
        MakeError(unknown ? ErrorCode::kEndpointLost
                          : ErrorCode::kTransactionRolledBack,
                  unknown ? "the answer to the commit was lost"
                          : "the transaction's connection was lost",
                  unknown ? RunOutcome::kUnknown : RunOutcome::kNotRun));
  }
  m_counters->Add(ReasonName(failure));
  if (!request->writes) request->excluded.insert(endpoint);
  RetryOrRefuse(request, failure == PipelineFailure::kTimeout
                             ? ErrorCode::kTimeout
                             : ErrorCode::kEndpointLost);
}

void TrafficCore::RetryOrRefuse(Request* request, ErrorCode reason) {
  const auto now = Now();
  const bool repeatable =
      !request->effect_possible || request->call.idempotency_key.has_value();
  if (!repeatable || now >= request->deadline) {
    const auto code =
        now >= request->deadline ? ErrorCode::kDeadlineExceeded : reason;
    return Refuse(request, MakeError(code, "no confirmed answer",
                                     OutcomeSoFar(*request)));
  }
  if (!m_retries.TrySpend()) {
    m_counters->Add("retries_over_budget");
    return Refuse(
        request, MakeError(reason, "too many retries", OutcomeSoFar(*request)));
  }
  m_counters->Add("retries");
  // The first retry of a read goes elsewhere at once.
  const bool at_once = !request->writes && request->attempts <= 1;
  WaitForRoute(request, at_once ? Duration::zero()
                                : limits::RetryBudget::Delay(request->attempts,
                                                             m_random));
}

}  // namespace tiller::traffic
