// How long an endpoint has left open questions unanswered.
#pragma once

#include <map>

#include "Relay/endpoint_health.h"
#include "Relay/relay_state.h"

namespace tiller::relay {

// Zero while the endpoint answers. Counts from the oldest statement or opening
// that waits on `connections`, or from a write that waits although reads are
// answered; connections through other hosts say nothing and are left out.
Duration SilenceOn(const std::map<ConnectionId, Connection>& connections,
                   const EndpointId& endpoint, const EndpointHealth& health,
                   Instant last_write_answer, Instant now);

}  // namespace tiller::relay
