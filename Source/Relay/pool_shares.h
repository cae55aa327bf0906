// Division of the endpoints' connections among the hosts that keep them in
// shared pools.
//
// Load pattern: some pools keep the connections of many workspaces or of large
// ones, others of few. Each pool gets the part of the workspaces that all hosts
// send to it, as long as none is avoided. A pool that serves the workspaces of
// an avoided one is beyond its part.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Balance/connection_quota.h"
#include "Limits/seat_view.h"
#include "Relay/relay_types.h"

namespace tiller::relay {

class PoolShares {
 public:
  void Update(const limits::SeatView& seats);
  // `before` may be null.
  void Update(const Directory* before, const Directory& directory);
  // Returns this host's part. Computed at the first use after a change, since a
  // host uses only the endpoints of its zone.
  const balance::ConnectionPart& PartOf(const Endpoint& endpoint,
                                        const Directory& directory);

 private:
  balance::ConnectionPart Compute(const Endpoint& endpoint,
                                  const Directory& directory) const;

  limits::SeatView m_seats;
  std::map<EndpointId, balance::ConnectionPart> m_parts;
};

}  // namespace tiller::relay
