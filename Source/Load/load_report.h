// Statistics of one run of the load tool, by workspace and over time.
#pragma once

#include <json/json.h>

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/types.h"
#include "Load/session_model.h"

namespace tiller::load {

// Result of one request.
struct RequestResult {
  Operation operation = Operation::kRead;
  std::string workspace;
  Duration intended_start{};  // since the start of the run
  Duration latency{};         // from the intended start
  bool answered = false;
  std::string error;  // error code if not answered
  RunOutcome run_outcome = RunOutcome::kDone;
};

class LoadReport {
 public:
  // Answers with a latency of up to `on_time_limit` count as on time.
  // `within_rate` says for each workspace whether its offered load keeps within
  // its rate; workspaces that are missing there count as within their rate.
  LoadReport(Duration on_time_limit, std::map<std::string, bool> within_rate)
      : m_on_time_limit(on_time_limit), m_within_rate(std::move(within_rate)) {}

  void Add(const RequestResult& result);
  // Counts a breach and keeps `detail` for the report; ignores Breach::kNone.
  void AddBreach(Breach breach, const std::string& detail);
  std::uint64_t BreachCount() const { return m_breach_count; }
  Json::Value ToJson() const;

 private:
  struct WorkspaceStats {
    std::uint64_t offered = 0;
    std::uint64_t on_time = 0;
    std::uint64_t late = 0;
    std::uint64_t outcome_unknown = 0;
    std::uint64_t rate_refusals = 0;
    std::map<std::string, std::uint64_t> errors;
    std::vector<double> latencies_ms;
    // Latest intended start among the answered requests.
    Duration last_answered{};
    // Intended start of the oldest write that failed since the last
    // acknowledged one.
    std::optional<Duration> oldest_failed_write;
    // Longest time from the intended start of a write to the next
    // acknowledgement of a write.
    Duration longest_write_gap{};
    Duration longest_write_gap_start{};
  };
  struct Bucket {
    std::uint64_t offered = 0;
    std::uint64_t on_time = 0;
    std::uint64_t refused = 0;
    std::uint64_t writes = 0;
  };

  const Duration m_on_time_limit;
  // Whether the load offered to each workspace keeps within its rate.
  const std::map<std::string, bool> m_within_rate;
  std::map<std::string, WorkspaceStats> m_workspaces;
  std::map<std::int64_t, Bucket> m_buckets;
  std::map<std::string, std::uint64_t> m_breaches;
  std::vector<std::string> m_breach_details;
  std::uint64_t m_breach_count = 0;
};

// Returns the value at `quantile` (0 to 1), or 0 if there are no values.
double Percentile(std::vector<double> values, double quantile);

}  // namespace tiller::load
