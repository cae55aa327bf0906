// Whether this host connects to an endpoint itself or through another host's
// shared pool, and which one.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "Limits/seat_view.h"
#include "Relay/relay_types.h"

namespace tiller::relay {

struct PoolPath {
  HostId host;
  std::string address;
};

// True if an endpoint that accepts `limit` connections has too few for each
// host to keep its own.
bool UsesSharedPools(std::size_t limit, const limits::SeatView& seats);

// The host that keeps the workspace's connections to the endpoint: all hosts
// choose the same one, in the endpoint's zone if any is left there. Hosts in
// `avoided` are passed over until then. Nothing if none is left.
std::optional<PoolPath> ChoosePool(const Endpoint& endpoint,
                                   const WorkspaceId& workspace,
                                   const limits::SeatView& seats,
                                   const std::map<HostId, Instant>& avoided,
                                   Instant now);

}  // namespace tiller::relay
