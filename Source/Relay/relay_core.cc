// Dispatch of events, the directory, and what runs on each tick.
#include "Relay/relay_core.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Common/names.h"
#include "Relay/connection_table.h"
#include "Relay/endpoint_silence.h"

namespace tiller::relay {
namespace {

// A primary that was not heard for this long is asked by a BEGIN.
constexpr Milliseconds kProbeAfter{400};
// Many hosts with little traffic each; pools notice silence sooner.
constexpr Milliseconds kPooledProbeAfter{800};
// Shortest silence worth telling the control part.
constexpr Milliseconds kReportSilence{250};
constexpr Milliseconds kReportEvery{100};
// A leaving primary is used while its successor is promoted, but well below
// the bound for new work at a leaving endpoint.
constexpr Milliseconds kLeavingPrimaryLimit{4500};
// The balancer needs two missed readiness probes, one a second, to send no
// new sessions; until then sessions are served as usual.
constexpr Milliseconds kDrainServe{2300};
constexpr Milliseconds kProbeLimit{350};
// Nothing more is sent to a primary that was silent for this long: a write
// would be in doubt, while a request that waits can still run elsewhere.
constexpr Milliseconds kHoldAfter{300};
// Part of the tolerance that a restart of all hosts may use; the rest is for
// what arrives at endpoints later than it was admitted.
constexpr double kRestartShare = 0.8;
// Longer than a promotion takes, so that a lost primary is no reason to send
// callers elsewhere.
constexpr Milliseconds kUnreachableAfter{700};
constexpr Milliseconds kCutOffAfter{300};
// A primary that was deposed has a successor by then, if this host can learn
// of it.
constexpr Milliseconds kReplacedWithin{2000};
// The balancer has noticed by then; sessions that are closed go elsewhere.
constexpr Milliseconds kCutOffCloseAfter{2300};

}  // namespace

RelayCore::RelayCore(RelaySettings settings, const Clock* clock, Random* random,
                     Counters* counters)
    : m_settings(std::move(settings)),
      m_clock(clock),
      m_random(random),
      m_counters(counters),
      m_tokens(m_settings.host, random, counters) {}

void RelayCore::Handle(const Event& event) {
  std::visit([this](const auto& kind) { On(kind); }, event);
}

std::vector<Action> RelayCore::TakeActions() {
  return std::exchange(m_actions, {});
}

std::size_t RelayCore::OpenTransactions() const {
  return static_cast<std::size_t>(std::count_if(
      m_sessions.begin(), m_sessions.end(),
      [](const auto& item) { return item.second.state == TxState::kOpen; }));
}

std::size_t RelayCore::OpenRequests() const {
  return static_cast<std::size_t>(std::count_if(
      m_sessions.begin(), m_sessions.end(),
      [](const auto& item) { return item.second.request.has_value(); }));
}

Session* RelayCore::FindSession(SessionId id) {
  const auto it = m_sessions.find(id);
  return it == m_sessions.end() ? nullptr : &it->second;
}

Connection* RelayCore::FindConnection(ConnectionId id) {
  const auto it = m_connections.find(id);
  return it == m_connections.end() ? nullptr : &it->second;
}

const Endpoint* RelayCore::FindEndpoint(const EndpointId& id) const {
  if (!m_directory) return nullptr;
  const auto it = m_directory->endpoints.find(id);
  return it == m_directory->endpoints.end() ? nullptr : &it->second;
}

const Endpoint* RelayCore::PrimaryOf(const GroupId& group) const {
  if (!m_directory) return nullptr;
  const auto it = m_directory->groups.find(group);
  if (it == m_directory->groups.end()) return nullptr;
  const auto* endpoint = FindEndpoint(it->second.primary);
  if (endpoint == nullptr) return nullptr;
  const auto& state = m_groups[group];
  if (state.deposed == endpoint->id && Now() < state.deposed_until) {
    return nullptr;
  }
  const auto leaving = m_leaving_since.find(endpoint->id);
  if (leaving != m_leaving_since.end() &&
      Now() - leaving->second > kLeavingPrimaryLimit) {
    return nullptr;
  }
  return endpoint;
}

bool RelayCore::PrimaryUsable(const GroupId& group) const {
  const auto& state = m_groups[group];
  return PrimaryOf(group) != nullptr && state.silent_for < kHoldAfter &&
         state.held_until <= Now();
}

void RelayCore::On(const DirectoryChanged& event) {
  const auto old = std::exchange(m_directory, event.directory);
  m_tokens.Update(RateLimits(), m_seats, Now());
  for (const auto& early : std::exchange(m_early_sessions, {})) On(early);
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (endpoint.leaving) {
      m_leaving_since.try_emplace(id, Now());
    } else {
      m_leaving_since.erase(id);
    }
  }
  for (const auto id : IdleAndUseless(m_connections, old.get(), *m_directory)) {
    CloseAndForget(id);
  }
  const auto gone = [&](const auto& item) {
    return FindEndpoint(item.first) == nullptr;
  };
  std::erase_if(m_health, gone);
  std::erase_if(m_leaving_since, gone);
  std::erase_if(m_pool_silence, gone);
  for (const auto& [name, group] : m_directory->groups) {
    NotePrimary(old, group);
    PumpWaiters(name);
  }
}

// What was known of an old primary does not hold for the new one.
void RelayCore::NotePrimary(const DirectoryPtr& old, const Group& group) {
  auto& state = m_groups[group.name];
  if (group.primary != state.deposed) state.deposed.clear();
  if (old == nullptr) return;
  const auto before = old->groups.find(group.name);
  if (before == old->groups.end()) return;
  if (before->second.primary != group.primary) state.silent_for = {};
}

void RelayCore::On(const SeatsChanged& event) {
  m_seats = event.seats;
  m_tokens.Update(RateLimits(), m_seats, Now());
}

std::vector<limits::RateLimit> RelayCore::RateLimits() const {
  std::vector<limits::RateLimit> rates;
  if (!m_directory) return rates;
  for (const auto& [name, workspace] : m_directory->workspaces) {
    const double window = m_settings.rate_window.count() * workspace.rate;
    const double tolerance =
        m_settings.rate_overage * (window + workspace.burst) +
        m_settings.rate_slack;
    rates.push_back(
        {name, workspace.rate, workspace.burst, tolerance * kRestartShare});
  }
  return rates;
}

void RelayCore::On(const ShareReceived& event) {
  if (const auto* request = std::get_if<limits::TokenRequest>(&event.message)) {
    m_tokens.Handle(event.from, *request, Now());
  }
  if (const auto* grant = std::get_if<limits::TokenGrant>(&event.message)) {
    m_tokens.Handle(event.from, *grant, Now());
    std::vector<SessionId> waiting;
    for (const auto& [id, session] : m_sessions) {
      if (!session.request || session.request->phase != Phase::kToken) continue;
      if (session.workspace == grant->workspace) waiting.push_back(id);
    }
    // The oldest operation has the least time left.
    std::sort(waiting.begin(), waiting.end(), [&](SessionId a, SessionId b) {
      return m_sessions.at(a).operation.first_arrived <
             m_sessions.at(b).operation.first_arrived;
    });
    for (const auto id : waiting) {
      auto* session = FindSession(id);
      if (!TakeToken(session)) break;
      OperationAdmitted(session);
    }
    // A host that had nothing to lend will not have it a moment later.
    if (grant->granted > 0) AskForTokens(grant->workspace);
  }
  TakeShareMessages();
}

void RelayCore::TakeShareMessages() {
  for (auto& out : m_tokens.TakeMessages()) {
    m_actions.push_back(SendShare{out.to, std::move(out.message)});
  }
}

void RelayCore::On(const DrainStarted&) {
  if (!m_drain_started) m_drain_started = Now();
}

void RelayCore::On(const TimerFired&) {
  ExpireSteps();
  ExpireRequests();
  if (!m_directory) return;
  ExpireIdleTransactions();
  for (const auto& [name, group] : m_directory->groups) PumpWaiters(name);
  TrimIdle();
  ProbePrimaries();
  ReportPrimaries();
  CheckReachability();
  if (m_drain_started) Drain();
}

void RelayCore::ExpireSteps() {
  for (const auto id : Overdue(m_connections, Now())) {
    LoseConnection(id, true, "no answer in time");
  }
  std::vector<std::uint64_t> jobs;
  for (const auto& [id, job] : m_admin) {
    if (job.deadline <= Now()) jobs.push_back(id);
  }
  for (const auto id : jobs) FinishAdmin(id, false, {});
}

void RelayCore::ExpireRequests() {
  std::vector<SessionId> due;
  for (const auto& [id, session] : m_sessions) {
    if (!session.request || session.request->phase == Phase::kRunning) continue;
    if (session.request->phase_until <= Now()) due.push_back(id);
  }
  for (const auto id : due) {
    auto* session = FindSession(id);
    if (session == nullptr || !session->request) continue;
    auto& request = *session->request;
    if (request.phase == Phase::kToken) {
      if (TakeToken(session)) {
        OperationAdmitted(session);
        continue;
      }
      const auto wait = m_tokens.RefillTime(session->workspace);
      Refuse(
          session, Refusal::kBusy,
          "rate exceeded, retry after " + std::to_string(wait.count()) + " ms");
      continue;
    }
    if (request.phase == Phase::kPause) {
      request.phase = Phase::kConnection;
      request.phase_until =
          std::min(request.deadline,
                   request.arrived + std::chrono::duration_cast<Duration>(
                                         session->route.target_latency));
      Place(session);
      continue;
    }
    const bool no_primary =
        NeedsPrimary(*session) && !PrimaryUsable(session->route.group);
    if (session->state == TxState::kOpen)
      EndTransaction(session, TxState::kFailed);
    Refuse(session, Refusal::kBusy,
           no_primary ? "no primary, retry after 500 ms"
                      : "no connection, retry after 100 ms");
  }
}

void RelayCore::ExpireIdleTransactions() {
  const auto limit = m_directory->transaction_idle;
  if (limit.count() == 0) return;
  for (auto& [id, session] : m_sessions) {
    if (session.state != TxState::kOpen || session.request) continue;
    if (session.tx_lost || session.pinned == 0) continue;
    if (Now() - session.last_active < limit) continue;
    m_counters->Add("transactions_idle_ended");
    EndTransaction(&session, TxState::kOpen);
    session.tx_lost = true;
  }
}

void RelayCore::ProbePrimaries() {
  for (const auto& [name, group] : m_directory->groups) {
    const auto* primary = PrimaryOf(name);
    if (primary == nullptr) continue;
    auto& state = m_groups[name];
    const auto newest = state.marks.Newest();
    const auto interval = Pooled(name) ? kPooledProbeAfter : kProbeAfter;
    const bool fresh = newest && Now() - *newest < interval;
    if (fresh || Now() < state.probe_after) continue;
    state.probe_after = Now() + interval / 2;
    Connection* idle = nullptr;
    std::size_t held = 0;
    for (auto& [id, connection] : m_connections) {
      if (connection.endpoint != primary->id) continue;
      ++held;
      if (connection.state == ConnectionState::kIdle) idle = &connection;
    }
    if (idle != nullptr) {
      idle->state = ConnectionState::kBusy;
      Send(idle, Step::kProbe, {Verb::kBegin, "", "", ""}, kProbeLimit);
      continue;
    }
    if (held == 0 && !m_directory->workspaces.empty() &&
        !HealthOf(primary->id).RefusesConnections(Now())) {
      Open(*primary, m_directory->workspaces.begin()->first);
    }
  }
}

void RelayCore::ReportPrimaries() {
  for (const auto& [name, group] : m_directory->groups) {
    const auto* primary = FindEndpoint(group.primary);
    if (primary == nullptr) continue;
    auto& state = m_groups[name];
    const Duration silent = SilenceOf(name, primary->id);
    state.silent_for = silent;
    const bool is_silent = silent > kReportSilence;
    if (!is_silent && !state.reported_silent) continue;
    if (is_silent && Now() - state.reported < kReportEvery) continue;
    state.reported = Now();
    state.reported_silent = is_silent;
    PrimaryHealth report;
    report.group = name;
    report.endpoint = primary->id;
    report.silent_for = is_silent ? silent : Duration{};
    report.term = state.newest_term;
    m_actions.push_back(report);
  }
}

// How long the primary has answered nothing although something was asked, or
// no write although reads are answered.
Duration RelayCore::SilenceOf(const GroupId& name, const EndpointId& primary) {
  const auto pool = m_pool_silence.find(primary);
  return std::max(SilenceOn(m_connections, primary, HealthOf(primary),
                            m_groups[name].last_write_answer, Now()),
                  pool == m_pool_silence.end() ? Duration{} : pool->second);
}

void RelayCore::On(const EndpointSilence& event) {
  if (event.silent_for == Duration{}) {
    m_pool_silence.erase(event.endpoint);
  } else {
    m_pool_silence[event.endpoint] = event.silent_for;
  }
}

// A host that reaches few primaries serves little; the balancer should send
// callers to another zone.
void RelayCore::CheckReachability() {
  const auto now = Now();
  std::size_t unreachable = 0;
  for (const auto& [name, group] : m_directory->groups) {
    auto& state = m_groups[name];
    if (PrimaryOf(name) != nullptr) {
      state.without_primary_since.reset();
      if (state.silent_for > kUnreachableAfter) ++unreachable;
      continue;
    }
    // Usually one is being replaced.
    if (!state.without_primary_since) state.without_primary_since = now;
    if (now - *state.without_primary_since > kReplacedWithin) ++unreachable;
  }
  if (unreachable * 2 <= m_directory->groups.size()) {
    m_unreachable_since.reset();
  } else if (!m_unreachable_since) {
    m_unreachable_since = now;
  }
  const bool cut_off =
      m_unreachable_since && now - *m_unreachable_since >= kCutOffAfter;
  if (cut_off != m_cut_off) {
    m_cut_off = cut_off;
    log::Event(log::Channel::kTraffic, log::Level::kWarn,
               cut_off ? "cut_off" : "reachable_again",
               {{"unreachable_groups", std::to_string(unreachable)},
                {"groups", std::to_string(m_directory->groups.size())}});
    m_actions.push_back(Reachability{cut_off});
  }
  if (cut_off && now - *m_unreachable_since >= kCutOffCloseAfter) CloseIdle();
}

// Sessions are closed between operations once the balancer has had time to
// notice; transactions in progress may end first.
void RelayCore::Drain() {
  if (Now() - *m_drain_started >= kDrainServe) CloseIdle();
}

void RelayCore::CloseIdle() {
  std::vector<SessionId> idle;
  for (const auto& [id, session] : m_sessions) {
    if (session.request || session.state != TxState::kIdle) continue;
    idle.push_back(id);
  }
  for (const auto id : idle) {
    m_actions.push_back(CloseSession{id});
    DropOrphan(FindSession(id));
  }
}

}  // namespace tiller::relay
