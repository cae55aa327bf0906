// Connections to endpoints: opening, setup steps, release and loss.
#include <algorithm>
#include <utility>

#include "Balance/cap_division.h"
#include "Common/log.h"
#include "Common/names.h"
#include "Relay/answer_check.h"
#include "Relay/connection_path.h"
#include "Relay/connection_setup.h"
#include "Relay/connection_table.h"
#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

// Opening a connection includes a handshake in one of the endpoint's slots;
// under load the handshake waits for a free slot.
constexpr Milliseconds kOpenTimeout{700};
constexpr Milliseconds kRollbackTimeout{400};
// A host may hold up to share * kBorrowFactor + kBorrowExtra of an endpoint's
// connections while other hosts leave theirs unused.
constexpr std::size_t kBorrowFactor = 2;
constexpr std::size_t kBorrowExtra = 1;
// Idle connections above this fraction of the host's share are closed after
// kIdleTimeout. After a loss of power the endpoint counts the old connections
// for some more seconds; the part that is kept free lets the restarted host
// connect at once.
constexpr double kIdleFraction = 0.5;
constexpr Milliseconds kIdleTimeout{200};
// Longer than kIdleTimeout, because a connection through another host's pool
// costs file descriptors only.
constexpr Milliseconds kPooledIdleTimeout{2'000};
// How long nothing is sent to a primary that a shared pool reported as not
// answering. After that the pool is tried again.
constexpr Milliseconds kPrimaryHoldTime{100};

// The limit of a step whose statement may wait in a shared pool. The limit of a
// BEGIN includes the least wait already, and that of a write is the limit of
// its operation.
Duration WithPoolWait(Duration limit, Step step,
                      const balance::Schedule& schedule) {
  const Duration wait = balance::MaxWait(schedule);
  if (step == Step::kBegin) {
    return limit + std::max<Duration>(wait - balance::kMinWait, Duration{});
  }
  return std::min<Duration>(limit + wait,
                            std::max<Duration>(limit, schedule.until_limit));
}

}  // namespace

std::size_t RelayCore::ConnectionsAt(const EndpointId& endpoint) const {
  return static_cast<std::size_t>(std::count_if(
      m_connections.begin(), m_connections.end(), [&](const auto& item) {
        return item.second.endpoint == endpoint &&
               item.second.pool_host_id.empty();
      }));
}

bool RelayCore::IsPooled(const GroupId& group) const {
  const auto it = m_directory->groups.find(group);
  return it != m_directory->groups.end() &&
         UsesSharedPools(it->second.max_connections, m_seats);
}

void RelayCore::OnSilenceReported(const Connection& connection) {
  const auto* primary = PrimaryOf(connection.group);
  if (primary == nullptr || primary->id != connection.endpoint) return;
  m_groups[connection.group].held_until = Now() + kPrimaryHoldTime;
  m_counters->Add("primary_held");
}

std::size_t RelayCore::ConnectionShareAt(const Endpoint& endpoint) const {
  const auto group = m_directory->groups.find(endpoint.group);
  if (group == m_directory->groups.end()) return 0;
  const auto counted = m_seats.CountedSeats();
  const auto own_seat =
      m_seats.held.empty()
          ? counted.end()
          : std::find(counted.begin(), counted.end(), m_seats.held[0]);
  const auto rank = own_seat == counted.end() ? 0 : own_seat - counted.begin();
  return balance::HostShare(group->second.max_connections, counted.size(),
                            static_cast<std::size_t>(rank), endpoint.id);
}

// A host may use connections that other hosts leave unused at the moment. If
// that exceeds the endpoint's limit, the endpoint refuses the connection before
// any statement has run.
bool RelayCore::CanOpenConnection(const Endpoint& endpoint) const {
  if (IsPooled(endpoint.group)) {
    const auto pooled = std::count_if(
        m_connections.begin(), m_connections.end(), [&](const auto& item) {
          return item.second.endpoint == endpoint.id &&
                 !item.second.pool_host_id.empty();
        });
    return static_cast<std::size_t>(pooled) < kMaxPooledConnections;
  }
  const auto held = ConnectionsAt(endpoint.id);
  const auto share = ConnectionShareAt(endpoint);
  const auto health = m_health.find(endpoint.id);
  if (health != m_health.end()) {
    if (held >= share && health->second.AtConnectionLimit(Now())) return false;
    if (health->second.RefusedRecently(Now())) return false;
  }
  return held < share * kBorrowFactor + kBorrowExtra;
}

// Closes connections that have been idle for a while, so that other hosts, or
// this one after a restart, can connect to the endpoint.
void RelayCore::TrimIdle() {
  std::map<EndpointId, std::size_t> kept;
  std::vector<ConnectionId> surplus;
  for (const auto* connection : IdleNewestFirst(m_connections)) {
    if (!connection->pool_host_id.empty()) {
      if (Now() - connection->idle_since < kPooledIdleTimeout) continue;
      surplus.push_back(connection->id);
      continue;
    }
    const auto* endpoint = FindEndpoint(connection->endpoint);
    const auto allowed =
        endpoint == nullptr || IsPooled(endpoint->group)
            ? 0
            : std::max<std::size_t>(
                  1, static_cast<std::size_t>(
                         static_cast<double>(ConnectionShareAt(*endpoint)) *
                         kIdleFraction));
    if (++kept[connection->endpoint] <= allowed) continue;
    if (Now() - connection->idle_since < kIdleTimeout) continue;
    surplus.push_back(connection->id);
  }
  for (const auto id : surplus) {
    m_counters->Add("connections_trimmed");
    CloseAndRemove(id);
  }
}

Connection* RelayCore::Open(const Endpoint& endpoint,
                            const WorkspaceId& workspace) {
  return OpenThrough(
      endpoint, workspace,
      IsPooled(endpoint.group) ? PoolFor(endpoint, workspace) : std::nullopt);
}

Connection* RelayCore::OpenThrough(const Endpoint& endpoint,
                                   const WorkspaceId& workspace,
                                   const std::optional<PoolHost>& pool_host) {
  const auto id = m_next_connection++;
  auto& connection = m_connections[id];
  connection.id = id;
  connection.endpoint = endpoint.id;
  connection.group = endpoint.group;
  connection.workspace = workspace;
  connection.step_sent = Now();
  connection.step_deadline = Now() + kOpenTimeout;
  m_counters->Add("connections_opened");
  if (InOtherZone(endpoint.id)) m_zone_contact.RecordSent(Now());
  OpenConnection action{id, endpoint.id, endpoint.address, endpoint.group,
                        workspace};
  if (pool_host) {
    connection.pool_host_id = pool_host->host;
    connection.pool_zone = pool_host->zone;
    connection.pool_version = pool_host->version;
    connection.step_deadline = Now() + PoolAnswerTimeout(m_random);
    action.address = pool_host->address;
  }
  m_actions.push_back(std::move(action));
  return &connection;
}

// Closes the connection that has been idle longest, to make room for another
// workspace's. Returns false if none could be closed.
bool RelayCore::EvictIdle(const EndpointId& endpoint) {
  if (HealthOf(endpoint).AtConnectionLimit(Now())) return false;
  const auto oldest = LongestIdle(m_connections, endpoint);
  if (!oldest) return false;
  m_counters->Add("connections_evicted");
  CloseAndRemove(*oldest);
  return true;
}

void RelayCore::CloseAndRemove(ConnectionId id) {
  if (auto* connection = FindConnection(id)) {
    m_operations.RecordClosed(connection);
  }
  m_connections.erase(id);
  m_actions.push_back(CloseConnection{id});
}

void RelayCore::On(const ConnectionOpened& event) {
  auto* connection = FindConnection(event.connection);
  if (connection == nullptr) return;
  if (connection->pool_host_id.empty()) {
    HealthOf(connection->endpoint).RecordAnswer(Now());
    RecordContact(*connection, true);
  } else {
    RecordPoolAnswer(*connection);
    m_pools.EndAvoidance(connection->pool_host_id);
  }
  StatementResult opened;
  opened.position = event.position;
  RecordPosition(*connection, opened);
  Release(connection);
}

void RelayCore::On(const ConnectionRefused& event) {
  auto* connection = FindConnection(event.connection);
  if (connection == nullptr) return;
  auto& health = HealthOf(connection->endpoint);
  const auto group = connection->group;
  m_counters->Add("connections_refused_" +
                  std::string(NameOf(kRefusalNames, event.refusal)));
  log::Event(log::Channel::kEndpoint, log::Level::kInfo, "connection_refused",
             {{"endpoint", connection->endpoint},
              {"code", std::string(NameOf(kRefusalNames, event.refusal))},
              {"detail", event.detail},
              {"held", std::to_string(ConnectionsAt(connection->endpoint))}});
  if (!connection->pool_host_id.empty()) {
    if (event.refusal != Refusal::kNone) RecordPoolAnswer(*connection);
    AvoidPool(*connection, event.detail);
  } else {
    health.RecordConnectionRefused(event.refusal, Now(), connection->step_sent);
    if (event.refusal != Refusal::kNone) {
      RecordContact(*connection, true);
    }
  }
  m_connections.erase(event.connection);
  DispatchWaiting(group);
}

void RelayCore::On(const ConnectionLost& event) {
  HandleConnectionLoss(event.connection, LossCause::kClosed, event.detail);
}

void RelayCore::HandleConnectionLoss(ConnectionId id, LossCause cause,
                                     const std::string& reason,
                                     Refusal without_effect) {
  auto* found = FindConnection(id);
  if (found == nullptr) return;
  m_operations.RecordClosed(found);
  const Connection connection = *found;
  const bool silent = cause == LossCause::kSilent;
  m_connections.erase(id);
  if (cause != LossCause::kClosed) m_actions.push_back(CloseConnection{id});
  m_counters->Add(silent ? "connections_silent" : "connections_lost");
  log::Event(log::Channel::kEndpoint, log::Level::kInfo, "connection_lost",
             {{"endpoint", connection.endpoint},
              {"silent", silent ? "yes" : "no"},
              {"detail", reason}});
  const bool in_use = cause != LossCause::kAnswer &&
                      (connection.state != ConnectionState::kIdle || silent);
  const bool pooled = !connection.pool_host_id.empty();
  if (silent && pooled) {
    OnPoolStepOverdue(connection, reason);
  } else if (in_use && !pooled) {
    HealthOf(connection.endpoint).RecordFailure(Now(), connection.step_sent);
  }
  if (silent && !pooled) {
    // Whatever dropped the state of this connection may have dropped that of
    // the idle ones too.
    std::vector<ConnectionId> idle;
    for (const auto& [other_id, other] : m_connections) {
      if (other.endpoint != connection.endpoint) continue;
      if (other.state == ConnectionState::kIdle) idle.push_back(other_id);
    }
    if (HealthOf(connection.endpoint).Failures() > 1) {
      for (const auto other : idle) CloseAndRemove(other);
    }
  }
  if (connection.admin != 0) OnAdminLost(connection, cause);
  auto* session = FindSession(connection.session_id);
  if (session != nullptr && session->request &&
      session->request->connection == id) {
    session->request->excluded.insert(connection.endpoint);
    OnRequestLost(session, silent ? Refusal::kTimeout : Refusal::kInDoubt,
                  without_effect,
                  silent                        ? "no answer from endpoint"
                  : cause == LossCause::kAnswer ? reason
                                                : "connection lost");
  }
  for (auto& [other_session_id, other] : m_sessions) {
    if (other.pinned != id) continue;
    other.pinned = 0;
    other.tx_lost = true;
  }
  DispatchWaiting(connection.group);
}

void RelayCore::Send(Connection* connection, Step step, Statement statement,
                     Duration limit) {
  SendStatement action;
  action.connection = connection->id;
  const auto* session = FindSession(connection->session_id);
  if (session != nullptr && session->request) {
    const auto& request = *session->request;
    if (step == Step::kUser) action.id = request.id;
    const bool single_read = step == Step::kUser &&
                             !connection->in_transaction &&
                             !IsWrite(*session, request.statement);
    const bool begins_read =
        step == Step::kBegin && statement.verb == Verb::kBeginRead;
    if (single_read || begins_read) action.after = NeededPosition(*session);
    action.schedule = ScheduleFor(*connection, *session, step);
    if (action.schedule) limit = WithPoolWait(limit, step, *action.schedule);
  }
  RecordSent(connection, step, statement);
  m_operations.RecordSent(connection, step, Now());
  connection->sent_after = action.after;
  connection->step_sent = Now();
  connection->step_deadline = Now() + limit;
  connection->log_before = m_groups[connection->group].newest_position;
  if (InOtherZone(connection->endpoint)) m_zone_contact.RecordSent(Now());
  action.statement = std::move(statement);
  m_actions.push_back(std::move(action));
}

void RelayCore::On(const StatementDone& event) {
  auto* connection = FindConnection(event.connection);
  if (connection == nullptr) return;
  const bool repeats = connection->pool_host_id.empty() &&
                       HealthOf(connection->endpoint).RepeatsAnswers(Now());
  const auto match = MatchAnswer(connection, event, repeats);
  switch (match) {
    case AnswerMatch::kConfirmed:
    case AnswerMatch::kUnconfirmed:
      break;
    case AnswerMatch::kRepeated:
      if (connection->pool_host_id.empty()) {
        HealthOf(connection->endpoint).RecordRepeatedAnswer(Now());
      }
      return LogMismatch(*connection, match, event.result);
    case AnswerMatch::kDisputed: {
      RecordRefusal(*connection, event.result.refusal);
      LogMismatch(*connection, match, event.result);
      const bool busy = event.result.refusal == Refusal::kBusy;
      return HandleConnectionLoss(event.connection, LossCause::kAnswer,
                                  "refusal of another statement",
                                  busy ? Refusal::kBusy : Refusal::kAborted);
    }
    case AnswerMatch::kInvalid:
      LogMismatch(*connection, match, event.result);
      if (connection->pool_host_id.empty()) {
        HealthOf(connection->endpoint).RecordRepeatedAnswer(Now());
      }
      if (auto* session = FindSession(connection->session_id);
          session != nullptr && session->request) {
        session->request->may_run_alone = true;
      }
      return HandleConnectionLoss(event.connection, LossCause::kAnswer,
                                  "answer of another statement");
  }
  if (!event.unsent && !connection->pool_host_id.empty()) {
    RecordPoolAnswer(*connection);
    RecordLoad(*connection, event.result);
  }
  m_operations.RecordAnswer(connection, event.result, !event.unsent);
  if (!event.unsent && IsFromEndpoint(*connection, event.result)) {
    HealthOf(connection->endpoint).RecordAnswer(Now());
    RecordContact(*connection, match == AnswerMatch::kConfirmed);
  }
  RecordPosition(*connection, event.result);
  // Without its setup, the caller's statement cannot be sent either.
  if (event.unsent) return OnUserResult(connection, event.result);
  if (connection->step == Step::kUser) {
    HealthOf(connection->endpoint)
        .RecordResponseTime(Now() - connection->step_sent);
    if (m_settings.load_management) RecordResult(*connection, event.result);
    return OnUserResult(connection, event.result);
  }
  if (!event.result.Ok() && connection->step != Step::kAdmin &&
      connection->step != Step::kProbe) {
    return OnStepRefused(connection, event.result);
  }
  OnStepDone(connection, event.result, match == AnswerMatch::kConfirmed);
}

void RelayCore::LogMismatch(const Connection& connection, AnswerMatch match,
                            const StatementResult& result) {
  const auto* session = FindSession(connection.session_id);
  m_counters->Add("answers_" + std::string(NameOf(kAnswerMatchNames, match)));
  LogAnswerMismatch(
      connection, match, result,
      session != nullptr && session->request ? session->request->id : "");
}

// Records what a refusal says about the endpoint's load and lag, whichever
// statement it answers.
void RelayCore::RecordRefusal(const Connection& connection, Refusal refusal) {
  auto& health = HealthOf(connection.endpoint);
  if (refusal == Refusal::kBusy) health.RecordBusy(Now());
  if (refusal != Refusal::kLagging) return;
  const auto* session = FindSession(connection.session_id);
  const auto needed = session != nullptr && session->request
                          ? NeededPosition(*session)
                          : std::nullopt;
  const auto reached_at =
      needed ? m_groups[connection.group].watermarks.FirstSeen(*needed)
             : std::nullopt;
  health.RecordLag(reached_at ? Now() - *reached_at : Duration{});
}

// `confirmed`: the answer is no repetition of an earlier one, so it says
// something about the endpoint's present state.
void RelayCore::OnStepDone(Connection* connection,
                           const StatementResult& result, bool confirmed) {
  switch (connection->step) {
    case Step::kDiscard:
    case Step::kSetOption:
    case Step::kPrepare:
      RecordSetupStep(connection, connection->step);
      return connection->session_id == 0 ? Release(connection)
                                         : SendNextStep(connection);
    case Step::kVerify:
      if (!confirmed) {
        return HandleConnectionLoss(connection->id, LossCause::kAnswer,
                                    "setup is not confirmed");
      }
      return SendNextStep(connection);
    case Step::kBegin:
      connection->in_transaction = true;
      connection->plain_transaction = connection->sent.verb == Verb::kBegin;
      if (connection->plain_transaction && confirmed) {
        RecordConfirmedPrimary(*connection, result);
      }
      return SendNextStep(connection);
    case Step::kRollback:
      connection->in_transaction = false;
      connection->plain_transaction = false;
      connection->dirty |=
          std::exchange(connection->options_in_transaction, false);
      return Release(connection);
    case Step::kProbe:
      if (result.Ok()) {
        connection->in_transaction = true;
        if (confirmed) RecordConfirmedPrimary(*connection, result);
      } else if (result.refusal == Refusal::kReadOnly) {
        RecordDeposedPrimary(*connection);
      }
      return Release(connection);
    case Step::kAdmin: {
      const auto admin = std::exchange(connection->admin, 0);
      // A new connection has a confirmed answer.
      const bool retried =
          !confirmed && RetryUnconfirmedAdmin(admin, *connection);
      if (retried || (!confirmed && !m_unconfirmed_commits.empty())) {
        CloseAndRemove(connection->id);
        return StartWaitingAdmin();
      }
      const bool again = RetryRefusedAdmin(admin, *connection, result);
      Release(connection);
      return again ? StartWaitingAdmin() : FinishAdmin(admin, true, result);
    }
    default:
      return Release(connection);
  }
}

// The endpoint refused one of the relay's own statements. The statement of the
// request has not run.
void RelayCore::OnStepRefused(Connection* connection,
                              const StatementResult& result) {
  const auto step = connection->step;
  auto* session = FindSession(connection->session_id);
  const auto endpoint = connection->endpoint;
  m_counters->Add("step_refused_" +
                  std::string(NameOf(kRefusalNames, result.refusal)));
  if (step == Step::kRollback) {
    // The transaction may still be open.
    const auto group = connection->group;
    CloseAndRemove(connection->id);
    return DispatchWaiting(group);
  }
  RecordRefusal(*connection, result.refusal);
  if (step == Step::kBegin && result.refusal == Refusal::kReadOnly) {
    RecordDeposedPrimary(*connection);
  } else if ((step == Step::kBegin && result.refusal == Refusal::kLagging) ||
             result.refusal == Refusal::kBusy) {
    // The endpoint can be used for other statements.
  } else if (result.refusal == Refusal::kAborted &&
             !connection->pool_host_id.empty()) {
    OnSilenceReported(*connection);
  } else {
    // The state of the connection is unknown after any other refusal.
    const auto session_id = connection->session_id;
    CloseAndRemove(connection->id);
    session = FindSession(session_id);
    if (session == nullptr || !session->request) return;
    session->pinned = 0;
    return OnRequestLost(session, Refusal::kAborted, Refusal::kAborted,
                         "endpoint refused a step");
  }
  const bool pinned = session != nullptr && session->tx_answered > 0 &&
                      session->state == TxState::kOpen;
  if (session != nullptr) session->pinned = 0;
  Release(connection);
  if (session == nullptr || !session->request) return;
  session->request->excluded.insert(endpoint);
  if (pinned) {
    session->state = TxState::kFailed;
    return Refuse(session, Refusal::kAborted, "transaction was rolled back");
  }
  RetryOrRefuse(session, result.refusal, "endpoint refused a step");
}

// Makes a connection idle; one with an open transaction is rolled back first.
void RelayCore::Release(Connection* connection) {
  connection->session_id = 0;
  // An acknowledged ROLLBACK could be a repetition.
  const bool unsure_rollback =
      connection->in_transaction && connection->pool_host_id.empty() &&
      HealthOf(connection->endpoint).RepeatsAnswers(Now());
  if (MustReplace(*connection) || unsure_rollback) {
    const auto group = connection->group;
    m_counters->Add("connections_replaced");
    CloseAndRemove(connection->id);
    return DispatchWaiting(group);
  }
  if (connection->in_transaction && connection->step != Step::kRollback) {
    connection->state = ConnectionState::kBusy;
    return Send(connection, Step::kRollback, {Verb::kRollback, "", "", ""},
                kRollbackTimeout);
  }
  ForgetLargeOptions(connection);
  connection->step = Step::kNone;
  connection->state = ConnectionState::kIdle;
  connection->idle_since = Now();
  const auto* endpoint = FindEndpoint(connection->endpoint);
  const auto group = connection->group;
  const auto id = connection->id;
  if (endpoint != nullptr && RunWaitingAdmin(connection)) return;
  if (endpoint == nullptr || (endpoint->leaving && !endpoint->primary)) {
    return CloseAndRemove(id);
  }
  DispatchWaiting(group);
}

void RelayCore::RecordPosition(const Connection& connection,
                               const StatementResult& result) {
  if (!result.position) return;
  auto& group = m_groups[connection.group];
  if (result.position->term > group.newest_term) {
    // The control part needs the newest term: administrative statements must
    // carry a newer one than any that was seen.
    group.newest_term = result.position->term;
    PrimaryHealth term_update;
    term_update.group = connection.group;
    term_update.term = group.newest_term;
    m_actions.push_back(term_update);
  }
  group.newest_position = std::max(group.newest_position, *result.position);
  const auto* primary = PrimaryOf(connection.group);
  if (primary != nullptr && primary->id != connection.endpoint) {
    group.acknowledged = std::max(group.acknowledged, *result.position);
  }
  HealthOf(connection.endpoint)
      .RecordLogPosition(*result.position,
                         group.watermarks.FirstAbove(*result.position), Now());
}

void RelayCore::RecordConfirmedPrimary(const Connection& connection,
                                       const StatementResult& result) {
  // An answer that a shared pool has not confirmed carries no position.
  if (!result.position) return;
  auto& group = m_groups[connection.group];
  group.watermarks.Add(connection.step_sent, *result.position);
  if (group.deposed == connection.endpoint) group.deposed.clear();
}

void RelayCore::RecordDeposedPrimary(const Connection& connection) {
  // Long enough for the promoted endpoint's report to arrive. After that the
  // endpoint is tried again, in case the refusal was an outdated answer.
  constexpr Milliseconds kDeposedRetryDelay{400};
  auto& group = m_groups[connection.group];
  group.deposed = connection.endpoint;
  group.deposed_until = Now() + kDeposedRetryDelay;
  m_counters->Add("primary_deposed");
  log::Event(log::Channel::kFailover, log::Level::kInfo, "primary_deposed",
             {{"group", connection.group},
              {"endpoint", connection.endpoint},
              {"term", std::to_string(group.newest_term)}});
  PrimaryHealth health;
  health.group = connection.group;
  health.endpoint = connection.endpoint;
  health.deposed = true;
  health.term = group.newest_term;
  m_actions.push_back(health);
}

}  // namespace tiller::relay
