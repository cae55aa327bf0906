// Figures of one run of the load tool, by workspace and over time.
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

struct Outcome {
  Operation operation = Operation::kRead;
  std::string workspace;
  Duration intended{};  // since the start of the run
  Duration latency{};   // from the intended start
  bool answered = false;
  std::string error;  // code of a refusal
  RunOutcome ran = RunOutcome::kDone;
};

class LoadReport {
 public:
  LoadReport(Duration on_time, std::map<std::string, bool> in_rate)
      : m_on_time(on_time), m_in_rate(std::move(in_rate)) {}

  void Add(const Outcome& outcome);
  void AddBreach(Breach breach, const std::string& detail);
  std::uint64_t Breaches() const { return m_breach_count; }
  Json::Value ToJson() const;

 private:
  struct WorkspaceRow {
    std::uint64_t offered = 0;
    std::uint64_t on_time = 0;
    std::uint64_t late = 0;
    std::uint64_t unknown = 0;
    std::uint64_t refused_rate = 0;
    std::map<std::string, std::uint64_t> errors;
    std::vector<double> latencies_ms;
    // Latest intended start of an answered request.
    Duration last_answered{};
    // Start of the oldest write that failed since the last acknowledged one.
    std::optional<Duration> oldest_failed_write;
    // Longest time from a write's intended start to the next acknowledgement.
    Duration longest_write_gap{};
    Duration gap_began{};
  };
  struct Bucket {
    std::uint64_t offered = 0;
    std::uint64_t on_time = 0;
    std::uint64_t refused = 0;
    std::uint64_t writes = 0;
  };

  const Duration m_on_time;
  // Whether each workspace keeps within its rate in this run.
  const std::map<std::string, bool> m_in_rate;
  std::map<std::string, WorkspaceRow> m_rows;
  std::map<std::int64_t, Bucket> m_buckets;
  std::map<std::string, std::uint64_t> m_breaches;
  std::vector<std::string> m_breach_details;
  std::uint64_t m_breach_count = 0;
};

double Percentile(std::vector<double> values, double share);

}  // namespace tiller::load
