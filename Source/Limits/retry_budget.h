// Bounds retries to a share of the requests, so that a failing endpoint does
// not multiply its own load.
#pragma once

#include <algorithm>

#include "Common/random.h"
#include "Common/types.h"

namespace tiller::limits {

class RetryBudget {
 public:
  // Called once for each accepted request.
  void Earn() { m_credit = std::min(m_credit + kPerRequest, kMaxCredit); }
  bool TrySpend() {
    if (m_credit < 1) return false;
    m_credit -= 1;
    return true;
  }
  // Delay before the given attempt (1 for the first retry), with full jitter.
  static Duration Delay(int attempt, Random* random) {
    const auto bound = std::min<Milliseconds>(
        kFirstDelay * (1 << std::min(attempt - 1, kMaxDoublings)), kMaxDelay);
    const auto range = std::chrono::duration_cast<Duration>(bound).count();
    return Duration(static_cast<Duration::rep>(
        random->Below(static_cast<std::uint64_t>(range)) + 1));
  }

 private:
  static constexpr double kPerRequest = 0.2;
  static constexpr double kMaxCredit = 100;
  static constexpr Milliseconds kFirstDelay{10};
  static constexpr Milliseconds kMaxDelay{200};
  static constexpr int kMaxDoublings = 10;
  // Retries that may be made now; in [0, kMaxCredit].
  double m_credit = kMaxCredit;
};

}  // namespace tiller::limits
