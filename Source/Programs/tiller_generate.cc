// Generates a configuration and its keys from a questionnaire.
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include "Common/crypto.h"
#include "Common/json.h"
#include "Config/questionnaire.h"
#include "Settings/command_line.h"

int main(int argc, const char** argv) {
  namespace settings = tiller::settings;
  namespace config = tiller::config;
  std::string config_file;
  std::string keys_file;
  bool explain = false;
  settings::CommandLine command_line("tiller-generate",
                                     "QUESTIONNAIRE --config=FILE --keys=FILE");
  command_line.Add("config", &config_file,
                   "file to write the configuration to");
  command_line.Add("keys", &keys_file,
                   "file to write the keys to; they cannot be shown again");
  command_line.AddFlag("explain", &explain,
                       "print what the configuration means");
  const auto arguments = command_line.Parse(argc, argv);
  if (arguments.size() != 1 || config_file.empty() || keys_file.empty()) {
    std::fputs("tiller-generate: see --help\n", stderr);
    return settings::kExitUsage;
  }
  const std::ifstream file(arguments[0]);
  if (!file) {
    std::fprintf(stderr, "%s: cannot be read\n", arguments[0].c_str());
    return settings::kExitUsage;
  }
  std::ostringstream text;
  text << file.rdbuf();
  const auto generated = config::GenerateConfig(text.str(), &tiller::RandomHex);
  for (const auto& problem : generated.problems) {
    std::fprintf(stderr, "%s: %s: %s\n", arguments[0].c_str(),
                 problem.path.c_str(), problem.detail.c_str());
  }
  if (!generated.problems.empty()) return settings::kExitUsage;
  std::ofstream(config_file) << ToJson(generated.config).toStyledString();
  std::ofstream keys(keys_file);
  for (const auto& key : generated.keys) {
    keys << key.workspace << ' ' << key.id << ' ' << key.text << '\n';
  }
  if (!keys) {
    std::fprintf(stderr, "%s: cannot be written\n", keys_file.c_str());
    return settings::kExitFailure;
  }
  if (explain) {
    for (const auto& item : generated.explanation) std::puts(item.c_str());
  }
  return settings::kExitSuccess;
}
