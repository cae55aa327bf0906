// Limits retries to a fraction of the requests, so that retries against a
// failing endpoint do not multiply its load.
#pragma once

#include <algorithm>

#include "Common/random.h"
#include "Common/types.h"

namespace tiller::limits {

// Each accepted request adds a fraction of a retry to the budget; each retry
// takes one from it.
class RetryBudget {
 public:
  // Called once for each accepted request.
  void AddCredit() {
    m_credit = std::min(m_credit + kCreditPerRequest, kMaxCredit);
  }
  // Takes one retry from the budget; returns false if less than one is left.
  bool TrySpend() {
    if (m_credit < 1) return false;
    m_credit -= 1;
    return true;
  }
  // Delay before the given retry (1 is the first), by exponential backoff with
  // full jitter.
  static Duration Delay(int attempt, Random* random) {
    const auto bound = std::min<Milliseconds>(
        kFirstDelay * (1 << std::min(attempt - 1, kMaxDoublings)), kMaxDelay);
    const auto range = std::chrono::duration_cast<Duration>(bound).count();
    return Duration(static_cast<Duration::rep>(
        random->UniformBelow(static_cast<std::uint64_t>(range)) + 1));
  }

 private:
  static constexpr double kCreditPerRequest = 0.2;
  static constexpr double kMaxCredit = 100;
  static constexpr Milliseconds kFirstDelay{10};
  static constexpr Milliseconds kMaxDelay{200};
  static constexpr int kMaxDoublings = 10;
  // Retries that are allowed now; in [0, kMaxCredit].
  double m_credit = kMaxCredit;
};

}  // namespace tiller::limits
