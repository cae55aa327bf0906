// Tests of the limit on log lines.
#include "Common/line_limit.h"

#include <gtest/gtest.h>

namespace tiller::log {
namespace {

// Under load the lines of requests used up the limit, and those of a failover
// that lost commits were left out.
TEST(LineLimit, RequestsDoNotCrowdOutDecisions) {
  LineLimit limit;
  for (std::uint64_t i = 0; i < 2 * LineLimit::kMaxRequestLines; ++i) {
    EXPECT_EQ(limit.Allow(LineKind::kRequest, 1),
              i < LineLimit::kMaxRequestLines);
  }
  EXPECT_TRUE(limit.Allow(LineKind::kDecision, 1));
  EXPECT_TRUE(limit.Allow(LineKind::kImportant, 1));
}

TEST(LineLimit, LinesLeftOutAreReportedInTheNextSecond) {
  LineLimit limit;
  for (std::uint64_t i = 0; i < LineLimit::kMaxDecisionLines + 3; ++i) {
    limit.Allow(LineKind::kDecision, 1);
  }
  EXPECT_EQ(limit.TakeLeftOut(1), 0U);
  EXPECT_EQ(limit.TakeLeftOut(2), 3U);
  EXPECT_TRUE(limit.Allow(LineKind::kDecision, 2));
  EXPECT_EQ(limit.TakeLeftOut(3), 0U);
}

}  // namespace
}  // namespace tiller::log
