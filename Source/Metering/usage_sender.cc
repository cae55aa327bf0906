// Implementation of the usage sender.
#include "Metering/usage_sender.h"

#include <algorithm>
#include <utility>

namespace tiller::metering {
namespace {

// The death of a host costs at most the counts of this time.
constexpr Milliseconds kInterval{1'000};
// The receiver handles at most about 200 messages a second beside the final
// ones: with more hosts the interval is this long for each, up to a limit.
constexpr Milliseconds kIntervalPerHost{5};
constexpr Milliseconds kMaxInterval{2'500};
// The traffic thread passes its counts on every 20 ms, a slow host some 100 ms
// later.
constexpr Milliseconds kSettleTime{250};
// Operations without an answer count as begun after this time.
constexpr Milliseconds kMaxSettleTime{2'500};
constexpr Milliseconds kRepeatInterval{2'000};
// Longer than a window can be reported after its start.
constexpr Milliseconds kKeptFor{30'000};
// Windows of which counts are sent: the running one and those before it whose
// reports may not be stored yet.
constexpr WindowNumber kMaxWindows = 5;

}  // namespace

UsageSender::UsageSender(const WindowClock* windows, const Clock* clock,
                         Random* random)
    : m_windows(windows),
      m_clock(clock),
      m_random(random),
      m_started(clock->Now()),
      m_process(random->Next() >> 12U) {}

void UsageSender::Restart() {
  m_sent.clear();
  m_next_at = m_clock->Now();
}

void UsageSender::SetStored(WindowNumber stored) {
  m_stored = std::max(m_stored, stored);
  m_sent.erase(m_sent.begin(), m_sent.upper_bound(m_stored));
}

bool UsageSender::IsComplete(WindowNumber window,
                             const UsageLedger::Sum& sum) const {
  const auto since_end = m_windows->SinceEnd(window);
  return since_end >= kMaxSettleTime ||
         (since_end >= kSettleTime && sum.open == 0);
}

UsageCounts UsageSender::Message(bool leaving) {
  const auto now = m_clock->Now();
  UsageCounts message;
  message.process = m_process;
  message.sequence = ++m_sequence;
  message.leaving = leaving;
  message.clock_offset = m_windows->OwnOffset().value_or(Milliseconds{0});
  message.counted_from = m_windows->WindowAt(m_started).value_or(0) + 1;
  const auto current = *m_windows->WindowAt(now);
  const auto started_in = message.counted_from - 1;
  auto first = current < kMaxWindows ? 0 : current - kMaxWindows + 1;
  first = std::max({first, m_stored + 1, started_in});
  auto sums = m_ledger.Sums(*m_windows);
  for (auto window = first; window <= current; ++window) {
    auto& sum = sums[window];
    auto& sent = m_sent[window];
    UsageCounts::Window part;
    part.window = window;
    part.final = leaving || IsComplete(window, sum);
    if (part.final) {
      const bool repeats = sent.final_at && !leaving;
      if (repeats && now - *sent.final_at < kRepeatInterval) continue;
      sent.final_at = now;
      part.counts = sum.counts;
    } else {
      for (const auto& [workspace, count] : sum.counts) {
        const auto it = sent.counts.find(workspace);
        if (it != sent.counts.end() && it->second == count) continue;
        part.counts[workspace] = count;
      }
      if (part.counts.empty()) continue;
    }
    sent.counts = std::move(sum.counts);
    message.windows.push_back(std::move(part));
  }
  return message;
}

std::optional<UsageCounts> UsageSender::NextMessage(std::size_t hosts) {
  const auto now = m_clock->Now();
  const auto current = m_windows->WindowAt(now);
  if (!current) return std::nullopt;
  m_ledger.Forget(now - kKeptFor);
  bool due = now >= m_next_at;
  // The counts of a window that has ended do not wait for the interval.
  const auto previous = *current - 1;
  const auto started_in = m_windows->WindowAt(m_started);
  const bool ended = previous > m_stored && started_in &&
                     previous >= *started_in && !m_sent[previous].final_at;
  if (!due && ended && m_windows->SinceEnd(previous) >= kSettleTime) {
    due = IsComplete(previous, m_ledger.Sums(*m_windows)[previous]);
  }
  if (!due) return std::nullopt;
  const auto interval = std::clamp<Milliseconds>(
      kIntervalPerHost * static_cast<int>(hosts), kInterval, kMaxInterval);
  m_next_at = now + interval + Milliseconds(m_random->UniformBelow(100));
  while (m_sent.size() > 2 * kMaxWindows) m_sent.erase(m_sent.begin());
  auto message = Message(false);
  if (message.windows.empty()) return std::nullopt;
  return message;
}

std::optional<UsageCounts> UsageSender::LastMessage() {
  if (!m_windows->WindowAt(m_clock->Now())) return std::nullopt;
  return Message(true);
}

}  // namespace tiller::metering
