// Measurement of how long an endpoint has not answered.
#include "Relay/endpoint_silence.h"

#include <algorithm>

namespace tiller::relay {
namespace {

// A primary that answers reads but no writes for this long has lost its
// replicas. This is several times the duration of the slowest statement.
constexpr Milliseconds kWriteStallTimeout{600};
// Longer than a round trip between zones and the slowest statement, and short
// enough for the probe to be answered before statements are refused.
constexpr Milliseconds kProbeAfter{150};
// Between a failed request and the next probe.
constexpr Milliseconds kProbeInterval{100};
// The same after kQuickProbes; by then the primary can have been replaced.
constexpr Milliseconds kSlowProbeInterval{500};
constexpr Milliseconds kQuickProbes{3'000};

// Adds the request on the connection, if one is pending there.
void AddPending(const Connection& connection, PendingRequests* pending) {
  pending->oldest = std::min(pending->oldest, connection.step_sent);
  pending->probe |= connection.step == Step::kProbe;
  const bool write = connection.sent.verb == Verb::kWrite ||
                     connection.sent.verb == Verb::kCommit;
  if (connection.step == Step::kUser && write) {
    pending->oldest_write =
        std::min(pending->oldest_write, connection.step_sent);
  }
}

bool IsPending(const Connection& connection) {
  return connection.pool_host_id.empty() &&
         (connection.state == ConnectionState::kBusy ||
          connection.state == ConnectionState::kOpening);
}

Duration Between(Instant start, Instant end) {
  return end > start ? end - start : Duration{};
}

}  // namespace

PendingRequests FindPending(const ConnectionTable& connections,
                            const EndpointId& endpoint) {
  PendingRequests pending;
  for (const auto& [id, connection] : connections) {
    if (!IsPending(connection) || connection.endpoint != endpoint) continue;
    AddPending(connection, &pending);
  }
  return pending;
}

PendingTable FindAllPending(const ConnectionTable& connections) {
  PendingTable table;
  for (const auto& [id, connection] : connections) {
    if (!IsPending(connection)) continue;
    AddPending(connection, &table[connection.endpoint]);
  }
  return table;
}

PendingRequests PendingAt(const PendingTable& table,
                          const EndpointId& endpoint) {
  const auto found = table.find(endpoint);
  return found == table.end() ? PendingRequests() : found->second;
}

Silence MeasureSilence(const PendingRequests& pending,
                       const EndpointHealth& health, Instant last_write_answer,
                       Instant on_time_since, Instant now) {
  const bool is_pending = pending.oldest < now;
  Instant start = now;
  if (is_pending) start = std::max(pending.oldest, health.LastAnswer());
  Silence silence;
  if (health.Failures() > 0 &&
      std::min(pending.oldest, now) - health.LastFailure() <= kMaxProbeGap) {
    start = std::min(start, health.UnansweredSince());
    // Until the next probe is sent, the silence does not go on.
    const auto end = is_pending ? now : health.LastFailure();
    silence.of_all = Between(std::max(start, on_time_since), end);
  } else {
    silence.of_all = Between(std::max(start, on_time_since), now);
  }
  const bool stalled = pending.oldest_write < now - kWriteStallTimeout &&
                       last_write_answer < pending.oldest_write;
  if (stalled) {
    silence.of_writes =
        Between(std::max(pending.oldest_write, on_time_since), now);
  }
  return silence;
}

bool NeedsProbe(const PendingRequests& pending, const EndpointHealth& health,
                Instant on_time_since, Instant now) {
  if (pending.probe) return false;
  if (health.Failures() > 0) {
    const bool quick =
        health.LastFailure() - health.UnansweredSince() < kQuickProbes;
    const auto interval = quick ? kProbeInterval : kSlowProbeInterval;
    if (now - health.LastFailure() >= interval) return true;
  }
  if (pending.oldest >= now) return false;
  const auto since =
      std::max({pending.oldest, health.LastAnswer(), on_time_since});
  return now - since > kProbeAfter;
}

}  // namespace tiller::relay
