// Failover: single cases, and random faults against what must always hold.
#include "Fleet/primary_failover.h"

#include <gtest/gtest.h>

#include "UnitTests/Support/fleet_world.h"

namespace tiller::fleet {
namespace {

using std::chrono::seconds;

TEST(Failover, DeadPrimaryIsReplacedWithinTwoSeconds) {
  FleetWorld world(5, 3, 1);
  world.Run(seconds(8));
  world.Endpoints()["e0"].alive = false;
  world.Run(seconds(2));
  EXPECT_NE(world.Leader(), "e0");
  EXPECT_EQ(world.promotions, 1);
  EXPECT_TRUE(world.breaches.empty());
}

TEST(Failover, LeavingPrimaryIsReplacedAndNothingIsLost) {
  FleetWorld world(5, 4, 2);
  world.Run(seconds(8));
  world.Endpoints()["e0"].leaving = true;
  world.WriteEndpointRow("e0");
  world.Run(seconds(3));
  EXPECT_NE(world.Leader(), "e0");
  EXPECT_TRUE(world.breaches.empty());
}

// A replica that had just come back acknowledged for the primary before its
// row was listed; the listed ones were paused and compared without it.
TEST(Failover, ReplicaThatIsNotListedYetMayAcknowledge) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    FleetWorld world(3, 3, seed);
    world.Endpoints()["e2"].listed = false;
    world.WriteEndpointRow("e2");
    world.Run(seconds(8));
    world.Endpoints()["e0"].leaving = true;
    world.WriteEndpointRow("e0");
    world.Run(seconds(6));
    EXPECT_TRUE(world.breaches.empty())
        << "seed " << seed << ": " << world.breaches.front();
  }
}

// Replicas that stayed paused after a change left a leaving endpoint as the
// only one that received.
TEST(Failover, ReplicasGoOnAfterAChange) {
  FleetWorld world(5, 4, 3);
  world.Run(seconds(8));
  world.Endpoints()["e0"].alive = false;
  world.WriteEndpointRow("e0");
  world.Run(seconds(4));
  EXPECT_TRUE(world.AllReplicasGoOn());
}

TEST(Failover, DeafReplicaIsNotPromoted) {
  FleetWorld world(5, 3, 4);
  world.Run(seconds(8));
  world.Endpoints()["e1"].deaf = true;
  world.Run(seconds(2));
  world.Endpoints()["e0"].alive = false;
  world.Run(seconds(3));
  EXPECT_EQ(world.Leader(), "e2");
  EXPECT_TRUE(world.breaches.empty());
}

// LOST, saviya-prod zone-cut-and-primaries-replaced --vary --seed
// 1040164742046: a partition held the primary and the replica that acknowledged
// for it; their rows lapsed, and a replica without the commits was promoted.
TEST(Failover, ReplicaThatVanishedWithThePrimaryIsWaitedFor) {
  FleetWorld world(5, 3, 21);
  world.Run(seconds(8));
  world.Endpoints()["e2"].deaf = true;
  world.Run(seconds(2));
  for (const auto* id : {"e0", "e1"}) {
    world.Endpoints()[id].alive = false;
    world.Endpoints()[id].listed = false;
    world.WriteEndpointRow(id);
  }
  world.Run(seconds(6));
  EXPECT_EQ(world.promotions, 0);
  world.Endpoints()["e1"].alive = true;
  world.Endpoints()["e1"].listed = true;
  world.WriteEndpointRow("e1");
  world.Run(seconds(4));
  EXPECT_EQ(world.Leader(), "e1");
  EXPECT_TRUE(world.breaches.empty());
}

TEST(Failover, NothingIsPromotedWhileAListedReplicaIsSilent) {
  FleetWorld world(5, 3, 5);
  world.Run(seconds(8));
  world.Endpoints()["e1"].alive = false;  // its row is still there
  world.Endpoints()["e0"].alive = false;
  world.Run(seconds(3));
  EXPECT_EQ(world.promotions, 0);
  world.WriteEndpointRow("e1");  // its row lapses
  world.Run(seconds(6));
  EXPECT_EQ(world.promotions, 0);  // it may be alive behind a partition
  world.Run(seconds(8));
  EXPECT_EQ(world.Leader(), "e2");
}

TEST(Failover, HostThatDiesAfterThePromotionIsReplacedAsWell) {
  FleetWorld world(5, 4, 6);
  world.Run(seconds(8));
  world.Endpoints()["e0"].alive = false;
  world.WriteEndpointRow("e0");
  for (int i = 0; i < 100 && world.promotions == 0; ++i) {
    world.Run(Milliseconds(25));
  }
  ASSERT_EQ(world.promotions, 1);
  for (int i = 0; i < 5; ++i) world.Restart(i);
  world.Run(seconds(12));
  EXPECT_TRUE(world.AllReplicasGoOn());
  EXPECT_TRUE(world.breaches.empty());
}

// The operator removes a group while its primary is being replaced.
TEST(Failover, GroupRemovedDuringAChangeEndsTheChange) {
  ManualClock clock;
  Counters counters;
  PrimaryFailover failover("h1", "z1", &clock, &counters);
  CallId next_call = 1;
  relay::Directory directory;
  directory.groups["g"] = {"g", 10, "p"};
  for (const auto* id : {"p", "r"}) {
    directory.endpoints[id].id = id;
    directory.endpoints[id].group = "g";
  }
  directory.endpoints["p"].leaving = true;
  failover.SetDirectory(std::make_shared<relay::Directory>(directory));
  failover.SetInformed(true);
  failover.Tick({{"g", 0}});
  failover.Tick({{"g", 0}});
  failover.Handle(
      TableRead{kPrimaryTable, StoreStatus::kDone, {}, 1, StoreTime(1)});
  CallId claim = 0;
  for (const auto& action : failover.TakeActions(&next_call)) {
    if (const auto* write = std::get_if<WriteRow>(&action)) claim = write->call;
  }
  ASSERT_NE(claim, 0U);
  failover.SetDirectory(std::make_shared<relay::Directory>());
  failover.Handle(RowWritten{claim, StoreStatus::kDone, 2, StoreTime(2)});
  failover.Tick({});
  EXPECT_TRUE(failover.TakeActions(&next_call).empty());
}

// Kills, leaving primaries, frozen and cut-off hosts, lost answers, in series.
void RunRandomFaults(std::uint64_t seed) {
  FleetWorld world(4, 4, seed);
  SeededRandom script(seed * 977);
  world.Run(seconds(9));
  world.lose_answer_of = script.Below(3) == 0 ? 6 : 0;
  for (int step = 0; step < 14; ++step) {
    const int host = static_cast<int>(script.Below(4));
    const auto id = "e" + std::to_string(script.Below(4));
    auto& endpoint = world.Endpoints()[id];
    const auto fault = script.Below(7);
    switch (fault) {
      case 0: {
        // At most one endpoint is down, and never with its log lost.
        bool others_live = true;
        for (const auto& [name, other] : world.Endpoints()) {
          others_live &= name == id || other.alive;
        }
        if (!others_live) break;
        endpoint.alive = false;
        world.WriteEndpointRow(id);
        break;
      }
      case 1:
        for (auto& [name, other] : world.Endpoints()) {
          other.alive = true;
          other.leaving = false;
          world.WriteEndpointRow(name);
        }
        break;
      case 2:
        world.Endpoints()[world.Leader()].leaving = true;
        world.WriteEndpointRow(world.Leader());
        break;
      case 3:
        world.frozen = {host};
        break;
      case 4:
        world.frozen.clear();
        world.cut_off = {host};
        break;
      case 5:
        world.cut_off.clear();
        world.Restart(host);
        break;
      default:
        world.silent_primary = !world.silent_primary;
        break;
    }
    world.Note("step " + std::to_string(step) + " fault " +
               std::to_string(fault) + " host " + std::to_string(host) + " " +
               id);
    world.Run(Milliseconds(200 + script.Below(1800)));
    if (!world.breaches.empty()) break;
  }
  world.frozen.clear();
  world.cut_off.clear();
  world.silent_primary = false;
  world.lose_answer_of = 0;
  for (auto& [name, other] : world.Endpoints()) {
    other.alive = true;
    other.leaving = false;
    world.WriteEndpointRow(name);
  }
  world.Run(seconds(20));
  EXPECT_TRUE(world.breaches.empty())
      << "seed " << seed << ": " << world.breaches.front() << "\n"
      << world.TraceText();
  EXPECT_TRUE(world.AllReplicasGoOn()) << "seed " << seed << "\n"
                                       << world.TraceText();
}

TEST(Failover, RandomFaultsLoseNothingAndLeaveNothingPaused) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) RunRandomFaults(seed);
}

}  // namespace
}  // namespace tiller::fleet
