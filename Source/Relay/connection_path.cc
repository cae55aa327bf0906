// Implementation of the path to an endpoint.
#include "Relay/connection_path.h"

#include <vector>

namespace tiller::relay {
namespace {

// With fewer connections than this for each host, most operations would open
// one and close another workspace's.
constexpr std::size_t kDirectPerHost = 2;

}  // namespace

bool UsesSharedPools(std::size_t limit, const limits::SeatView& seats) {
  const auto hosts = seats.Counted().size();
  return hosts > 1 && limit < hosts * kDirectPerHost;
}

std::optional<PoolPath> ChoosePool(const Endpoint& endpoint,
                                   const WorkspaceId& workspace,
                                   const limits::SeatView& seats,
                                   const std::map<HostId, Instant>& avoided,
                                   Instant now) {
  std::vector<int> near;
  std::vector<int> all;
  for (const int seat : seats.Counted()) {
    const auto index = static_cast<std::size_t>(seat);
    if (index >= seats.pool_addresses.size()) continue;
    if (seats.pool_addresses[index].empty()) continue;
    const auto pause = avoided.find(seats.holders[index]);
    if (pause != avoided.end() && now < pause->second) continue;
    all.push_back(seat);
    if (seats.zones[index] == endpoint.zone) near.push_back(seat);
  }
  const auto ranked = limits::RankSeats(endpoint.id + "/" + workspace,
                                        near.empty() ? all : near, 1);
  if (ranked.empty()) return std::nullopt;
  const auto index = static_cast<std::size_t>(ranked.front());
  return PoolPath{seats.holders[index], seats.pool_addresses[index]};
}

}  // namespace tiller::relay
