// Failover tests: random faults with invariant checks.
#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "UnitTests/Support/fleet_simulation.h"

namespace tiller::fleet {
namespace {

using std::chrono::seconds;

// Runs a random series of faults: killed endpoints, leaving primaries, hosts
// that are frozen or cut off from the store, and lost answers. `restorations`:
// the store also comes back from older copies of itself.
void RunRandomFaults(std::uint64_t seed, bool restorations) {
  FleetSimulation simulation(4, 4, seed);
  SeededRandom fault_random(seed * 977);
  simulation.Run(seconds(9));
  simulation.CopyStore();
  simulation.lose_one_answer_in = fault_random.UniformBelow(3) == 0 ? 6 : 0;
  for (int step = 0; step < 14; ++step) {
    const int host = static_cast<int>(fault_random.UniformBelow(4));
    const auto id = "e" + std::to_string(fault_random.UniformBelow(4));
    auto& endpoint = simulation.Endpoints()[id];
    const auto fault = fault_random.UniformBelow(restorations ? 10 : 7);
    switch (fault) {
      case 0: {
        // At most one endpoint is down at a time, and it never loses its log.
        bool others_live = true;
        for (const auto& [name, other] : simulation.Endpoints()) {
          others_live &= name == id || other.alive;
        }
        if (!others_live) break;
        endpoint.alive = false;
        simulation.WriteEndpointRow(id);
        break;
      }
      case 1:
        for (auto& [name, other] : simulation.Endpoints()) {
          other.alive = true;
          other.leaving = false;
          simulation.WriteEndpointRow(name);
        }
        break;
      case 2:
        simulation.Endpoints()[simulation.PrimaryId()].leaving = true;
        simulation.WriteEndpointRow(simulation.PrimaryId());
        break;
      case 3:
        simulation.frozen = {host};
        break;
      case 4:
        simulation.frozen.clear();
        simulation.cut_off_from_store = {host};
        break;
      case 5:
        simulation.cut_off_from_store.clear();
        simulation.Restart(host);
        break;
      case 7:
        simulation.CopyStore();
        break;
      case 8:
      case 9:
        simulation.RestoreStore();
        simulation.WriteEndpointRows();
        break;
      default:
        simulation.primary_partly_unreachable =
            !simulation.primary_partly_unreachable;
        break;
    }
    simulation.AddTrace("step " + std::to_string(step) + " fault " +
                        std::to_string(fault) + " host " +
                        std::to_string(host) + " " + id);
    simulation.Run(Milliseconds(200 + fault_random.UniformBelow(1800)));
    if (!simulation.violations.empty()) break;
  }
  simulation.frozen.clear();
  simulation.cut_off_from_store.clear();
  simulation.primary_partly_unreachable = false;
  simulation.lose_one_answer_in = 0;
  for (auto& [name, other] : simulation.Endpoints()) {
    other.alive = true;
    other.leaving = false;
    simulation.WriteEndpointRow(name);
  }
  simulation.Run(seconds(20));
  EXPECT_TRUE(simulation.violations.empty())
      << "seed " << seed << ": " << simulation.violations.front() << "\n"
      << simulation.TraceText();
  EXPECT_TRUE(simulation.AllReplicasResumed()) << "seed " << seed << "\n"
                                               << simulation.TraceText();
}

TEST(Failover, RandomFaultsLoseNoCommitsAndLeaveNoReplicaPaused) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    RunRandomFaults(seed, false);
  }
}

TEST(Failover, RandomRestorationsLoseNoCommitsAndLeaveNoReplicaPaused) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    RunRandomFaults(seed, true);
  }
}

// Random cuts of zones in which rows lapse and replicas start, with late
// promotions, restarts, hosts that exchange nothing with others, and leaving
// primaries beside them.
TEST(Failover, RandomZoneCutsLoseNoCommitsThatWerePassedOn) {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    FleetSimulation simulation(6, 5, seed);
    SeededRandom fault_random(seed * 983);
    const auto pick = [&](std::uint64_t bound) {
      return static_cast<int>(fault_random.UniformBelow(bound));
    };
    for (const auto* id : {"e3", "e4"}) {
      simulation.Endpoints().at(id).listed = false;
      simulation.WriteEndpointRow(id);
    }
    simulation.Run(seconds(20));
    std::optional<int> cut;
    for (int step = 0; step < 16 && simulation.lost_commits.empty(); ++step) {
      const auto id = "e" + std::to_string(pick(5));
      switch (pick(9)) {
        case 0:
        case 1:
          if (cut) break;
          cut = pick(3);
          simulation.CutZone(*cut);
          break;
        case 2:
          // The rows of the zone lapse, and come back with it.
          if (!cut) break;
          for (auto& [name, endpoint] : simulation.Endpoints()) {
            if ((name[1] - '0') % 3 != *cut) continue;
            endpoint.listed = false;
            simulation.WriteEndpointRow(name);
          }
          break;
        case 3:
        case 4:
          if (!cut) break;
          simulation.ConnectZone();
          cut.reset();
          simulation.Run(Milliseconds(pick(900)));
          for (auto& [name, endpoint] : simulation.Endpoints()) {
            endpoint.listed = true;
            simulation.WriteEndpointRow(name);
          }
          break;
        case 5:
          simulation.promotion_delay = Milliseconds(pick(2) * pick(4'000));
          break;
        case 6:
          if (!cut) simulation.RestartEndpoint(id);
          break;
        case 7:
          simulation.cut_off_from_hosts = {pick(6)};
          break;
        default:
          simulation.Endpoints().at(simulation.PrimaryId()).leaving = true;
          if (!cut) simulation.WriteEndpointRow(simulation.PrimaryId());
          break;
      }
      simulation.Run(Milliseconds(100 + pick(1'500)));
    }
    simulation.cut_off_from_hosts.clear();
    simulation.promotion_delay = seconds(0);
    if (cut) simulation.ConnectZone();
    for (auto& [name, endpoint] : simulation.Endpoints()) {
      endpoint.listed = true;
      endpoint.leaving = false;
      simulation.WriteEndpointRow(name);
    }
    simulation.Run(seconds(40));
    EXPECT_TRUE(simulation.lost_commits.empty())
        << "seed " << seed << ": " << simulation.lost_commits.front() << "\n"
        << simulation.TraceText();
    EXPECT_TRUE(simulation.AllReplicasResumed()) << "seed " << seed;
    EXPECT_LT(simulation.clock.Now() - simulation.last_commit_at, seconds(1))
        << "seed " << seed << "\n"
        << simulation.TraceText();
  }
}

}  // namespace
}  // namespace tiller::fleet
