// Implementation of the waiting time.
#include "Balance/schedule.h"

#include <algorithm>

namespace tiller::balance {
namespace {

// Half of the time until the target: after an answer that was lost, an attempt
// at another endpoint still fits.
constexpr int kTargetParts = 2;
// A late answer is worth 0.2 to 0.6 of one in time, so late operations wait for
// connections that no other one needs, but not for long: their caller may be
// served sooner by another attempt.
constexpr int kLimitParts = 8;
// Keeps time to run the statement and to answer before the limit.
constexpr Milliseconds kRunTime{100};

}  // namespace

Milliseconds MaxWait(const Schedule& schedule) {
  const auto useful = schedule.until_target > Milliseconds(0)
                          ? schedule.until_target / kTargetParts
                          : kMinWait + schedule.until_limit / kLimitParts;
  const auto possible =
      std::max(Milliseconds(0), schedule.until_limit - kRunTime);
  return std::min(std::max(kMinWait, useful), possible);
}

}  // namespace tiller::balance
