// Named event counters and latency summaries. Each reason for a refusal or a
// retry has its own counter, which is named after the reason.
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

// Not thread-safe: each core owns an instance and returns copies of its values.
class Counters {
 public:
  // Upper bounds of the histogram buckets, from the time of a fast statement to
  // the longest time limit of a request.
  static constexpr std::array<int, 13> kBucketBoundsMs = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

  void Add(std::string_view name, std::uint64_t by = 1);
  std::uint64_t Get(std::string_view name) const;
  // Adds a latency sample in microseconds to the summary called `name`.
  void Observe(std::string_view name, double microseconds);
  // Returns one "name value" line per counter and summary value, sorted by
  // name, then the latency histograms in the Prometheus text format: cumulative
  // counts by upper bound in milliseconds.
  std::string ToText() const;
  // Returns the counters and the latency summaries (count, mean, maximum, p50
  // and p99 in microseconds) by name.
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
    // Number of samples per bucket of kBucketBoundsMs; the last bucket holds
    // the samples above the highest bound.
    std::array<std::uint64_t, kBucketBoundsMs.size() + 1> buckets{};
  };
  std::map<std::string, std::uint64_t, std::less<>> m_counts;
  std::map<std::string, Latency, std::less<>> m_latencies;
};

}  // namespace tiller
