// Implementation of the operation meter.
#include "Relay/operation_meter.h"

namespace tiller::relay {
namespace {

bool IsOperation(Verb verb) {
  return verb == Verb::kRead || verb == Verb::kWrite || verb == Verb::kExecute;
}

// False if the refusal says that the endpoint has not begun the statement.
bool MayHaveBegun(Refusal refusal) {
  return refusal == Refusal::kNone || refusal == Refusal::kFailed ||
         refusal == Refusal::kInDoubt || refusal == Refusal::kTimeout;
}

}  // namespace

void OperationMeter::RecordSent(Connection* connection, Step step,
                                Instant now) {
  if (!m_enabled || !connection->pool_host_id.empty()) return;
  const auto verb = connection->sent.verb;
  if (verb == Verb::kBegin || verb == Verb::kBeginRead) {
    connection->operation.transaction_counted = false;
  }
  if (step != Step::kUser || !IsOperation(verb)) return;
  m_counts.Begin(connection->workspace, now, connection->in_transaction,
                 &connection->operation);
}

void OperationMeter::RecordAnswer(Connection* connection,
                                  const StatementResult& result, bool sent) {
  m_counts.End(connection->workspace, sent && MayHaveBegun(result.refusal),
               &connection->operation);
}

void OperationMeter::RecordClosed(Connection* connection) {
  m_counts.End(connection->workspace, true, &connection->operation);
}

}  // namespace tiller::relay
