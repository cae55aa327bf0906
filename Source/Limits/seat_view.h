// Which seats this host holds, and which hosts hold the others. A seat entitles
// its holder to one share of every fleet-wide limit; see docs/design/limits.md.
#pragma once

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <functional>
#include <limits>
#include <numeric>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Common/crypto.h"
#include "Common/types.h"

namespace tiller::limits {

// Version of the protocol between hosts and shared pools that this program
// serves. Version 2 knows schedules and load reports; a row without a version
// means 1.
inline constexpr int kPoolVersion = 2;

struct SeatView {
  // Last known holder of each seat; empty if unknown. Used only to address
  // requests, never to decide how much this host may spend.
  std::vector<HostId> holders;
  // Availability zone of each seat.
  std::vector<ZoneId> zones;
  // Addresses on which the holders' shared pools listen; empty if unknown.
  std::vector<std::string> pool_addresses;
  // Protocol versions of these pools; see kPoolVersion.
  std::vector<int> pool_versions;
  // Seats over which the limits are divided now; all seats if empty. A seat
  // that was just added does not count yet, and a seat whose holder has been
  // gone for a long time no longer counts.
  std::vector<int> counted;
  // Seats held by this host. It may use them before `valid_until` on its own
  // clock.
  std::vector<int> held;
  Instant valid_until{};
  // Fraction of the restart allowance that this process may use, in [0, 1].
  double restart_share = 1;

  // The seats over which the limits are divided now.
  std::vector<int> CountedSeats() const {
    if (!counted.empty()) return counted;
    std::vector<int> all(zones.size());
    std::iota(all.begin(), all.end(), 0);
    return all;
  }

  bool operator==(const SeatView&) const = default;

  bool Holds(int seat) const {
    return std::find(held.begin(), held.end(), seat) != held.end();
  }
};

// Place of a seat in a ranking; the highest comes first.
using SeatWeight = std::pair<std::uint64_t, int>;

// The weights of seats under a name (rendezvous hashing). All hosts compute the
// same ones. Hundreds of seats are ranked for hundreds of names, so the name is
// hashed once.
class SeatWeights {
 public:
  explicit SeatWeights(std::string_view name) {
    m_prefix.Add(name);
    m_prefix.Add("/");
  }
  SeatWeight Of(int seat) const {
    std::array<char, std::numeric_limits<int>::digits10 + 2> digits{};
    const auto* end =
        std::to_chars(digits.data(), digits.data() + digits.size(), seat).ptr;
    auto hasher = m_prefix;
    hasher.Add({digits.data(), static_cast<std::size_t>(end - digits.data())});
    return {hasher.Finish(), seat};
  }

 private:
  StableHasher m_prefix;
};

// Ranks the seats by their weights under `name` and returns the first `count`.
inline std::vector<int> RankSeats(std::string_view name,
                                  const std::vector<int>& seats,
                                  std::size_t count) {
  const SeatWeights weight(name);
  std::vector<SeatWeight> weights;
  weights.reserve(seats.size());
  for (const int seat : seats) weights.push_back(weight.Of(seat));
  count = std::min(count, weights.size());
  std::partial_sort(weights.begin(),
                    weights.begin() + static_cast<std::ptrdiff_t>(count),
                    weights.end(), std::greater<>());
  std::vector<int> ranked;
  ranked.reserve(count);
  for (std::size_t i = 0; i < count; ++i) ranked.push_back(weights[i].second);
  return ranked;
}

}  // namespace tiller::limits
