// Implementation of the forecast.
#include "Balance/wait_forecast.h"

#include <algorithm>

namespace tiller::balance {
namespace {

// Recognizes a change of the load within about five statements.
constexpr int kSampleParts = 5;
// A transaction that its caller leaves idle says little about the others.
constexpr Milliseconds kMaxSample{500};
constexpr Milliseconds kMaxExpected{2'000};

}  // namespace

void WaitForecast::RecordOccupied(Duration time) {
  const auto sample = std::clamp<Duration>(time, Duration{1}, kMaxSample);
  m_occupied = m_occupied.count() == 0
                   ? sample
                   : m_occupied + (sample - m_occupied) / kSampleParts;
}

Duration WaitForecast::Expected(std::size_t ahead,
                                std::size_t connections) const {
  if (connections == 0) return {};
  // On average, the first of n occupied connections is free after 1/n of the
  // time for which each is occupied.
  const auto turns = static_cast<Duration::rep>(ahead + 1);
  const auto wait =
      m_occupied * turns / static_cast<Duration::rep>(connections);
  return std::min<Duration>(wait, kMaxExpected);
}

}  // namespace tiller::balance
