// Implementation of the usage ledger.
#include "Metering/usage_ledger.h"

namespace tiller::metering {

void UsageLedger::Add(const OperationsCounted& counted) {
  for (const auto& change : counted.changes) {
    if (change.at < m_kept_from) continue;
    auto& cell = m_cells[change.at][change.workspace];
    cell.begun += change.begun;
    cell.open += change.open;
  }
}

void UsageLedger::Forget(Instant time) {
  m_kept_from = time;
  m_cells.erase(m_cells.begin(), m_cells.lower_bound(time));
}

std::map<WindowNumber, UsageLedger::Sum> UsageLedger::Sums(
    const WindowClock& clock) const {
  std::map<WindowNumber, Sum> sums;
  for (const auto& [at, cells] : m_cells) {
    const auto window = clock.WindowAt(at + kCountInterval / 2);
    if (!window) continue;
    auto& sum = sums[*window];
    for (const auto& [workspace, cell] : cells) {
      sum.open += cell.open;
      if (cell.begun <= 0) continue;
      sum.counts[workspace] += static_cast<std::uint64_t>(cell.begun);
    }
  }
  return sums;
}

}  // namespace tiller::metering
