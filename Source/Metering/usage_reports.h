// The reports of the host that holds the duty: one text for each window, made
// once all counts are there or can no longer be waited for, sent once it is
// stored, and repeated unchanged until it is accepted.
//
// Load pattern: hosts are killed, frozen and cut off at any time, so the counts
// of some may never come. A report waits for them for part of the time in which
// it is due, and the rest is left for a store that is slow, calls that are
// refused, and another host that has to take over.
//
// Invariant: there is at most one text for a window, and no text is sent before
// the store has confirmed that it has it.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Metering/usage_collector.h"
#include "Metering/usage_row.h"
#include "Metering/window_clock.h"

namespace tiller::metering {

class UsageReports {
 public:
  // `deadline`: from the end of a window until its report is due.
  UsageReports(Milliseconds deadline, const WindowClock* windows,
               UsageCollector* collector, const Clock* clock,
               Counters* counters);

  // Begins with what the row says: `texts` are stored, other windows up to
  // `newest` are not reported.
  void Begin(WindowNumber newest, std::map<WindowNumber, std::string> texts);
  // Makes the texts of the windows that are ready.
  void MakeTexts();
  // What the row has to contain.
  WindowNumber Newest() const { return m_newest; }
  std::map<WindowNumber, std::string> Texts() const;
  std::map<WindowNumber, std::string> StoredTexts() const;
  bool HasUnstored() const;
  void SetStored(const std::map<WindowNumber, std::string>& texts);
  // True if a text may be sent now.
  bool HasDue() const;
  // Returns a report to be sent, whose call number and token are to be set.
  // Nothing else is sent until SetAnswer() is called.
  std::optional<fleet::ReportUsage> NextReport();
  void SetAnswer(fleet::PromoteStatus status);

 private:
  struct Report {
    std::string text;
    bool stored = false;
    Instant next_try{};
  };
  enum class SkipReason { kLate, kUnknown, kTooLarge, kNotAccepted };
  static constexpr std::array<std::string_view, 4> kSkipReasonNames = {
      "late", "unknown", "too_large", "not_accepted"};
  void Skip(WindowNumber window, SkipReason reason);
  std::map<WindowNumber, Report>::iterator FindDue();

  const Milliseconds m_deadline;
  const WindowClock* const m_windows;
  UsageCollector* const m_collector;
  const Clock* const m_clock;
  Counters* const m_counters;
  WindowNumber m_newest = 0;
  std::map<WindowNumber, Report> m_reports;  // without an answer
  std::optional<WindowNumber> m_sending;
  Instant m_began{};
};

}  // namespace tiller::metering
