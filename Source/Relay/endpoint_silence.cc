// Measurement of how long an endpoint has not answered.
#include "Relay/endpoint_silence.h"

#include <algorithm>

namespace tiller::relay {
namespace {

// A primary that answers reads but no writes for this long has lost its
// replicas. This is several times the duration of the slowest statement.
constexpr Milliseconds kWriteStallTimeout{600};

}  // namespace

Duration MeasureSilence(const std::map<ConnectionId, Connection>& connections,
                        const EndpointId& endpoint,
                        const EndpointHealth& health, Instant last_write_answer,
                        Instant now) {
  Instant oldest_pending = Instant::max();
  Instant oldest_write = Instant::max();
  for (const auto& [id, connection] : connections) {
    if (connection.endpoint != endpoint || !connection.pool_host_id.empty())
      continue;
    if (connection.state != ConnectionState::kBusy &&
        connection.state != ConnectionState::kOpening) {
      continue;
    }
    oldest_pending = std::min(oldest_pending, connection.step_sent);
    const bool write = connection.sent.verb == Verb::kWrite ||
                       connection.sent.verb == Verb::kCommit;
    if (connection.step == Step::kUser && write) {
      oldest_write = std::min(oldest_write, connection.step_sent);
    }
  }
  Duration silence{};
  if (health.Failures() > 0) {
    silence = now - health.LastAnswer();
  } else if (oldest_pending < now) {
    silence = now - std::max(oldest_pending, health.LastAnswer());
  }
  const bool stalled = oldest_write < now - kWriteStallTimeout &&
                       last_write_answer < oldest_write;
  if (stalled) silence = std::max<Duration>(silence, now - oldest_write);
  return silence;
}

}  // namespace tiller::relay
