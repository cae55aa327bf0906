// Generates a configuration from a team's answers about its databases,
// workspaces, rates and availability zones.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "Config/config.h"

namespace tiller::config {

struct IssuedKey {
  std::string id;
  WorkspaceId workspace;
  std::string text;  // shown once; only its hash is kept
};

struct Generated {
  Config config;
  std::vector<IssuedKey> keys;
  std::vector<std::string> explanation;
  // Faults of the answers, with the line in the path ("line 4: rate").
  std::vector<Problem> problems;
};

// Makes keys and the session secret with `random_hex`, which returns the given
// number of random bytes as hexadecimal digits.
Generated GenerateConfig(const std::string& yaml,
                         std::string (*random_hex)(int bytes));

}  // namespace tiller::config
