// Decisions under overload, each replayed with the load pattern it answers.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "UnitTests/Support/relay_bench.h"

namespace tiller::relay {
namespace {

// A caller that tries an operation up to three times on its session.
struct Caller {
  SessionId session = 0;
  Instant first{};
  Instant next{};  // of the next attempt
  int attempts = 0;
  bool waiting = false;  // for an answer
};

class Callers {
 public:
  explicit Callers(RelayBench* bench) : m_bench(bench) {}

  void Start(Instant now) {
    m_callers.push_back({m_bench->Open("strict"), now, now, 0, false});
  }

  // Sends the attempts that are due and takes the answers that came.
  void Step(Instant now, Milliseconds target) {
    for (auto& caller : m_callers) {
      if (caller.waiting || caller.next > now) continue;
      ++caller.attempts;
      caller.waiting = true;
      m_bench->Say(caller.session, Verb::kWrite, "WRITE x 1");
    }
    while (!m_bench->Statements().empty()) {
      m_bench->SucceedOwn();
      if (!m_bench->Statements().empty()) m_bench->Succeed("receipt");
    }
    for (auto& caller : m_callers) {
      const auto answer = m_bench->Answer(caller.session);
      if (!answer) continue;
      caller.waiting = false;
      const bool done = answer->Ok() || caller.attempts == kAttempts;
      if (answer->Ok()) ++(now - caller.first <= target ? on_time : late);
      if (!answer->Ok() && done) ++refused;
      caller.next = done ? Instant::max() : now + Pause(caller.attempts);
    }
    std::erase_if(m_callers, [&](const Caller& caller) {
      if (caller.next != Instant::max()) return false;
      m_bench->Handle(SessionClosed{caller.session});
      return true;
    });
  }

  int on_time = 0;
  int late = 0;
  int refused = 0;

 private:
  static constexpr int kAttempts = 3;

  Milliseconds Pause(int attempt) {
    const auto least = attempt == 1 ? 30 : 100;
    const auto range = attempt == 1 ? 70U : 100U;
    return Milliseconds(least + static_cast<int>(m_random.Below(range)));
  }

  RelayBench* const m_bench;
  SeededRandom m_random{11};
  std::vector<Caller> m_callers;
};

// Load pattern: a workspace sends 1.7 times its rate for half a minute, and
// each operation that is refused comes back twice. What the rate admits should
// be spent on operations that can still be on time.
TEST(Overload, TokensGoToOperationsThatCanBeOnTime) {
  constexpr double kRate = 21;
  constexpr double kAsked = 35;
  constexpr Milliseconds kTarget{200};  // of the bench's routes
  constexpr Milliseconds kStep{5};
  constexpr int kSteps = 30 * 200;
  RelayBench bench;
  auto directory = bench.MakeDirectory();
  directory.workspaces["w1"] = {"w1", kRate, kRate};
  bench.Publish(directory);
  // What was earned under the bench's own limit has lapsed by then.
  bench.Tick(std::chrono::seconds(3));
  Callers callers(&bench);
  SeededRandom random(3);
  for (int i = 0; i < kSteps; ++i) {
    bench.Tick(kStep);
    constexpr auto kChance = static_cast<std::uint64_t>(kAsked * 5);
    if (random.Below(1000) < kChance) callers.Start(bench.clock.Now());
    callers.Step(bench.clock.Now(), kTarget);
  }
  const double admitted = kRate + kRate * kSteps / 200;
  EXPECT_GE(callers.on_time, 0.9 * admitted);
  EXPECT_LE(callers.on_time + callers.late, admitted);
}

// Load pattern: a workspace within its rate is refused for another reason, so
// its retries come late. They are served like any other operation.
TEST(Overload, LateOperationsAreServedWithinTheRate) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.Say(session, Verb::kWrite, "WRITE x 1");
  while (bench.Answers()[session].empty()) {
    bench.Refuse(Refusal::kBusy);
    bench.Tick(Milliseconds(20));
  }
  ASSERT_EQ(bench.Answer(session)->refusal, Refusal::kBusy);
  bench.Tick(Milliseconds(190));
  bench.Say(session, Verb::kWrite, "WRITE x 1");
  bench.SucceedOwn();
  ASSERT_FALSE(bench.Statements().empty());
  bench.Succeed("receipt");
  EXPECT_TRUE(bench.Answer(session)->Ok());
}

}  // namespace
}  // namespace tiller::relay
