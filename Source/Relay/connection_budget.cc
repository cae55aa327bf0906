// Division of an endpoint's connections among hosts.
#include "Relay/connection_budget.h"

#include "Common/crypto.h"

namespace tiller::relay {

std::size_t HostShare(std::size_t limit, std::size_t hosts, std::size_t rank,
                      const std::string& endpoint) {
  if (hosts == 0) return limit == 0 ? 0 : 1;
  const std::size_t base_share = limit / hosts;
  const std::size_t remainder = limit % hosts;
  const std::size_t rotated_rank = (rank + StableHash(endpoint)) % hosts;
  return base_share + (rotated_rank < remainder ? 1 : 0);
}

}  // namespace tiller::relay
