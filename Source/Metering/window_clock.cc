// Implementation of the window clock.
#include "Metering/window_clock.h"

#include <chrono>

namespace tiller::metering {
namespace {

// The estimate of the store's time is off by the time of one store call, which
// is well below this unless the store is slow.
constexpr Milliseconds kAgreement{250};

Milliseconds InMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration);
}

}  // namespace

std::optional<Milliseconds> WindowClock::OwnOffset() const {
  const auto store = m_fleet->StoreTime();
  if (!store) return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(
             m_clock->WallNow().time_since_epoch()) -
         *store;
}

std::optional<Milliseconds> WindowClock::TimeAt(Instant at) const {
  const auto store = m_fleet->StoreTime();
  const auto own = OwnOffset();
  if (!store || !own) return std::nullopt;
  auto offset = *own;
  if (m_fleet_offset && std::chrono::abs(*own - *m_fleet_offset) > kAgreement) {
    offset = *m_fleet_offset;
  }
  const auto time = *store + offset - InMilliseconds(m_clock->Now() - at);
  if (time < m_window) return std::nullopt;
  return time;
}

std::optional<WindowNumber> WindowClock::WindowAt(Instant at) const {
  const auto time = TimeAt(at);
  if (!time) return std::nullopt;
  return static_cast<WindowNumber>(*time / m_window);
}

Milliseconds WindowClock::SinceEnd(WindowNumber window) const {
  return TimeAt(m_clock->Now()).value_or(Milliseconds{0}) -
         m_window * static_cast<Milliseconds::rep>(window + 1);
}

}  // namespace tiller::metering
