// How long an endpoint has not answered pending requests.
#pragma once

#include <map>

#include "Relay/endpoint_health.h"
#include "Relay/relay_state.h"

namespace tiller::relay {

// Returns how long `endpoint` has not answered, or zero while it answers. The
// time starts with the oldest statement or opening that is pending on
// `connections`, or with the oldest pending write if the endpoint answers reads
// but no writes. Connections through other hosts are ignored, because a missing
// answer there says nothing about the endpoint.
Duration MeasureSilence(const std::map<ConnectionId, Connection>& connections,
                        const EndpointId& endpoint,
                        const EndpointHealth& health, Instant last_write_answer,
                        Instant now);

}  // namespace tiller::relay
