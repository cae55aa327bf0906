// Recent rate of events as an exponentially decaying average. Lets a host
// borrow tokens ahead of its demand, in proportion to what it has spent lately.
#pragma once

#include <chrono>
#include <cmath>

#include "Common/types.h"

namespace tiller::limits {

class EventRate {
 public:
  void Record(Instant now) {
    Decay(now);
    m_weight += 1;
  }
  // Number of events to be expected within `span`.
  double Expected(Instant now, Duration span) {
    Decay(now);
    return m_weight * (std::chrono::duration<double>(span) / kMemory);
  }

 private:
  // Long enough to span several operations of a workspace on one host, and
  // short enough to follow a burst.
  static constexpr std::chrono::duration<double> kMemory{1.0};

  void Decay(Instant now) {
    if (now <= m_updated) return;
    m_weight *=
        std::exp(-(std::chrono::duration<double>(now - m_updated) / kMemory));
    m_updated = now;
  }

  double m_weight = 0;  // sum of exp(-age / kMemory) over all events
  Instant m_updated{};
};

}  // namespace tiller::limits
