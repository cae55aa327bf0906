// The operations that this process has counted, by interval of its own clock.
// They are assigned to windows only when they are summed up, so a correction of
// the time also applies to what was counted before it.
#pragma once

#include <map>

#include "Common/clock.h"
#include "Metering/operation_counts.h"
#include "Metering/usage_messages.h"
#include "Metering/window_clock.h"

namespace tiller::metering {

class UsageLedger {
 public:
  void Add(const OperationsCounted& counted);
  // Forgets what began before `time`.
  void Forget(Instant time);
  struct Sum {
    Counts counts;
    std::int64_t open = 0;  // operations without an answer
  };
  // By window; windows without operations have no entry.
  std::map<WindowNumber, Sum> Sums(const WindowClock& clock) const;

 private:
  struct Cell {
    std::int64_t begun = 0;
    std::int64_t open = 0;
  };
  std::map<Instant, std::map<WorkspaceId, Cell>> m_cells;
  Instant m_kept_from{};
};

}  // namespace tiller::metering
