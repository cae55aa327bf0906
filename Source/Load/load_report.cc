// Implementation of the load report.
#include "Load/load_report.h"

#include <algorithm>

#include "Common/names.h"

namespace tiller::load {
namespace {

constexpr Milliseconds kBucket{250};
constexpr std::size_t kMaxDetails = 20;

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1.0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

double Percentile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

void LoadReport::Add(const Outcome& outcome) {
  auto& row = m_rows[outcome.workspace];
  auto& bucket = m_buckets[outcome.intended / kBucket];
  ++row.offered;
  ++bucket.offered;
  if (!outcome.answered) {
    ++row.errors[outcome.error];
    ++bucket.refused;
    if (outcome.ran == RunOutcome::kUnknown) ++row.unknown;
    if (outcome.error == "rate_exceeded") ++row.refused_rate;
    if (outcome.operation == Operation::kWrite) {
      row.oldest_failed_write = std::min(
          row.oldest_failed_write.value_or(outcome.intended), outcome.intended);
    }
    return;
  }
  row.latencies_ms.push_back(ToMs(outcome.latency));
  row.last_answered = std::max(row.last_answered, outcome.intended);
  if (outcome.latency <= m_on_time) {
    ++row.on_time;
    ++bucket.on_time;
  } else {
    ++row.late;
  }
  if (outcome.operation != Operation::kWrite) return;
  ++bucket.writes;
  const auto began = std::min(
      row.oldest_failed_write.value_or(outcome.intended), outcome.intended);
  row.oldest_failed_write.reset();
  const auto gap = outcome.intended + outcome.latency - began;
  if (gap <= row.longest_write_gap) return;
  row.longest_write_gap = gap;
  row.gap_began = began;
}

void LoadReport::AddBreach(Breach breach, const std::string& detail) {
  if (breach == Breach::kNone) return;
  ++m_breach_count;
  ++m_breaches[std::string(NameOf(kBreachNames, breach))];
  if (m_breach_details.size() < kMaxDetails) {
    m_breach_details.push_back(detail);
  }
}

Json::Value LoadReport::ToJson() const {
  Json::Value out;
  std::uint64_t offered = 0;
  std::uint64_t on_time = 0;
  std::uint64_t in_rate_offered = 0;
  std::uint64_t wrongful = 0;
  double worst = 1.0;
  double longest_gap = 0;
  std::vector<double> all;
  for (const auto& [name, row] : m_rows) {
    Json::Value item;
    const bool in_rate = m_in_rate.count(name) == 0 || m_in_rate.at(name);
    item["offered"] = Json::UInt64(row.offered);
    item["on_time"] = Json::UInt64(row.on_time);
    item["late"] = Json::UInt64(row.late);
    item["outcome_unknown"] = Json::UInt64(row.unknown);
    item["refused_rate"] = Json::UInt64(row.refused_rate);
    item["within_rate"] = in_rate;
    item["on_time_share"] = Share(row.on_time, row.offered);
    item["latency_p50_ms"] = Percentile(row.latencies_ms, 0.5);
    item["latency_p99_ms"] = Percentile(row.latencies_ms, 0.99);
    item["longest_write_gap_ms"] = ToMs(row.longest_write_gap);
    item["longest_write_gap_at_ms"] = ToMs(row.gap_began);
    item["last_answered_ms"] = ToMs(row.last_answered);
    for (const auto& [code, count] : row.errors) {
      item["errors"][code] = Json::UInt64(count);
    }
    out["workspaces"][name] = item;
    all.insert(all.end(), row.latencies_ms.begin(), row.latencies_ms.end());
    if (!in_rate) continue;
    offered += row.offered;
    on_time += row.on_time;
    in_rate_offered += row.offered;
    wrongful += row.refused_rate;
    worst = std::min(worst, Share(row.on_time, row.offered));
    longest_gap = std::max(longest_gap, ToMs(row.longest_write_gap));
  }
  out["offered"] = Json::UInt64(offered);
  out["on_time_share"] = Share(on_time, offered);
  out["worst_workspace_on_time_share"] = worst;
  out["wrongful_refusals"] = Json::UInt64(wrongful);
  out["wrongful_refusal_share"] =
      in_rate_offered == 0 ? 0.0 : Share(wrongful, in_rate_offered);
  out["failover_gap_ms"] = longest_gap;
  out["latency_p50_ms"] = Percentile(all, 0.5);
  out["latency_p99_ms"] = Percentile(all, 0.99);
  out["promises_broken"] = Json::UInt64(m_breach_count);
  for (const auto& [name, count] : m_breaches) {
    out["breaches"][name] = Json::UInt64(count);
  }
  for (const auto& detail : m_breach_details) {
    out["breach_details"].append(detail);
  }
  for (const auto& [index, bucket] : m_buckets) {
    Json::Value point(Json::arrayValue);
    point.append(Json::Int64(index * kBucket.count()));
    point.append(Json::UInt64(bucket.offered));
    point.append(Json::UInt64(bucket.on_time));
    point.append(Json::UInt64(bucket.refused));
    point.append(Json::UInt64(bucket.writes));
    out["series"].append(point);
  }
  return out;
}

}  // namespace tiller::load
