// Tests of how the work of a shared pool's tick grows with the endpoints of the
// directory.
#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <memory>
#include <string>

#include "Relay/shared_pool.h"

namespace tiller::relay {
namespace {

constexpr int kSessions = 400;

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

// Least of several measurements, so that interruptions do not count.
double TickCost(int endpoints) {
  ManualClock clock;
  Counters counters;
  SharedPool pool(&clock, &counters, {true, 1 << 24, nullptr});
  auto directory = std::make_shared<Directory>();
  directory->workspaces["w"] = {"w", 10, 10};
  for (int i = 0; i < endpoints; ++i) {
    const auto name = std::to_string(i);
    Endpoint endpoint;
    endpoint.id = "endpoint-" + name;
    endpoint.group = "group-" + name;
    directory->endpoints[endpoint.id] = endpoint;
    Group group;
    group.name = endpoint.group;
    group.max_connections = 100;
    directory->groups[group.name] = group;
  }
  pool.Handle(DirectoryChanged{directory});
  for (int i = 0; i < kSessions; ++i) {
    pool.Handle(
        PoolSessionOpened{static_cast<SessionId>(i + 1), "endpoint-0", "w"});
  }
  double least = 1e9;
  for (int round = 0; round < 7; ++round) {
    const auto before = ProcessorSeconds();
    for (int tick = 0; tick < 50; ++tick) {
      clock.Advance(Milliseconds(20));
      pool.Handle(TimerFired{});
      pool.TakeActions();
    }
    least = std::min(least, ProcessorSeconds() - before);
  }
  return least;
}

// Each tick looked at all sessions and connections once for each endpoint, so
// that hosts of a large fleet used most of their processors while idle.
TEST(TickCost, OfAPoolDoesNotMultiplySessionsByEndpoints) {
  EXPECT_LT(TickCost(60), 8 * TickCost(1));
}

}  // namespace
}  // namespace tiller::relay
