// How many connections to one endpoint this host may hold.
//
// An endpoint accepts a fixed number from all hosts together, so that
//   sum over hosts of HostShare(limit, hosts, rank, endpoint) <= limit.
#pragma once

#include <cstddef>
#include <string>

namespace tiller::relay {

// `rank` is this host's place among `hosts`, in [0, hosts). The remainder of
// the division goes to other hosts at each endpoint.
std::size_t HostShare(std::size_t limit, std::size_t hosts, std::size_t rank,
                      const std::string& endpoint);

}  // namespace tiller::relay
