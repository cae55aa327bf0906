// How long an endpoint has not answered pending requests.
//
// Load pattern: an exchange with an endpoint failed, and nothing was sent to it
// afterwards. If the silence went on with the clock, statements would be
// refused and healthy primaries replaced without any request that could end it.
// So it lasts while requests are pending, and after a failed request only if
// the next one follows soon. The host sends a probe for that purpose.
#pragma once

#include <algorithm>
#include <map>

#include "Relay/connection_table.h"
#include "Relay/endpoint_health.h"
#include "Relay/relay_state.h"

namespace tiller::relay {

struct Silence {
  // For how long nothing was answered, and how long writes were not answered
  // although reads may have been.
  Duration of_all{};
  Duration of_writes{};
  Duration Longest() const { return std::max(of_all, of_writes); }
};

// Requests to an endpoint that it has not answered. Connections through other
// hosts are ignored, because a missing answer there says nothing about the
// endpoint.
struct PendingRequests {
  Instant oldest = Instant::max();
  Instant oldest_write = Instant::max();
  bool probe = false;
};
using PendingTable = std::map<EndpointId, PendingRequests>;

PendingRequests FindPending(const ConnectionTable& connections,
                            const EndpointId& endpoint);
// Returns the same for all endpoints that have any, in one pass.
PendingTable FindAllPending(const ConnectionTable& connections);
PendingRequests PendingAt(const PendingTable& table,
                          const EndpointId& endpoint);

// Returns how long an endpoint has not answered, or zeros while it answers.
// What was unanswered before `on_time_since` is not counted; see TickMonitor.
Silence MeasureSilence(const PendingRequests& pending,
                       const EndpointHealth& health, Instant last_write_answer,
                       Instant on_time_since, Instant now);

// Returns true if a probe should be sent, so that the endpoint is known to be
// silent before statements for it are refused: a request has been unanswered
// for a while, or the last one failed. False while a probe is pending.
bool NeedsProbe(const PendingRequests& pending, const EndpointHealth& health,
                Instant on_time_since, Instant now);

}  // namespace tiller::relay
