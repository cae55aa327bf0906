// Generates a configuration from a questionnaire.
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
  settings::CommandLine line("tiller-generate",
                             "QUESTIONNAIRE --config=FILE --keys=FILE");
  line.Add("config", &config_file, "writes the configuration here");
  line.Add("keys", &keys_file,
           "writes the keys here; they are shown only once");
  line.AddFlag("explain", &explain, "print what the configuration means");
  const auto arguments = line.Parse(argc, argv);
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
  const auto made = config::GenerateConfig(text.str(), &tiller::RandomHex);
  for (const auto& problem : made.problems) {
    std::fprintf(stderr, "%s: %s: %s\n", arguments[0].c_str(),
                 problem.path.c_str(), problem.detail.c_str());
  }
  if (!made.problems.empty()) return settings::kExitUsage;
  std::ofstream(config_file) << ToJson(made.config).toStyledString();
  std::ofstream keys(keys_file);
  for (const auto& key : made.keys) {
    keys << key.workspace << ' ' << key.id << ' ' << key.text << '\n';
  }
  if (!keys) {
    std::fprintf(stderr, "%s: cannot be written\n", keys_file.c_str());
    return settings::kExitFailure;
  }
  if (explain) {
    for (const auto& item : made.explanation) std::puts(item.c_str());
  }
  return settings::kExitSuccess;
}
