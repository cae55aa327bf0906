// Configuration changes available to operators. Each is a function of the
// configuration in force, so that it can be applied again after a conflicting
// change by another operator.
#pragma once

#include <json/json.h>

#include <string>

#include "Control/config_state.h"

namespace tiller::control {

// Replaces the whole configuration except its version. Keys that were withdrawn
// stay withdrawn. Fails with kConfigInvalid if `json` is not valid.
ConfigEdit ReplaceConfig(const Json::Value& json);
// `sha256` is the hexadecimal digest of the key's text. Fails with kConflict if
// the id or the digest is already in use, with kNotFound if the workspace does
// not exist.
ConfigEdit AddKey(const std::string& id, const WorkspaceId& workspace,
                  const std::string& sha256);
// Fails with kNotFound if there is no such key.
ConfigEdit WithdrawKey(const std::string& id);
// Takes a zone out of service or puts it back. Fails with kNotFound if there is
// no such zone, with kConflict if it is the last one in service.
ConfigEdit SetZoneOut(const ZoneId& zone, bool out);
// Fails with kNotFound if there is no such endpoint.
ConfigEdit SetDraining(const EndpointId& endpoint, bool draining);

}  // namespace tiller::control
