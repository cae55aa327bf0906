// Implementation of the usage collector.
#include "Metering/usage_collector.h"

#include <algorithm>
#include <vector>

namespace tiller::metering {
namespace {

// A process that has been silent for longer is not waited for. It covers a
// host that is frozen, or a zone that is cut off, for some seconds.
constexpr Milliseconds kExpectedFor{12'000};
// A process that has sent something in this time runs, and sends its counts to
// another holder itself.
constexpr Milliseconds kRepeatedWithin{2'000};
// Bounds what a host can make this one keep.
constexpr std::size_t kMaxProcesses = 4'096;
constexpr std::size_t kMaxWindows = 16;
constexpr std::size_t kMaxWorkspaces = 4'096;

}  // namespace

void UsageCollector::Add(const HostId& sender, const UsageCounts& message) {
  const auto& host = message.host.empty() ? sender : message.host;
  const auto key = std::make_pair(host, message.process);
  if (m_processes.count(key) == 0) {
    if (m_processes.size() >= kMaxProcesses) return;
    for (auto& [other, process] : m_processes) {
      process.ended |= other.first == host;
    }
  }
  auto& process = m_processes[key];
  process.heard = m_clock->Now();
  if (message.sequence > process.sequence) {
    process.sequence = message.sequence;
    process.counted_from = message.counted_from;
    process.clock_offset = message.clock_offset;
  }
  process.ended |= message.leaving;
  for (const auto& part : message.windows) {
    if (process.windows.size() >= kMaxWindows &&
        process.windows.count(part.window) == 0) {
      continue;
    }
    auto& window = process.windows[part.window];
    if (part.final && message.sequence > window.final_sequence) {
      window.final_sequence = message.sequence;
      // Workspaces that a final message does not name have no operations.
      for (auto& [workspace, entry] : window.entries) {
        if (entry.sequence < message.sequence) entry.count = 0;
      }
    }
    for (const auto& [workspace, count] : part.counts) {
      if (window.entries.size() >= kMaxWorkspaces) break;
      auto& entry = window.entries[workspace];
      const bool newer =
          message.sequence > entry.sequence &&
          (part.final || message.sequence > window.final_sequence);
      if (newer) entry = {count, message.sequence};
    }
  }
}

std::vector<UsageCounts> UsageCollector::TakeUnrepeatable() {
  std::vector<UsageCounts> messages;
  for (const auto& [key, process] : m_processes) {
    const bool silent = m_clock->Now() - process.heard > kRepeatedWithin;
    if (process.windows.empty() || (!process.ended && !silent)) continue;
    UsageCounts message;
    message.host = key.first;
    message.process = key.second;
    message.sequence = process.sequence;
    message.counted_from = process.counted_from;
    message.clock_offset = process.clock_offset;
    message.leaving = process.ended;
    for (const auto& [number, window] : process.windows) {
      UsageCounts::Window part;
      part.window = number;
      part.final = window.final_sequence > 0;
      for (const auto& [workspace, entry] : window.entries) {
        if (entry.count > 0) part.counts[workspace] = entry.count;
      }
      message.windows.push_back(std::move(part));
    }
    messages.push_back(std::move(message));
  }
  m_processes.clear();
  return messages;
}

void UsageCollector::Forget(WindowNumber stored) {
  for (auto& [key, process] : m_processes) {
    process.windows.erase(process.windows.begin(),
                          process.windows.upper_bound(stored));
  }
  std::erase_if(m_processes, [&](const auto& item) {
    const bool silent = m_clock->Now() - item.second.heard > kExpectedFor;
    return item.second.windows.empty() && (item.second.ended || silent);
  });
}

bool UsageCollector::IsFinal(const Process& process, WindowNumber window) {
  const auto it = process.windows.find(window);
  return it != process.windows.end() && it->second.final_sequence > 0;
}

// `counted_from` is the window after the one in which the process started.
bool UsageCollector::IsExpected(const Process& process,
                                WindowNumber window) const {
  return !process.ended && process.counted_from <= window + 1 &&
         m_clock->Now() - process.heard <= kExpectedFor;
}

bool UsageCollector::IsComplete(WindowNumber window) const {
  return std::all_of(
      m_processes.begin(), m_processes.end(), [&](const auto& item) {
        return IsFinal(item.second, window) || !IsExpected(item.second, window);
      });
}

bool UsageCollector::IsMostlyMissing(WindowNumber window) const {
  std::size_t expected = 0;
  std::size_t missing = 0;
  for (const auto& [key, process] : m_processes) {
    if (!IsExpected(process, window)) continue;
    ++expected;
    missing += IsFinal(process, window) ? 0 : 1;
  }
  return missing * 2 > expected;
}

bool UsageCollector::IsKnown(WindowNumber window) const {
  return std::any_of(
      m_processes.begin(), m_processes.end(),
      [&](const auto& item) { return item.second.counted_from <= window; });
}

Counts UsageCollector::Total(WindowNumber window) const {
  Counts total;
  for (const auto& [key, process] : m_processes) {
    const auto it = process.windows.find(window);
    if (it == process.windows.end()) continue;
    for (const auto& [workspace, entry] : it->second.entries) {
      if (entry.count > 0) total[workspace] += entry.count;
    }
  }
  return total;
}

std::optional<Milliseconds> UsageCollector::MedianOffset() const {
  std::vector<Milliseconds> offsets;
  for (const auto& [key, process] : m_processes) {
    if (!process.ended) offsets.push_back(process.clock_offset);
  }
  if (offsets.empty()) return std::nullopt;
  const auto middle =
      offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return *middle;
}

}  // namespace tiller::metering
