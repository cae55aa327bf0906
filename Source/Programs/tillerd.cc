// tillerd: the proxy daemon of a host.
#include <cstdio>
#include <string>

#include "Common/log.h"
#include "Common/signal_block.h"
#include "Daemon/control_service.h"
#include "Settings/command_line.h"

int main(int argc, const char** argv) {
  using tiller::daemon::ControlService;
  namespace settings = tiller::settings;
  tiller::SignalBlock signals;
  std::string settings_file;
  bool check = false;
  bool describe = false;
  settings::CommandLine command_line("tillerd", "--settings=FILE");
  command_line.Add("settings", &settings_file, "YAML file with the settings");
  command_line.AddFlag("check", &check, "check the settings and exit");
  command_line.AddFlag("describe", &describe, "list all settings and exit");
  command_line.Parse(argc, argv);

  tiller::daemon::DaemonSettings daemon_settings;
  settings::SettingsTable table;
  Declare(&table, &daemon_settings);
  if (describe) {
    std::fputs(table.Describe().c_str(), stdout);
    return settings::kExitSuccess;
  }
  auto problems = table.Load(settings_file);
  if (problems.empty()) problems = CheckConsistency(daemon_settings);
  const auto level = tiller::log::LevelNamed(daemon_settings.log_level);
  if (!level) problems.push_back({0, "log_level", "unknown level"});
  if (!problems.empty()) {
    std::fputs(settings::Describe(settings_file, problems).c_str(), stderr);
    return settings::kExitUsage;
  }
  if (check) return settings::kExitSuccess;

  tiller::log::Configure(*level);
  ControlService service(daemon_settings);
  const auto started = service.Start();
  if (!started) {
    std::fprintf(stderr, "tillerd: %s\n", started.error().detail.c_str());
    return settings::kExitFailure;
  }
  signals.Release();
  service.Run();
  signals.Block();  // the handlers end with the service
  return settings::kExitSuccess;
}
