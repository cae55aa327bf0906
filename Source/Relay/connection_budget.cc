// Implementation of the connection budget.
#include "Relay/connection_budget.h"

#include "Common/crypto.h"

namespace tiller::relay {

std::size_t HostShare(std::size_t limit, std::size_t hosts, std::size_t rank,
                      const std::string& endpoint) {
  if (hosts == 0) return limit == 0 ? 0 : 1;
  const std::size_t whole = limit / hosts;
  const std::size_t left = limit % hosts;
  const std::size_t turn = (rank + StableHash(endpoint)) % hosts;
  return whole + (turn < left ? 1 : 0);
}

}  // namespace tiller::relay
