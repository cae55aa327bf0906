// Tests of how often hosts call the store: the renewal of claims that the store
// refuses, and commit leases.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "UnitTests/Support/fleet_simulation.h"

namespace tiller::fleet {
namespace {

using std::chrono::seconds;

constexpr Milliseconds kStep{25};

int TakeCallsOf(FleetSimulation* simulation, const std::string& table) {
  const int calls = simulation->store_calls_of_table[table];
  simulation->store_calls_of_table.clear();
  return calls;
}

// A host that could not renew its claim tried it again in every tick, 20 times
// a second, while the store refused its calls (lfsc-quotes-large --small,
// trouble-1: 83 writes in 5 s).
TEST(StoreCalls, RefusedRenewalsOfAClaimAreSpaced) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FleetSimulation simulation(5, 4, seed);
    simulation.Run(seconds(8));
    simulation.promotion_delay = seconds(6);
    simulation.Endpoints().at("e0").alive = false;
    while (simulation.promotion_calls == 0) simulation.Run(kStep);
    simulation.refused_by_store = {simulation.last_promotion_host};
    TakeCallsOf(&simulation, "primaries");
    simulation.Run(seconds(4));
    // Two renewals a second, and four calls of the next host that claims the
    // group.
    EXPECT_LE(TakeCallsOf(&simulation, "primaries"), 12) << "seed " << seed;
    simulation.refused_by_store.clear();
    simulation.promotion_delay = seconds(0);
    simulation.Run(seconds(12));
    EXPECT_TRUE(simulation.AllReplicasResumed()) << "seed " << seed;
    EXPECT_LT(simulation.clock.Now() - simulation.last_commit_at, seconds(1));
    EXPECT_TRUE(simulation.lost_commits.empty()) << "seed " << seed;
  }
}

// Each refused renewal moved the time of the claim ahead by 1.5 s. If the
// holder then failed, no other host claimed the group until that time, minutes
// later.
TEST(StoreCalls, ClaimRenewedAfterRefusalsLastsNoLonger) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FleetSimulation simulation(5, 4, seed);
    simulation.Run(seconds(8));
    simulation.promotion_delay = seconds(60);
    simulation.Endpoints().at("e0").alive = false;
    while (simulation.promotion_calls == 0) simulation.Run(kStep);
    simulation.refused_by_store = {0, 1, 2, 3, 4};
    simulation.Run(seconds(4));
    simulation.refused_by_store.clear();
    simulation.Run(Milliseconds(700));
    simulation.frozen = {simulation.last_promotion_host};
    simulation.promotion_delay = seconds(0);
    simulation.Run(seconds(12));
    EXPECT_NE(simulation.PrimaryId(), "e0") << "seed " << seed;
    EXPECT_LT(simulation.clock.Now() - simulation.last_commit_at, seconds(1))
        << "seed " << seed;
  }
}

// Each commit lease from the store was a read of the lease table, a write and a
// read of the claims. A host knows the version of the row that it has written.
TEST(StoreCalls, LeaseOfAHostThatKnowsItsRowIsAWriteAndAReadOfTheClaims) {
  FleetSimulation simulation(3, 3, 1);
  simulation.Run(seconds(20));
  simulation.frozen = {1, 2};
  simulation.Run(seconds(5));
  simulation.store_calls_of_table.clear();
  simulation.Run(seconds(10));
  EXPECT_LT(simulation.clock.Now() - simulation.last_commit_at, seconds(1));
  const int claim_reads = simulation.store_calls_of_table["primaries"];
  EXPECT_GT(claim_reads, 8);
  // Not before half of the lease is over.
  EXPECT_LE(claim_reads, 18);
  EXPECT_LE(TakeCallsOf(&simulation, "commit_leases"), claim_reads + 1);
}

// The version of a row that the host remembers may be wrong: its last write may
// have been executed without an answer, and a restored store has older rows.
TEST(StoreCalls, LeaseIsTakenAgainAtOnceIfTheRowHasAnotherVersion) {
  FleetSimulation simulation(3, 3, 1);
  simulation.Run(seconds(20));
  simulation.frozen = {1, 2};
  simulation.CopyStore();
  simulation.Run(seconds(5));
  simulation.RestoreStore();
  Duration longest{};
  for (int step = 0; step < 400; ++step) {
    simulation.Run(kStep);
    longest = std::max<Duration>(
        longest, simulation.clock.Now() - simulation.last_commit_at);
  }
  EXPECT_LT(longest, seconds(1));
  simulation.lose_one_answer_in = 4;
  simulation.Run(seconds(20));
  simulation.lose_one_answer_in = 0;
  simulation.Run(seconds(3));
  EXPECT_LT(simulation.clock.Now() - simulation.last_commit_at, seconds(1));
}

// Hosts that were busy answered within the time limit of a message, but the one
// that had asked them had turned to the store by then, at the moment in which
// all hosts were busy.
TEST(StoreCalls, LateAnswersOfOtherHostsAreWaitedFor) {
  FleetSimulation simulation(3, 3, 1);
  simulation.Run(seconds(20));
  simulation.store_calls_of_table.clear();
  for (int round = 0; round < 30; ++round) {
    simulation.frozen = {1, 2};
    simulation.Run(Milliseconds(325));
    simulation.frozen.clear();
    simulation.Run(Milliseconds(1'500 + 17 * round));
  }
  EXPECT_EQ(TakeCallsOf(&simulation, "commit_leases"), 0);
  EXPECT_LT(simulation.clock.Now() - simulation.last_commit_at, seconds(1));
}

}  // namespace
}  // namespace tiller::fleet
