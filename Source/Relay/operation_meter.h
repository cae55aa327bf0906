// Counts the operations that the endpoints of this host's connections begin to
// run, for the relay core and for the shared pool. A connection through another
// host's pool counts there.
#pragma once

#include "Metering/operation_counts.h"
#include "Relay/relay_state.h"

namespace tiller::relay {

class OperationMeter {
 public:
  explicit OperationMeter(bool enabled) : m_enabled(enabled) {}

  // Called after the statement of `step` has been recorded as sent.
  void RecordSent(Connection* connection, Step step, Instant now);
  // The statement in progress was answered; `sent` is false if it was refused
  // without the endpoint.
  void RecordAnswer(Connection* connection, const StatementResult& result,
                    bool sent);
  // The connection is closed, and a statement without an answer may have run.
  void RecordClosed(Connection* connection);
  metering::OperationsCounted Take() { return m_counts.Take(); }

 private:
  const bool m_enabled;
  metering::OperationCounts m_counts;
};

}  // namespace tiller::relay
