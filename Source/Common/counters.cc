// Implementation of counters and latency summaries.
#include "Common/counters.h"

#include <algorithm>
#include <sstream>

namespace tiller {
namespace acc = boost::accumulators;

namespace {
constexpr double kP50Quantile = 0.5;
constexpr double kP99Quantile = 0.99;
}  // namespace

Counters::Latency::Latency()
    : p50(acc::quantile_probability = kP50Quantile),
      p99(acc::quantile_probability = kP99Quantile) {}

void Counters::Add(std::string_view name, std::uint64_t by) {
  const auto it = m_counts.find(name);
  if (it == m_counts.end()) {
    m_counts.emplace(std::string(name), by);
    return;
  }
  it->second += by;
}

std::uint64_t Counters::Get(std::string_view name) const {
  const auto it = m_counts.find(name);
  return it == m_counts.end() ? 0 : it->second;
}

void Counters::Observe(std::string_view name, double microseconds) {
  auto it = m_latencies.find(name);
  if (it == m_latencies.end()) {
    it = m_latencies.try_emplace(std::string(name)).first;
  }
  it->second.p50(microseconds);
  it->second.p99(microseconds);
  constexpr double kMicrosecondsPerMillisecond = 1000;
  const auto bound =
      std::lower_bound(kBucketBoundsMs.begin(), kBucketBoundsMs.end(),
                       microseconds / kMicrosecondsPerMillisecond);
  const auto bucket = static_cast<std::size_t>(bound - kBucketBoundsMs.begin());
  ++it->second.buckets[bucket];
}

std::map<std::string, double> Counters::Snapshot() const {
  std::map<std::string, double> out;
  for (const auto& [name, value] : m_counts) {
    out[name] = static_cast<double>(value);
  }
  for (const auto& [name, latency] : m_latencies) {
    out[name + "_count"] = static_cast<double>(acc::count(latency.p50));
    out[name + "_mean_us"] = acc::mean(latency.p50);
    out[name + "_max_us"] = acc::max(latency.p50);
    out[name + "_p50_us"] = acc::p_square_quantile(latency.p50);
    out[name + "_p99_us"] = acc::p_square_quantile(latency.p99);
  }
  return out;
}

std::string Counters::ToText() const {
  std::ostringstream out;
  out.precision(15);
  for (const auto& [name, value] : Snapshot())
    out << name << ' ' << value << '\n';
  for (const auto& [name, latency] : m_latencies) {
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < latency.buckets.size(); ++i) {
      cumulative += latency.buckets[i];
      out << name << "_ms_bucket{le=\"";
      if (i < kBucketBoundsMs.size()) {
        out << kBucketBoundsMs[i];
      } else {
        out << "+Inf";
      }
      out << "\"} " << cumulative << '\n';
    }
  }
  return out.str();
}

}  // namespace tiller
