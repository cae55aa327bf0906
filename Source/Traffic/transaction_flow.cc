// Interactive transactions of the traffic core: begin, statements, commit,
// rollback and expiry. A transaction keeps its connection and term throughout.
#include <algorithm>
#include <utility>

#include "Common/crypto.h"
#include "Traffic/traffic_core.h"

namespace tiller::traffic {
namespace {

using Results = std::vector<endpoint::StepResult>;

std::string StatementBody(const Results& results, const PlanLayout& layout) {
  return ResultJson(results, layout, false);
}

}  // namespace

void TrafficCore::StartTransactionCall(Request* request) {
  const auto found =
      m_transactions.FindIdle(request->call.transaction, request->workspace);
  if (!found && found.error().code == ErrorCode::kTransactionUnknown &&
      request->call.kind == RequestKind::kCommit) {
    return ResolveLostCommit(request, found.error());
  }
  if (!found) return Refuse(request, found.error());
  auto* transaction = found.value();
  auto* connection = m_pool.Find(transaction->connection);
  if (connection == nullptr) {
    m_transactions.Remove(request->call.transaction);
    return Refuse(request, MakeError(ErrorCode::kTransactionRolledBack,
                                     "the transaction's connection was lost"));
  }
  const bool needs_slot = request->call.kind != RequestKind::kRollback;
  if (needs_slot) {
    request->slot = m_slots.TryAcquire(transaction->endpoint, Now());
    if (!request->slot) return WaitForRoute(request, Milliseconds(2));
  }
  transaction->stage = TransactionStage::kRunning;
  transaction->last_used_at = Now();
  request->stage = RequestStage::kRunning;
  request->endpoint = transaction->endpoint;
  request->term = transaction->term;
  request->writes = true;
  request->dispatched_at = Now();
  ++request->attempts;
  const auto remaining = request->deadline - Now();
  Plan plan;
  switch (request->call.kind) {
    case RequestKind::kRollback:
      request->plan = PlanKind::kRollback;
      plan = MakeReset();
      break;
    case RequestKind::kCommit: {
      request->plan = PlanKind::kCommit;
      request->pending_body = "{\"committed\":true}";
      const auto now = std::chrono::duration_cast<std::chrono::seconds>(
          m_clock->WallNow().time_since_epoch());
      IdempotencyRecord record{
          request->call.idempotency_key.value_or(""), request->digest,
          (now + m_options.record_retention).count(), now.count()};
      plan = MakeCommit(request->call.idempotency_key ? &record : nullptr,
                        request->pending_body, m_options.confirm_limit);
      break;
    }
    default:
      request->plan = PlanKind::kTransactionStatement;
      plan = MakeTransactionStatement(request->call.statements.front());
  }
  RunPlan(connection, request, std::move(plan), remaining);
}

// Handles a commit of a transaction that is not open on this host. An earlier
// attempt may have committed it, here or on another host; only the record of
// the idempotency key can show that.
void TrafficCore::ResolveLostCommit(Request* request, Error error) {
  if (!request->call.idempotency_key) {
    error.outcome = RunOutcome::kUnknown;
    return Refuse(request, std::move(error));
  }
  request->call.transaction.clear();
  request->writes = true;
  request->effect_possible = true;
  request->plan = PlanKind::kRecordLookup;
  RouteToPrimary(request);
}

void TrafficCore::OnTransactionResults(Request* request, Connection* connection,
                                       const Results& results) {
  if (request->plan == PlanKind::kBegin) {
    if (RetryOnRoleChange(request, connection,
                          ResultAt(results, request->layout.term_check))) {
      return;
    }
    return FinishTransactionCall(request, connection, {});
  }
  const auto id = request->call.transaction;
  if (request->plan == PlanKind::kCommit) {
    m_transactions.Remove(id);
    connection->transaction.clear();
    request->leaves_state = true;
    const auto& commit = ResultAt(results, request->layout.commit);
    if (commit.ok) {
      request->effect_possible = true;
      return OnConfirmResult(request, connection,
                             ResultAt(results, request->layout.confirm));
    }
    const auto* failed = FirstFailure(results);
    auto error = endpoint::ErrorOf(failed != nullptr ? *failed : commit);
    error.code = ErrorCode::kTransactionRolledBack;
    Reset(connection);
    return Refuse(request, std::move(error));
  }
  if (request->plan == PlanKind::kRollback) {
    m_transactions.Remove(id);
    connection->transaction.clear();
    ReleaseConnection(request, connection);
    return Succeed(request, "{\"rolled_back\":true}");
  }
  if (const auto* failed = FirstFailure(results)) {
    // PostgreSQL has aborted the transaction: end it and report the rollback.
    auto error = endpoint::ErrorOf(*failed);
    error.detail += " (the transaction was rolled back)";
    m_transactions.Remove(id);
    Reset(connection);
    return Refuse(request, std::move(error));
  }
  FinishTransactionCall(request, connection,
                        StatementBody(results, request->layout));
}

void TrafficCore::FinishTransactionCall(Request* request,
                                        Connection* connection,
                                        const std::string& body) {
  connection->request = 0;
  connection->idle_since = Now();
  if (request->plan != PlanKind::kBegin) {
    auto* transaction = m_transactions.Find(request->call.transaction);
    transaction->stage = TransactionStage::kIdle;
    transaction->last_used_at = Now();
    return Succeed(request, body);
  }
  const auto id = m_options.host + "-" +
                  Sha256Hex(std::to_string(m_random->Next())).substr(0, 24);
  connection->transaction = id;
  m_transactions.Add({id, request->workspace, request->group, request->key_id,
                      request->endpoint, connection->id, request->term,
                      TransactionStage::kIdle, Now(), Now()});
  m_counters->Add("transactions_begun");
  Succeed(request, "{\"transaction\":\"" + id + "\"}");
}

void TrafficCore::EndTransaction(const std::string& id,
                                 std::string_view reason) {
  auto* transaction = m_transactions.Find(id);
  if (transaction == nullptr) return;
  m_counters->Add("transactions_ended_" + std::string(reason));
  auto* connection = m_pool.Find(transaction->connection);
  m_transactions.Remove(id);
  if (connection != nullptr) Reset(connection);
}

void TrafficCore::EndInvalidTransactions(Instant now) {
  for (const auto& id : m_transactions.Expired(now, m_options.transaction_idle,
                                               m_options.transaction_total)) {
    EndTransaction(id, "expired");
  }
  if (!m_view || !m_view->config) return;
  std::vector<std::pair<std::string, std::string_view>> to_end;
  for (const auto& item : m_transactions.Rows()) {
    const auto& id = item.first;
    const auto& row = item.second;
    if (row.stage != TransactionStage::kIdle) continue;
    const auto& keys = m_view->config->keys;
    const bool key_valid =
        std::any_of(keys.begin(), keys.end(), [&](const auto& key) {
          return key.id == row.key_id && !key.withdrawn;
        });
    const auto* group = m_endpoints.FindGroup(row.group);
    if (!key_valid) {
      to_end.emplace_back(id, "key_withdrawn");
    } else if (group == nullptr || group->term != row.term) {
      to_end.emplace_back(id, "term_changed");
    }
  }
  for (const auto& [id, reason] : to_end) EndTransaction(id, reason);
}

}  // namespace tiller::traffic
