// Comparison of two directories, for what is computed from parts of them that
// seldom change. A directory is published with each endpoint's report.
#pragma once

#include "Relay/relay_types.h"

namespace tiller::relay {

bool SameWorkspaces(const Directory& a, const Directory& b);
// The groups' connection limits.
bool SameLimits(const Directory& a, const Directory& b);
// The endpoints with their groups, zones and slots.
bool SameEndpoints(const Directory& a, const Directory& b);
bool SamePrimaries(const Directory& a, const Directory& b);

}  // namespace tiller::relay
