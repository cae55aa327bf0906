// Implementation of the division of an endpoint's connections.
#include "Balance/cap_division.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

#include "Common/crypto.h"

namespace tiller::balance {

std::size_t HostShare(std::size_t limit, std::size_t hosts, std::size_t rank,
                      const std::string& endpoint) {
  if (hosts == 0) return limit == 0 ? 0 : 1;
  const std::size_t base_share = limit / hosts;
  const std::size_t remainder = limit % hosts;
  const std::size_t rotated_rank = (rank + StableHash(endpoint)) % hosts;
  return base_share + (rotated_rank < remainder ? 1 : 0);
}

std::vector<std::size_t> DivideByWeight(
    std::size_t limit, const std::vector<std::uint64_t>& weights) {
  if (weights.empty()) return {};
  const auto sum =
      std::accumulate(weights.begin(), weights.end(), std::uint64_t{0});
  if (sum == 0) {
    return DivideByWeight(limit, std::vector<std::uint64_t>(weights.size(), 1));
  }
  std::vector<std::size_t> parts;
  parts.reserve(weights.size());
  std::vector<std::pair<std::uint64_t, std::size_t>> remainders;
  remainders.reserve(weights.size());
  std::size_t left = limit;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    const std::uint64_t product = limit * weights[i];
    parts.push_back(product / sum);
    left -= parts.back();
    remainders.emplace_back(product % sum, i);
  }
  std::sort(remainders.begin(), remainders.end(), std::greater<>());
  for (std::size_t i = 0; i < left; ++i) ++parts[remainders[i].second];
  return parts;
}

}  // namespace tiller::balance
