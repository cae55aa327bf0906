// Clocks of the operating system.
#include "Common/clock.h"

#include <ctime>

namespace tiller {

Instant BootClock::Now() const {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Instant(std::chrono::seconds(time.tv_sec) +
                 std::chrono::nanoseconds(time.tv_nsec));
}

Milliseconds ThreadProcessorTime() {
  timespec time{};
  if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time) != 0) return {};
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace tiller
