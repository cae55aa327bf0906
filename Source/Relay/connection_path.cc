// Choice between direct connections and shared pools.
#include "Relay/connection_path.h"

namespace tiller::relay {
namespace {

// With fewer connections per host than this, most operations would have to open
// a connection and close one of another workspace.
constexpr std::size_t kMinDirectPerHost = 2;

PoolHost PoolAt(const limits::SeatView& seats, std::size_t seat) {
  const int version =
      seat < seats.pool_versions.size() ? seats.pool_versions[seat] : 1;
  return {seats.holders[seat], seats.zones[seat], seats.pool_addresses[seat],
          version};
}

}  // namespace

bool UsesSharedPools(std::size_t limit, const limits::SeatView& seats) {
  const auto hosts = seats.CountedSeats().size();
  return hosts > 1 && limit < hosts * kMinDirectPerHost;
}

std::optional<PoolHost> FindPool(const HostId& host,
                                 const limits::SeatView& seats) {
  for (std::size_t i = 0; i < seats.pool_addresses.size(); ++i) {
    if (seats.holders[i] != host || seats.pool_addresses[i].empty()) continue;
    return PoolAt(seats, i);
  }
  return std::nullopt;
}

std::vector<int> PoolSeats(const ZoneId& zone, const limits::SeatView& seats,
                           const std::map<HostId, Instant>& avoided,
                           Instant now, const std::set<ZoneId>& silent_zones) {
  std::vector<int> same_zone;
  std::vector<int> eligible;
  for (const int seat : seats.CountedSeats()) {
    const auto index = static_cast<std::size_t>(seat);
    if (index >= seats.pool_addresses.size()) continue;
    if (seats.pool_addresses[index].empty()) continue;
    if (silent_zones.count(seats.zones[index]) > 0) continue;
    const auto avoided_until = avoided.find(seats.holders[index]);
    if (avoided_until != avoided.end() && now < avoided_until->second) continue;
    eligible.push_back(seat);
    if (seats.zones[index] == zone) same_zone.push_back(seat);
  }
  return same_zone.empty() ? eligible : same_zone;
}

std::optional<int> ChoosePoolSeat(const EndpointId& endpoint,
                                  const WorkspaceId& workspace,
                                  const std::vector<int>& eligible) {
  const auto ranked =
      limits::RankSeats(endpoint + "/" + workspace, eligible, 1);
  if (ranked.empty()) return std::nullopt;
  return ranked.front();
}

std::optional<PoolHost> ChoosePool(const Endpoint& endpoint,
                                   const WorkspaceId& workspace,
                                   const limits::SeatView& seats,
                                   const std::map<HostId, Instant>& avoided,
                                   Instant now,
                                   const std::set<ZoneId>& silent_zones) {
  const auto seat = ChoosePoolSeat(
      endpoint.id, workspace,
      PoolSeats(endpoint.zone, seats, avoided, now, silent_zones));
  if (!seat) return std::nullopt;
  const auto index = static_cast<std::size_t>(*seat);
  return PoolAt(seats, index);
}

}  // namespace tiller::relay
