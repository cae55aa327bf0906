// Order in which waiting requests get the next free connection of a group.
//
// Load pattern: one workspace sends many times its usual while an endpoint is
// short of connections. First come, first served would let its backlog delay
// everybody. Here the workspace with the least in service goes first, so a
// backlog delays only its own workspace. Requests that are late already, the
// retries of those that were refused, come after all that can be on time.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Common/types.h"

namespace tiller::relay {

struct Waiter {
  std::uint64_t session = 0;
  WorkspaceId workspace;
  int priority = 0;  // 0 is the highest
  Instant arrived;
  // Its operation can't meet its target latency any more.
  bool late = false;
};

// Sessions in the order in which they should be placed. `in_service` counts
// the connections that each workspace occupies in the group now.
std::vector<std::uint64_t> PlacementOrder(
    std::vector<Waiter> waiters, std::map<WorkspaceId, std::size_t> in_service);

}  // namespace tiller::relay
