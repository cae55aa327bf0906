// Time as an interface, so that decisions can run on a fake clock.
#pragma once

#include "Common/types.h"

namespace tiller {

class Clock {
 public:
  virtual ~Clock() = default;
  // Monotonic time; never compared between hosts.
  virtual Instant Now() const = 0;
  // Wall time; used only for record retention and log lines.
  virtual WallTime WallNow() const = 0;
};

class SystemClock final : public Clock {
 public:
  Instant Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

// Monotonic time that also counts while the machine is suspended, for leases
// and bounds that go on outside meanwhile.
class BootClock final : public Clock {
 public:
  Instant Now() const override;
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

// A clock that moves only when told to.
class ManualClock final : public Clock {
 public:
  Instant Now() const override { return m_now; }
  WallTime WallNow() const override {
    return WallTime(std::chrono::duration_cast<WallTime::duration>(
        m_now.time_since_epoch()));
  }
  void Advance(Duration by) { m_now += by; }

 private:
  Instant m_now{std::chrono::hours(1)};
};

}  // namespace tiller
