// Implementation of the operation counts.
#include "Metering/operation_counts.h"

namespace tiller::metering {
namespace {

Instant IntervalOf(Instant at) {
  return at - at.time_since_epoch() % Duration(kCountInterval);
}

}  // namespace

void OperationCounts::Begin(const WorkspaceId& workspace, Instant now,
                            bool in_transaction, OperationMark* mark) {
  if (in_transaction && mark->transaction_counted) return;
  mark->transaction_counted = in_transaction;
  mark->sent = now;
  auto& change = m_changes[{IntervalOf(now), workspace}];
  ++change.begun;
  ++change.open;
}

void OperationCounts::End(const WorkspaceId& workspace, bool run,
                          OperationMark* mark) {
  if (!mark->sent) return;
  auto& change = m_changes[{IntervalOf(*mark->sent), workspace}];
  mark->sent.reset();
  --change.open;
  if (run) return;
  --change.begun;
  mark->transaction_counted = false;
}

OperationsCounted OperationCounts::Take() {
  OperationsCounted out;
  for (const auto& [key, change] : m_changes) {
    if (change.begun == 0 && change.open == 0) continue;
    out.changes.push_back({key.second, key.first, change.begun, change.open});
  }
  m_changes.clear();
  return out;
}

}  // namespace tiller::metering
