// Checks answers that arrive on a connection against its statement in progress.
#pragma once

#include <string>

#include "Relay/relay_messages.h"
#include "Relay/relay_state.h"

namespace tiller::relay {

// Classifies the answer and records it in the connection's history. A shared
// pool checks what its endpoints answer and answers each statement once, so its
// refusals and acknowledgements are confirmed. `endpoint_repeats`: see
// EndpointHealth::RepeatsAnswers().
AnswerMatch MatchAnswer(Connection* connection, const StatementDone& event,
                        bool endpoint_repeats);

// Logs an answer that does not belong to the statement in progress, or may not.
// `request` is the id of the request in progress, or empty.
void LogAnswerMismatch(const Connection& connection, AnswerMatch match,
                       const StatementResult& answer,
                       const std::string& request);

// True if the connection should not serve another statement; see
// AnswerHistory::HasRefusal() and IsFull().
bool MustReplace(const Connection& connection);

}  // namespace tiller::relay
