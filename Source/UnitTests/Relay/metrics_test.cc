// Text output of counters and latency histograms.
#include <gtest/gtest.h>

#include "Common/counters.h"

namespace tiller {
namespace {

TEST(Metrics, HistogramBucketsAreCumulativeAndEndWithInf) {
  Counters counters;
  counters.Add("refused_busy", 3);
  for (const double milliseconds : {0.5, 3.0, 20.0, 60000.0}) {
    counters.Observe("latency_primary", milliseconds * 1000);
  }
  const auto text = counters.ToText();
  for (const auto* line :
       {"refused_busy 3\n", "latency_primary_ms_bucket{le=\"1\"} 1\n",
        "latency_primary_ms_bucket{le=\"5\"} 2\n",
        "latency_primary_ms_bucket{le=\"20\"} 3\n",
        "latency_primary_ms_bucket{le=\"10000\"} 3\n",
        "latency_primary_ms_bucket{le=\"+Inf\"} 4\n"}) {
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  }
}

}  // namespace
}  // namespace tiller
