// The entry daemon.
#include <cstdio>
#include <string>

#include "Common/log.h"
#include "Daemon/control_service.h"
#include "Settings/command_line.h"

int main(int argc, const char** argv) {
  using tiller::daemon::ControlService;
  namespace settings = tiller::settings;
  std::string file;
  bool check = false;
  bool describe = false;
  settings::CommandLine line("tillerd", "--settings=FILE");
  line.Add("settings", &file, "YAML file with the settings");
  line.AddFlag("check", &check, "check the settings and exit");
  line.AddFlag("describe", &describe, "list all settings and exit");
  line.Parse(argc, argv);

  tiller::daemon::DaemonSettings values;
  settings::SettingsTable table;
  Declare(&table, &values);
  if (describe) {
    std::fputs(table.Describe().c_str(), stdout);
    return settings::kExitSuccess;
  }
  auto problems = table.Load(file);
  if (problems.empty()) problems = CheckTogether(values);
  const auto level = tiller::log::LevelNamed(values.log_level);
  if (!level) problems.push_back({0, "log_level", "unknown level"});
  if (!problems.empty()) {
    std::fputs(settings::Describe(file, problems).c_str(), stderr);
    return settings::kExitUsage;
  }
  if (check) return settings::kExitSuccess;

  tiller::log::Configure(*level);
  ControlService service(values);
  const auto started = service.Start();
  if (!started) {
    std::fprintf(stderr, "tillerd: %s\n", started.error().detail.c_str());
    return settings::kExitFailure;
  }
  service.Run();
  return settings::kExitSuccess;
}
