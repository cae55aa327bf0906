// Tests of the seat leases over several hosts and the platform: a seat has at
// most one holder at a time, seats of failed hosts are taken over, and during
// an outage of the platform the holders of a majority of seats keep their
// seats.
#include <gtest/gtest.h>

#include <map>

#include "UnitTests/Support/service_simulation.h"

namespace tiller::test {
namespace {

using std::chrono::seconds;

// Checks that at most one host has a valid lease on each seat now.
void ExpectAtMostOneHolderPerSeat(ServiceSimulation* simulation) {
  std::map<int, int> holders;
  for (int i = 0; i < simulation->HostCount(); ++i) {
    if (!simulation->HostAlive(i)) continue;
    const auto view = simulation->Control(i).Seats().View();
    if (view.valid_until <= simulation->Now()) continue;
    for (const int seat : view.held) ++holders[seat];
  }
  for (const auto& [seat, count] : holders) ASSERT_EQ(count, 1) << seat;
}

// Number of seats with a valid lease, over all live hosts.
int SeatsInUse(ServiceSimulation* simulation) {
  int sum = 0;
  for (int i = 0; i < simulation->HostCount(); ++i) {
    if (!simulation->HostAlive(i)) continue;
    const auto view = simulation->Control(i).Seats().View();
    if (view.valid_until > simulation->Now()) {
      sum += static_cast<int>(view.held.size());
    }
  }
  return sum;
}

// Runs the simulation and checks the holders of each seat every 50 ms.
void RunChecked(ServiceSimulation* simulation, Duration duration) {
  const auto end = simulation->Now() + duration;
  while (simulation->Now() < end) {
    simulation->RunFor(Milliseconds(50));
    ASSERT_NO_FATAL_FAILURE(ExpectAtMostOneHolderPerSeat(simulation));
  }
}

SimulationOptions NineHosts() {
  SimulationOptions options;
  options.hosts = 9;
  options.seats = 9;
  return options;
}

TEST(SeatLease, EveryHostGetsASeat) {
  ServiceSimulation simulation(NineHosts());
  ASSERT_TRUE(simulation.RunUntilReady());
  EXPECT_EQ(SeatsInUse(&simulation), 9);
}

TEST(SeatLease, GuardTakesFailedHostsSeatWithinSeconds) {
  ServiceSimulation simulation(NineHosts());
  ASSERT_TRUE(simulation.RunUntilReady());
  RunChecked(&simulation, seconds(3));
  simulation.KillHost(4);
  RunChecked(&simulation, seconds(12));
  EXPECT_EQ(SeatsInUse(&simulation), 9);
}

TEST(SeatLease, ReplacementHostGetsTheExtraSeat) {
  ServiceSimulation simulation(NineHosts());
  ASSERT_TRUE(simulation.RunUntilReady());
  RunChecked(&simulation, seconds(3));
  simulation.KillHost(4);
  RunChecked(&simulation, seconds(12));
  const int replacement = simulation.StartHost("z2");
  RunChecked(&simulation, seconds(12));
  EXPECT_EQ(simulation.Control(replacement).Seats().HeldCount(), 1);
  EXPECT_EQ(SeatsInUse(&simulation), 9);
}

TEST(SeatLease, SeatsOfFailedZoneAreTakenAfterTheLease) {
  ServiceSimulation simulation(NineHosts());
  ASSERT_TRUE(simulation.RunUntilReady());
  RunChecked(&simulation, seconds(8));
  for (const int host : {0, 3, 6}) simulation.KillHost(host);
  RunChecked(&simulation, seconds(30));
  EXPECT_GE(SeatsInUse(&simulation), 6);
  RunChecked(&simulation, seconds(60));
  EXPECT_EQ(SeatsInUse(&simulation), 9);
}

TEST(SeatLease, HostsKeepSeatsDuringPlatformOutageOfMinutes) {
  ServiceSimulation simulation(NineHosts());
  ASSERT_TRUE(simulation.RunUntilReady());
  RunChecked(&simulation, seconds(8));
  simulation.SetPlatformMode(PlatformMode::kDown);
  RunChecked(&simulation, seconds(240));
  EXPECT_EQ(SeatsInUse(&simulation), 9);
  for (int i = 0; i < 9; ++i) EXPECT_TRUE(simulation.Control(i).Ready()) << i;
  simulation.SetPlatformMode(PlatformMode::kUp);
  RunChecked(&simulation, seconds(30));
  EXPECT_EQ(SeatsInUse(&simulation), 9);
}

TEST(SeatLease, HostFailureDuringPlatformOutageCostsAtMostTwoSeats) {
  ServiceSimulation simulation(NineHosts());
  ASSERT_TRUE(simulation.RunUntilReady());
  RunChecked(&simulation, seconds(8));
  simulation.SetPlatformMode(PlatformMode::kDown);
  RunChecked(&simulation, seconds(60));
  simulation.KillHost(4);
  RunChecked(&simulation, seconds(60));
  // The failed host's seat can't be taken until the platform is back. The seat
  // that it guarded expires too, since no other guard can be named meanwhile:
  // the cost of the guard lease.
  EXPECT_GE(SeatsInUse(&simulation), 7);
  simulation.SetPlatformMode(PlatformMode::kUp);
  RunChecked(&simulation, seconds(30));
  EXPECT_EQ(SeatsInUse(&simulation), 9);
}

TEST(SeatLease, IsolatedZoneLosesItsSeatsToTheOtherZones) {
  ServiceSimulation simulation(NineHosts());
  ASSERT_TRUE(simulation.RunUntilReady());
  RunChecked(&simulation, seconds(8));
  simulation.DisconnectZone("z1", true);
  RunChecked(&simulation, seconds(120));
  EXPECT_EQ(SeatsInUse(&simulation), 9);
  simulation.ReconnectAll();
  RunChecked(&simulation, seconds(30));
  EXPECT_EQ(SeatsInUse(&simulation), 9);
  for (int i = 0; i < 9; ++i) EXPECT_TRUE(simulation.Control(i).Ready()) << i;
}

TEST(SeatLease, PausedHostResumesWithoutItsSeat) {
  ServiceSimulation simulation(NineHosts());
  ASSERT_TRUE(simulation.RunUntilReady());
  RunChecked(&simulation, seconds(8));
  simulation.PauseHost(4, seconds(20));
  RunChecked(&simulation, seconds(60));
  EXPECT_EQ(SeatsInUse(&simulation), 9);
}

TEST(SeatLease, LostResponsesLeaveOneHolder) {
  ServiceSimulation simulation(NineHosts());
  simulation.SetPlatformMode(PlatformMode::kLoseAnswers);
  RunChecked(&simulation, seconds(30));
  simulation.SetPlatformMode(PlatformMode::kUp);
  RunChecked(&simulation, seconds(60));
  EXPECT_EQ(SeatsInUse(&simulation), 9);
}

TEST(SeatLease, RollingRestartKeepsEverySeatInUse) {
  ServiceSimulation simulation(NineHosts());
  ASSERT_TRUE(simulation.RunUntilReady());
  RunChecked(&simulation, seconds(8));
  for (int i = 0; i < 9; ++i) {
    const auto zone = simulation.ZoneOfHost(i);
    simulation.DrainHost(i);
    RunChecked(&simulation, seconds(2));
    simulation.KillHost(i);
    simulation.StartHost(zone);
    RunChecked(&simulation, seconds(6));
  }
  RunChecked(&simulation, seconds(10));
  EXPECT_EQ(SeatsInUse(&simulation), 9);
}

TEST(SeatLease, OperatorCannotClearSeatOfLiveHost) {
  ServiceSimulation simulation(NineHosts());
  ASSERT_TRUE(simulation.RunUntilReady());
  RunChecked(&simulation, seconds(8));
  const auto seat = simulation.Control(1).Seats().View().held.front();
  std::optional<ErrorCode> refused;
  Json::Value arguments;
  arguments["seat"] = seat;
  simulation.SendOperatorCommand(0, control::OperatorVerb::kSeatClear,
                                 arguments,
                                 [&](const Result<Json::Value>& result) {
                                   if (!result) refused = result.error().code;
                                 });
  RunChecked(&simulation, seconds(1));
  EXPECT_EQ(refused, ErrorCode::kConflict);
}

}  // namespace
}  // namespace tiller::test
