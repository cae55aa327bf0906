// The shared pool's sessions with other hosts: their statements, and the events
// that concern the pool as a whole.
#include "Relay/shared_pool.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Common/log.h"
#include "Common/names.h"
#include "Relay/connection_table.h"

namespace tiller::relay {
namespace {

// How long an administrative statement may wait if transactions occupy all of
// the endpoint's connections here: its sender then tries another host.
constexpr Milliseconds kPinnedWaitTimeout{100};
// A host that lost power leaves its transactions open. The endpoint would end
// them after the operator's limit; the pool ends them after the same limit plus
// this margin.
constexpr Milliseconds kIdleTransactionMargin{1'000};
constexpr Milliseconds kDefaultIdleTransactionTimeout{5'000};

}  // namespace

void SharedPool::Handle(const PoolEvent& event) {
  std::visit([this](const auto& typed_event) { On(typed_event); }, event);
}

std::vector<PoolAction> SharedPool::TakeActions() {
  return std::exchange(m_actions, {});
}

const Endpoint* SharedPool::FindEndpoint(const EndpointId& id) const {
  if (!m_directory) return nullptr;
  const auto it = m_directory->endpoints.find(id);
  return it == m_directory->endpoints.end() ? nullptr : &it->second;
}

SharedPool::PoolSession* SharedPool::FindSession(SessionId id) {
  const auto it = m_sessions.find(id);
  return it == m_sessions.end() ? nullptr : &it->second;
}

void SharedPool::On(const PoolSessionOpened& event) {
  if (m_draining || FindEndpoint(event.endpoint) == nullptr) {
    m_actions.push_back(RejectSession{
        event.session, Refusal::kBusy,
        m_draining ? "host is leaving" : "endpoint is not known"});
    return;
  }
  auto& session =
      m_sessions.try_emplace(event.session, &m_session_memory).first->second;
  session.id = event.session;
  session.endpoint = event.endpoint;
  session.workspace = event.workspace;
  session.last_active = Now();
  m_counters->Add("pool_sessions_opened");
  m_actions.push_back(AcceptSession{event.session, event.workspace});
}

void SharedPool::On(const StatementReceived& event) {
  auto* session = FindSession(event.session);
  if (session == nullptr) return;
  session->last_active = Now();
  // A host may have only one statement outstanding per session.
  if (session->pending) return EndSession(session->id);
  session->pending = event;
  if (event.schedule) session->priority = event.schedule->priority;
  session->arrived = Now();
  if (HandleLocal(session, event.statement)) return;
  if (event.statement.verb == Verb::kInvalid) {
    return Refuse(session, Refusal::kMalformed, "unknown statement");
  }
  if (event.statement.verb == Verb::kExecute &&
      session->values.Prepared(event.statement.name) == nullptr) {
    return Refuse(session, Refusal::kNoStatement, "no such name");
  }
  if (session->connection == 0) {
    if (m_load_management) {
      m_demand.Record(session->endpoint, session->workspace, Now());
    }
    AssignConnection(session);
    // It may have been refused, and its session closed.
    session = FindSession(event.session);
    if (session != nullptr) RefuseIfHopeless(session);
    return;
  }
  auto* connection = FindConnection(session->connection);
  if (Now() < m_transactions_end) return SendNextStep(connection, session);
  session->state = TxState::kFailed;
  // Not kAborted, which the calling host takes for a silent endpoint.
  Refuse(session, Refusal::kMisrouted, "host is leaving");
  Release(connection);
  EndSession(event.session);
}

bool SharedPool::HandleLocal(PoolSession* session, const Statement& statement) {
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
    case Verb::kDeallocate:
      session->values.Deallocate(statement.name);
      break;
    case Verb::kDiscard:
      session->values.Clear();
      break;
    case Verb::kRollback:
      // Without a connection no transaction is open.
      if (session->connection != 0) return false;
      break;
    default:
      return false;
  }
  if (limit != ValueLimit::kNone) {
    const std::string limit_name(NameOf(kValueLimitNames, limit));
    m_counters->Add("pool_session_values_refused_" + limit_name);
    // The calling host has not sent its caller's statement yet.
    Refuse(session, Refusal::kTooLarge, "over the limit: " + limit_name);
    return true;
  }
  StatementResult done;
  done.text = "-";
  done.state = session->state;
  Answer(session, std::move(done));
  return true;
}

void SharedPool::Answer(PoolSession* session, StatementResult result) {
  AddLoad(session, &result);
  session->pending.reset();
  session->last_active = Now();
  m_actions.push_back(Reply{session->id, std::move(result)});
}

void SharedPool::Refuse(PoolSession* session, Refusal refusal,
                        const std::string& reason) {
  m_counters->Add("pool_refused_" +
                  std::string(NameOf(kRefusalNames, refusal)));
  log::Event(log::Channel::kTraffic, log::Level::kInfo, "pool_refused",
             {{"request", session->pending->request_id},
              {"workspace", session->workspace},
              {"endpoint", session->endpoint},
              {"code", std::string(NameOf(kRefusalNames, refusal))},
              {"reason", reason},
              {"age_ms", log::MillisecondsText(Now() - session->arrived)}});
  StatementResult result;
  result.refusal = refusal;
  result.text = reason;
  result.state = session->state;
  Answer(session, std::move(result));
}

// Closes the session without a reply. The host sees the closed connection and
// treats the outcome of a pending statement as in doubt.
void SharedPool::EndSession(SessionId id) {
  m_actions.push_back(CloseSession{id});
  On(SessionClosed{id});
}

void SharedPool::On(const SessionClosed& event) {
  auto* session = FindSession(event.session);
  if (session == nullptr) return;
  auto* connection = FindConnection(session->connection);
  m_sessions.erase(event.session);
  if (connection == nullptr) return;
  connection->session_id = 0;
  // A statement in progress runs to its end; no commit is sent after it.
  if (connection->state == ConnectionState::kPinned) Release(connection);
}

void SharedPool::On(const DirectoryChanged& event) {
  const auto old = std::exchange(m_directory, event.directory);
  for (const auto id :
       ObsoleteIdleConnections(m_connections, old.get(), *m_directory)) {
    CloseAndRemove(id);
  }
  m_shares.Update(old.get(), *m_directory);
  const auto is_unlisted = [&](const auto& item) {
    return FindEndpoint(item.first) == nullptr;
  };
  std::erase_if(m_health, is_unlisted);
  std::erase_if(m_forecasts, is_unlisted);
  std::erase_if(m_last_write_answer, is_unlisted);
  std::erase_if(m_silence_reported, is_unlisted);
  std::erase_if(m_quotas, is_unlisted);
}

void SharedPool::On(const SeatsChanged& event) {
  m_shares.Update(event.seats);
  m_hosts_by_zone.clear();
  for (const int seat : event.seats.CountedSeats()) {
    ++m_hosts_by_zone[event.seats.zones[static_cast<std::size_t>(seat)]];
  }
}

void SharedPool::On(const DrainStarted& event) {
  m_draining = true;
  m_transactions_end = Now() + event.transaction_time;
  std::vector<SessionId> idle;
  for (const auto& [id, session] : m_sessions) {
    if (!session.pending && session.connection == 0) idle.push_back(id);
  }
  for (const auto id : idle) EndSession(id);
}

void SharedPool::On(const TimerFired&) {
  m_ticks.RecordTick(Now());
  ExpireSteps();
  if (!m_directory) return;
  ExpireSessions();
  TrimIdle();
  ProbeSilentEndpoints();
  ReportSilence();
  for (const auto& id : EndpointsWithWaiting()) {
    if (FindEndpoint(id) == nullptr) continue;
    DispatchWaiting(id);
    EndIdleTransactions(id);
  }
}

std::set<EndpointId> SharedPool::EndpointsWithWaiting() const {
  std::set<EndpointId> endpoints;
  for (const auto& [id, session] : m_sessions) {
    if (!session.pending || session.connection != 0) continue;
    endpoints.insert(session.endpoint);
  }
  return endpoints;
}

void SharedPool::ExpireSessions() {
  const auto configured = m_directory->transaction_idle;
  const auto limit = configured.count() == 0
                         ? kDefaultIdleTransactionTimeout
                         : configured + kIdleTransactionMargin;
  std::vector<SessionId> timed_out;
  std::vector<SessionId> abandoned;
  for (const auto& [id, session] : m_sessions) {
    if (session.pending && session.connection == 0 && WaitIsOver(session)) {
      timed_out.push_back(id);
    }
    if (!session.pending && session.connection != 0 &&
        Now() - session.last_active > limit) {
      abandoned.push_back(id);
    }
  }
  for (const auto id : timed_out) {
    if (IsAdministrative(FindSession(id)->pending->statement.verb)) {
      m_counters->Add("pool_admin_refused_late");
    }
    Refuse(FindSession(id), Refusal::kBusy, "no connection");
  }
  for (const auto id : abandoned) {
    m_counters->Add("pool_transactions_abandoned");
    EndSession(id);
  }
}

bool SharedPool::WaitIsOver(const PoolSession& session) const {
  const auto waited = Now() - session.arrived;
  if (waited > MaxWaitOf(session)) return true;
  if (waited <= kPinnedWaitTimeout ||
      !IsAdministrative(session.pending->statement.verb)) {
    return false;
  }
  return std::all_of(m_connections.begin(), m_connections.end(),
                     [&](const auto& item) {
                       return item.second.endpoint != session.endpoint ||
                              item.second.state == ConnectionState::kPinned;
                     });
}

}  // namespace tiller::relay
