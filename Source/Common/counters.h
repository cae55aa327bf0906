// Named event counters and latency summaries. Every refusal and every retry
// has a counter of its own, named after its reason.
#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace tiller {

// Not thread-safe: each core owns one and copies it out on request.
class Counters {
 public:
  // From a fast statement to the longest time limit of a request.
  static constexpr std::array<int, 13> kBucketBoundsMs = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

  void Add(std::string_view name, std::uint64_t by = 1);
  std::uint64_t Get(std::string_view name) const;
  // Adds a latency sample in microseconds to the summary called `name`.
  void Observe(std::string_view name, double microseconds);
  // One "name value" line per counter, sorted by name, then the histograms of
  // the latencies in the text form of monitoring tools: cumulative counts by
  // upper bound in milliseconds.
  std::string ToText() const;
  std::map<std::string, double> Snapshot() const;

 private:
  using Summary = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::mean, boost::accumulators::tag::max,
                  boost::accumulators::tag::p_square_quantile>>;
  struct Latency {
    Latency();
    Summary p50;
    Summary p99;
    // Samples up to each bound of kBucketBoundsMs, and above the last.
    std::array<std::uint64_t, kBucketBoundsMs.size() + 1> buckets{};
  };
  std::map<std::string, std::uint64_t, std::less<>> m_counts;
  std::map<std::string, Latency, std::less<>> m_latencies;
};

}  // namespace tiller
