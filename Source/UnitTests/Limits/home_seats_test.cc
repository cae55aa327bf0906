// Tests of the choice of a workspace's home seats while the seats of a large
// fleet begin and cease to count.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Limits/token_share.h"

namespace tiller::limits {
namespace {

constexpr char kHost[] = "h";

class HomeSeats : public testing::Test {
 protected:
  void Count(const std::set<int>& seats, const std::vector<RateLimit>& limits) {
    SeatView view;
    view.holders.resize(400);
    view.zones.resize(400, "z");
    view.counted.assign(seats.begin(), seats.end());
    view.valid_until = m_clock.Now() + std::chrono::hours(1);
    m_share.Update(limits, view, m_clock.Now());
  }

  ManualClock m_clock;
  SeededRandom m_random{3};
  Counters m_counters;
  TokenShare m_share{kHost, &m_random, &m_counters};
};

// All hosts must agree on the home seats, whichever changes each of them saw.
TEST_F(HomeSeats, AreThoseOfAFullRankingAfterAnyChanges) {
  std::set<int> counted;
  for (int step = 0; step < 2'000; ++step) {
    const auto changes = 1 + m_random.UniformBelow(3);
    for (std::uint64_t i = 0; i < changes; ++i) {
      const auto seat = static_cast<int>(m_random.UniformBelow(300));
      const bool remove = m_random.UniformBelow(3) == 0;
      remove ? counted.erase(seat) : counted.insert(seat).second;
    }
    if (counted.empty()) continue;
    const double burst = 1.0 + static_cast<double>(m_random.UniformBelow(80));
    Count(counted, {{"small", 10, 20}, {"any", 10, burst}});
    for (const auto* workspace : {"small", "any"}) {
      const auto& homes = m_share.HomeSeats(workspace);
      ASSERT_EQ(homes, RankSeats(workspace, {counted.begin(), counted.end()},
                                 homes.size()))
          << workspace << ", step " << step;
    }
    ASSERT_EQ(m_share.HomeSeats("small").size(),
              std::min<std::size_t>(10, counted.size()));
  }
}

// The seats of a fleet that starts begin to count one after another. Each time,
// all of them were ranked for each workspace: 8 million weights on each host.
TEST_F(HomeSeats, StartOfALargeFleetRanksEachSeatAFewTimes) {
  constexpr int kHosts = 295;
  constexpr int kWorkspaces = 190;
  std::vector<RateLimit> limits;
  for (int i = 0; i < kWorkspaces; ++i) {
    limits.push_back({"w" + std::to_string(i), 10, 20});
  }
  std::set<int> counted;
  for (int i = 0; i < kHosts; ++i) {
    counted.insert(i);
    Count(counted, limits);
  }
  EXPECT_LT(m_counters.Get("token_seats_ranked"),
            std::uint64_t{4} * kHosts * kWorkspaces);
}

}  // namespace
}  // namespace tiller::limits
