// Health of one endpoint as observed by this host in its own exchanges.
#pragma once

#include <optional>

#include "Common/types.h"
#include "Relay/relay_types.h"

namespace tiller::relay {

// Requests that failed one after the other are evidence of one silence if no
// more time than this passed between them. Longer than any time between probes.
inline constexpr Milliseconds kMaxProbeGap{700};

// Backoff times, response time and replica lag of one endpoint.
class EndpointHealth {
 public:
  // A complete answer arrived; ends the backoff.
  void RecordAnswer(Instant now);
  // A read or write was answered after `response_time`.
  void RecordResponseTime(Duration response_time);
  // A connection attempt or an exchange that began at `sent` got no answer;
  // starts a backoff.
  void RecordFailure(Instant now, Instant sent);
  // The endpoint refused a statement because it was busy.
  void RecordBusy(Instant now);
  // The endpoint answered a statement twice.
  void RecordRepeatedAnswer(Instant now);
  // A replica reported its log position. `behind_since` is the time at which
  // the primary was first known to be above `position`; nothing if the replica
  // has every known entry.
  void RecordLogPosition(GroupPosition position,
                         std::optional<Instant> behind_since, Instant now);
  // The replica lacked a position that the primary had reached `age` ago.
  void RecordLag(Duration age);

  // Returns true while no new work should be sent to the endpoint.
  bool InBackoff(Instant now) const { return now < m_backoff_until; }
  // Returns true for a while after the endpoint has answered a statement twice.
  // Acknowledgements that may be repetitions are not relied on then.
  bool RepeatsAnswers(Instant now) const {
    return now < m_repeats_answers_until;
  }
  // Returns true while the endpoint is assumed to be at its connection limit.
  bool AtConnectionLimit(Instant now) const {
    return now < m_connection_limit_until;
  }
  // True for a shorter time after the same refusal: a host that holds less than
  // its share of the connections retries sooner.
  bool RefusedRecently(Instant now) const {
    return now < m_connection_retry_at;
  }
  // A connection attempt was refused; kNone if nothing answered at the address.
  // An endpoint that is misrouted counts as silent, since another one answers
  // at its address. Other refusals are answers of an endpoint at its limit.
  void RecordConnectionRefused(Refusal refusal, Instant now, Instant sent);

  Duration ResponseTime() const { return m_response_time; }
  // Estimate of how far the replica's log is behind the primary's.
  Duration Lag() const { return m_lag; }
  // Newest log position that the endpoint reported.
  std::optional<GroupPosition> LastKnownPosition() const { return m_position; }
  Instant LastAnswer() const { return m_last_answer; }
  // Number of consecutive exchanges without an answer; 0 after any answer.
  int Failures() const { return m_failures; }
  // When the last of them failed, and since when requests that followed each
  // other within kMaxProbeGap have been unanswered.
  Instant LastFailure() const { return m_last_failure; }
  Instant UnansweredSince() const { return m_unanswered_since; }

 private:
  Instant m_last_answer{};
  Instant m_backoff_until{};
  Instant m_connection_limit_until{};
  Instant m_connection_retry_at{};
  Instant m_repeats_answers_until{};
  int m_failures = 0;
  Instant m_last_failure{};
  Instant m_unanswered_since{};
  // Exponential moving average.
  Duration m_response_time = Milliseconds(10);
  Duration m_lag{};
  std::optional<GroupPosition> m_position;
};

}  // namespace tiller::relay
