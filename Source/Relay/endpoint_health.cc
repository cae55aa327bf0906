// Implementation of the endpoint health.
#include "Relay/endpoint_health.h"

#include <algorithm>

namespace tiller::relay {
namespace {

// Weight of one answer in the average response time. At a fifth, a slow
// endpoint is recognized within about five answers, and a single long statement
// does not make an endpoint look slow.
constexpr double kResponseWeight = 0.2;
// A busy endpoint drains its queue in about this time.
constexpr Milliseconds kBusyBackoff{30};
// Covers the time until another host closes an idle connection or the
// connections of an unresponsive host are dropped.
constexpr Milliseconds kConnectionLimitBackoff{150};
// The same for a host that holds less than its share of the connections.
constexpr Milliseconds kConnectionRetryDelay{30};
// First backoff after a failure; doubled for each further failure.
constexpr Milliseconds kInitialFailureBackoff{150};
constexpr Milliseconds kMaxFailureBackoff{1200};
constexpr int kMaxBackoffDoublings = 3;
// An endpoint that has answered twice is expected to do so again in this time.
constexpr std::chrono::minutes kRepeatedAnswerMemory{10};
// The lag estimate decays slowly, so that a replica that has caught up is tried
// again without each read paying for an attempt that comes too early.
constexpr double kLagDecay = 0.9;

}  // namespace

void EndpointHealth::RecordAnswer(Instant now) {
  m_last_answer = now;
  m_failures = 0;
  m_backoff_until = {};
}

void EndpointHealth::RecordResponseTime(Duration response_time) {
  m_response_time = std::chrono::duration_cast<Duration>(
      m_response_time * (1 - kResponseWeight) +
      response_time * kResponseWeight);
}

void EndpointHealth::RecordFailure(Instant now, Instant sent) {
  if (m_failures == 0 || sent - m_last_failure > kMaxProbeGap) {
    m_unanswered_since = std::max(sent, m_last_answer);
  }
  m_last_failure = now;
  const int doublings = std::min(m_failures, kMaxBackoffDoublings);
  ++m_failures;
  m_backoff_until =
      now + std::min<Duration>(kInitialFailureBackoff * (1 << doublings),
                               kMaxFailureBackoff);
}

void EndpointHealth::RecordRepeatedAnswer(Instant now) {
  m_repeats_answers_until = now + kRepeatedAnswerMemory;
}

void EndpointHealth::RecordBusy(Instant now) {
  m_backoff_until = std::max(m_backoff_until, now + kBusyBackoff);
}

void EndpointHealth::RecordConnectionRefused(Refusal refusal, Instant now,
                                             Instant sent) {
  if (refusal == Refusal::kNone || refusal == Refusal::kMisrouted) {
    return RecordFailure(now, sent);
  }
  RecordAnswer(now);
  m_connection_limit_until = now + kConnectionLimitBackoff;
  m_connection_retry_at = now + kConnectionRetryDelay;
}

void EndpointHealth::RecordLogPosition(GroupPosition position,
                                       std::optional<Instant> behind_since,
                                       Instant now) {
  if (!m_position || *m_position < position) m_position = position;
  const Duration age = behind_since ? now - *behind_since : Duration{};
  m_lag =
      std::max(age, std::chrono::duration_cast<Duration>(m_lag * kLagDecay));
}

void EndpointHealth::RecordLag(Duration age) {
  m_lag = std::chrono::duration_cast<Duration>(std::max<Duration>(m_lag, age) /
                                               kLagDecay);
}

}  // namespace tiller::relay
