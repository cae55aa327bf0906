// The load tool: open-loop load over the quote or the booking workload, with
// every answer checked.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "Common/json.h"
#include "Common/names.h"
#include "Config/config.h"
#include "Load/load_runner.h"
#include "Settings/command_line.h"

namespace {

namespace settings = tiller::settings;

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream items(text);
  for (std::string item; std::getline(items, item, ',');) out.push_back(item);
  return out;
}

std::string ReadAll(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

// First key of each workspace, from the generator's file of keys.
std::map<std::string, std::string> ReadKeys(const std::string& path) {
  std::map<std::string, std::string> out;
  std::ifstream file(path);
  std::string workspace;
  std::string id;
  std::string key;
  while (file >> workspace >> id >> key) out.emplace(workspace, key);
  return out;
}

void PrintTable(const Json::Value& report) {
  std::printf("%-12s %8s %8s %8s %8s %9s %9s %10s\n", "WORKSPACE", "OFFERED",
              "ON_TIME", "RATE_REF", "UNKNOWN", "P50_MS", "P99_MS", "GAP_MS");
  for (const auto& name : report["workspaces"].getMemberNames()) {
    const auto& row = report["workspaces"][name];
    std::printf("%-12s %8s %7.3f%% %8s %8s %9.2f %9.2f %10.0f\n", name.c_str(),
                row["offered"].asString().c_str(),
                100 * row["on_time_share"].asDouble(),
                row["refused_rate"].asString().c_str(),
                row["outcome_unknown"].asString().c_str(),
                row["latency_p50_ms"].asDouble(),
                row["latency_p99_ms"].asDouble(),
                row["longest_write_gap_ms"].asDouble());
  }
  std::printf(
      "replica_read_share %.3f  failover_gap_ms %.0f  worst_workspace %.5f  "
      "wrongful_refusals %s (%.4f%%)  on_time %.5f  promises_broken %s\n",
      report["replica_read_share"].asDouble(),
      report["failover_gap_ms"].asDouble(),
      report["worst_workspace_on_time_share"].asDouble(),
      report["wrongful_refusals"].asString().c_str(),
      100 * report["wrongful_refusal_share"].asDouble(),
      report["on_time_share"].asDouble(),
      report["promises_broken"].asString().c_str());
  for (const auto& detail : report["breach_details"]) {
    std::printf("BROKEN: %s\n", detail.asCString());
  }
}

}  // namespace

int main(int argc, const char** argv) {
  namespace load = tiller::load;
  std::string workload = "quotes";
  std::string callers;
  std::string controls;
  std::string config_file;
  std::string keys_file;
  std::string noisy;
  std::string report_file;
  double share = 0.5;
  double noisy_factor = 10;
  double skew = 0;
  int seconds = 10;
  int seed = 1;
  int deadline_ms = 2000;
  settings::CommandLine line("tiller-load", "--callers=A,B --config=FILE ...");
  line.Add("workload", &workload, "quotes or bookings");
  line.Add("callers", &callers, "callers' addresses of the hosts");
  line.Add("controls", &controls, "control addresses, in the same order");
  line.Add("config", &config_file, "configuration in force");
  line.Add("keys", &keys_file, "keys as the generator wrote them");
  line.Add("share", &share, "offered load as a share of each rate");
  line.Add("noisy", &noisy, "workspace that offers a multiple of its rate");
  line.Add("noisy-factor", &noisy_factor, "that multiple");
  line.Add("skew", &skew, "share of a workspace's requests to one host");
  line.Add("seconds", &seconds, "length of the run");
  line.Add("deadline-ms", &deadline_ms, "deadline of each request");
  line.Add("seed", &seed, "seed of arrivals and choices");
  line.Add("report", &report_file, "writes the report as JSON here");
  line.Parse(argc, argv);

  const auto kind =
      tiller::ValueOf<load::Workload>(load::kWorkloadNames, workload);
  const auto json = tiller::ParseJson(ReadAll(config_file));
  const auto keys = ReadKeys(keys_file);
  load::LoadOptions options;
  options.callers = Split(callers);
  options.controls = Split(controls);
  if (!kind || !json || keys.empty() || options.callers.empty() ||
      options.callers.size() != options.controls.size()) {
    std::fputs("tiller-load: see --help\n", stderr);
    return settings::kExitUsage;
  }
  options.workload = *kind;
  options.duration = tiller::Milliseconds(seconds * 1000);
  options.deadline = tiller::Milliseconds(deadline_ms);
  options.skew = skew;
  options.seed = static_cast<std::uint64_t>(seed);
  const auto checked = tiller::config::CheckConfig(json.value());
  for (const auto& workspace : checked.config.workspaces) {
    const auto key = keys.find(workspace.name);
    if (key == keys.end()) continue;
    const bool is_noisy = workspace.name == noisy;
    options.workspaces.push_back(
        {workspace.name, key->second,
         workspace.rate * (is_noisy ? noisy_factor : share), !is_noisy});
  }
  boost::asio::io_context io(1);
  load::LoadRunner runner(&io, std::move(options));
  const auto report = runner.Run();
  if (!report_file.empty()) {
    std::ofstream(report_file) << report.toStyledString();
  }
  PrintTable(report);
  return report["promises_broken"].asUInt64() == 0 ? settings::kExitSuccess
                                                   : settings::kExitFailure;
}
