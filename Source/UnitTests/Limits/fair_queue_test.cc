// Tests of the fair queue: shares of a contended server, bounds and evictions.
#include "Limits/fair_queue.h"

#include <gtest/gtest.h>

#include <map>

namespace tiller::limits {
namespace {

TEST(FairQueue, FloodDoesNotDelayAnotherWorkspace) {
  FairQueue queue(1000, 500);
  for (FairQueue::Item i = 0; i < 400; ++i) queue.Push("noisy", 1, i);
  queue.Push("quiet", 1, 1000);
  int position = 0;
  while (queue.Pop() != FairQueue::Item{1000}) ++position;
  EXPECT_LE(position, 1);
}

TEST(FairQueue, ServesByWeight) {
  FairQueue queue(1000, 500);
  for (FairQueue::Item i = 0; i < 300; ++i) {
    queue.Push("heavy", 3, i);
    queue.Push("light", 1, 1000 + i);
  }
  int heavy_count = 0;
  for (int i = 0; i < 100; ++i) {
    if (*queue.Pop() < 1000) ++heavy_count;
  }
  EXPECT_NEAR(heavy_count, 75, 2);
}

TEST(FairQueue, IdleWorkspaceAccruesNoCredit) {
  FairQueue queue(1000, 500);
  for (FairQueue::Item i = 0; i < 100; ++i) queue.Push("a", 1, i);
  for (int i = 0; i < 50; ++i) queue.Pop();
  for (FairQueue::Item i = 0; i < 50; ++i) queue.Push("b", 1, 1000 + i);
  int served_b = 0;
  for (int i = 0; i < 20; ++i) {
    if (*queue.Pop() >= 1000) ++served_b;
  }
  EXPECT_NEAR(served_b, 10, 1);
}

TEST(FairQueue, FullQueueEvictsFromLongestWorkspaceQueue) {
  FairQueue queue(10, 10);
  for (FairQueue::Item i = 0; i < 10; ++i) queue.Push("noisy", 1, i);
  const auto pushed = queue.Push("quiet", 1, 100);
  EXPECT_TRUE(pushed.accepted);
  EXPECT_EQ(pushed.evicted, FairQueue::Item{9});
  EXPECT_FALSE(queue.Push("noisy", 1, 11).accepted);
  EXPECT_EQ(queue.Size(), 10U);
}

TEST(FairQueue, RemoveFindsOnlyQueuedItems) {
  FairQueue queue(10, 10);
  queue.Push("a", 1, 1);
  EXPECT_FALSE(queue.Remove("a", 2));
  EXPECT_FALSE(queue.Remove("b", 1));
  EXPECT_TRUE(queue.Remove("a", 1));
  EXPECT_FALSE(queue.Pop().has_value());
}

}  // namespace
}  // namespace tiller::limits
