// Requests: choice of the endpoint, forwarding, retries and replies.
#include <algorithm>
#include <set>
#include <utility>

#include "Balance/dispatch_order.h"
#include "Common/log.h"
#include "Common/names.h"
#include "Relay/connection_setup.h"
#include "Relay/connection_table.h"
#include "Relay/endpoint_choice.h"
#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

// Limit for a statement that the relay issues itself (BEGIN, options). It takes
// no slot at the endpoint, so if no answer has come after a few round trips,
// none will come.
constexpr Milliseconds kSetupStepTimeout{300};
// A read times out at one endpoint after this share of its target latency, so
// that a second attempt still fits, but not before several response times of
// the endpoint have passed.
constexpr double kReadTimeoutShare = 0.45;
constexpr int kReadTimeoutResponses = 4;
constexpr Milliseconds kMinReadTimeout{80};
constexpr int kMaxAttempts = 4;
// Delay before a statement is retried after an endpoint was busy.
constexpr Milliseconds kBusyBackoff{15};
// A retry is not started if less time than this remains until the deadline.
constexpr Milliseconds kMinRetryTime{20};

// What the caller is told of an endpoint's refusal. That an endpoint does not
// know a statement is not passed on: its preparing was acknowledged.
Refusal ToCallerRefusal(Refusal refusal, Verb verb, bool in_transaction) {
  if (refusal != Refusal::kNoStatement || verb != Verb::kExecute) {
    return refusal;
  }
  return in_transaction ? Refusal::kAborted : Refusal::kBusy;
}

}  // namespace

bool RelayCore::IsWrite(const Session& session,
                        const Statement& statement) const {
  if (statement.verb == Verb::kWrite) return true;
  if (statement.verb != Verb::kExecute) return false;
  const auto* prepared = session.values.Prepared(statement.name);
  return prepared != nullptr && prepared->writes;
}

bool RelayCore::Commits(const Session& session) const {
  const auto& statement = session.request->statement;
  if (session.state != TxState::kOpen) return IsWrite(session, statement);
  return statement.verb == Verb::kCommit && session.tx_wrote;
}

bool RelayCore::NeedsPrimary(const Session& session) const {
  if (session.route.kind == RouteKind::kPrimary) return true;
  if (session.state == TxState::kOpen) return !session.tx_read_only;
  return IsWrite(session, session.request->statement);
}

std::optional<GroupPosition> RelayCore::NeededPosition(
    const Session& session) const {
  const auto from = session.state == TxState::kOpen ? session.tx_arrived
                                                    : session.request->arrived;
  const auto watermark =
      m_groups[session.route.group].watermarks.CoveringPosition(
          from - session.route.max_staleness);
  if (!watermark) return std::nullopt;
  if (session.route.kind != RouteKind::kReadYourWrites) return watermark;
  return std::max(*watermark, session.last_commit_position);
}

bool RelayCore::Dispatch(Session* session) {
  auto& request = *session->request;
  if (Commits(*session)) {
    const auto& group = session->route.group;
    auto risk = RiskOfCommit(group);
    if (risk == CommitRisk::kNone && IsHeld(group)) risk = CommitRisk::kHeld;
    // The group's next primary can run it, unless a transaction ends with the
    // old one.
    if (risk == CommitRisk::kHeld && session->state != TxState::kOpen) {
      return false;
    }
    if (risk != CommitRisk::kNone) {
      RefuseCommit(session, risk);
      return true;
    }
  }
  if (session->pinned != 0) {
    auto* connection = FindConnection(session->pinned);
    if (connection == nullptr) {
      EndTransaction(session, TxState::kFailed);
      Refuse(session, Refusal::kAborted, "connection was lost");
      return true;
    }
    AssignConnection(connection, session);
    return true;
  }
  if (request.pending_connection != 0 &&
      FindConnection(request.pending_connection) == nullptr) {
    request.pending_connection = 0;
  }
  if (NeedsPrimary(*session)) return DispatchToPrimary(session);
  m_groups[session->route.group].last_read = Now();
  const auto needed = NeededPosition(*session);
  if (needed && DispatchRead(session, *needed)) return true;
  // Without a recent watermark, or a usable replica that holds the required
  // position, the read runs on the primary, whose data is always current.
  if (needed && request.pending_connection != 0) return false;
  return DispatchToPrimary(session);
}

bool RelayCore::DispatchToPrimary(Session* session) {
  auto& request = *session->request;
  const auto* primary = PrimaryOf(session->route.group);
  if (primary == nullptr || !PrimaryUsable(session->route.group)) return false;
  auto* connection = FindIdle(&m_connections, primary->id, session->workspace);
  if (connection != nullptr) {
    AssignConnection(connection, session);
    return true;
  }
  if (request.pending_connection != 0) return false;
  if (!CanOpenConnection(*primary) && !EvictIdle(primary->id)) return false;
  request.pending_connection = Open(*primary, session->workspace)->id;
  return false;
}

bool RelayCore::DispatchRead(Session* session, GroupPosition needed) {
  auto& request = *session->request;
  const auto& group = session->route.group;
  if (m_settings.load_management && IsPooled(group)) {
    return DispatchReadByPlacement(session, needed);
  }
  const auto& watermarks = m_groups[group].watermarks;
  const auto first_seen = watermarks.FirstSeen(needed);
  const Duration age = first_seen ? Now() - *first_seen : Duration{};
  const auto* primary = PrimaryOf(group);
  std::vector<ReadCandidate> candidates;
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (endpoint.group != group || endpoint.leaving) continue;
    if (request.excluded.count(id) > 0) continue;
    auto& health = HealthOf(id);
    if (health.InBackoff(Now())) continue;
    ReadCandidate candidate;
    candidate.endpoint = id;
    candidate.primary = primary != nullptr && primary->id == id;
    candidate.same_zone = endpoint.zone == m_settings.zone;
    candidate.connection_ready =
        FindIdle(&m_connections, id, session->workspace) != nullptr;
    candidate.connection_possible =
        request.pending_connection == 0 && CanOpenConnection(endpoint);
    candidate.slots = endpoint.slots;
    candidate.response_time = health.ResponseTime();
    candidate.known_fresh =
        candidate.primary ||
        (health.LastKnownPosition() && *health.LastKnownPosition() >= needed);
    candidate.likely_fresh = health.Lag() <= age;
    for (const auto& [other_id, other] : m_connections) {
      if (other.endpoint != id) continue;
      if (other.state == ConnectionState::kBusy) ++candidate.in_progress;
    }
    candidates.push_back(std::move(candidate));
  }
  auto choice = ChooseForRead(candidates, m_random);
  if (!choice && request.pending_connection == 0) {
    // All suitable connections are in use. Evict an idle connection of another
    // workspace.
    for (auto& candidate : candidates) {
      if (candidate.connection_ready || candidate.connection_possible) continue;
      for (const auto& [id, other] : m_connections) {
        candidate.connection_possible |= other.endpoint == candidate.endpoint &&
                                         other.state == ConnectionState::kIdle;
      }
    }
    choice = ChooseForRead(candidates, m_random);
    if (choice && !EvictIdle(*choice)) return false;
  }
  if (!choice) return false;
  auto* connection = FindIdle(&m_connections, *choice, session->workspace);
  if (connection != nullptr) {
    AssignConnection(connection, session);
    return true;
  }
  if (request.pending_connection != 0) return false;
  request.pending_connection =
      Open(m_directory->endpoints.at(*choice), session->workspace)->id;
  return false;
}

void RelayCore::AssignConnection(Connection* connection, Session* session) {
  auto& request = *session->request;
  connection->state = ConnectionState::kBusy;
  connection->session_id = session->id;
  request.phase = Phase::kRunning;
  request.dispatched = Now();
  request.connection = connection->id;
  request.pending_connection = 0;
  SendNextStep(connection);
}

// Sends the next statement the request needs on this connection, in the order
// DISCARD, options, PREPARE, BEGIN, the caller's statement.
void RelayCore::SendNextStep(Connection* connection) {
  auto* session = FindSession(connection->session_id);
  if (session == nullptr || !session->request) return Release(connection);
  const auto& request = *session->request;
  const auto* execute = request.statement.verb == Verb::kExecute
                            ? session->values.Prepared(request.statement.name)
                            : nullptr;
  const bool verify = connection->pool_host_id.empty() &&
                      HealthOf(connection->endpoint).RepeatsAnswers(Now());
  if (auto setup = NextSetupStep(*connection, session->values.Options(),
                                 execute, verify)) {
    return Send(connection, setup->step, std::move(setup->statement),
                kSetupStepTimeout);
  }
  if (verify && connection->setup_unconfirmed) {
    return HandleConnectionLoss(connection->id, LossCause::kAnswer,
                                "transaction is not confirmed");
  }
  const bool strict_read = session->state == TxState::kIdle &&
                           !IsWrite(*session, request.statement) &&
                           NeedsPrimary(*session);
  const bool no_watermark = session->state == TxState::kIdle &&
                            !NeedsPrimary(*session) &&
                            !NeededPosition(*session);
  if (!connection->in_transaction &&
      (session->state == TxState::kOpen || strict_read || no_watermark)) {
    // Only a plain BEGIN proves that the endpoint is the primary.
    const bool plain = NeedsPrimary(*session) || !NeededPosition(*session);
    return Send(connection, Step::kBegin,
                {plain ? Verb::kBegin : Verb::kBeginRead, "", "", ""},
                kSetupStepTimeout);
  }
  // The hold began while the connection was being set up.
  if (Commits(*session) && IsHeld(session->route.group)) {
    if (session->state == TxState::kOpen) {
      return RefuseCommit(session, CommitRisk::kHeld);
    }
    session->request->phase = Phase::kWaitForConnection;
    session->request->connection = 0;
    return Release(connection);
  }
  SendUserStatement(connection, session);
}

Statement RelayCore::ToEndpointStatement(const Session& session,
                                         const Statement& statement) const {
  if (statement.verb != Verb::kExecute) return statement;
  auto out = statement;
  out.name = session.values.Prepared(statement.name)->shared_name;
  return out;
}

void RelayCore::SendUserStatement(Connection* connection, Session* session) {
  auto& request = *session->request;
  request.sent = true;
  request.may_run_alone =
      connection->in_transaction && connection->setup_unconfirmed;
  request.forwarded = Now();
  if (Commits(*session)) m_last_write_sent = Now();
  const bool read = !IsWrite(*session, request.statement) &&
                    request.statement.verb != Verb::kCommit;
  Duration limit = request.deadline - Now();
  if (read) {
    limit = std::min(limit, ReadTimeout(*session, connection->endpoint));
  }
  Send(connection, Step::kUser,
       ToEndpointStatement(*session, request.statement), limit);
}

Duration RelayCore::ReadTimeout(const Session& session,
                                const EndpointId& endpoint) const {
  const auto it = m_health.find(endpoint);
  const Duration response =
      it == m_health.end() ? Duration{} : it->second.ResponseTime();
  const Duration target_share = std::chrono::duration_cast<Duration>(
      session.route.target_latency * kReadTimeoutShare);
  return std::max<Duration>({target_share, response * kReadTimeoutResponses,
                             Duration(kMinReadTimeout)});
}

void RelayCore::OnUserResult(Connection* connection,
                             const StatementResult& result) {
  auto* session = FindSession(connection->session_id);
  if (session == nullptr || !session->request) return Release(connection);
  if (result.Ok()) return OnUserSuccess(connection, session, result);
  OnUserRefusal(connection, session, result);
}

void RelayCore::OnUserSuccess(Connection* connection, Session* session,
                              const StatementResult& result) {
  const auto& request = *session->request;
  const auto verb = request.statement.verb;
  const auto sent = connection->step_sent;
  const bool write = IsWrite(*session, request.statement);
  auto& group = m_groups[connection->group];
  if (write || verb == Verb::kCommit) group.last_write_answer = Now();
  const bool committed = Commits(*session);
  if (connection->plain_transaction && !write && verb != Verb::kCommit) {
    RecordConfirmedPrimary(*connection, result);
  }
  if (committed && result.position) {
    session->last_commit_position =
        std::max(session->last_commit_position, *result.position);
    group.watermarks.Add(sent, *result.position);
    // The reported position may be that of a later entry, which need not be
    // acknowledged. The commit's own entry is above `log_before`.
    const auto& before = connection->log_before;
    const bool same_term = before.term == result.position->term;
    group.acknowledged = std::max(
        group.acknowledged, GroupPosition{result.position->term,
                                          same_term ? before.position + 1 : 0});
  }
  m_counters->Observe(
      "latency_" + std::string(NameOf(kRouteKindNames, session->route.kind)),
      std::chrono::duration<double, std::micro>(Now() - request.arrived)
          .count());
  m_counters->Add("answered_" + std::string(NameOf(kVerbNames, verb)));
  log::Event(
      log::Channel::kTraffic, log::Level::kInfo, "request_answered",
      {{"request", request.id},
       {"workspace", session->workspace},
       {"endpoint", connection->endpoint},
       {"verb", std::string(NameOf(kVerbNames, verb))},
       {"attempts", std::to_string(request.attempts + 1)},
       {"position", result.position ? TextOf(*result.position) : ""},
       {"wait_ms", log::MillisecondsText(request.dispatched - request.arrived)},
       {"align_ms",
        log::MillisecondsText(request.forwarded - request.dispatched)},
       {"run_ms", log::MillisecondsText(Now() - request.forwarded)}});
  auto answer = result;
  const auto finish = [&, endpoint = connection->endpoint,
                       group_id = connection->group](StatementResult done) {
    if (committed) {
      return AnswerCommit(session, endpoint, group_id, sent, std::move(done));
    }
    FinishRequest(session, std::move(done));
  };
  if (verb == Verb::kCommit) {
    connection->in_transaction = false;
    connection->plain_transaction = false;
    connection->options_in_transaction = false;
    session->state = TxState::kIdle;
    session->pinned = 0;
    answer.state = TxState::kIdle;
    finish(std::move(answer));
    return Release(connection);
  }
  if (session->state == TxState::kOpen) {
    session->tx_wrote |= write;
    ++session->tx_answered;
    session->pinned = connection->id;
    connection->state = ConnectionState::kPinned;
    connection->step = Step::kNone;
    answer.state = TxState::kOpen;
    return FinishRequest(session, std::move(answer));
  }
  answer.state = TxState::kIdle;
  finish(std::move(answer));
  Release(connection);
}

void RelayCore::OnUserRefusal(Connection* connection, Session* session,
                              const StatementResult& result) {
  auto& request = *session->request;
  const auto verb = request.statement.verb;
  const bool open = session->state == TxState::kOpen;
  if (result.refusal == Refusal::kInDoubt) {
    // A shared pool does not know what the endpoint has answered. Its session
    // may still have the transaction.
    CloseAndRemove(connection->id);
    return OnRequestLost(session, Refusal::kInDoubt, Refusal::kAborted,
                         result.text);
  }
  // No statement of the transaction was answered yet, so the transaction can
  // move to another connection.
  const bool movable =
      !open || (session->tx_answered == 0 && verb != Verb::kCommit);
  RecordRefusal(*connection, result.refusal);
  switch (result.refusal) {
    case Refusal::kBusy:
      if (open && !movable && result.state == TxState::kOpen &&
          request.attempts < kMaxAttempts &&
          Now() + kBusyBackoff < request.deadline) {
        ++request.attempts;
        connection->state = ConnectionState::kPinned;
        connection->step = Step::kNone;
        session->pinned = connection->id;
        request.phase = Phase::kBackoff;
        request.phase_end = Now() + kBusyBackoff;
        m_counters->Add("retry_busy_in_transaction");
        return;
      }
      break;
    case Refusal::kReadOnly:
      RecordDeposedPrimary(*connection);
      request.excluded.insert(connection->endpoint);
      break;
    case Refusal::kLagging:
      request.excluded.insert(connection->endpoint);
      break;
    case Refusal::kNoStatement:
      connection->dirty = true;
      break;
    case Refusal::kAborted:
      if (connection->pool_host_id.empty()) break;
      OnSilenceReported(*connection);
      request.excluded.insert(connection->endpoint);
      break;
    default:
      break;
  }
  // A pool refuses with kAborted only what it has not forwarded.
  const bool pool_refused =
      !connection->pool_host_id.empty() && result.refusal == Refusal::kAborted;
  const bool not_run = pool_refused || result.refusal == Refusal::kBusy ||
                       result.refusal == Refusal::kReadOnly ||
                       result.refusal == Refusal::kLagging ||
                       result.refusal == Refusal::kNoStatement;
  const bool repeatable =
      not_run || (!open && !IsWrite(*session, request.statement) &&
                  result.refusal == Refusal::kFailed);
  if (result.refusal == Refusal::kFailed) {
    request.excluded.insert(connection->endpoint);
  }
  session->pinned = 0;
  if (movable && repeatable) {
    request.sent = false;
    Release(connection);
    return RetryOrRefuse(
        session, result.refusal,
        "endpoint " + std::string(NameOf(kRefusalNames, result.refusal)));
  }
  Release(connection);
  if (open) {
    session->state = verb == Verb::kCommit ? TxState::kIdle : TxState::kFailed;
  }
  Refuse(session, ToCallerRefusal(result.refusal, verb, open), result.text);
}

bool RelayCore::CanRetry(const Session& session) const {
  const auto& request = *session.request;
  return request.attempts < kMaxAttempts &&
         Now() + kMinRetryTime < request.deadline;
}

// Precondition: the request has had no effect at any endpoint.
void RelayCore::RetryOrRefuse(Session* session, Refusal refusal,
                              const std::string& reason) {
  auto& request = *session->request;
  ++request.attempts;
  request.connection = 0;
  if (refusal == Refusal::kBusy && RefuseIfOverloaded(session)) return;
  if (!CanRetry(*session) || !m_retry_budget.TrySpend()) {
    const bool open = session->state == TxState::kOpen;
    if (open) session->state = TxState::kFailed;
    const auto verb = request.statement.verb;
    return Refuse(session, ToCallerRefusal(refusal, verb, open), reason);
  }
  m_counters->Add("retry_" + std::string(NameOf(kRefusalNames, refusal)));
  log::Event(log::Channel::kTraffic, log::Level::kInfo, "request_retried",
             {{"request", request.id},
              {"reason", reason},
              {"attempts", std::to_string(request.attempts)}});
  request.phase = Phase::kWaitForConnection;
  const Duration wait_limit =
      refusal == Refusal::kReadOnly || NeedsPrimary(*session)
          ? Duration(session->route.statement_timeout / 2)
          : Duration(session->route.target_latency / 2);
  const Duration min_wait = session->route.target_latency / 4;
  request.phase_end = std::max(
      request.phase_end,
      std::min(std::max(request.arrived + wait_limit, Now() + min_wait),
               request.deadline));
  if (refusal == Refusal::kBusy) {
    request.phase = Phase::kBackoff;
    request.phase_end = Now() + kBusyBackoff;
    return;
  }
  Dispatch(session);
}

// The connection was lost, or its answer is overdue, while the request ran.
// `unknown_outcome` is the refusal to use if the request may have taken effect,
// `without_effect` the reason of a retry if it has not.
void RelayCore::OnRequestLost(Session* session, Refusal unknown_outcome,
                              Refusal without_effect,
                              const std::string& reason) {
  auto& request = *session->request;
  const auto verb = request.statement.verb;
  const bool open = session->state == TxState::kOpen;
  const bool write = IsWrite(*session, request.statement);
  session->pinned = 0;
  request.connection = 0;
  if (open && verb == Verb::kCommit) {
    const bool may_be_kept = request.sent && session->tx_wrote;
    session->state = TxState::kIdle;
    return Refuse(session, may_be_kept ? unknown_outcome : Refusal::kAborted,
                  reason);
  }
  if (open) {
    // The connection is closed, which rolls the transaction back.
    if (session->tx_answered == 0 && (!request.sent || !write)) {
      request.sent = false;
      return RetryOrRefuse(session, without_effect, reason);
    }
    session->state = TxState::kFailed;
    const bool may_be_kept = request.sent && write && request.may_run_alone;
    return Refuse(session, may_be_kept ? unknown_outcome : Refusal::kAborted,
                  reason);
  }
  if (write && request.sent) return Refuse(session, unknown_outcome, reason);
  request.sent = false;
  RetryOrRefuse(session, without_effect, reason);
}

std::set<GroupId> RelayCore::GroupsWithWaiting() const {
  std::set<GroupId> groups;
  for (const auto& [id, session] : m_sessions) {
    if (!session.request) continue;
    if (session.request->phase != Phase::kWaitForConnection) continue;
    groups.insert(session.route.group);
  }
  return groups;
}

void RelayCore::DispatchWaiting(const GroupId& group) {
  std::vector<balance::WaitingRequest> waiting;
  for (const auto& [id, session] : m_sessions) {
    if (!session.request || session.route.group != group) continue;
    if (session.request->phase != Phase::kWaitForConnection) continue;
    waiting.push_back({id, session.workspace, session.route.priority,
                       session.request->arrived, IsLate(session)});
  }
  if (waiting.empty()) return;
  std::map<WorkspaceId, std::size_t> connections_in_use;
  for (const auto& [id, connection] : m_connections) {
    if (connection.group != group) continue;
    if (connection.state == ConnectionState::kIdle) continue;
    ++connections_in_use[connection.workspace];
  }
  for (const auto id :
       balance::DispatchOrder(std::move(waiting), connections_in_use)) {
    auto* session = FindSession(id);
    if (session == nullptr || !session->request) continue;
    if (session->request->phase != Phase::kWaitForConnection) continue;
    Dispatch(session);
  }
}

}  // namespace tiller::relay
