// Counts of all hosts, at the host that reports them. They are kept per process
// and window, so that repeated and reordered messages do not matter.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Metering/usage_messages.h"

namespace tiller::metering {

class UsageCollector {
 public:
  explicit UsageCollector(const Clock* clock) : m_clock(clock) {}

  void Add(const HostId& sender, const UsageCounts& message);
  // Forgets windows up to this one, and processes that have ended.
  void Forget(WindowNumber stored);
  void Clear() { m_processes.clear(); }
  // Returns the counts of processes that will not send them to another holder,
  // because they have ended or are silent, and forgets all counts.
  std::vector<UsageCounts> TakeUnrepeatable();
  // True if every process that is expected to send counts of the window has
  // sent its final ones.
  bool IsComplete(WindowNumber window) const;
  // True if most of the processes that are expected to send final counts of
  // the window have not: this host may be cut off from the others.
  bool IsMostlyMissing(WindowNumber window) const;
  // True if a process has counted the window from its start.
  bool IsKnown(WindowNumber window) const;
  Counts Total(WindowNumber window) const;
  std::optional<Milliseconds> MedianOffset() const;

 private:
  struct Entry {
    std::uint64_t count = 0;
    std::uint64_t sequence = 0;  // of the message that gave the count
  };
  struct Window {
    std::map<WorkspaceId, Entry> entries;
    std::uint64_t final_sequence = 0;  // 0: no final message yet
  };
  struct Process {
    std::uint64_t sequence = 0;
    WindowNumber counted_from = 0;
    Milliseconds clock_offset{0};
    Instant heard;
    // It sends nothing more: it has left, or its host has a newer process.
    bool ended = false;
    std::map<WindowNumber, Window> windows;
  };

  bool IsExpected(const Process& process, WindowNumber window) const;
  static bool IsFinal(const Process& process, WindowNumber window);

  const Clock* const m_clock;
  std::map<std::pair<HostId, std::uint64_t>, Process> m_processes;
};

}  // namespace tiller::metering
