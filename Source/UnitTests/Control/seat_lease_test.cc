// Tests of the seat leases over several hosts and the platform: a seat has at
// most one holder at a time, seats of failed hosts are taken over, and during
// an outage of the platform the holders of a majority of seats keep their
// seats.
#include <gtest/gtest.h>

#include <map>

#include "UnitTests/Support/fleet.h"

namespace tiller::test {
namespace {

using std::chrono::seconds;

// Checks that at most one host has a valid lease on each seat now.
void ExpectAtMostOneHolderPerSeat(Fleet* fleet) {
  std::map<int, int> holders;
  for (int i = 0; i < fleet->HostCount(); ++i) {
    if (!fleet->HostAlive(i)) continue;
    const auto view = fleet->Control(i).Seats().View();
    if (view.valid_until <= fleet->Now()) continue;
    for (const int seat : view.held) ++holders[seat];
  }
  for (const auto& [seat, count] : holders) ASSERT_EQ(count, 1) << seat;
}

// Number of seats with a valid lease, over all live hosts.
int SeatsInUse(Fleet* fleet) {
  int sum = 0;
  for (int i = 0; i < fleet->HostCount(); ++i) {
    if (!fleet->HostAlive(i)) continue;
    const auto view = fleet->Control(i).Seats().View();
    if (view.valid_until > fleet->Now()) {
      sum += static_cast<int>(view.held.size());
    }
  }
  return sum;
}

// Runs the fleet and checks the holders of each seat every 50 ms.
void RunChecked(Fleet* fleet, Duration duration) {
  const auto end = fleet->Now() + duration;
  while (fleet->Now() < end) {
    fleet->RunFor(Milliseconds(50));
    ASSERT_NO_FATAL_FAILURE(ExpectAtMostOneHolderPerSeat(fleet));
  }
}

FleetOptions NineHosts() {
  FleetOptions options;
  options.hosts = 9;
  options.seats = 9;
  return options;
}

TEST(SeatLease, EveryHostGetsASeat) {
  Fleet fleet(NineHosts());
  ASSERT_TRUE(fleet.Settle());
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, GuardTakesFailedHostsSeatWithinSeconds) {
  Fleet fleet(NineHosts());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(3));
  fleet.KillHost(4);
  RunChecked(&fleet, seconds(12));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, ReplacementHostGetsTheExtraSeat) {
  Fleet fleet(NineHosts());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(3));
  fleet.KillHost(4);
  RunChecked(&fleet, seconds(12));
  const int replacement = fleet.StartHost("z2");
  RunChecked(&fleet, seconds(12));
  EXPECT_EQ(fleet.Control(replacement).Seats().HeldCount(), 1);
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, SeatsOfFailedZoneAreTakenAfterTheLease) {
  Fleet fleet(NineHosts());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(8));
  for (const int host : {0, 3, 6}) fleet.KillHost(host);
  RunChecked(&fleet, seconds(30));
  EXPECT_GE(SeatsInUse(&fleet), 6);
  RunChecked(&fleet, seconds(60));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, HostsKeepSeatsDuringPlatformOutageOfMinutes) {
  Fleet fleet(NineHosts());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(8));
  fleet.SetPlatform(PlatformMode::kDown);
  RunChecked(&fleet, seconds(240));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
  for (int i = 0; i < 9; ++i) EXPECT_TRUE(fleet.Control(i).Ready()) << i;
  fleet.SetPlatform(PlatformMode::kUp);
  RunChecked(&fleet, seconds(30));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, HostFailureDuringPlatformOutageCostsAtMostTwoSeats) {
  Fleet fleet(NineHosts());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(8));
  fleet.SetPlatform(PlatformMode::kDown);
  RunChecked(&fleet, seconds(60));
  fleet.KillHost(4);
  RunChecked(&fleet, seconds(60));
  // The failed host's seat can't be taken until the platform is back. The seat
  // that it guarded expires too, since no other guard can be named meanwhile:
  // the cost of the guard lease.
  EXPECT_GE(SeatsInUse(&fleet), 7);
  fleet.SetPlatform(PlatformMode::kUp);
  RunChecked(&fleet, seconds(30));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, IsolatedZoneLosesItsSeatsToTheOtherZones) {
  Fleet fleet(NineHosts());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(8));
  fleet.CutZone("z1", true);
  RunChecked(&fleet, seconds(120));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
  fleet.Heal();
  RunChecked(&fleet, seconds(30));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
  for (int i = 0; i < 9; ++i) EXPECT_TRUE(fleet.Control(i).Ready()) << i;
}

TEST(SeatLease, PausedHostResumesWithoutItsSeat) {
  Fleet fleet(NineHosts());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(8));
  fleet.PauseHost(4, seconds(20));
  RunChecked(&fleet, seconds(60));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, LostResponsesLeaveOneHolder) {
  Fleet fleet(NineHosts());
  fleet.SetPlatform(PlatformMode::kLoseAnswers);
  RunChecked(&fleet, seconds(30));
  fleet.SetPlatform(PlatformMode::kUp);
  RunChecked(&fleet, seconds(60));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, RollingRestartKeepsEverySeatInUse) {
  Fleet fleet(NineHosts());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(8));
  for (int i = 0; i < 9; ++i) {
    const auto zone = fleet.ZoneOf(i);
    fleet.DrainHost(i);
    RunChecked(&fleet, seconds(2));
    fleet.KillHost(i);
    fleet.StartHost(zone);
    RunChecked(&fleet, seconds(6));
  }
  RunChecked(&fleet, seconds(10));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, OperatorCannotClearSeatOfLiveHost) {
  Fleet fleet(NineHosts());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(8));
  const auto seat = fleet.Control(1).Seats().View().held.front();
  std::optional<ErrorCode> refused;
  Json::Value arguments;
  arguments["seat"] = seat;
  fleet.Operate(0, control::OperatorVerb::kSeatClear, arguments,
                [&](const Result<Json::Value>& result) {
                  if (!result) refused = result.error().code;
                });
  RunChecked(&fleet, seconds(1));
  EXPECT_EQ(refused, ErrorCode::kConflict);
}

}  // namespace
}  // namespace tiller::test
