// Brings an endpoint connection to the options and the prepared statement that
// its next user expects.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "Relay/relay_state.h"

namespace tiller::relay {

struct SetupStep {
  Step step = Step::kNone;
  Statement statement;
};

// Name under which a statement is prepared on connections. Names of sessions
// collide; kind and shape make one that all sessions can share.
std::string SharedName(const PreparedStatement& prepared);

// The next statement that has to be sent before the user's, if any: DISCARD, an
// option, or the preparation of `execute`, which is null unless the user's
// statement executes it.
std::optional<SetupStep> NextSetupStep(
    const Connection& connection,
    const std::map<std::string, std::string>& options,
    const PreparedStatement* execute);

// Notes that the endpoint acknowledged `step`, which sent connection->sent.
void SetupDone(Connection* connection, Step step);

}  // namespace tiller::relay
