// Decides when this host sends which counts to the host that reports them.
//
// Load pattern: each second one message of the few workspaces whose count has
// changed, and after the end of a window one with its full counts. With more
// hosts each sends less often, so that the receiver's load stays bounded.
//
// A window's full counts are repeated until the receiver has announced that the
// window's text is stored, and are sent again to a new receiver.
#pragma once

#include <map>
#include <optional>

#include "Common/clock.h"
#include "Common/random.h"
#include "Metering/usage_ledger.h"
#include "Metering/usage_messages.h"
#include "Metering/window_clock.h"

namespace tiller::metering {

class UsageSender {
 public:
  UsageSender(const WindowClock* windows, const Clock* clock, Random* random);

  void Add(const OperationsCounted& counted) { m_ledger.Add(counted); }
  // The counts go to another host from now on, which has none of them.
  void Restart();
  // Windows up to this one need no counts any more.
  void SetStored(WindowNumber stored);
  // Returns the message that is due.
  std::optional<UsageCounts> NextMessage(std::size_t hosts);
  // Returns all counts that the receiver may lack, as the last message.
  std::optional<UsageCounts> LastMessage();

 private:
  struct Sent {
    Counts counts;
    std::optional<Instant> final_at;
  };
  bool IsComplete(WindowNumber window, const UsageLedger::Sum& sum) const;
  UsageCounts Message(bool leaving);

  const WindowClock* const m_windows;
  const Clock* const m_clock;
  Random* const m_random;
  const Instant m_started;
  const std::uint64_t m_process;
  UsageLedger m_ledger;
  std::uint64_t m_sequence = 0;
  WindowNumber m_stored = 0;
  std::map<WindowNumber, Sent> m_sent;
  Instant m_next_at{};
};

}  // namespace tiller::metering
