// Sessions: opening and closing, statements that the relay answers itself,
// admission of operations, and transactions.
#include <algorithm>
#include <utility>

#include "Common/crypto.h"
#include "Common/log.h"
#include "Common/names.h"
#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

// A request may wait this share of its target latency, counted from its
// arrival, before it is refused as busy. This includes the wait for a token.
constexpr double kWaitShare = 0.5;
// Borrowing a token takes a message exchange between hosts, and several if the
// first hosts have none or do not answer. A longer wait would only delay the
// caller's next attempt.
constexpr Milliseconds kMaxTokenWait{100};
// The same statement within this time after a refusal counts as a retry. Longer
// than any retry delay that a refusal names.
constexpr Milliseconds kRetryWindow{1'100};
// Share of the target latency that is reserved for serving an operation after
// its admission.
constexpr double kServiceTimeShare = 0.25;
// While a primary is being replaced, a request waits this share of its
// statement timeout: long enough for a promotion, short enough for the caller
// to retry.
constexpr double kFailoverWaitShare = 0.45;

// True if the refusal guarantees that the attempt had no effect and invites the
// caller to retry.
bool GuaranteesNoEffect(Refusal refusal) {
  switch (refusal) {
    case Refusal::kBusy:
    case Refusal::kAborted:
    case Refusal::kLagging:
    case Refusal::kReadOnly:
    case Refusal::kMisrouted:
    case Refusal::kTooMany:
      return true;
    default:
      return false;
  }
}

StatementResult Refused(Refusal refusal, std::string text, TxState state) {
  StatementResult result;
  result.refusal = refusal;
  result.text = std::move(text);
  result.state = state;
  return result;
}

}  // namespace

void RelayCore::On(const SessionOpened& event) {
  const auto reject = [&](Refusal refusal, const std::string& reason) {
    m_counters->Add("sessions_refused_" +
                    std::string(NameOf(kRefusalNames, refusal)));
    log::Event(log::Channel::kTraffic, log::Level::kInfo, "session_refused",
               {{"session", std::to_string(event.session)},
                {"database", event.database},
                {"reason", reason}});
    m_actions.push_back(RejectSession{event.session, refusal, reason});
  };
  if (!m_directory) {
    // The host has just started; the directory arrives within milliseconds.
    m_deferred_sessions.push_back(event);
    return;
  }
  const auto route = m_directory->routes.find(event.database);
  if (route == m_directory->routes.end()) {
    return reject(Refusal::kNoDatabase, "no such database");
  }
  const auto key = m_directory->keys.find(event.key);
  const bool known = key != m_directory->keys.end();
  if (!known && !route->second.open) {
    return reject(Refusal::kNoAuth, "unknown key");
  }
  auto& session =
      m_sessions.try_emplace(event.session, &m_session_memory).first->second;
  session.id = event.session;
  session.database = event.database;
  session.key = event.key;
  session.workspace = known ? key->second : WorkspaceId(kNoWorkspace);
  session.route = route->second;
  session.opened = Now();
  session.last_active = Now();
  m_counters->Add("sessions_opened");
  m_actions.push_back(AcceptSession{event.session, session.workspace});
}

void RelayCore::On(const StatementReceived& event) {
  auto* session = FindSession(event.session);
  if (session == nullptr) return;
  session->last_active = Now();
  if (session->request) {
    // The protocol allows only one outstanding statement per session.
    m_counters->Add("protocol_overlapping_statement");
    m_actions.push_back(CloseSession{session->id});
    RemoveSession(session);
    return;
  }
  switch (event.statement.verb) {
    case Verb::kSetOption:
    case Verb::kPrepareRead:
    case Verb::kPrepareWrite:
    case Verb::kDeallocate:
      if (session->state != TxState::kFailed) {
        return HandleLocal(session, event);
      }
      break;
    default:
      break;
  }
  switch (session->state) {
    case TxState::kIdle:
      return StartOperation(session, event);
    case TxState::kOpen:
      return HandleInTransaction(session, event);
    case TxState::kFailed:
      return HandleFailedTransaction(session, event);
  }
}

// Options and prepared statements are stored in the session. A connection is
// set up with them before it runs the session's next statement.
void RelayCore::HandleLocal(Session* session, const StatementReceived& event) {
  session->request.emplace();
  session->request->id = event.request_id;
  const auto& statement = event.statement;
  auto limit = ValueLimit::kNone;
  switch (statement.verb) {
    case Verb::kSetOption:
      limit = session->values.SetOption(statement.name, statement.argument);
      break;
    case Verb::kPrepareRead:
    case Verb::kPrepareWrite:
      limit = session->values.Prepare(statement.name,
                                      statement.verb == Verb::kPrepareWrite,
                                      statement.argument);
      break;
    default:
      if (!session->values.Deallocate(statement.name)) {
        return Refuse(session, Refusal::kNoStatement, "no such name");
      }
      break;
  }
  if (limit == ValueLimit::kNone) return AnswerLocally(session);
  const std::string limit_name(NameOf(kValueLimitNames, limit));
  m_counters->Add("session_values_refused_" + limit_name);
  Refuse(session, Refusal::kTooLarge, "over the limit: " + limit_name);
}

void RelayCore::StartOperation(Session* session,
                               const StatementReceived& event) {
  StartRequest(session, event);
  const auto verb = event.statement.verb;
  if (verb == Verb::kCommit || verb == Verb::kRollback ||
      verb == Verb::kInvalid) {
    return Refuse(session, Refusal::kMalformed, "not in a transaction");
  }
  const auto refusal = CheckRoute(session);
  if (refusal != Refusal::kNone) {
    return Refuse(session, refusal, "no longer allowed");
  }
  const auto directory = m_directory;
  session->route = directory->routes.at(session->database);
  auto& request = *session->request;
  request.deadline = request.arrived + session->route.statement_timeout;
  if (ExitsBeforeAnswer(request)) {
    return Refuse(session, Refusal::kBusy, "host is stopping, use another one");
  }
  if (verb == Verb::kExecute &&
      session->values.Prepared(event.statement.name) == nullptr) {
    return Refuse(session, Refusal::kNoStatement, "no such name");
  }
  DetectRetry(session);
  // Before it takes a token that its retry will need.
  if (LacksPrimary(*session)) return RefuseWithoutPrimary(session);
  if (RefuseIfOverloaded(session)) return;
  m_retry_budget.AddCredit();
  if (TryTakeToken(session)) return OnOperationAdmitted(session);
  if (IsLate(*session)) {
    m_counters->Add("refused_late_over_rate");
    return Refuse(
        session, Refusal::kBusy,
        "rate exceeded and too late, retry after " +
            std::to_string(m_tokens.TokenInterval(session->workspace).count()) +
            " ms");
  }
  request.phase = Phase::kWaitForToken;
  request.phase_end =
      request.arrived +
      std::min<Duration>(kMaxTokenWait, session->route.target_latency / 4);
  RequestTokens(session->workspace);
}

// Requests tokens from other hosts for the requests that wait here.
void RelayCore::RequestTokens(const WorkspaceId& workspace) {
  const auto waiting = std::count_if(
      m_sessions.begin(), m_sessions.end(), [&](const auto& item) {
        const auto& session = item.second;
        return session.workspace == workspace && session.request &&
               session.request->phase == Phase::kWaitForToken;
      });
  if (waiting == 0) return;
  m_tokens.RequestFromPeers(workspace, static_cast<std::size_t>(waiting),
                            Now());
  TakeShareMessages();
}

void RelayCore::StartRequest(Session* session, const StatementReceived& event) {
  session->request.emplace();
  auto& request = *session->request;
  request.id = event.request_id;
  request.statement = event.statement;
  request.arrived = Now();
  request.deadline = request.arrived + session->route.statement_timeout;
}

Refusal RelayCore::CheckRoute(Session* session) const {
  const auto route = m_directory->routes.find(session->database);
  if (route == m_directory->routes.end()) return Refusal::kNoDatabase;
  const auto key = m_directory->keys.find(session->key);
  const bool known = key != m_directory->keys.end();
  if (!known && !route->second.open) return Refusal::kNoAuth;
  session->workspace = known ? key->second : WorkspaceId(kNoWorkspace);
  return Refusal::kNone;
}

// A changed route applies from the next transaction, a withdrawn or moved key
// at once.
bool RelayCore::KeyHolds(const Session& session) const {
  if (session.workspace == kNoWorkspace) return true;
  const auto key = m_directory->keys.find(session.key);
  return key != m_directory->keys.end() && key->second == session.workspace;
}

void RelayCore::DetectRetry(Session* session) {
  auto& operation = session->operation;
  const auto& request = *session->request;
  const auto text_hash = StableHash(request.statement.text);
  const bool is_retry =
      operation.refused && Now() - *operation.refused <= kRetryWindow &&
      Now() - operation.first_arrived <= session->route.statement_timeout &&
      operation.text_hash == text_hash;
  if (!is_retry) {
    operation.text_hash = text_hash;
    operation.first_arrived = request.arrived;
  }
  operation.refused.reset();
}

bool RelayCore::IsLate(const Session& session) const {
  const auto service_time = std::chrono::duration_cast<Duration>(
      session.route.target_latency * kServiceTimeShare);
  return Now() + service_time >
         session.operation.first_arrived + session.route.target_latency;
}

// If a workspace exceeds its rate, not all its operations can be served. Tokens
// then go to operations that can still be on time; late operations only get
// surplus tokens.
bool RelayCore::TryTakeToken(Session* session) {
  if (m_directory->workspaces.count(session->workspace) == 0) return true;
  return m_tokens.TrySpend(
      session->workspace, Now(),
      IsLate(*session) ? limits::TokenUse::kSurplus : limits::TokenUse::kAny);
}

void RelayCore::OnOperationAdmitted(Session* session) {
  auto& request = *session->request;
  const auto verb = request.statement.verb;
  m_counters->Add("operations_admitted");
  if (verb == Verb::kBegin || verb == Verb::kBeginRead) {
    // BEGIN is not forwarded until the transaction's first statement arrives.
    session->state = TxState::kOpen;
    session->tx_read_only = verb == Verb::kBeginRead;
    session->tx_wrote = false;
    session->tx_answered = 0;
    session->tx_lost = false;
    session->tx_arrived = request.arrived;
    return AnswerLocally(session);
  }
  request.phase = Phase::kWaitForConnection;
  const bool no_primary =
      NeedsPrimary(*session) && !PrimaryUsable(session->route.group);
  if (m_cut_off && !Dispatch(session)) {
    if (session->request->pending_connection == 0) {
      return RefuseWithoutPrimary(session);
    }
  }
  if (!session->request || request.phase != Phase::kWaitForConnection) return;
  const Duration wait =
      no_primary ? std::chrono::duration_cast<Duration>(
                       session->route.statement_timeout * kFailoverWaitShare)
                 : std::chrono::duration_cast<Duration>(
                       session->route.target_latency * kWaitShare);
  request.phase_end = request.arrived + wait;
  if (!m_cut_off && !Dispatch(session)) m_counters->Add("requests_queued");
}

void RelayCore::HandleInTransaction(Session* session,
                                    const StatementReceived& event) {
  StartRequest(session, event);
  auto& request = *session->request;
  const auto verb = event.statement.verb;
  if (verb == Verb::kRollback) {
    EndTransaction(session, TxState::kIdle);
    return AnswerLocally(session);
  }
  if (session->tx_lost) {
    return RefuseInTransaction(session, Refusal::kAborted,
                               "transaction was rolled back");
  }
  if (!KeyHolds(*session)) {
    return RefuseInTransaction(session, Refusal::kNoAuth, "key was withdrawn");
  }
  if (ExitsBeforeAnswer(request)) {
    return RefuseInTransaction(session, Refusal::kAborted, "host is stopping");
  }
  if (verb == Verb::kBegin || verb == Verb::kBeginRead ||
      verb == Verb::kInvalid) {
    EndTransaction(session, TxState::kFailed);
    return Refuse(session, Refusal::kMalformed, "not allowed here");
  }
  if (verb == Verb::kExecute &&
      session->values.Prepared(event.statement.name) == nullptr) {
    EndTransaction(session, TxState::kFailed);
    return Refuse(session, Refusal::kNoStatement, "no such name");
  }
  request.phase = Phase::kWaitForConnection;
  request.phase_end =
      request.arrived + std::chrono::duration_cast<Duration>(
                            session->route.target_latency * kWaitShare);
  if (LacksPrimary(*session)) return RefuseWithoutPrimary(session);
  Dispatch(session);
}

// Rolls the transaction back and refuses its statement, which was not sent.
void RelayCore::RefuseInTransaction(Session* session, Refusal refusal,
                                    const std::string& reason) {
  const bool commit = session->request->statement.verb == Verb::kCommit;
  EndTransaction(session, commit ? TxState::kIdle : TxState::kFailed);
  Refuse(session, refusal, reason);
}

void RelayCore::HandleFailedTransaction(Session* session,
                                        const StatementReceived& event) {
  StartRequest(session, event);
  if (event.statement.verb == Verb::kRollback) {
    EndTransaction(session, TxState::kIdle);
    return AnswerLocally(session);
  }
  if (event.statement.verb == Verb::kCommit) {
    EndTransaction(session, TxState::kIdle);
    return Refuse(session, Refusal::kAborted, "transaction had failed");
  }
  Refuse(session, Refusal::kMalformed, "transaction has failed");
}

// Releases the pinned connection, which is rolled back before it is reused.
void RelayCore::EndTransaction(Session* session, TxState state) {
  session->state = state;
  session->tx_lost = false;
  const auto pinned = std::exchange(session->pinned, 0);
  if (pinned == 0) return;
  auto* connection = FindConnection(pinned);
  if (connection != nullptr) Release(connection);
}

void RelayCore::AnswerLocally(Session* session) {
  StatementResult result;
  result.text = "-";
  result.state = session->state;
  FinishRequest(session, std::move(result));
}

void RelayCore::Refuse(Session* session, Refusal refusal,
                       const std::string& reason) {
  const auto& request = *session->request;
  if (GuaranteesNoEffect(refusal)) session->operation.refused = Now();
  m_counters->Add("refused_" + std::string(NameOf(kRefusalNames, refusal)));
  log::Event(log::Channel::kTraffic, log::Level::kInfo, "request_refused",
             {{"request", request.id},
              {"workspace", session->workspace},
              {"route", session->route.name},
              {"verb", std::string(NameOf(kVerbNames, request.statement.verb))},
              {"code", std::string(NameOf(kRefusalNames, refusal))},
              {"reason", reason},
              {"sent", request.sent ? "yes" : "no"},
              {"attempts", std::to_string(request.attempts)},
              {"age_ms", log::MillisecondsText(Now() - request.arrived)},
              {"operation_age_ms",
               log::MillisecondsText(Now() - session->operation.first_arrived)},
              {"directory",
               m_directory ? std::to_string(m_directory->version) : "none"}});
  FinishRequest(session, Refused(refusal, reason, session->state));
}

void RelayCore::FinishRequest(Session* session, StatementResult result) {
  session->request.reset();
  session->last_active = Now();
  m_actions.push_back(Reply{session->id, std::move(result)});
}

void RelayCore::On(const SessionClosed& event) {
  auto* session = FindSession(event.session);
  if (session != nullptr) RemoveSession(session);
  std::erase_if(m_deferred_sessions, [&](const SessionOpened& opened) {
    return opened.session == event.session;
  });
}

// Removes a session whose caller is gone or is being disconnected. A statement
// in progress is left to finish, since its connection can be reused afterwards;
// nothing is committed for the session.
void RelayCore::RemoveSession(Session* session) {
  for (auto& [id, connection] : m_connections) {
    if (connection.session_id == session->id) connection.session_id = 0;
  }
  const auto pinned = std::exchange(session->pinned, 0);
  m_sessions.erase(session->id);
  auto* connection = FindConnection(pinned);
  if (connection != nullptr && connection->state == ConnectionState::kPinned) {
    Release(connection);
  }
}

}  // namespace tiller::relay
