// Clock interface, so that tests can run the decision logic on a fake clock.
#pragma once

#include "Common/types.h"

namespace tiller {

class Clock {
 public:
  virtual ~Clock() = default;
  // Monotonic time. Values of different hosts can't be compared.
  virtual Instant Now() const = 0;
  // Wall-clock time; used only for record retention and log lines.
  virtual WallTime WallNow() const = 0;
};

class SystemClock final : public Clock {
 public:
  Instant Now() const override { return std::chrono::steady_clock::now(); }
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

// Monotonic clock that also advances while the machine is suspended. For leases
// and time limits that other machines keep counting during that time.
class BootClock final : public Clock {
 public:
  Instant Now() const override;
  WallTime WallNow() const override { return std::chrono::system_clock::now(); }
};

// Fake clock for tests: time passes only through Advance().
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

// Processor time that the calling thread has used, or zero if it is unknown.
Milliseconds ThreadProcessorTime();

}  // namespace tiller
