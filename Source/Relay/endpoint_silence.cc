// Implementation of the silence of endpoints.
#include "Relay/endpoint_silence.h"

#include <algorithm>

namespace tiller::relay {
namespace {

// A primary that answers reads but no write for this long has lost its
// replicas; several times the slowest statement.
constexpr Milliseconds kWriteStall{600};

}  // namespace

Duration SilenceOn(const std::map<ConnectionId, Connection>& connections,
                   const EndpointId& endpoint, const EndpointHealth& health,
                   Instant last_write_answer, Instant now) {
  Instant waiting_since = Instant::max();
  Instant write_since = Instant::max();
  for (const auto& [id, connection] : connections) {
    if (connection.endpoint != endpoint || !connection.via.empty()) continue;
    if (connection.state != ConnectionState::kBusy &&
        connection.state != ConnectionState::kOpening) {
      continue;
    }
    waiting_since = std::min(waiting_since, connection.step_sent);
    const bool write = connection.sent.verb == Verb::kWrite ||
                       connection.sent.verb == Verb::kCommit;
    if (connection.step == Step::kUser && write) {
      write_since = std::min(write_since, connection.step_sent);
    }
  }
  Duration silent{};
  if (health.Failures() > 0) {
    silent = now - health.LastHeard();
  } else if (waiting_since < now) {
    silent = now - std::max(waiting_since, health.LastHeard());
  }
  const bool stalled =
      write_since < now - kWriteStall && last_write_answer < write_since;
  if (stalled) silent = std::max<Duration>(silent, now - write_since);
  return silent;
}

}  // namespace tiller::relay
