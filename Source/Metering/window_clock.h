// Assigns moments of this host's steady clock to windows of true time.
//
// A host's time of day may jump by seconds, so it counts only while it agrees
// with the fleet: with the store's steady clock plus the median of the hosts'
// offsets between the two, which a minority of wrong clocks does not change.
#pragma once

#include <optional>

#include "Common/clock.h"
#include "Metering/fleet_view.h"
#include "Metering/usage_messages.h"

namespace tiller::metering {

class WindowClock {
 public:
  WindowClock(Milliseconds window, const FleetView* fleet, const Clock* clock)
      : m_window(window), m_fleet(fleet), m_clock(clock) {}

  // This host's time of day minus its estimate of the store's time; nullopt if
  // the store's time is not known yet.
  std::optional<Milliseconds> OwnOffset() const;
  void SetFleetOffset(Milliseconds offset) { m_fleet_offset = offset; }
  std::optional<Milliseconds> FleetOffset() const { return m_fleet_offset; }
  // True time, since the start of 1970; nullopt if it is not known yet.
  std::optional<Milliseconds> TimeAt(Instant at) const;
  std::optional<WindowNumber> WindowAt(Instant at) const;
  // Time since the end of the window, negative before it. Precondition: true
  // time is known.
  Milliseconds SinceEnd(WindowNumber window) const;

 private:
  const Milliseconds m_window;
  const FleetView* const m_fleet;
  const Clock* const m_clock;
  std::optional<Milliseconds> m_fleet_offset;
};

}  // namespace tiller::metering
