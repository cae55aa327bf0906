// Decides whether this host connects to an endpoint directly or through the
// shared pool of a host, and which host that is.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Limits/seat_view.h"
#include "Relay/relay_types.h"

namespace tiller::relay {

// A host with a shared pool, and the address at which it accepts sessions.
struct PoolHost {
  HostId host;
  ZoneId zone;
  std::string address;
  int version = 1;  // of its protocol
};

// Returns true if `limit`, the number of connections that an endpoint accepts,
// is too small for each host to keep its own connections.
bool UsesSharedPools(std::size_t limit, const limits::SeatView& seats);

// Returns the seats whose hosts keep connections to endpoints in the zone:
// those of the zone, or all if it has none with a shared pool. Hosts in
// `avoided` are skipped until the time given there, and hosts of
// `silent_zones` are skipped.
std::vector<int> PoolSeats(const ZoneId& zone, const limits::SeatView& seats,
                           const std::map<HostId, Instant>& avoided,
                           Instant now,
                           const std::set<ZoneId>& silent_zones = {});

// Returns the one of `eligible` seats whose host keeps the workspace's
// connections to the endpoint; nothing if there is none.
std::optional<int> ChoosePoolSeat(const EndpointId& endpoint,
                                  const WorkspaceId& workspace,
                                  const std::vector<int>& eligible);

// Returns the pool of a host; nothing if the host has no seat, or no pool.
std::optional<PoolHost> FindPool(const HostId& host,
                                 const limits::SeatView& seats);

// Returns the host that keeps the workspace's connections to the endpoint. All
// hosts choose the same one, which is in the endpoint's zone if a host there is
// eligible. Hosts in `avoided` are skipped until the time given there, and
// hosts of `silent_zones` are skipped. Returns nothing if no host is eligible.
std::optional<PoolHost> ChoosePool(const Endpoint& endpoint,
                                   const WorkspaceId& workspace,
                                   const limits::SeatView& seats,
                                   const std::map<HostId, Instant>& avoided,
                                   Instant now,
                                   const std::set<ZoneId>& silent_zones = {});

}  // namespace tiller::relay
