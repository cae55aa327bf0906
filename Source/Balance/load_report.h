// What a host that keeps connections to an endpoint for other hosts (a shared
// pool) tells them about its load.
#pragma once

#include <cstddef>

#include "Common/types.h"

namespace tiller::balance {

// Load of one endpoint as one pool sees it.
struct LoadReport {
  std::size_t in_progress = 0;  // statements running on its connections
  std::size_t waiting = 0;      // statements waiting for a connection
  std::size_t connections = 0;  // held by this pool
  bool at_limit = false;        // the endpoint refused a connection recently
  Duration expected_wait{};     // until a statement that arrives now starts
};

}  // namespace tiller::balance
