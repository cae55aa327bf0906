// Tests of the commit guard: which commits hosts pass on while a primary is
// replaced, and how long the change of primary waits for other hosts.
#include "Fleet/commit_guard.h"

#include <gtest/gtest.h>

#include "UnitTests/Support/fleet_simulation.h"

namespace tiller::fleet {
namespace {

using std::chrono::seconds;

// The old primary was reached by one host only, which no other host reached. A
// replica restarted, which ended its pause, and acknowledged commits that this
// host passed on until the promotion of the other one took effect (KNOWN-RED
// 7).
TEST(CommitGuard, HostThatNoOtherHostReachesPassesOnNoLostCommits) {
  for (const bool store_too : {false, true}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      FleetSimulation simulation(4, 3, seed);
      simulation.Run(seconds(20));
      simulation.cut_off_from_hosts = {0};
      simulation.cut_off_from_primary = {1, 2, 3};
      if (store_too) simulation.cut_off_from_store = {0};
      while (simulation.promotion_calls == 0) {
        simulation.Run(Milliseconds(25));
      }
      const auto other = simulation.last_promotion_target == "e1" ? "e2" : "e1";
      simulation.RestartEndpoint(other);
      while (simulation.PrimaryId() == "e0") simulation.Run(Milliseconds(25));
      simulation.cut_off_from_hosts.clear();
      simulation.cut_off_from_primary.clear();
      simulation.Run(seconds(4));
      EXPECT_EQ(simulation.promotions, 1);
      EXPECT_TRUE(simulation.lost_commits.empty())
          << "seed " << seed << ": " << simulation.lost_commits.front() << "\n"
          << simulation.TraceText();
    }
  }
}

// A host that reaches no other host, but the store, goes on while no primary is
// replaced.
TEST(CommitGuard, HostAloneTakesItsLeaseFromTheStore) {
  FleetSimulation simulation(3, 3, 1);
  simulation.Run(seconds(20));
  simulation.frozen = {1, 2};
  simulation.Run(seconds(10));
  EXPECT_LT(simulation.clock.Now() - simulation.last_commit_at, seconds(1));
  // Without the store as well, it can't know whether a primary is replaced.
  simulation.cut_off_from_store = {0};
  simulation.Run(seconds(5));
  EXPECT_GT(simulation.clock.Now() - simulation.last_commit_at, seconds(2));
}

// Hosts without the store get their leases from each other.
TEST(CommitGuard, CommitsGoOnWhileTheStoreIsDown) {
  FleetSimulation simulation(6, 3, 1);
  simulation.Run(seconds(20));
  simulation.store_down = true;
  simulation.Run(seconds(20));
  EXPECT_LT(simulation.clock.Now() - simulation.last_commit_at, seconds(1));
}

// A host that was killed passes on no commits, and the change of primary
// doesn't wait for it.
TEST(CommitGuard, KilledHostsDoNotDelayAChangeOfPrimary) {
  FleetSimulation simulation(9, 3, 1);
  simulation.Run(seconds(20));
  simulation.frozen = {0, 4};
  simulation.Run(seconds(4));
  simulation.Endpoints().at("e0").alive = false;
  const auto died = simulation.clock.Now();
  while (simulation.promotion_calls == 0) simulation.Run(Milliseconds(25));
  EXPECT_LT(simulation.clock.Now() - died, Milliseconds(600));
}

// A host that starts learns of a hold before it passes on a commit.
TEST(CommitGuard, HostThatStartsLearnsOfAHold) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    FleetSimulation simulation(5, 4, seed);
    simulation.Run(seconds(20));
    simulation.promotion_delay = seconds(5);
    simulation.Endpoints().at("e0").alive = false;
    while (simulation.promotion_calls == 0) simulation.Run(Milliseconds(25));
    for (int host = 0; host < 5; ++host) {
      if (host != simulation.last_promotion_host) simulation.Restart(host);
    }
    for (const auto* id : {"e1", "e2", "e3"}) {
      if (simulation.last_promotion_target == id) continue;
      simulation.RestartEndpoint(id);
      break;
    }
    simulation.Endpoints().at("e0").alive = true;
    simulation.promotion_delay = seconds(0);
    simulation.Run(seconds(15));
    EXPECT_TRUE(simulation.lost_commits.empty())
        << "seed " << seed << ": " << simulation.lost_commits.front() << "\n"
        << simulation.TraceText();
    EXPECT_LT(simulation.clock.Now() - simulation.last_commit_at, seconds(1));
  }
}

}  // namespace
}  // namespace tiller::fleet
