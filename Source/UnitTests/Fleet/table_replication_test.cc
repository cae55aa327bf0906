// Tests of fleets that are too large for every host to read the store: what the
// hosts ask of the store, and that changes reach every host whichever readers
// are lost.
#include <gtest/gtest.h>

#include <set>

#include "Fleet/reader_choice.h"
#include "UnitTests/Support/fleet_simulation.h"

namespace tiller::fleet {
namespace {

using std::chrono::seconds;

constexpr int kHosts = 60;

std::vector<int> HostsBehind(const FleetSimulation& simulation,
                             std::uint64_t version,
                             const std::set<int>& except) {
  std::vector<int> behind;
  for (int i = 0; i < simulation.HostCount(); ++i) {
    const auto directory = simulation.DirectoryOf(i);
    if (except.count(i) > 0) continue;
    if (directory == nullptr || directory->version != version) {
      behind.push_back(i);
    }
  }
  return behind;
}

std::vector<FleetHost> Hosts(int count, int zones) {
  std::vector<FleetHost> hosts;
  for (int i = 0; i < count; ++i) {
    const auto name = "h" + std::to_string(i);
    hosts.push_back({name, name + ":9", "z" + std::to_string(i % zones)});
  }
  return hosts;
}

std::vector<FleetHost> Without(std::vector<FleetHost> hosts, std::size_t i) {
  hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(i));
  return hosts;
}

TEST(Readers, SmallFleetReadsTheStoreOnEveryHost) {
  const auto hosts = Hosts(12, 3);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    EXPECT_TRUE(ChooseReaders(hosts[i], Without(hosts, i), {}).reads_store);
  }
}

TEST(Readers, LargeFleetHasFewReadersInEachZone) {
  const auto hosts = Hosts(295, 5);
  std::map<ZoneId, int> readers;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const auto plan = ChooseReaders(hosts[i], Without(hosts, i), {});
    readers[hosts[i].zone] += plan.reads_store ? 1 : 0;
    if (plan.reads_store) continue;
    ASSERT_EQ(plan.sources.size(), 2U);
    EXPECT_EQ(plan.sources[0].zone, hosts[i].zone);
    EXPECT_NE(plan.sources[1].zone, hosts[i].zone);
  }
  for (const auto& [zone, count] : readers) EXPECT_EQ(count, 4) << zone;
}

TEST(Readers, AvoidedReaderIsReplaced) {
  const auto hosts = Hosts(60, 3);
  const auto plan = ChooseReaders(hosts[0], Without(hosts, 0), {});
  const std::size_t follower = plan.reads_store ? 3 : 0;
  const auto others = Without(hosts, follower);
  const auto before = ChooseReaders(hosts[follower], others, {});
  ASSERT_FALSE(before.reads_store);
  const auto after =
      ChooseReaders(hosts[follower], others, {before.sources[0].host});
  if (after.reads_store) return;
  EXPECT_NE(after.sources[0].host, before.sources[0].host);
}

// Every host followed two tables, read all seats every 5 s, and tried to take
// the same seats as all others at the start: 1.1 calls a second and host with
// 23 hosts, and more for each further host.
TEST(StoreCalls, AreFewForEachHostOfALargeFleet) {
  FleetSimulation simulation(kHosts, 3, 1);
  simulation.Run(seconds(62));
  EXPECT_LT(simulation.store_calls, kHosts * 62 * 0.25);
  EXPECT_TRUE(HostsBehind(simulation, 1, {}).empty());
}

TEST(StoreCalls, AreFewWhileTheStoreIsDown) {
  FleetSimulation simulation(kHosts, 3, 2);
  simulation.Run(seconds(20));
  simulation.store_calls = 0;
  simulation.store_down = true;
  simulation.Run(seconds(5));
  EXPECT_LT(simulation.store_calls, kHosts * 5);
  simulation.store_down = false;
  simulation.Run(seconds(1));
  simulation.SetConfig(5);
  simulation.Run(seconds(2));
  EXPECT_TRUE(HostsBehind(simulation, 5, {}).empty());
}

TEST(LargeFleet, ConfigurationReachesAllHostsWithinOneSecond) {
  FleetSimulation simulation(kHosts, 3, 3);
  simulation.Run(seconds(20));
  simulation.SetConfig(9);
  simulation.Run(seconds(1));
  EXPECT_TRUE(HostsBehind(simulation, 9, {}).empty());
}

// A reader that is frozen, or cut off from the store without noticing, must not
// keep a withdrawn key in force on the hosts that depend on it.
TEST(LargeFleet, ConfigurationReachesHostsOfLostReaders) {
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    for (const bool frozen : {false, true}) {
      FleetSimulation simulation(kHosts, 3, seed);
      simulation.Run(seconds(20));
      std::set<int> lost;
      for (int i = 0; i < kHosts; i += 3) {
        if (simulation.random.UniformBelow(2) == 0) lost.insert(i);
      }
      (frozen ? simulation.frozen : simulation.cut_off_from_store) = lost;
      simulation.SetConfig(9);
      simulation.Run(Milliseconds(2'900));
      EXPECT_TRUE(HostsBehind(simulation, 9, lost).empty())
          << seed << (frozen ? " frozen" : " cut off");
    }
  }
}

// Readers that the store does not answer took a long poll without an answer for
// one without changes and confirmed their copies to the other hosts. These kept
// a withdrawn key and an old route in force although the store served them.
TEST(LargeFleet, ConfigurationReachesHostsOfReadersThatGetNoAnswer) {
  for (const int hosts : {15, kHosts}) {
    for (const std::uint64_t seed : {1, 2, 3, 4}) {
      FleetSimulation simulation(hosts, 3, seed);
      simulation.Run(seconds(20));
      const auto readers = simulation.HostsPolling("config");
      ASSERT_FALSE(readers.empty());
      ASSERT_LT(readers.size(), static_cast<std::size_t>(hosts) / 2);
      simulation.unanswered_by_store = readers;
      simulation.Run(Milliseconds(200));
      simulation.SetConfig(9);
      simulation.Run(Milliseconds(2'900));
      EXPECT_TRUE(HostsBehind(simulation, 9, readers).empty())
          << hosts << " hosts, seed " << seed;
      // The hosts stay up to date for as long as this lasts.
      simulation.Run(seconds(3));
      simulation.SetConfig(10);
      simulation.Run(Milliseconds(2'900));
      EXPECT_TRUE(HostsBehind(simulation, 10, readers).empty())
          << hosts << " hosts, seed " << seed;
    }
  }
}

// A long poll whose answer was lost ended only with its time limit, long after
// the store answered again.
TEST(SmallFleet, ConfigurationReachesAllHostsAfterTheStoreLeftPollsUnanswered) {
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    FleetSimulation simulation(6, 3, seed);
    // New long polls have just begun on all hosts.
    simulation.Run(seconds(21));
    simulation.unanswered_by_store = {0, 1, 2, 3, 4, 5};
    simulation.SetConfig(9);
    simulation.Run(seconds(6));
    simulation.unanswered_by_store.clear();
    simulation.Run(seconds(3));
    EXPECT_TRUE(HostsBehind(simulation, 9, {}).empty()) << seed;
  }
}

// Load pattern: the configuration grows to 1,700 routes. Readers that sent it
// to each host that was behind, again at each query, filled their links for
// seconds, and callers' requests were not answered.
TEST(LargeFleet, LargeConfigurationIsReadFromTheStore) {
  constexpr std::size_t kBytes = 300'000;
  FleetSimulation simulation(kHosts, 3, 8);
  simulation.Run(seconds(20));
  simulation.copied_bytes = 0;
  simulation.SetConfig(9, kBytes);
  simulation.Run(seconds(2));
  EXPECT_TRUE(HostsBehind(simulation, 9, {}).empty());
  EXPECT_LT(simulation.copied_bytes, kBytes);
}

TEST(LargeFleet, LargeConfigurationReachesHostsThatTheStoreTurnsAway) {
  constexpr std::size_t kBytes = 300'000;
  FleetSimulation simulation(kHosts, 3, 9);
  simulation.Run(seconds(20));
  simulation.cut_off_from_store = {4, 17, 30};
  simulation.copied_bytes = 0;
  simulation.SetConfig(9, kBytes);
  simulation.Run(seconds(6));
  EXPECT_TRUE(HostsBehind(simulation, 9, {}).empty());
  EXPECT_LT(simulation.copied_bytes, 7 * kBytes);
}

// Load pattern: a primary fails in a fleet of many hosts. All hosts beyond the
// first eight in the group's order read the claims at the same moment.
TEST(StoreCalls, AreFewDuringAFailover) {
  FleetSimulation simulation(kHosts, 3, 10);
  simulation.Run(seconds(22));
  simulation.Endpoints()[simulation.PrimaryId()].alive = false;
  simulation.store_calls = 0;
  simulation.Run(seconds(4));
  EXPECT_EQ(simulation.promotions, 1);
  EXPECT_LT(simulation.store_calls, kHosts);
}

TEST(LargeFleet, EveryHostHasACountedSeatBeforeTrafficStarts) {
  FleetSimulation simulation(kHosts, 3, 4);
  simulation.Run(seconds(10));
  for (int i = 0; i < kHosts; ++i) {
    EXPECT_EQ(simulation.SeatsOf(i).held.size(), 1U) << i;
    EXPECT_EQ(simulation.SeatsOf(i).counted.size(), kHosts) << i;
  }
}

TEST(LargeFleet, AddedHostIsCountedByAllAtTheSameTime) {
  FleetSimulation simulation(kHosts, 3, 5);
  simulation.frozen = {7};
  simulation.Run(seconds(20));
  simulation.frozen.clear();
  int transitions = 0;
  for (int i = 0; i < 120; ++i) {
    simulation.Run(Milliseconds(100));
    std::set<std::size_t> counts;
    for (int host = 0; host < kHosts; ++host) {
      counts.insert(simulation.SeatsOf(host).counted.size());
    }
    transitions += counts.size() > 1 ? 1 : 0;
  }
  EXPECT_EQ(simulation.SeatsOf(7).counted.size(), kHosts);
  EXPECT_LE(transitions, 2);
}

TEST(LargeFleet, RestartOfAllHostsKeepsSeatsAndConfiguration) {
  FleetSimulation simulation(kHosts, 3, 6);
  simulation.Run(seconds(20));
  simulation.SetConfig(3);
  simulation.Run(seconds(1));
  for (int i = 0; i < kHosts; ++i) simulation.Restart(i);
  simulation.Run(seconds(2));
  EXPECT_TRUE(HostsBehind(simulation, 3, {}).empty());
  for (int i = 0; i < kHosts; ++i) {
    EXPECT_EQ(simulation.SeatsOf(i).held.size(), 1U) << i;
    EXPECT_EQ(simulation.SeatsOf(i).counted.size(), kHosts) << i;
  }
}

// A withdrawn key must not come back with the copy of a host that was cut off.
TEST(LargeFleet, OlderCopyDoesNotReplaceANewerOne) {
  FleetSimulation simulation(kHosts, 3, 7);
  simulation.Run(seconds(20));
  simulation.frozen = {0, 1, 2, 3, 4, 5};
  simulation.SetConfig(9);
  simulation.Run(seconds(3));
  simulation.frozen.clear();
  for (int i = 0; i < 50; ++i) {
    simulation.Run(Milliseconds(100));
    EXPECT_TRUE(HostsBehind(simulation, 9, {0, 1, 2, 3, 4, 5}).empty());
  }
  EXPECT_TRUE(HostsBehind(simulation, 9, {}).empty());
}

}  // namespace
}  // namespace tiller::fleet
