// Which seats this host holds, and who holds the others. A seat is the right
// to one share of every fleet-wide limit; see docs/design/limits.md.
#pragma once

#include <algorithm>
#include <numeric>
#include <string>
#include <string_view>
#include <vector>

#include "Common/crypto.h"
#include "Common/types.h"

namespace tiller::limits {

struct SeatView {
  // Holder of each seat as last known; empty when unknown. Used only to
  // address requests, never to decide what this host may spend.
  std::vector<HostId> holders;
  std::vector<ZoneId> zones;
  // Where the holders' shared pools listen; empty if not known.
  std::vector<std::string> pool_addresses;
  // Seats that divide the limits now, all if empty. A seat that was just added
  // does not yet, and one whose holder is long gone does not any more.
  std::vector<int> counted;
  // Seats held by this host, usable before `valid_until` on its own clock.
  std::vector<int> held;
  Instant valid_until{};
  // Part of the restart allowance that this process may use, in [0, 1].
  double restart_share = 1;

  std::vector<int> Counted() const {
    if (!counted.empty()) return counted;
    std::vector<int> all(zones.size());
    std::iota(all.begin(), all.end(), 0);
    return all;
  }

  bool Holds(int seat) const {
    return std::find(held.begin(), held.end(), seat) != held.end();
  }
};

// The first `count` seats in an order that depends only on `name`.
inline std::vector<int> RankSeats(std::string_view name, std::vector<int> seats,
                                  std::size_t count) {
  const auto weight = [&](int seat) {
    return StableHash(std::string(name) + "/" + std::to_string(seat));
  };
  std::sort(seats.begin(), seats.end(),
            [&](int a, int b) { return weight(a) > weight(b); });
  if (seats.size() > count) seats.resize(count);
  return seats;
}

}  // namespace tiller::limits
