// The shared pool's connections to endpoints: which session gets which one, and
// the steps that run on it.
#include <algorithm>
#include <utility>

#include "Balance/dispatch_order.h"
#include "Common/log.h"
#include "Common/names.h"
#include "Relay/answer_check.h"
#include "Relay/connection_setup.h"
#include "Relay/connection_table.h"
#include "Relay/shared_pool.h"

namespace tiller::relay {
namespace {

constexpr Milliseconds kSetupStepTimeout{300};
// Opening a connection includes a handshake in one of the endpoint's slots.
constexpr Milliseconds kOpenTimeout{700};
// Hosts time out a statement earlier than this and close their session.
constexpr Milliseconds kStatementTimeout{3'000};
// Fraction of an endpoint's connections that one host may hold, so that
// connections remain for workspaces that another host serves.
constexpr double kMaxFractionPerHost = 0.5;
// Idle connections above this fraction of the host's even share are closed
// after kIdleTimeout.
constexpr double kIdleFraction = 0.5;
constexpr Milliseconds kIdleTimeout{200};

}  // namespace

Connection* SharedPool::FindConnection(ConnectionId id) {
  const auto it = m_connections.find(id);
  return it == m_connections.end() ? nullptr : &it->second;
}

void SharedPool::AssignConnection(PoolSession* session) {
  const auto* endpoint = FindEndpoint(session->endpoint);
  if (endpoint == nullptr) {
    return Refuse(session, Refusal::kMisrouted, "endpoint is gone");
  }
  const bool administrative =
      IsAdministrative(session->pending->statement.verb);
  if (!administrative && IsSilentFor(*session)) {
    return Refuse(session, Refusal::kAborted, "endpoint is silent");
  }
  auto* connection =
      FindIdle(&m_connections, session->endpoint, session->workspace);
  if (connection == nullptr && administrative) {
    connection = FindIdleOfAny(&m_connections, session->endpoint);
    if (connection != nullptr) m_counters->Add("pool_admin_borrowed");
  }
  if (connection == nullptr) {
    if (TryOpenConnection(*session, *endpoint) || !administrative) return;
    const bool holds_one = std::any_of(
        m_connections.begin(), m_connections.end(), [&](const auto& item) {
          return item.second.endpoint == session->endpoint;
        });
    if (holds_one) return;
    m_counters->Add("pool_admin_refused_none_held");
    return Refuse(session, Refusal::kBusy, "no connection");
  }
  connection->state = ConnectionState::kBusy;
  connection->session_id = session->id;
  session->connection = connection->id;
  session->assigned = Now();
  SendNextStep(connection, session);
}

std::size_t SharedPool::MaxPerHost(const Endpoint& endpoint) const {
  const auto group = m_directory->groups.find(endpoint.group);
  if (group == m_directory->groups.end()) return 0;
  const auto max_per_host = static_cast<std::size_t>(
      static_cast<double>(group->second.max_connections) * kMaxFractionPerHost);
  return std::max<std::size_t>(max_per_host, 1);
}

// Opens a connection for the session's workspace and returns true, unless as
// many are already being opened as sessions wait, the endpoint has refused one
// recently, or this host is at its limit and has no idle connection to evict.
bool SharedPool::TryOpenConnection(const PoolSession& session,
                                   const Endpoint& endpoint) {
  if (m_load_management) return OpenByDemand(session, endpoint);
  std::size_t held = 0;
  std::size_t opening = 0;
  for (const auto& [id, connection] : m_connections) {
    if (connection.endpoint != endpoint.id) continue;
    ++held;
    opening += connection.state == ConnectionState::kOpening &&
                       connection.workspace == session.workspace
                   ? 1
                   : 0;
  }
  const auto waiting = static_cast<std::size_t>(std::count_if(
      m_sessions.begin(), m_sessions.end(), [&](const auto& item) {
        const auto& other = item.second;
        return other.pending && other.connection == 0 &&
               other.endpoint == endpoint.id &&
               other.workspace == session.workspace;
      }));
  auto& health = m_health[endpoint.id];
  if (opening >= waiting || health.RefusedRecently(Now())) return false;
  if (held >= MaxPerHost(endpoint) && !EvictIdle(endpoint.id)) return false;
  StartOpening(session, endpoint);
  return true;
}

void SharedPool::StartOpening(const PoolSession& session,
                              const Endpoint& endpoint) {
  const auto id = m_next_connection++;
  auto& connection = m_connections[id];
  connection.id = id;
  connection.endpoint = endpoint.id;
  connection.group = endpoint.group;
  connection.workspace = session.workspace;
  connection.step_sent = Now();
  connection.step_deadline = Now() + kOpenTimeout;
  m_counters->Add("pool_connections_opened");
  m_actions.push_back(OpenConnection{id, endpoint.id, endpoint.address,
                                     endpoint.group, session.workspace});
}

// Closes the connection that has been idle longest, to make room for another
// workspace's. Returns false if none is idle.
bool SharedPool::EvictIdle(const EndpointId& endpoint) {
  const auto oldest = LongestIdle(m_connections, endpoint);
  if (!oldest) return false;
  m_counters->Add("pool_connections_evicted");
  CloseAndRemove(*oldest);
  return true;
}

void SharedPool::DispatchWaiting(const EndpointId& endpoint) {
  std::vector<balance::WaitingRequest> requests;
  std::vector<std::pair<Instant, SessionId>> administrative;
  for (const auto& [id, session] : m_sessions) {
    if (!session.pending || session.connection != 0) continue;
    if (session.endpoint != endpoint) continue;
    if (IsAdministrative(session.pending->statement.verb)) {
      administrative.emplace_back(session.arrived, id);
      continue;
    }
    const auto* schedule = ScheduleOf(session);
    requests.push_back({id, session.workspace,
                        schedule == nullptr ? 0 : schedule->priority,
                        DueTime(session), IsLate(session)});
  }
  std::sort(administrative.begin(), administrative.end());
  for (const auto& [arrived, id] : administrative) {
    AssignConnection(FindSession(id));
  }
  if (requests.empty()) return;
  std::map<WorkspaceId, std::size_t> in_service;
  for (const auto& [id, connection] : m_connections) {
    if (connection.endpoint != endpoint) continue;
    if (connection.state == ConnectionState::kIdle) continue;
    ++in_service[connection.workspace];
  }
  for (const auto id :
       balance::DispatchOrder(std::move(requests), in_service)) {
    auto* session = FindSession(id);
    if (session == nullptr || !session->pending || session->connection != 0) {
      continue;
    }
    AssignConnection(session);
  }
}

void SharedPool::SendNextStep(Connection* connection, PoolSession* session) {
  const auto& event = *session->pending;
  const auto verb = event.statement.verb;
  connection->state = ConnectionState::kBusy;
  const auto* execute = verb == Verb::kExecute
                            ? session->values.Prepared(event.statement.name)
                            : nullptr;
  if (!IsAdministrative(verb)) {
    const bool verify = m_health[connection->endpoint].RepeatsAnswers(Now());
    if (auto setup = NextSetupStep(*connection, session->values.Options(),
                                   execute, verify)) {
      SendStatement action;
      action.statement = std::move(setup->statement);
      return Send(connection, setup->step, std::move(action),
                  kSetupStepTimeout);
    }
    if (verify && connection->setup_unconfirmed) {
      return GiveUpConnection(connection, "setup is not confirmed");
    }
  }
  SendStatement action;
  action.id = event.request_id;
  action.statement = event.statement;
  if (execute != nullptr) action.statement.name = execute->shared_name;
  action.after = event.after;
  action.term = event.term;
  Send(connection, Step::kUser, std::move(action), kStatementTimeout);
}

void SharedPool::Send(Connection* connection, Step step, SendStatement action,
                      Duration limit) {
  RecordSent(connection, step, action.statement);
  m_operations->RecordSent(connection, step, Now());
  connection->sent_after = action.after;
  connection->step_sent = Now();
  connection->step_deadline = Now() + limit;
  action.connection = connection->id;
  m_actions.push_back(std::move(action));
}

void SharedPool::On(const ConnectionOpened& event) {
  auto* connection = FindConnection(event.connection);
  if (connection == nullptr) return;
  m_health[connection->endpoint].RecordAnswer(Now());
  if (m_load_management) RecordConnectionAccepted(*connection);
  Release(connection);
}

void SharedPool::On(const ConnectionRefused& event) {
  auto* connection = FindConnection(event.connection);
  if (connection == nullptr) return;
  const auto endpoint = connection->endpoint;
  const auto sent = connection->step_sent;
  m_connections.erase(event.connection);
  m_counters->Add("pool_connections_refused_" +
                  std::string(NameOf(kRefusalNames, event.refusal)));
  log::Event(log::Channel::kEndpoint, log::Level::kInfo,
             "pool_connection_refused",
             {{"endpoint", endpoint},
              {"code", std::string(NameOf(kRefusalNames, event.refusal))},
              {"detail", event.detail}});
  m_health[endpoint].RecordConnectionRefused(event.refusal, Now(), sent);
  if (m_load_management) RecordConnectionRefused(endpoint, event.refusal);
  DispatchWaiting(endpoint);
}

void SharedPool::On(const ConnectionLost& event) {
  HandleConnectionLoss(event.connection, false, event.detail);
}

void SharedPool::HandleConnectionLoss(ConnectionId id, bool silent,
                                      const std::string& reason) {
  auto* found = FindConnection(id);
  if (found == nullptr) return;
  m_operations->RecordClosed(found);
  const Connection connection = *found;
  m_connections.erase(id);
  if (silent) m_actions.push_back(CloseConnection{id});
  m_counters->Add(silent ? "pool_connections_silent" : "pool_connections_lost");
  log::Event(log::Channel::kEndpoint, log::Level::kInfo, "pool_connection_lost",
             {{"endpoint", connection.endpoint},
              {"silent", silent ? "yes" : "no"},
              {"detail", reason}});
  if (connection.state != ConnectionState::kIdle || silent) {
    m_health[connection.endpoint].RecordFailure(Now(), connection.step_sent);
  }
  if (connection.session_id != 0) EndSession(connection.session_id);
  DispatchWaiting(connection.endpoint);
}

void SharedPool::CloseAndRemove(ConnectionId id) {
  if (auto* connection = FindConnection(id)) {
    m_operations->RecordClosed(connection);
  }
  m_connections.erase(id);
  m_actions.push_back(CloseConnection{id});
}

void SharedPool::On(const StatementDone& event) {
  auto* connection = FindConnection(event.connection);
  if (connection == nullptr) return;
  const auto match = MatchAnswer(
      connection, event, m_health[connection->endpoint].RepeatsAnswers(Now()));
  switch (match) {
    case AnswerMatch::kConfirmed:
    case AnswerMatch::kUnconfirmed:
      break;
    case AnswerMatch::kRepeated:
      m_health[connection->endpoint].RecordRepeatedAnswer(Now());
      return LogMismatch(*connection, match, event.result);
    case AnswerMatch::kInvalid:
      m_health[connection->endpoint].RecordRepeatedAnswer(Now());
      [[fallthrough]];
    case AnswerMatch::kDisputed:
      LogMismatch(*connection, match, event.result);
      return GiveUpConnection(connection, "answer of another statement");
  }
  m_operations->RecordAnswer(connection, event.result, !event.unsent);
  if (event.unsent) {
    // Without its setup, the statement cannot be sent either.
    auto refused = event.result;
    if (connection->in_transaction) refused.state = TxState::kFailed;
    return OnUserResult(connection, refused, true);
  }
  m_health[connection->endpoint].RecordAnswer(Now());
  switch (connection->step) {
    case Step::kUser:
      return OnUserResult(connection, event.result,
                          match == AnswerMatch::kConfirmed);
    case Step::kRollback:
      if (!event.result.Ok()) {
        // The transaction may still be open.
        const auto endpoint = connection->endpoint;
        CloseAndRemove(event.connection);
        return DispatchWaiting(endpoint);
      }
      connection->in_transaction = false;
      connection->dirty |=
          std::exchange(connection->options_in_transaction, false);
      return Release(connection);
    case Step::kProbe:
      return Release(connection);
    default:
      break;
  }
  auto* session = FindSession(connection->session_id);
  if (!event.result.Ok()) {
    // The state of the connection is unknown after a failed setup step.
    return GiveUpConnection(connection, "endpoint refused a step");
  }
  if (connection->step == Step::kVerify && match != AnswerMatch::kConfirmed) {
    return GiveUpConnection(connection, "setup is not confirmed");
  }
  RecordSetupStep(connection, connection->step);
  if (session == nullptr || !session->pending) return Release(connection);
  SendNextStep(connection, session);
}

void SharedPool::LogMismatch(const Connection& connection, AnswerMatch match,
                             const StatementResult& result) {
  const auto* session = FindSession(connection.session_id);
  m_counters->Add("pool_answers_" +
                  std::string(NameOf(kAnswerMatchNames, match)));
  LogAnswerMismatch(connection, match, result,
                    session != nullptr && session->pending
                        ? session->pending->request_id
                        : "");
}

// Closes the connection, which rolls an open transaction back. The session of
// the host that sent the statement goes on.
void SharedPool::GiveUpConnection(Connection* connection,
                                  const std::string& reason) {
  const auto endpoint = connection->endpoint;
  const auto session_id = connection->session_id;
  const bool sent = connection->step == Step::kUser;
  CloseAndRemove(connection->id);
  auto* session = FindSession(session_id);
  if (session != nullptr && session->pending) {
    const bool in_transaction = session->state != TxState::kIdle;
    session->connection = 0;
    session->state = TxState::kIdle;
    // Not kAborted, which the calling host takes for a silent endpoint.
    const auto unsent = in_transaction ? Refusal::kMisrouted : Refusal::kBusy;
    Refuse(session, sent ? Refusal::kInDoubt : unsent, reason);
  } else if (session != nullptr) {
    EndSession(session_id);
  }
  DispatchWaiting(endpoint);
}

void SharedPool::OnUserResult(Connection* connection,
                              const StatementResult& result, bool confirmed) {
  const auto verb = connection->sent.verb;
  if (verb == Verb::kWrite || verb == Verb::kCommit) {
    m_last_write_answer[connection->endpoint] = Now();
  }
  connection->in_transaction = result.state != TxState::kIdle;
  if (!connection->in_transaction) {
    // Whether options that were set inside a transaction persist depends on
    // how it ended.
    connection->dirty |=
        std::exchange(connection->options_in_transaction, false);
  }
  if (result.refusal == Refusal::kNoStatement) connection->dirty = true;
  auto* session = FindSession(connection->session_id);
  if (session == nullptr) return Release(connection);
  session->state = result.state;
  const auto id = session->id;
  const bool status = IsAdministrative(verb) && verb != Verb::kContinue;
  const bool begin = verb == Verb::kBegin || verb == Verb::kBeginRead;
  if (!confirmed &&
      (status ||
       (begin && m_health[connection->endpoint].RepeatsAnswers(Now())))) {
    // A new connection has a confirmed answer.
    const auto endpoint = connection->endpoint;
    CloseAndRemove(connection->id);
    session->connection = 0;
    session->state = TxState::kIdle;
    Refuse(session, Refusal::kBusy, "answer is not confirmed");
    return DispatchWaiting(endpoint);
  }
  auto answer = result;
  // Without a position it says nothing about the endpoint's present state.
  if (!confirmed) answer.position.reset();
  Answer(session, std::move(answer));
  if (connection->in_transaction) {
    connection->state = ConnectionState::kPinned;
    connection->step = Step::kNone;
    return;
  }
  Release(connection);
  if (m_draining) EndSession(id);
}

// Makes a connection idle; one with an open transaction is rolled back first.
void SharedPool::Release(Connection* connection) {
  if (auto* session = FindSession(connection->session_id)) {
    RecordOccupied(*session);
    session->connection = 0;
  }
  connection->session_id = 0;
  // An acknowledged ROLLBACK could be a repetition.
  const bool unsure_rollback =
      connection->in_transaction &&
      m_health[connection->endpoint].RepeatsAnswers(Now());
  if (MustReplace(*connection) || unsure_rollback) {
    const auto replaced_at = connection->endpoint;
    m_counters->Add("pool_connections_replaced");
    CloseAndRemove(connection->id);
    return DispatchWaiting(replaced_at);
  }
  if (connection->in_transaction && connection->step != Step::kRollback) {
    connection->state = ConnectionState::kBusy;
    SendStatement action;
    action.statement.verb = Verb::kRollback;
    return Send(connection, Step::kRollback, std::move(action),
                kSetupStepTimeout);
  }
  ForgetLargeOptions(connection);
  connection->step = Step::kNone;
  connection->state = ConnectionState::kIdle;
  connection->idle_since = Now();
  const auto endpoint = connection->endpoint;
  const auto id = connection->id;
  // What waits for the endpoint runs first, also if it is leaving.
  DispatchWaiting(endpoint);
  const auto* released = FindConnection(id);
  if (released == nullptr || released->state != ConnectionState::kIdle) return;
  const auto* listed = FindEndpoint(endpoint);
  if (listed == nullptr || (listed->leaving && !listed->primary)) {
    CloseAndRemove(id);
  }
}

void SharedPool::ExpireSteps() {
  for (const auto id : OverdueConnections(m_connections, Now())) {
    HandleConnectionLoss(id, true, "no answer in time");
  }
}

void SharedPool::TrimIdle() {
  if (m_load_management) return TrimByDemand();
  const auto& hosts = m_hosts_by_zone;
  std::map<EndpointId, std::size_t> kept;
  std::vector<ConnectionId> surplus;
  for (const auto* connection : IdleNewestFirst(m_connections)) {
    const auto* endpoint = FindEndpoint(connection->endpoint);
    std::size_t allowed = 1;
    if (endpoint != nullptr && hosts.count(endpoint->zone) > 0) {
      const auto& group = m_directory->groups.find(endpoint->group);
      const double limit =
          group == m_directory->groups.end()
              ? 0
              : static_cast<double>(group->second.max_connections);
      allowed = std::max<std::size_t>(
          1, static_cast<std::size_t>(
                 limit * kIdleFraction /
                 static_cast<double>(hosts.at(endpoint->zone))));
    }
    if (++kept[connection->endpoint] <= allowed) continue;
    if (Now() - connection->idle_since < kIdleTimeout) continue;
    surplus.push_back(connection->id);
  }
  for (const auto id : surplus) CloseAndRemove(id);
}

}  // namespace tiller::relay
