// Implementation of the load report.
#include "Load/load_report.h"

#include <algorithm>

#include "Common/names.h"

namespace tiller::load {
namespace {

constexpr Milliseconds kBucketWidth{250};
constexpr std::size_t kMaxBreachDetails = 20;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Ratio(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

double Percentile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

void LoadReport::Add(const RequestResult& result) {
  auto& stats = m_workspaces[result.workspace];
  auto& bucket = m_buckets[result.intended_start / kBucketWidth];
  ++stats.offered;
  ++bucket.offered;
  if (!result.answered) {
    ++stats.errors[result.error];
    ++bucket.refused;
    if (result.run_outcome == RunOutcome::kUnknown) ++stats.outcome_unknown;
    if (result.error == "rate_exceeded") ++stats.rate_refusals;
    if (result.operation == Operation::kWrite) {
      stats.oldest_failed_write =
          std::min(stats.oldest_failed_write.value_or(result.intended_start),
                   result.intended_start);
    }
    return;
  }
  stats.latencies_ms.push_back(ToMs(result.latency));
  stats.last_answered = std::max(stats.last_answered, result.intended_start);
  if (result.latency <= m_on_time_limit) {
    ++stats.on_time;
    ++bucket.on_time;
  } else {
    ++stats.late;
  }
  if (result.operation != Operation::kWrite) return;
  ++bucket.writes;
  const auto gap_start =
      std::min(stats.oldest_failed_write.value_or(result.intended_start),
               result.intended_start);
  stats.oldest_failed_write.reset();
  const auto gap = result.intended_start + result.latency - gap_start;
  if (gap <= stats.longest_write_gap) return;
  stats.longest_write_gap = gap;
  stats.longest_write_gap_start = gap_start;
}

void LoadReport::AddBreach(Breach breach, const std::string& detail) {
  if (breach == Breach::kNone) return;
  ++m_breach_count;
  ++m_breaches[std::string(NameOf(kBreachNames, breach))];
  if (m_breach_details.size() < kMaxBreachDetails) {
    m_breach_details.push_back(detail);
  }
}

Json::Value LoadReport::ToJson() const {
  Json::Value out;
  std::uint64_t offered = 0;
  std::uint64_t on_time = 0;
  std::uint64_t offered_within_rate = 0;
  std::uint64_t wrongful_refusals = 0;
  double lowest_on_time_share = 1.0;
  double longest_gap_ms = 0;
  std::vector<double> all_latencies_ms;
  for (const auto& [name, stats] : m_workspaces) {
    Json::Value item;
    const bool within_rate =
        m_within_rate.count(name) == 0 || m_within_rate.at(name);
    item["offered"] = Json::UInt64(stats.offered);
    item["on_time"] = Json::UInt64(stats.on_time);
    item["late"] = Json::UInt64(stats.late);
    item["outcome_unknown"] = Json::UInt64(stats.outcome_unknown);
    item["refused_rate"] = Json::UInt64(stats.rate_refusals);
    item["within_rate"] = within_rate;
    item["on_time_share"] = Ratio(stats.on_time, stats.offered);
    item["latency_p50_ms"] = Percentile(stats.latencies_ms, 0.5);
    item["latency_p99_ms"] = Percentile(stats.latencies_ms, 0.99);
    item["longest_write_gap_ms"] = ToMs(stats.longest_write_gap);
    item["longest_write_gap_at_ms"] = ToMs(stats.longest_write_gap_start);
    item["last_answered_ms"] = ToMs(stats.last_answered);
    for (const auto& [code, count] : stats.errors) {
      item["errors"][code] = Json::UInt64(count);
    }
    out["workspaces"][name] = item;
    all_latencies_ms.insert(all_latencies_ms.end(), stats.latencies_ms.begin(),
                            stats.latencies_ms.end());
    if (!within_rate) continue;
    offered += stats.offered;
    on_time += stats.on_time;
    offered_within_rate += stats.offered;
    wrongful_refusals += stats.rate_refusals;
    lowest_on_time_share =
        std::min(lowest_on_time_share, Ratio(stats.on_time, stats.offered));
    longest_gap_ms = std::max(longest_gap_ms, ToMs(stats.longest_write_gap));
  }
  out["offered"] = Json::UInt64(offered);
  out["on_time_share"] = Ratio(on_time, offered);
  out["worst_workspace_on_time_share"] = lowest_on_time_share;
  out["wrongful_refusals"] = Json::UInt64(wrongful_refusals);
  out["wrongful_refusal_share"] =
      offered_within_rate == 0 ? 0.0
                               : Ratio(wrongful_refusals, offered_within_rate);
  out["failover_gap_ms"] = longest_gap_ms;
  out["latency_p50_ms"] = Percentile(all_latencies_ms, 0.5);
  out["latency_p99_ms"] = Percentile(all_latencies_ms, 0.99);
  out["promises_broken"] = Json::UInt64(m_breach_count);
  for (const auto& [name, count] : m_breaches) {
    out["breaches"][name] = Json::UInt64(count);
  }
  for (const auto& detail : m_breach_details) {
    out["breach_details"].append(detail);
  }
  for (const auto& [index, bucket] : m_buckets) {
    Json::Value point(Json::arrayValue);
    point.append(Json::Int64(index * kBucketWidth.count()));
    point.append(Json::UInt64(bucket.offered));
    point.append(Json::UInt64(bucket.on_time));
    point.append(Json::UInt64(bucket.refused));
    point.append(Json::UInt64(bucket.writes));
    out["series"].append(point);
  }
  return out;
}

}  // namespace tiller::load
