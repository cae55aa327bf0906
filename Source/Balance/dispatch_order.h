// Order in which waiting requests get the next free connection of a group or,
// in a shared pool, of an endpoint.
//
// Load pattern: one workspace sends many times its usual load while an endpoint
// is short of connections. In first-come, first-served order its backlog would
// delay all workspaces. Here the workspace that occupies the fewest connections
// goes first, so a backlog delays only its own workspace. Requests that are
// already late (usually retries of refused requests) come after all requests
// that can still be on time.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Common/types.h"

namespace tiller::balance {

struct WaitingRequest {
  std::uint64_t session = 0;
  WorkspaceId workspace;
  int priority = 0;  // 0 is the highest
  // Of equal requests, the earlier one is served first: the time by which it
  // should be answered or, if that is unknown, when it arrived.
  Instant due;
  // Its operation can no longer meet its target latency.
  bool late = false;
};

// Returns the sessions in the order in which their `waiting` requests should
// be dispatched. `connections_in_use` holds the number of connections that each
// workspace currently occupies in the group.
std::vector<std::uint64_t> DispatchOrder(
    std::vector<WaitingRequest> waiting,
    std::map<WorkspaceId, std::size_t> connections_in_use);

}  // namespace tiller::balance
