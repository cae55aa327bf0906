// Chooses the endpoint for a read.
//
// Load pattern: replicas lag far behind and all reads fall on primaries, or an
// endpoint turns slow. Replicas that hold what the read needs are preferred by
// expected response time; the primary is the last resort, since only it can
// run writes.
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
  // An idle connection of the workspace exists; else whether one may be opened.
  bool connection_ready = false;
  bool connection_possible = false;
  // Statements of this host in progress there.
  std::size_t in_progress = 0;
  std::size_t slots = 1;
  Duration response_time{};
  // Whether it holds the position that the read needs.
  bool known_fresh = false;
  bool likely_fresh = false;
};

// The candidate with the least expected response time; nothing if none can
// serve now. `random` spreads hosts that know the same.
std::optional<EndpointId> ChooseForRead(
    const std::vector<ReadCandidate>& candidates, Random* random);

}  // namespace tiller::relay
