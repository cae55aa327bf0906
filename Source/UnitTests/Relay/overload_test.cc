// Admission under overload. Each test replays the load pattern that the rule is
// meant for.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "UnitTests/Support/relay_bench.h"

namespace tiller::relay {
namespace {

// A caller that attempts one operation up to three times on its session.
struct Caller {
  SessionId session = 0;
  Instant started{};
  Instant next_attempt{};
  int attempts = 0;
  bool waiting = false;  // the last attempt is unanswered
};

class Callers {
 public:
  explicit Callers(RelayBench* bench) : m_bench(bench) {}

  void Start(Instant now) {
    m_callers.push_back({m_bench->Open("strict"), now, now, 0, false});
  }

  // Sends the attempts that are due, lets the endpoints answer, and evaluates
  // the callers' answers. An operation within `target` counts as on time.
  void Step(Instant now, Milliseconds target) {
    for (auto& caller : m_callers) {
      if (caller.waiting || caller.next_attempt > now) continue;
      ++caller.attempts;
      caller.waiting = true;
      m_bench->Submit(caller.session, Verb::kWrite, "WRITE x 1");
    }
    while (!m_bench->PendingStatements().empty()) {
      m_bench->CompleteInternal();
      if (!m_bench->PendingStatements().empty())
        m_bench->CompleteNext("receipt");
    }
    for (auto& caller : m_callers) {
      const auto answer = m_bench->TakeAnswer(caller.session);
      if (!answer) continue;
      caller.waiting = false;
      const bool done = answer->Ok() || caller.attempts == kAttempts;
      if (answer->Ok()) ++(now - caller.started <= target ? on_time : late);
      if (!answer->Ok() && done) ++refused;
      caller.next_attempt =
          done ? Instant::max() : now + RetryDelay(caller.attempts);
    }
    std::erase_if(m_callers, [&](const Caller& caller) {
      if (caller.next_attempt != Instant::max()) return false;
      m_bench->Handle(SessionClosed{caller.session});
      return true;
    });
  }

  int on_time = 0;
  int late = 0;
  int refused = 0;

 private:
  static constexpr int kAttempts = 3;

  Milliseconds RetryDelay(int attempt) {
    const auto least = attempt == 1 ? 30 : 100;
    const auto range = attempt == 1 ? 70U : 100U;
    return Milliseconds(least + static_cast<int>(m_random.UniformBelow(range)));
  }

  RelayBench* const m_bench;
  SeededRandom m_random{11};
  std::vector<Caller> m_callers;
};

// Load pattern: a workspace sends 1.7 times its rate for half a minute, and
// each refused operation is retried up to twice. Tokens must be spent on
// operations that can still meet their target latency.
TEST(Overload, TokensGoToOperationsThatCanMeetTheirTarget) {
  constexpr double kRate = 21;
  constexpr double kOfferedRate = 35;
  constexpr Milliseconds kTarget{200};  // target latency of the bench's routes
  constexpr Milliseconds kStep{5};
  constexpr int kSteps = 30 * 200;
  RelayBench bench;
  auto directory = bench.MakeDirectory();
  directory.workspaces["w1"] = {"w1", kRate, kRate};
  bench.Publish(directory);
  // After this time, tokens left from the bench's default limit have expired.
  bench.Tick(std::chrono::seconds(3));
  Callers callers(&bench);
  SeededRandom random(3);
  for (int i = 0; i < kSteps; ++i) {
    bench.Tick(kStep);
    constexpr auto kChance = static_cast<std::uint64_t>(kOfferedRate * 5);
    if (random.UniformBelow(1000) < kChance) callers.Start(bench.clock.Now());
    callers.Step(bench.clock.Now(), kTarget);
  }
  const double admitted = kRate + kRate * kSteps / 200;
  EXPECT_GE(callers.on_time, 0.9 * admitted);
  EXPECT_LE(callers.on_time + callers.late, admitted);
}

// Load pattern: a workspace stays within its rate but is refused for another
// reason, so its retries are late. They must be served like other operations.
TEST(Overload, LateOperationsAreServedWithinTheRate) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.Submit(session, Verb::kWrite, "WRITE x 1");
  while (bench.Answers()[session].empty()) {
    bench.Refuse(Refusal::kBusy);
    bench.Tick(Milliseconds(20));
  }
  ASSERT_EQ(bench.TakeAnswer(session)->refusal, Refusal::kBusy);
  bench.Tick(Milliseconds(190));
  bench.Submit(session, Verb::kWrite, "WRITE x 1");
  bench.CompleteInternal();
  ASSERT_FALSE(bench.PendingStatements().empty());
  bench.CompleteNext("receipt");
  EXPECT_TRUE(bench.TakeAnswer(session)->Ok());
}

// ---- probes of primaries

// Counts the probes of the primary in `duration`; every one is answered.
int CountProbes(RelayBench* bench, Milliseconds duration) {
  int probes = 0;
  for (Milliseconds passed{0}; passed < duration; passed += Milliseconds(20)) {
    bench->Tick(Milliseconds(20));
    for (const auto& pending : bench->PendingStatements()) {
      probes += pending.statement.statement.verb == Verb::kBegin ? 1 : 0;
    }
    bench->CompleteInternal();
  }
  return probes;
}

// Load pattern: 295 hosts with eight requests a second each before 20
// primaries. Each host probed every primary each 0.8 to 1.2 s, several times
// the traffic of the callers.
TEST(PooledProbes, PrimaryIsNotProbedWithoutReads) {
  RelayBench bench;
  bench.UseSharedPools();
  EXPECT_EQ(CountProbes(&bench, std::chrono::seconds(10)), 0);
}

TEST(PooledProbes, PrimaryIsProbedWhileCallersRead) {
  RelayBench bench;
  bench.UseSharedPools();
  const auto session = bench.Open("bounded");
  bench.Submit(session, Verb::kRead, "READ a");
  bench.CompleteInternal();
  if (!bench.PendingStatements().empty()) bench.CompleteNext();
  const int probes = CountProbes(&bench, std::chrono::seconds(2));
  EXPECT_GE(probes, 1);
  EXPECT_LE(probes, 3);
  EXPECT_EQ(CountProbes(&bench, std::chrono::seconds(10)), 0);
}

}  // namespace
}  // namespace tiller::relay
