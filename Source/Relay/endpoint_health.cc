// Implementation of the endpoint's health.
#include "Relay/endpoint_health.h"

#include <algorithm>

namespace tiller::relay {
namespace {

// One slow answer moves the mean by a fifth: a slow endpoint shows within
// about five answers, and a single long statement does not count as one.
constexpr double kResponseWeight = 0.2;
// A full endpoint drains its queue in about this time.
constexpr Milliseconds kFullPause{30};
// Time for another host's idle connection to be closed or a dark host's
// connections to be dropped.
constexpr Milliseconds kConnectionLimitPause{150};
constexpr Milliseconds kRefusedPause{30};
// First pause after silence; doubled for each further failure.
constexpr Milliseconds kSilentPause{150};
constexpr Milliseconds kSilentPauseMax{1200};
constexpr int kMaxDoublings = 3;
// The lag estimate falls slowly, so that a replica that caught up is tried
// again without every read paying for an early try.
constexpr double kLagDecay = 0.9;

}  // namespace

void EndpointHealth::Heard(Instant now) {
  m_heard = now;
  m_failures = 0;
  m_avoid_until = {};
}

void EndpointHealth::Answered(Duration took) {
  m_response = std::chrono::duration_cast<Duration>(
      m_response * (1 - kResponseWeight) + took * kResponseWeight);
}

void EndpointHealth::Silent(Instant now) {
  const int doublings = std::min(m_failures, kMaxDoublings);
  ++m_failures;
  m_avoid_until = now + std::min<Duration>(kSilentPause * (1 << doublings),
                                           kSilentPauseMax);
}

void EndpointHealth::Full(Instant now) {
  m_avoid_until = std::max(m_avoid_until, now + kFullPause);
}

void EndpointHealth::ConnectionLimitReached(Instant now) {
  m_full_until = now + kConnectionLimitPause;
  m_refused_until = now + kRefusedPause;
}

void EndpointHealth::Position(GroupPosition position,
                              std::optional<Instant> passed, Instant now) {
  if (!m_position || *m_position < position) m_position = position;
  const Duration age = passed ? now - *passed : Duration{};
  m_lag =
      std::max(age, std::chrono::duration_cast<Duration>(m_lag * kLagDecay));
}

void EndpointHealth::Lagged(Duration age) {
  m_lag = std::chrono::duration_cast<Duration>(std::max<Duration>(m_lag, age) /
                                               kLagDecay);
}

}  // namespace tiller::relay
