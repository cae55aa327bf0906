// Implementation of the configuration changes available to operators.
#include "Control/config_edit.h"

#include <algorithm>
#include <utility>

namespace tiller::control {

ConfigEdit ReplaceConfig(const Json::Value& json) {
  return [json](config::Config* config) -> Result<void> {
    auto checked = config::CheckConfig(json);
    if (!checked.problems.empty()) {
      return MakeError(ErrorCode::kConfigInvalid,
                       config::Describe(checked.problems));
    }
    // A replacement cannot reinstate a withdrawn key: a new key must be issued.
    for (const auto& key : config->keys) {
      if (!key.withdrawn) continue;
      for (auto& new_key : checked.config.keys) {
        if (new_key.sha256 == key.sha256) new_key.withdrawn = true;
      }
    }
    const auto version = config->version;
    *config = std::move(checked.config);
    config->version = version;
    return Success();
  };
}

ConfigEdit AddKey(const std::string& id, const WorkspaceId& workspace,
                  const std::string& sha256) {
  return [=](config::Config* config) -> Result<void> {
    for (const auto& key : config->keys) {
      if (key.id != id && key.sha256 != sha256) continue;
      return MakeError(ErrorCode::kConflict, "the key exists: " + key.id);
    }
    if (config->FindWorkspace(workspace) == nullptr) {
      return MakeError(ErrorCode::kNotFound, "no workspace " + workspace);
    }
    config->keys.push_back({id, workspace, sha256, false});
    return Success();
  };
}

ConfigEdit WithdrawKey(const std::string& id) {
  return [=](config::Config* config) -> Result<void> {
    const auto it = std::find_if(config->keys.begin(), config->keys.end(),
                                 [&](const auto& key) { return key.id == id; });
    if (it == config->keys.end()) {
      return MakeError(ErrorCode::kNotFound, "no key " + id);
    }
    it->withdrawn = true;
    return Success();
  };
}

ConfigEdit SetZoneOut(const ZoneId& zone, bool out) {
  return [=](config::Config* config) -> Result<void> {
    const auto it =
        std::find_if(config->zones.begin(), config->zones.end(),
                     [&](const auto& item) { return item.name == zone; });
    if (it == config->zones.end()) {
      return MakeError(ErrorCode::kNotFound, "no zone " + zone);
    }
    const auto others_in_service = std::count_if(
        config->zones.begin(), config->zones.end(), [&](const auto& item) {
          return item.name != zone && !item.out_of_service;
        });
    if (out && others_in_service == 0) {
      return MakeError(ErrorCode::kConflict, "it is the last zone in service");
    }
    it->out_of_service = out;
    return Success();
  };
}

ConfigEdit SetDraining(const EndpointId& endpoint, bool draining) {
  return [=](config::Config* config) -> Result<void> {
    for (auto& group : config->groups) {
      for (auto& item : group.endpoints) {
        if (item.name != endpoint) continue;
        item.draining = draining;
        return Success();
      }
    }
    return MakeError(ErrorCode::kNotFound, "no endpoint " + endpoint);
  };
}

}  // namespace tiller::control
