// Tests of the relay: writes that a change of primary may discard.
#include <gtest/gtest.h>

#include <optional>
#include <utility>

#include "UnitTests/Support/relay_bench.h"

namespace tiller::relay {
namespace {

std::optional<StatementResult> Write(RelayBench* bench) {
  const auto session = bench->Open("own");
  bench->Submit(session, Verb::kWrite, "WRITE x 1");
  return bench->TakeAnswer(session);
}

// A relay in zone z1 with the primary, and replicas in other zones that do not
// answer any more. `replica_in_zone`: one that answers is in z1 as well.
void CutOffZone(RelayBench* bench, bool replica_in_zone) {
  auto directory = bench->MakeDirectory();
  directory.groups.at("g").synchronous = true;
  directory.endpoints.at("r1").zone = replica_in_zone ? "z1" : "z3";
  bench->Publish(directory);
  for (int i = 0; i < 4; ++i) {
    bench->Submit(bench->Open("bounded"), Verb::kRead, "READ a");
  }
  while (!bench->PendingStatements().empty()) bench->CompleteNext();
  bench->unresponsive = true;
  bench->Tick(Milliseconds(20));
  Write(bench);
  for (int i = 0; i < 30; ++i) {
    bench->Tick(Milliseconds(20));
    const auto pending = std::exchange(bench->PendingStatements(), {});
    for (const auto& item : pending) {
      if (directory.endpoints.at(item.endpoint).zone != "z1") continue;
      bench->Complete(item);
    }
  }
}

// All endpoints answer for this many ticks.
void AnswerAll(RelayBench* bench, int ticks) {
  bench->unresponsive = false;
  for (int i = 0; i < ticks; ++i) {
    bench->Tick(Milliseconds(20));
    const auto pending = std::exchange(bench->PendingStatements(), {});
    for (const auto& item : pending) bench->Complete(item);
  }
}

// Hosts outside a zone that is cut off replaced the primary in it, while hosts
// inside passed on its acknowledgements (review case 2).
TEST(CutOffZone, WriteThatMayBeRolledBackIsRefusedAtOnce) {
  RelayBench bench;
  ASSERT_TRUE(bench.RecordWatermark());
  CutOffZone(&bench, false);
  const auto answer = Write(&bench);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
}

// A host whose ticks came late, for lack of processor time, took the zone for
// connected again and went on writing (soak, seed 2).
TEST(CutOffZone, LateTicksDoNotAllowWritesAgain) {
  RelayBench bench;
  ASSERT_TRUE(bench.RecordWatermark());
  CutOffZone(&bench, false);
  for (int i = 0; i < 4; ++i) bench.Tick(Milliseconds(150));
  const auto answer = Write(&bench);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
}

// Commits that a listed replica in the zone had acknowledged alone were rolled
// back when hosts outside left it out (review case 2, seeds 12 and 16).
TEST(CutOffZone, ListedReplicaInTheZoneDoesNotAllowWrites) {
  RelayBench bench;
  ASSERT_TRUE(bench.RecordWatermark());
  CutOffZone(&bench, true);
  const auto answer = Write(&bench);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
}

// A primary in the zone went on acknowledging right after the cut, and the
// promotion of another one took effect then (review case 2, seed 16).
TEST(CutOffZone, PrimaryThatMayHaveBeenReplacedIsNotWrittenTo) {
  RelayBench bench;
  ASSERT_TRUE(bench.RecordWatermark());
  CutOffZone(&bench, false);
  AnswerAll(&bench, 20);
  const auto answer = Write(&bench);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
  AnswerAll(&bench, 90);
  EXPECT_FALSE(Write(&bench));
}

// The same for a host outside the zone, which wrote as soon as the primary
// answered again (review case 2, seed 18).
TEST(SilentPrimary, IsNotWrittenToUntilAPromotionHasTakenEffect) {
  RelayBench bench;
  ASSERT_TRUE(bench.RecordWatermark());
  auto directory = bench.MakeDirectory();
  directory.groups.at("g").synchronous = true;
  bench.Publish(directory);
  bench.unresponsive = true;
  Write(&bench);
  for (int i = 0; i < 50; ++i) bench.Tick(Milliseconds(20));
  AnswerAll(&bench, 40);
  const auto answer = Write(&bench);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
  AnswerAll(&bench, 90);
  EXPECT_FALSE(Write(&bench));
}

}  // namespace
}  // namespace tiller::relay
