// Chooses the endpoint for a read.
//
// Load pattern: replicas lag far behind, so that all reads go to the primaries,
// or an endpoint becomes slow. Among the replicas that hold the required
// position, the one with the lowest expected response time is preferred. The
// primary is the last resort, since only it can run writes.
#pragma once

#include <optional>
#include <vector>

#include "Common/random.h"
#include "Relay/relay_types.h"

namespace tiller::relay {

struct ReadCandidate {
  EndpointId endpoint;
  bool primary = false;
  bool same_zone = false;
  // Whether an idle connection of the workspace exists, and whether a new one
  // may be opened.
  bool connection_ready = false;
  bool connection_possible = false;
  // Number of this host's statements in progress on the endpoint.
  std::size_t in_progress = 0;
  std::size_t slots = 1;
  Duration response_time{};
  // Whether it is known, or estimated from its lag, to hold the position that
  // the read requires.
  bool known_fresh = false;
  bool likely_fresh = false;
};

// Returns the candidate with the lowest expected response time; nullopt if none
// can serve now. `random` adds noise, so that hosts with the same information
// do not all choose the same endpoint.
std::optional<EndpointId> ChooseForRead(
    const std::vector<ReadCandidate>& candidates, Random* random);

}  // namespace tiller::relay
