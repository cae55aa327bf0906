// Counts the operations that endpoints begin to run, where the connections to
// the endpoints are held: a statement that passes through a shared pool is
// counted by the pool's host only, so each run counts once.
//
// An operation is counted when it is sent, and taken back if the endpoint
// answers that it has not run it. So an answer that is late, or never comes,
// counts in the window in which the endpoint began.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "Common/types.h"

namespace tiller::metering {

// Operations are counted per interval of this length on the host's steady
// clock. Windows do not begin with an interval, so an operation may count in
// the neighbouring window if it began within half of this from the edge. With
// 50 ms, a workspace that was busy only in the last second of a window was 5 %
// off.
inline constexpr Milliseconds kCountInterval{10};

struct OperationChange {
  WorkspaceId workspace;
  Instant at;              // start of the interval
  std::int64_t begun = 0;  // change of the number of operations
  std::int64_t open = 0;   // change of the number that is not answered yet
};
struct OperationsCounted {
  std::vector<OperationChange> changes;
};

// What was counted of the statement or transaction on a connection.
struct OperationMark {
  // When the operation whose answer is outstanding was sent.
  std::optional<Instant> sent;
  // The open transaction has been counted.
  bool transaction_counted = false;
};

class OperationCounts {
 public:
  void Begin(const WorkspaceId& workspace, Instant now, bool in_transaction,
             OperationMark* mark);
  // `run`: the endpoint has begun it, or may have.
  void End(const WorkspaceId& workspace, bool run, OperationMark* mark);
  // Returns the changes since the last call.
  OperationsCounted Take();

 private:
  struct Change {
    std::int64_t begun = 0;
    std::int64_t open = 0;
  };
  std::map<std::pair<Instant, WorkspaceId>, Change> m_changes;
};

}  // namespace tiller::metering
