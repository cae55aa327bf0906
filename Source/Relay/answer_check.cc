// Implementation of the answer check.
#include "Relay/answer_check.h"

#include "Common/log.h"
#include "Common/names.h"

namespace tiller::relay {
namespace {

using Kind = ExpectedAnswer::Kind;

Kind KindOf(const Connection& connection) {
  if (connection.step == Step::kNone) return Kind::kNone;
  const auto verb = connection.sent.verb;
  if (IsAdministrative(verb)) return Kind::kStatus;
  switch (verb) {
    case Verb::kRead:
    case Verb::kWrite:
    case Verb::kExecute:
    case Verb::kCommit:
      return Kind::kReceipt;
    default:
      return Kind::kAcknowledgement;
  }
}

TxState StateAfter(const Connection& connection) {
  switch (connection.sent.verb) {
    case Verb::kBegin:
    case Verb::kBeginRead:
      return TxState::kOpen;
    case Verb::kCommit:
    case Verb::kRollback:
      return TxState::kIdle;
    default:
      return connection.in_transaction ? TxState::kOpen : TxState::kIdle;
  }
}

// True if later statements would run with other values or in another
// transaction if the endpoint had refused the statement. A prepared name that
// is missing is refused when it is executed.
bool ChangesState(const Connection& connection) {
  switch (connection.sent.verb) {
    case Verb::kSetOption:
    case Verb::kDiscard:
    case Verb::kBegin:
    case Verb::kBeginRead:
    case Verb::kRollback:
      return true;
    default:
      return false;
  }
}

}  // namespace

AnswerMatch MatchAnswer(Connection* connection, const StatementDone& event,
                        bool endpoint_repeats) {
  if (event.unsent) return AnswerMatch::kConfirmed;
  const auto verb = connection->sent.verb;
  const ExpectedAnswer expected{
      KindOf(*connection),    StateAfter(*connection),
      connection->sent_after, event.early,
      endpoint_repeats,       verb != Verb::kWrite && verb != Verb::kCommit};
  const auto match = connection->answers.Match(expected, event.result);
  const bool doubtful =
      match == AnswerMatch::kUnconfirmed || match == AnswerMatch::kDisputed;
  if (doubtful && !connection->pool_host_id.empty()) {
    return AnswerMatch::kConfirmed;
  }
  if (match == AnswerMatch::kConfirmed) connection->setup_unconfirmed = false;
  if (match == AnswerMatch::kUnconfirmed && ChangesState(*connection)) {
    connection->setup_unconfirmed = true;
  }
  // On a quiet endpoint most acknowledgements equal earlier ones, so they are
  // doubted only if it is known to answer twice. A promotion may be decided on
  // a status.
  if (match == AnswerMatch::kUnconfirmed && !endpoint_repeats &&
      expected.kind != Kind::kStatus) {
    return AnswerMatch::kConfirmed;
  }
  return match;
}

void LogAnswerMismatch(const Connection& connection, AnswerMatch match,
                       const StatementResult& answer,
                       const std::string& request) {
  log::Event(
      log::Channel::kEndpoint, log::Level::kInfo, "answer_mismatch",
      {{"match", std::string(NameOf(kAnswerMatchNames, match))},
       {"endpoint", connection.endpoint},
       {"request", request},
       {"verb", connection.step == Step::kNone
                    ? ""
                    : std::string(NameOf(kVerbNames, connection.sent.verb))},
       {"code", std::string(NameOf(kRefusalNames, answer.refusal))},
       {"receipt", answer.Ok() ? answer.text : ""},
       {"state", std::string(NameOf(kTxStateNames, answer.state))},
       {"position", answer.position ? TextOf(*answer.position) : ""}});
}

bool MustReplace(const Connection& connection) {
  return connection.answers.IsFull() ||
         (connection.pool_host_id.empty() && connection.answers.HasRefusal());
}

}  // namespace tiller::relay
