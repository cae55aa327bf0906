// Setup of an endpoint connection for the session that uses it next: sets the
// options and the prepared statement that the session expects.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Relay/relay_state.h"

namespace tiller::relay {

// A statement that sets up a connection, and the step that it belongs to.
struct SetupStep {
  Step step = Step::kNone;
  Statement statement;
};

// Returns the name under which a statement is prepared on endpoint connections.
// Different sessions may use one name for different statements, so the name is
// built from the kind (read or write) and the shape, and all sessions share it.
// A digest stands for the shape, which may hold blanks and be of any length.
std::string SharedStatementName(bool writes, std::string_view shape);

// Returns the next statement that must be sent before the caller's statement:
// DISCARD, an option, or the preparation of `execute`. DISCARD also comes
// before a statement is prepared on a connection that holds many, unless a
// transaction is open. Returns nothing if the setup is complete. `execute` is
// the prepared statement that the caller's statement executes, or null.
std::optional<SetupStep> NextSetupStep(
    const Connection& connection,
    const std::map<std::string, std::string>& options,
    const PreparedStatement* execute);

// Records the statement that is being sent for `step`.
void RecordSent(Connection* connection, Step step, const Statement& statement);

// Updates the connection after the endpoint acknowledged `step`, whose
// statement is connection->sent.
void RecordSetupStep(Connection* connection, Step step);

// Forgets large options of a connection that becomes idle. They are set again
// after a DISCARD.
void ForgetLargeOptions(Connection* connection);

}  // namespace tiller::relay
