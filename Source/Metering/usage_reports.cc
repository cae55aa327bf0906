// Implementation of the usage reports.
#include "Metering/usage_reports.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Common/names.h"

namespace tiller::metering {
namespace {

using fleet::PromoteStatus;

// Part of the deadline for which a report waits for missing counts: 6 of 10 s.
constexpr double kWaitShare = 0.6;
// In this time after it has been announced, all hosts that reach a new holder
// have sent it their counts; it is less than this if a report is pressing.
constexpr Milliseconds kGatherTime{2'500};
constexpr Milliseconds kMinGatherTime{1'000};
// Counts of a window are complete at the earliest after this time.
constexpr Milliseconds kMinWait{350};
// A report is sent for this long after it was due: the platform's clock may
// differ from the fleet's.
constexpr Milliseconds kLateMargin{1'000};
// The platform limits the number of calls.
constexpr Milliseconds kRetryDelay{1'000};
// Longer outages leave no counts that are still wanted.
constexpr WindowNumber kMaxWindowsBehind = 16;

}  // namespace

UsageReports::UsageReports(Milliseconds deadline, const WindowClock* windows,
                           UsageCollector* collector, const Clock* clock,
                           Counters* counters)
    : m_deadline(deadline),
      m_windows(windows),
      m_collector(collector),
      m_clock(clock),
      m_counters(counters) {}

void UsageReports::Begin(WindowNumber newest,
                         std::map<WindowNumber, std::string> texts) {
  m_newest = newest;
  m_began = m_clock->Now();
  m_reports.clear();
  m_sending.reset();
  for (auto& [window, text] : texts) {
    m_reports[window] = {std::move(text), true, {}};
  }
}

void UsageReports::Skip(WindowNumber window, SkipReason reason) {
  const std::string name(NameOf(kSkipReasonNames, reason));
  m_counters->Add("usage_windows_skipped_" + name);
  log::Event(log::Channel::kControl, log::Level::kWarn, "usage_window_skipped",
             {{"window", std::to_string(window)}, {"reason", name}});
}

void UsageReports::MakeTexts() {
  const auto now = m_clock->Now();
  const auto current = m_windows->WindowAt(now);
  if (!current) return;
  if (*current > m_newest + kMaxWindowsBehind) {
    const auto behind = *current - m_newest - kMaxWindowsBehind;
    m_counters->Add("usage_windows_skipped_late", behind);
    m_newest += behind;
  }
  const auto max_wait =
      std::chrono::duration_cast<Milliseconds>(m_deadline * kWaitShare);
  for (auto window = m_newest + 1; window < *current; ++window) {
    const auto since_end = m_windows->SinceEnd(window);
    if (since_end > m_deadline + kLateMargin) {
      Skip(window, SkipReason::kLate);
      m_newest = window;
      continue;
    }
    const bool complete = since_end >= kMinWait &&
                          now - m_began >= kGatherTime &&
                          m_collector->IsComplete(window);
    const bool waits = since_end < max_wait || now - m_began < kMinGatherTime;
    if (!complete && waits) return;
    m_newest = window;
    if (!m_collector->IsKnown(window)) {
      Skip(window, SkipReason::kUnknown);
      continue;
    }
    if (!complete) m_counters->Add("usage_windows_incomplete");
    m_reports[window] = {TextOf(m_collector->Total(window)), false, {}};
  }
}

std::map<WindowNumber, std::string> UsageReports::Texts() const {
  std::map<WindowNumber, std::string> texts;
  for (const auto& [window, report] : m_reports) texts[window] = report.text;
  return texts;
}

std::map<WindowNumber, std::string> UsageReports::StoredTexts() const {
  std::map<WindowNumber, std::string> texts;
  for (const auto& [window, report] : m_reports) {
    if (report.stored) texts[window] = report.text;
  }
  return texts;
}

bool UsageReports::HasUnstored() const {
  return std::any_of(m_reports.begin(), m_reports.end(),
                     [](const auto& item) { return !item.second.stored; });
}

void UsageReports::SetStored(const std::map<WindowNumber, std::string>& texts) {
  for (auto& [window, report] : m_reports) {
    const auto it = texts.find(window);
    report.stored |= it != texts.end() && it->second == report.text;
  }
}

std::map<WindowNumber, UsageReports::Report>::iterator UsageReports::FindDue() {
  return std::find_if(
      m_reports.begin(), m_reports.end(), [&](const auto& item) {
        return item.second.stored && m_clock->Now() >= item.second.next_try;
      });
}

bool UsageReports::HasDue() const {
  return !m_sending &&
         std::any_of(m_reports.begin(), m_reports.end(), [&](const auto& item) {
           return item.second.stored && m_clock->Now() >= item.second.next_try;
         });
}

std::optional<fleet::ReportUsage> UsageReports::NextReport() {
  if (m_sending) return std::nullopt;
  while (!m_reports.empty()) {
    const auto oldest = m_reports.begin()->first;
    if (m_windows->SinceEnd(oldest) <= m_deadline + kLateMargin) break;
    Skip(oldest, SkipReason::kNotAccepted);
    m_reports.erase(oldest);
  }
  const auto due = FindDue();
  if (due == m_reports.end()) return std::nullopt;
  m_sending = due->first;
  fleet::ReportUsage report;
  report.window = due->first;
  report.counts = due->second.text;
  return report;
}

void UsageReports::SetAnswer(PromoteStatus status) {
  const auto window = std::exchange(m_sending, std::nullopt);
  if (!window) return;
  const auto it = m_reports.find(*window);
  if (it == m_reports.end()) return;
  if (status != PromoteStatus::kDone) {
    m_counters->Add(status == PromoteStatus::kNotRun
                        ? "usage_reports_refused"
                        : "usage_reports_unanswered");
    it->second.next_try = m_clock->Now() + kRetryDelay;
    return;
  }
  const auto since_end = m_windows->SinceEnd(*window);
  m_counters->Add("usage_windows_reported");
  if (since_end > m_deadline) m_counters->Add("usage_windows_late");
  log::Event(log::Channel::kControl, log::Level::kInfo, "usage_reported",
             {{"window", std::to_string(*window)},
              {"since_end_ms", std::to_string(since_end.count())},
              {"bytes", std::to_string(it->second.text.size())}});
  m_reports.erase(it);
}

}  // namespace tiller::metering
