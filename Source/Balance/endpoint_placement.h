// Chooses the endpoint for a read when connections go through shared pools.
//
// Load pattern: each host sends a small part of the load, so that its own
// statements say little about an endpoint's queue, and hosts that spread reads
// evenly need connections everywhere. A read goes to its workspace's home. If
// that is clearly slower than the next endpoints in the workspace's order (a
// hot workspace, a slow or busy endpoint), the workspace is spread over one
// endpoint more, and each read takes the less loaded of two. It returns to
// fewer endpoints only after a while, so that connections are not moved to and
// fro.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "Balance/load_report.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Common/types.h"

namespace tiller::balance {

struct PlacementCandidate {
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
  // A judgement of the endpoint needs a read there; Choose() ignores this.
  bool probe = false;
  // The report of the pool that keeps the workspace's connections, if it has
  // not expired.
  const LoadReport* load = nullptr;
};

// Expected time until the answer, with surcharges for what a read should avoid.
double PlacementCostMs(const PlacementCandidate& candidate);

class EndpointPlacement {
 public:
  EndpointPlacement(Random* random, Counters* counters)
      : m_random(random), m_counters(counters) {}

  // Returns the endpoint for a read; nullopt if no candidate can serve it now.
  // `candidates` are in the workspace's order, see HomeOrders.
  std::optional<EndpointId> Choose(
      const GroupId& group, const WorkspaceId& workspace,
      const std::vector<PlacementCandidate>& candidates, Instant now);
  // Number of endpoints over which the workspace's reads are spread.
  std::size_t Width(const GroupId& group, const WorkspaceId& workspace) const;

 private:
  struct Spread {
    std::size_t width = 1;  // at least 1
    Instant changed{};
    // The home was last clearly slower than another endpoint.
    Instant last_slow{};
  };

  Random* const m_random;
  Counters* const m_counters;
  std::map<GroupId, std::map<WorkspaceId, Spread>> m_spreads;
};

}  // namespace tiller::balance
