// Whether a host counts itself as cut off, and what it does for callers while
// primaries are missing.
#include <gtest/gtest.h>

#include "UnitTests/Support/relay_bench.h"

namespace tiller::relay {
namespace {

// Load pattern: a zone is cut off from the primaries. Its callers are better
// served by another zone, so requests are refused immediately instead of
// waiting here.
TEST(Reachability, CutOffHostRefusesImmediatelyAndReportsIt) {
  RelayBench bench;
  bench.unresponsive = true;
  const auto first = bench.Open("strict");
  bench.Submit(first, Verb::kWrite, "WRITE a 1");
  for (int i = 0; i < 60; ++i) bench.Tick(Milliseconds(20));
  ASSERT_TRUE(bench.cut_off);
  EXPECT_TRUE(*bench.cut_off);
  const auto second = bench.Open("strict");
  bench.Submit(second, Verb::kWrite, "WRITE b 2");
  ASSERT_TRUE(bench.TakeAnswer(second));
  // The primary answers again, so the host is no longer cut off.
  bench.unresponsive = false;
  for (int i = 0; i < 40 && *bench.cut_off; ++i) {
    bench.Tick(Milliseconds(20));
    bench.CompleteInternal();
  }
  EXPECT_FALSE(*bench.cut_off);
}

}  // namespace
}  // namespace tiller::relay
