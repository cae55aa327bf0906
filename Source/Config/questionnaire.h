// Generates a configuration from a questionnaire: a team's answers about its
// databases, workspaces, rates and availability zones, as YAML.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Config/config.h"

namespace tiller::config {

struct IssuedKey {
  std::string id;
  WorkspaceId workspace;
  std::string text;  // shown only once; only its hash is stored
};

struct GeneratedConfig {
  Config config;
  std::vector<IssuedKey> keys;
  std::vector<std::string> explanation;
  // Problems in the answers; the path holds the line ("line 4: rate"). If there
  // are any, the other members are incomplete.
  std::vector<Problem> problems;
};

// Creates the keys and the session secret with `random_hex`, which returns the
// given number of random bytes as hexadecimal digits.
GeneratedConfig GenerateConfig(const std::string& yaml,
                               std::string (*random_hex)(int bytes));

}  // namespace tiller::config
