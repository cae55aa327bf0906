// This host's share of the connections that one endpoint accepts.
//
// An endpoint accepts a fixed number of connections from all hosts together, so
// that
//   sum over hosts of HostShare(limit, hosts, rank, endpoint) <= limit.
#pragma once

#include <cstddef>
#include <string>

namespace tiller::relay {

// Returns how many of an endpoint's `limit` connections this host may hold.
// `rank` is this host's index among `hosts`, in [0, hosts). The remainder of
// the division goes to different hosts at different endpoints.
std::size_t HostShare(std::size_t limit, std::size_t hosts, std::size_t rank,
                      const std::string& endpoint);

}  // namespace tiller::relay
