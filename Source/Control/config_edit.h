// The changes that operators make to a configuration. Each is a function of
// the configuration in force, so that it can be repeated when another operator
// was first.
#pragma once

#include <json/json.h>

#include <string>

#include "Control/config_state.h"

namespace tiller::control {

ConfigEdit ReplaceConfig(const Json::Value& json);
ConfigEdit AddKey(const std::string& id, const WorkspaceId& workspace,
                  const std::string& sha256);
ConfigEdit WithdrawKey(const std::string& id);
ConfigEdit SetZoneOut(const ZoneId& zone, bool out);
ConfigEdit SetDraining(const EndpointId& endpoint, bool draining);

}  // namespace tiller::control
