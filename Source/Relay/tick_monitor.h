// Notices that this host is late itself.
//
// Load pattern: a host is starved of processor time, or its process was
// suspended. Answers that have arrived are then still to be read, so requests
// that look unanswered say nothing about endpoints or other hosts.
#pragma once

#include "Common/types.h"

namespace tiller::relay {

class TickMonitor {
 public:
  void RecordTick(Instant now) {
    m_on_time_since = OnTimeSince(now);
    m_last_tick = now;
  }
  // Since when this host's ticks have been on time. A request that was sent
  // before counts as unanswered from then on only.
  Instant OnTimeSince(Instant now) const {
    if (m_last_tick == Instant{}) return m_on_time_since;
    return now - m_last_tick > kMaxTickGap ? now : m_on_time_since;
  }

 private:
  // Ticks come every 20 ms. A host that may use 0.12 of a processor pauses for
  // up to about 90 ms when it has used up its share of a 100 ms period.
  static constexpr Milliseconds kMaxTickGap{150};

  Instant m_last_tick{};
  Instant m_on_time_since{};
};

}  // namespace tiller::relay
