// Division of an endpoint's connections among hosts.
//
// An endpoint accepts a fixed number of connections from all hosts together.
// Both functions divide it without gap or overlap: if all hosts know the same
// hosts and weights, their parts add up to the limit.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace tiller::balance {

// Returns how many of an endpoint's `limit` connections this host may hold if
// all hosts get the same. `rank` is this host's index among `hosts`, in
// [0, hosts). The remainder of the division goes to different hosts at
// different endpoints.
std::size_t HostShare(std::size_t limit, std::size_t hosts, std::size_t rank,
                      const std::string& endpoint);

// Divides `limit` in proportion to the weights, by the method of the largest
// remainder; evenly if all weights are 0. Integers make the result the same on
// all machines. Precondition: `limit` times the sum of the weights fits into 64
// bits.
std::vector<std::size_t> DivideByWeight(
    std::size_t limit, const std::vector<std::uint64_t>& weights);

}  // namespace tiller::balance
