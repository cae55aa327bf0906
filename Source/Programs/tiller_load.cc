// Load generator: sends open-loop load of the quote or the booking workload and
// checks every response.
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

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

// Returns the first key of each workspace from the key file that
// tiller-generate wrote.
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
  std::string noisy_workspace;
  std::string report_file;
  double load_share = 0.5;
  double noisy_factor = 10;
  double skew = 0;
  int seconds = 10;
  int seed = 1;
  int deadline_ms = 2000;
  settings::CommandLine command_line("tiller-load",
                                     "--callers=A,B --config=FILE ...");
  command_line.Add("workload", &workload, "quotes or bookings");
  command_line.Add("callers", &callers,
                   "client addresses of the hosts, comma-separated");
  command_line.Add("controls", &controls,
                   "control addresses of the hosts, in the same order");
  command_line.Add("config", &config_file, "configuration in force");
  command_line.Add("keys", &keys_file, "key file written by tiller-generate");
  command_line.Add("share", &load_share,
                   "offered load as a fraction of each workspace's rate");
  command_line.Add("noisy", &noisy_workspace,
                   "workspace to load with a multiple of its rate");
  command_line.Add("noisy-factor", &noisy_factor,
                   "multiple of the rate for the --noisy workspace");
  command_line.Add("skew", &skew,
                   "fraction of a workspace's requests sent to one host");
  command_line.Add("seconds", &seconds, "duration of the run");
  command_line.Add("deadline-ms", &deadline_ms, "deadline of each request");
  command_line.Add("seed", &seed,
                   "seed of the random request times and choices");
  command_line.Add("report", &report_file,
                   "file to write the report to, as JSON");
  command_line.Parse(argc, argv);

  const auto workload_kind =
      tiller::ValueOf<load::Workload>(load::kWorkloadNames, workload);
  const auto json = tiller::ParseJson(ReadFile(config_file));
  const auto keys = ReadKeys(keys_file);
  load::LoadOptions options;
  options.callers = Split(callers);
  options.controls = Split(controls);
  if (!workload_kind || !json || keys.empty() || options.callers.empty() ||
      options.callers.size() != options.controls.size()) {
    std::fputs("tiller-load: see --help\n", stderr);
    return settings::kExitUsage;
  }
  options.workload = *workload_kind;
  options.duration = tiller::Milliseconds(seconds * 1000);
  options.deadline = tiller::Milliseconds(deadline_ms);
  options.skew = skew;
  options.seed = static_cast<std::uint64_t>(seed);
  const auto checked = tiller::config::CheckConfig(json.value());
  for (const auto& workspace : checked.config.workspaces) {
    const auto key = keys.find(workspace.name);
    if (key == keys.end()) continue;
    const bool is_noisy = workspace.name == noisy_workspace;
    options.workspaces.push_back(
        {workspace.name, key->second,
         workspace.rate * (is_noisy ? noisy_factor : load_share), !is_noisy});
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
