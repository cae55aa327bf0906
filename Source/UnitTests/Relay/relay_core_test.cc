// Tests of the relay: a host that is being stopped.
#include <gtest/gtest.h>

#include <string>

#include "UnitTests/Support/relay_bench.h"

namespace tiller::relay {
namespace {

TEST(Drain, IdleSessionsAreClosedAfterTheDrainDelay) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.Handle(DrainStarted{});
  bench.Tick(Milliseconds(1000));
  EXPECT_TRUE(bench.closed.empty());
  bench.Tick(Milliseconds(1400));
  ASSERT_EQ(bench.closed.size(), 1U);
  EXPECT_EQ(bench.closed[0], session);
}

// A host that is being stopped passed on statements of open transactions until
// it exited, and the callers lost the connection without an answer.
TEST(Drain, StatementThatCannotBeAnsweredBeforeTheExitIsRefused) {
  RelayBench bench;
  const auto timeout =
      bench.MakeDirectory().routes.at("strict").statement_timeout;
  const auto open = bench.Open("strict");
  const auto idle = bench.Open("strict");
  bench.Submit(open, Verb::kBegin, "BEGIN");
  bench.TakeAnswer(open);
  bench.Handle(
      DrainStarted{std::chrono::seconds(3), std::chrono::seconds(3) + timeout});
  const auto run = [&](const std::string& text) {
    bench.Submit(open, Verb::kRead, text);
    bench.CompleteInternal();
    bench.CompleteNext();
    return bench.TakeAnswer(open);
  };
  bench.clock.Advance(Milliseconds(2'900));
  EXPECT_TRUE(run("READ a")->Ok());
  bench.clock.Advance(Milliseconds(100));
  EXPECT_TRUE(run("READ b")->Ok()) << "its time limit ends before the exit";
  bench.clock.Advance(Milliseconds(1));
  bench.Submit(open, Verb::kCommit, "COMMIT");
  const auto refused = bench.TakeAnswer(open);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->refusal, Refusal::kAborted);
  EXPECT_EQ(refused->state, TxState::kIdle);
  ASSERT_EQ(bench.PendingStatements().size(), 1U);
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kRollback);
  bench.Submit(idle, Verb::kRead, "READ c");
  const auto busy = bench.TakeAnswer(idle);
  ASSERT_TRUE(busy);
  EXPECT_EQ(busy->refusal, Refusal::kBusy);
  EXPECT_EQ(bench.PendingStatements().size(), 1U);
}

}  // namespace
}  // namespace tiller::relay
