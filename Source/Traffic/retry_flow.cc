// Evaluates the results of an attempt: answers the request, retries it, or
// refuses it with an outcome that states whether it may have run.
#include <utility>

#include "Common/log.h"
#include "Traffic/traffic_core.h"

namespace tiller::traffic {
namespace {

using endpoint::StepResult;
using Results = std::vector<StepResult>;

constexpr std::string_view kSerializationFailure = "40001";
// Delay before a retry after an endpoint refused because its role or term
// changed; leaves time to learn of the new primary.
constexpr Milliseconds kTermRetryDelay{20};

// True for plans whose pipeline contains COMMIT, or follows one (kConfirm).
bool MayCommit(PlanKind plan) {
  return plan == PlanKind::kWrite || plan == PlanKind::kCommitKeyedWrite ||
         plan == PlanKind::kCommit || plan == PlanKind::kConfirm;
}

std::string RetryCounterName(PipelineFailure failure) {
  switch (failure) {
    case PipelineFailure::kNotSent:
      return "retry_not_sent";
    case PipelineFailure::kTimeout:
      return "retry_timeout";
    case PipelineFailure::kAnswerTooLarge:
      return "answers_too_large";
    case PipelineFailure::kNoRoom:
      return "answers_without_room";
    default:
      return "retry_connection_lost";
  }
}

ErrorCode RefusalCode(PipelineFailure failure) {
  switch (failure) {
    case PipelineFailure::kTimeout:
      return ErrorCode::kTimeout;
    case PipelineFailure::kNoRoom:
      return ErrorCode::kQueueFull;
    default:
      return ErrorCode::kEndpointLost;
  }
}

}  // namespace

void TrafficCore::On(const PipelineDone& done) {
  auto* connection = m_pool.Find(done.connection);
  if (connection == nullptr) return;
  if (done.generation != connection->generation ||
      connection->state != ConnectionState::kBusy) {
    // Late results of an abandoned exchange; no request waits for them.
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
    const bool by_endpoint = done.failure == PipelineFailure::kConnectionLost ||
                             done.failure == PipelineFailure::kTimeout;
    if (by_endpoint) SuspectEndpoint(endpoint);
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
  DispatchQueued(endpoint);
}

void TrafficCore::OnResults(Request* request, Connection* connection,
                            const Results& results) {
  const auto& layout = request->layout;
  m_endpoints.ObserveServiceTime(connection->endpoint,
                                 Now() - request->dispatched_at);
  if (layout.status >= 0)
    RecordEndpointStatus(connection->endpoint,
                         ResultAt(results, layout.status));
  switch (request->plan) {
    case PlanKind::kReplicaRead:
    case PlanKind::kPrimaryRead:
      return OnReadResults(request, connection, results);
    case PlanKind::kWrite:
    case PlanKind::kCommitKeyedWrite:
      return OnWriteResults(request, connection, results);
    case PlanKind::kInsertKeyAndRunWrite:
      return OnInsertKeyAndRunWriteResults(request, connection, results);
    case PlanKind::kRecordLookup:
      return OnRecordLookupResults(request, connection, results);
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
  const auto status = endpoint::ParseStatus(ResultAt(results, layout.status));
  const auto session_position =
      request->session.LastSeenPosition(request->group);
  ReleaseConnection(request, connection);
  if (!status) return RetryOrRefuse(request, ErrorCode::kMessageInvalid);
  const bool covers_session =
      status.value().term >= session_position.term &&
      status.value().applied >= session_position.position;
  GroupPosition read_position;
  if (request->plan == PlanKind::kPrimaryRead) {
    const auto confirmed =
        endpoint::ParseConfirmation(ResultAt(results, layout.confirm));
    if (!covers_session || !confirmed || !confirmed.value().confirmed ||
        confirmed.value().at.term != status.value().term) {
      // The endpoint could not prove that it is still the primary.
      request->excluded.insert(name);
      return RetryOrRefuse(request, ErrorCode::kNotConfirmed);
    }
    read_position = confirmed.value().at;
    m_endpoints.AddWatermark(request->group,
                             {request->dispatched_at, read_position});
  } else {
    const auto* row = m_endpoints.Find(name);
    const auto age =
        row == nullptr ? std::nullopt : m_endpoints.AgeOf(*row, Now());
    if (!covers_session || !age || *age > request->max_age) {
      m_counters->Add("retry_replica_behind");
      m_endpoints.ObserveCatchUp(name, false);
      return WaitForRoute(request, Milliseconds(1));
    }
    m_endpoints.ObserveCatchUp(name, true);
    const auto final_status =
        endpoint::ParseStatus(ResultAt(results, layout.status_after));
    const auto& last = final_status ? final_status.value() : status.value();
    read_position = {last.term, last.applied};
  }
  if (const auto* failed = FirstFailure(results)) {
    const auto error = endpoint::ErrorOf(*failed);
    if (error.code == ErrorCode::kNotPrimary) {
      // The statement was classified as a read but writes: run it on the
      // primary.
      m_counters->Add("retry_read_that_writes");
      request->writes = true;
      return WaitForRoute(request, Duration::zero());
    }
    return Refuse(request, error);
  }
  m_counters->Add(request->plan == PlanKind::kPrimaryRead ? "reads_primary"
                                                          : "reads_replica");
  request->session.Advance(request->group, read_position);
  Succeed(request, ResultJson(results, layout,
                              request->call.kind == RequestKind::kBatch));
}

bool TrafficCore::RetryOnRoleChange(Request* request, Connection* connection,
                                    const StepResult& result) {
  if (result.ok) return false;
  const auto error = endpoint::ErrorOf(result);
  const bool role_changed = error.code == ErrorCode::kNotPrimary ||
                            error.code == ErrorCode::kStaleTerm ||
                            error.code == ErrorCode::kFenced;
  if (!role_changed) return false;
  m_counters->Add("retry_" + std::string(NameOf(error.code)));
  Reset(connection);
  ReleaseSlot(request);
  WaitForRoute(request, kTermRetryDelay);
  return true;
}

void TrafficCore::OnWriteResults(Request* request, Connection* connection,
                                 const Results& results) {
  const auto& layout = request->layout;
  if (layout.term_check >= 0 &&
      RetryOnRoleChange(request, connection,
                        ResultAt(results, layout.term_check))) {
    return;
  }
  const auto& commit = ResultAt(results, layout.commit);
  if (RetryOnRoleChange(request, connection, commit)) return;
  if (!commit.ok) {
    const auto* failed = FirstFailure(results);
    const auto error = endpoint::ErrorOf(failed != nullptr ? *failed : commit);
    ReleaseConnection(request, connection);
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
  OnConfirmResult(request, connection, ResultAt(results, layout.confirm));
}

void TrafficCore::OnConfirmResult(Request* request, Connection* connection,
                                  const StepResult& result) {
  const auto confirmed = endpoint::ParseConfirmation(result);
  const bool same_term =
      confirmed && confirmed.value().at.term == request->term;
  if (same_term && confirmed.value().confirmed) {
    const auto position = confirmed.value().at;
    ReleaseConnection(request, connection);
    return AcknowledgeWrite(request, position);
  }
  m_counters->Add("retry_not_confirmed");
  const bool keyed = request->call.idempotency_key.has_value() &&
                     request->call.transaction.empty();
  if (!same_term || keyed) {
    ReleaseConnection(request, connection);
    if (keyed) return RetryOrRefuse(request, ErrorCode::kNotConfirmed);
    return Refuse(request, MakeError(ErrorCode::kNotConfirmed,
                                     "committed by a primary that was replaced",
                                     RunOutcome::kUnknown));
  }
  // Without an idempotency key the write can't be retried, but the host can
  // wait for the confirmation until the deadline.
  const auto remaining = request->deadline - Now();
  request->plan = PlanKind::kConfirm;
  RunPlan(connection, request, MakeConfirm(ConfirmLimit(*request)), remaining);
}

void TrafficCore::AcknowledgeWrite(Request* request, GroupPosition position) {
  m_counters->Add("writes_acknowledged");
  request->session.Advance(request->group, position);
  Succeed(request, std::move(request->pending_body));
}

void TrafficCore::OnInsertKeyAndRunWriteResults(Request* request,
                                                Connection* connection,
                                                const Results& results) {
  const auto& layout = request->layout;
  if (RetryOnRoleChange(request, connection,
                        ResultAt(results, layout.term_check))) {
    return;
  }
  const auto& claim = ResultAt(results, layout.claim);
  if (!claim.ok && claim.sqlstate == endpoint::kUniqueViolation) {
    // The key has a record already, from an earlier request or an earlier
    // attempt of this one: look up the stored answer.
    m_counters->Add("idempotent_replays");
    Reset(connection);
    ReleaseSlot(request);
    request->plan = PlanKind::kRecordLookup;
    return WaitForRoute(request, Duration::zero());
  }
  if (const auto* failed = FirstFailure(results)) {
    const auto error = endpoint::ErrorOf(*failed);
    Reset(connection);
    ReleaseSlot(request);
    if (error.sqlstate == kSerializationFailure) {
      return RetryOrRefuse(request, ErrorCode::kStatementFailed);
    }
    auto refusal = error;
    refusal.outcome = OutcomeSoFar(*request);
    return Refuse(request, std::move(refusal));
  }
  request->pending_body =
      ResultJson(results, layout, request->call.kind == RequestKind::kBatch);
  request->plan = PlanKind::kCommitKeyedWrite;
  const auto limit = ConfirmLimit(*request);
  RunPlan(connection, request,
          MakeCommitKeyedWrite(*request->call.idempotency_key,
                               request->pending_body, limit),
          AttemptTimeout(*request, Now()));
}

void TrafficCore::OnRecordLookupResults(Request* request,
                                        Connection* connection,
                                        const Results& results) {
  const auto& layout = request->layout;
  if (RetryOnRoleChange(request, connection,
                        ResultAt(results, layout.term_check))) {
    return;
  }
  const auto& record = ResultAt(results, layout.record);
  const auto confirmed =
      endpoint::ParseConfirmation(ResultAt(results, layout.confirm));
  ReleaseConnection(request, connection);
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
    // The other attempt was rolled back, so this one may run.
    request->plan = PlanKind::kInsertKeyAndRunWrite;
    return RetryOrRefuse(request, ErrorCode::kConflict);
  }
  const auto& fields = record.rows.front();
  if (fields.size() < 2 || fields[0] != request->digest) {
    return Refuse(request, MakeError(ErrorCode::kIdempotencyKeyReused,
                                     "the key was used for another request"));
  }
  request->pending_body = fields[1].value_or("");
  AcknowledgeWrite(request, confirmed.value().at);
}

void TrafficCore::OnAttemptFailed(Request* request, PipelineFailure failure) {
  const auto connection = request->connection;
  const auto endpoint = request->endpoint;
  Close(connection, true);
  ReleaseSlot(request);
  request->stage = RequestStage::kAwaitRoute;
  const bool sent = failure != PipelineFailure::kNotSent;
  if (sent && MayCommit(request->plan)) request->effect_possible = true;
  m_counters->Add(RetryCounterName(failure));
  const auto& transaction = request->call.transaction;
  if (failure == PipelineFailure::kAnswerTooLarge) {
    // Another endpoint would send as much.
    log::Event(log::Channel::kTraffic, log::Level::kWarn, "answer_too_large",
               {{"workspace", request->workspace}, {"endpoint", endpoint}});
    if (!transaction.empty()) m_transactions.Remove(transaction);
    return Refuse(request, MakeError(ErrorCode::kAnswerTooLarge,
                                     "the endpoint's answer exceeds the limit",
                                     OutcomeSoFar(*request)));
  }
  if (!transaction.empty()) {
    m_transactions.Remove(transaction);
    const bool outcome_unknown = request->effect_possible;
    return Refuse(
        request,
        MakeError(
            outcome_unknown ? ErrorCode::kEndpointLost
                            : ErrorCode::kTransactionRolledBack,
            outcome_unknown ? "the answer to the commit was lost"
                            : "the transaction's connection was lost",
            outcome_unknown ? RunOutcome::kUnknown : RunOutcome::kNotRun));
  }
  if (!request->writes) request->excluded.insert(endpoint);
  RetryOrRefuse(request, RefusalCode(failure));
}

void TrafficCore::RetryOrRefuse(Request* request, ErrorCode reason) {
  const auto now = Now();
  const bool safe_to_retry =
      !request->effect_possible || request->call.idempotency_key.has_value();
  if (!safe_to_retry || now >= request->deadline) {
    const auto code =
        now >= request->deadline ? ErrorCode::kDeadlineExceeded : reason;
    return Refuse(request, MakeError(code, "no confirmed answer",
                                     OutcomeSoFar(*request)));
  }
  if (!m_retry_budget.TrySpend()) {
    m_counters->Add("retries_over_budget");
    return Refuse(
        request, MakeError(reason, "too many retries", OutcomeSoFar(*request)));
  }
  m_counters->Add("retries");
  // The first retry of a read goes to another endpoint without delay.
  const bool immediate = !request->writes && request->attempts <= 1;
  WaitForRoute(request, immediate ? Duration::zero()
                                  : limits::RetryBudget::Delay(
                                        request->attempts, m_random));
}

}  // namespace tiller::traffic
