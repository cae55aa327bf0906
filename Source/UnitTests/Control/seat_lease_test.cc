// Seats over several hosts and the platform: one holder at a time, shares come
// back after losses, and an outage stops nobody who has a majority.
#include <gtest/gtest.h>

#include <map>

#include "UnitTests/Support/fleet.h"

namespace tiller::test {
namespace {

using std::chrono::seconds;

// Counts holders of each seat whose right runs, at this instant.
void ExpectOneHolderEach(Fleet* fleet) {
  std::map<int, int> holders;
  for (int i = 0; i < fleet->HostCount(); ++i) {
    if (!fleet->HostAlive(i)) continue;
    const auto view = fleet->Control(i).Seats().View();
    if (view.valid_until <= fleet->Now()) continue;
    for (const int seat : view.held) ++holders[seat];
  }
  for (const auto& [seat, count] : holders) ASSERT_EQ(count, 1) << seat;
}

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

void RunChecked(Fleet* fleet, Duration duration) {
  const auto end = fleet->Now() + duration;
  while (fleet->Now() < end) {
    fleet->RunFor(Milliseconds(50));
    ASSERT_NO_FATAL_FAILURE(ExpectOneHolderEach(fleet));
  }
}

FleetOptions Nine() {
  FleetOptions options;
  options.hosts = 9;
  options.seats = 9;
  return options;
}

TEST(SeatLease, EveryHostGetsASeat) {
  Fleet fleet(Nine());
  ASSERT_TRUE(fleet.Settle());
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, GuardTakesALostHostsSeatWithinSeconds) {
  Fleet fleet(Nine());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(3));
  fleet.KillHost(4);
  RunChecked(&fleet, seconds(12));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, ReplacementGetsTheExtraSeat) {
  Fleet fleet(Nine());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(3));
  fleet.KillHost(4);
  RunChecked(&fleet, seconds(12));
  const int fresh = fleet.StartHost("z2");
  RunChecked(&fleet, seconds(12));
  EXPECT_EQ(fleet.Control(fresh).Seats().HeldCount(), 1);
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, SeatsOfALostZoneComeBackAfterTheLease) {
  Fleet fleet(Nine());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(8));
  for (const int host : {0, 3, 6}) fleet.KillHost(host);
  RunChecked(&fleet, seconds(30));
  EXPECT_GE(SeatsInUse(&fleet), 6);
  RunChecked(&fleet, seconds(60));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, PlatformOutageOfMinutesStopsNobody) {
  Fleet fleet(Nine());
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

TEST(SeatLease, HostLostInAPlatformOutageCostsNoOtherHostsSeat) {
  Fleet fleet(Nine());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(8));
  fleet.SetPlatform(PlatformMode::kDown);
  RunChecked(&fleet, seconds(60));
  fleet.KillHost(4);
  RunChecked(&fleet, seconds(60));
  // Its own seat waits for the platform; the host it guarded lapses with it,
  // since no other guard can be named: the price of the guard's promise.
  EXPECT_GE(SeatsInUse(&fleet), 7);
  fleet.SetPlatform(PlatformMode::kUp);
  RunChecked(&fleet, seconds(30));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, ZoneCutOffFromAllLosesItsSeatsToTheRest) {
  Fleet fleet(Nine());
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

TEST(SeatLease, PausedHostWakesWithoutItsSeat) {
  Fleet fleet(Nine());
  ASSERT_TRUE(fleet.Settle());
  RunChecked(&fleet, seconds(8));
  fleet.PauseHost(4, seconds(20));
  RunChecked(&fleet, seconds(60));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, LostAnswersLeaveOneHolder) {
  Fleet fleet(Nine());
  fleet.SetPlatform(PlatformMode::kLoseAnswers);
  RunChecked(&fleet, seconds(30));
  fleet.SetPlatform(PlatformMode::kUp);
  RunChecked(&fleet, seconds(60));
  EXPECT_EQ(SeatsInUse(&fleet), 9);
}

TEST(SeatLease, RollingRestartKeepsEverySeatInUse) {
  Fleet fleet(Nine());
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

TEST(SeatLease, OperatorClearsOnlyDeadHostsSeats) {
  Fleet fleet(Nine());
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
