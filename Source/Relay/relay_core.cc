// Event dispatch, directory updates and the work of each timer tick.
#include "Relay/relay_core.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Common/names.h"
#include "Relay/connection_table.h"
#include "Relay/directory_changes.h"
#include "Relay/endpoint_silence.h"

namespace tiller::relay {
namespace {

// A primary whose newest watermark is older than this is probed with a BEGIN.
constexpr Milliseconds kProbeInterval{400};
// Behind shared pools there are many hosts with little traffic each, and the
// pools detect an unresponsive primary sooner. A host probes a primary only
// while callers read from its group, and only before its newest watermark
// becomes too old for these reads.
constexpr Milliseconds kPooledProbeInterval{800};
constexpr double kPooledProbeStalenessShare = 0.75;
constexpr Milliseconds kPooledProbeDemand{2'000};
// A primary that has not answered for longer than this is reported to the
// control thread, repeatedly.
constexpr Milliseconds kMinReportedSilence{250};
constexpr Milliseconds kReportInterval{100};
// Positions are reported less often: a change of primary asks all hosts for
// theirs, and each of them knows some of the newest commits.
constexpr Milliseconds kPositionReportInterval{500};
// A leaving primary is still used while its successor is promoted. The limit is
// well below the one on new work at a leaving endpoint.
constexpr Milliseconds kLeavingPrimaryTimeout{4500};
// The load balancer stops sending new sessions after two failed readiness
// probes, which run once per second. Until then sessions are served as usual.
constexpr Milliseconds kDrainDelay{2300};
constexpr Milliseconds kProbeTimeout{350};
// Nothing more is sent to a primary that has not answered for this long: a
// write would be in doubt, while a request that waits can still run elsewhere.
constexpr Milliseconds kPrimaryUnusableAfter{300};
// Part of the rate limit's tolerance that a restart of all hosts may use. The
// rest covers operations that reach endpoints later than they were admitted.
constexpr double kRestartAllowanceShare = 0.8;

// `staleness` is the least staleness that a route of the group allows; 0 if
// there is no such route.
Duration PooledProbeInterval(Milliseconds staleness) {
  return std::max<Duration>(kPooledProbeInterval,
                            std::chrono::duration_cast<Duration>(
                                staleness * kPooledProbeStalenessShare));
}

}  // namespace

RelayCore::RelayCore(RelaySettings settings, const Clock* clock, Random* random,
                     Counters* counters)
    : m_settings(std::move(settings)),
      m_clock(clock),
      m_random(random),
      m_counters(counters),
      m_tokens(m_settings.host, random, counters),
      m_operations(m_settings.count_operations),
      m_pools(random),
      m_loads(random),
      m_placement(random, counters),
      m_outliers(random, counters) {}

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
      Now() - leaving->second > kLeavingPrimaryTimeout) {
    return nullptr;
  }
  return endpoint;
}

bool RelayCore::PrimaryUsable(const GroupId& group) const {
  const auto& state = m_groups[group];
  return PrimaryOf(group) != nullptr &&
         state.evident_silence < kPrimaryUnusableAfter &&
         state.held_until <= Now();
}

void RelayCore::On(const DirectoryChanged& event) {
  const auto old = std::exchange(m_directory, event.directory);
  if (!old || !SameWorkspaces(*old, *m_directory) ||
      !SameEndpoints(*old, *m_directory) ||
      !SamePrimaries(*old, *m_directory)) {
    m_homes.clear();
  }
  m_tokens.Update(RateLimits(), m_seats, Now());
  for (const auto& opened : std::exchange(m_deferred_sessions, {})) On(opened);
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (endpoint.leaving) {
      m_leaving_since.try_emplace(id, Now());
    } else {
      m_leaving_since.erase(id);
    }
  }
  for (const auto id :
       ObsoleteIdleConnections(m_connections, old.get(), *m_directory)) {
    CloseAndRemove(id);
  }
  const auto gone = [&](const auto& item) {
    return FindEndpoint(item.first) == nullptr;
  };
  std::erase_if(m_health, gone);
  std::erase_if(m_leaving_since, gone);
  std::erase_if(m_pool_silence, gone);
  std::map<GroupId, Milliseconds> staleness;
  for (const auto& [database, route] : m_directory->routes) {
    if (route.kind == RouteKind::kPrimary) continue;
    const auto least =
        staleness.try_emplace(route.group, route.max_staleness).first;
    least->second = std::min(least->second, route.max_staleness);
  }
  for (const auto& [name, group] : m_directory->groups) {
    m_groups[name].staleness = staleness[name];
    HandlePrimaryChange(group);
    DispatchWaiting(name);
  }
}

// Resets what was observed of the old primary if the group has a new one.
void RelayCore::HandlePrimaryChange(const Group& group) {
  auto& state = m_groups[group.name];
  if (group.primary != state.deposed) state.deposed.clear();
  if (group.primary != state.listed_primary) {
    log::Event(log::Channel::kFailover, log::Level::kInfo, "primary_changed",
               {{"group", group.name},
                {"primary", group.primary},
                {"previous", state.listed_primary}});
    state.listed_primary = group.primary;
  }
  EndHoldIfTargetLeads(group.name);
  // A primary that is listed again after its row was missing is the old one.
  if (group.primary.empty() || group.primary == state.last_primary) return;
  state.last_primary = group.primary;
  state.silent_for = {};
  state.evident_silence = {};
  state.primary_uncertain_until = {};
}

void RelayCore::On(const SeatsChanged& event) {
  m_seats = event.seats;
  m_pools_by_zone.clear();
  for (const int seat : m_seats.CountedSeats()) {
    const auto index = static_cast<std::size_t>(seat);
    if (index >= m_seats.pool_addresses.size()) continue;
    if (m_seats.pool_addresses[index].empty()) continue;
    ++m_pools_by_zone[m_seats.zones[index]];
  }
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
    rates.push_back({name, workspace.rate, workspace.burst,
                     tolerance * kRestartAllowanceShare});
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
      if (!session.request || session.request->phase != Phase::kWaitForToken)
        continue;
      if (session.workspace == grant->workspace) waiting.push_back(id);
    }
    // The oldest operation has the least time left to meet its target.
    std::sort(waiting.begin(), waiting.end(), [&](SessionId a, SessionId b) {
      return m_sessions.at(a).operation.first_arrived <
             m_sessions.at(b).operation.first_arrived;
    });
    for (const auto id : waiting) {
      auto* session = FindSession(id);
      if (!TryTakeToken(session)) break;
      OnOperationAdmitted(session);
    }
    // After an empty grant, other hosts are asked.
    RequestTokens(grant->workspace);
  }
  TakeShareMessages();
}

void RelayCore::TakeShareMessages() {
  for (auto& out : m_tokens.TakeMessages()) {
    m_actions.push_back(SendShare{out.to, std::move(out.message)});
  }
}

void RelayCore::On(const DrainStarted& event) {
  if (m_drain) return;
  m_drain = {Now(), Now() + event.transaction_time, Now() + event.exit_time};
}

void RelayCore::On(const TimerFired&) {
  m_ticks.RecordTick(Now());
  if (m_directory) CheckPoolZones();
  ExpireSteps();
  ExpireRequests();
  TakeOperations();
  if (!m_directory) return;
  ExpireIdleTransactions();
  StartWaitingAdmin();
  for (const auto& name : GroupsWithWaiting()) {
    if (m_directory->groups.count(name) > 0) DispatchWaiting(name);
  }
  TrimIdle();
  ProbePools();
  m_loads.Expire(Now());
  CheckIsolation();
  for (const auto& [name, group] : m_directory->groups) {
    ReportHold(name);
    LogRisk(name);
  }
  ConfirmCommits(std::nullopt);
  ProbePrimaries();
  ReportPrimaries();
  CheckReachability();
  if (m_drain) Drain();
}

void RelayCore::TakeOperations() {
  auto counted = m_operations.Take();
  if (!counted.changes.empty()) m_actions.push_back(std::move(counted));
}

void RelayCore::ExpireSteps() {
  for (const auto id : OverdueConnections(m_connections, Now())) {
    HandleConnectionLoss(id, LossCause::kSilent, "no answer in time");
  }
  std::vector<std::uint64_t> jobs;
  for (const auto& [id, job] : m_admin) {
    if (job.deadline <= Now()) jobs.push_back(id);
  }
  for (const auto id : jobs) FinishAdmin(id, false, {});
}

void RelayCore::ExpireRequests() {
  std::vector<SessionId> due;
  std::set<WorkspaceId> without_token;
  for (const auto& [id, session] : m_sessions) {
    if (!session.request || session.request->phase == Phase::kRunning) continue;
    const bool hopeless = session.request->phase == Phase::kWaitForConnection &&
                          LacksPrimary(session);
    if (hopeless || session.request->phase_end <= Now()) {
      due.push_back(id);
    } else if (session.request->phase == Phase::kWaitForToken) {
      without_token.insert(session.workspace);
    }
  }
  for (const auto& workspace : without_token) RequestTokens(workspace);
  for (const auto id : due) {
    auto* session = FindSession(id);
    if (session == nullptr || !session->request) continue;
    auto& request = *session->request;
    if (request.phase == Phase::kWaitForToken) {
      if (TryTakeToken(session)) {
        OnOperationAdmitted(session);
        continue;
      }
      const auto wait = m_tokens.TokenInterval(session->workspace);
      m_counters->Add("refused_over_rate");
      Refuse(
          session, Refusal::kBusy,
          "rate exceeded, retry after " + std::to_string(wait.count()) + " ms");
      continue;
    }
    if (request.phase == Phase::kBackoff) {
      request.phase = Phase::kWaitForConnection;
      request.phase_end =
          std::min(request.deadline,
                   request.arrived + std::chrono::duration_cast<Duration>(
                                         session->route.target_latency));
      Dispatch(session);
      continue;
    }
    if (LacksPrimary(*session)) {
      RefuseWithoutPrimary(session);
      continue;
    }
    const bool no_primary =
        NeedsPrimary(*session) && !PrimaryUsable(session->route.group);
    m_counters->Add(no_primary ? "refused_awaiting_primary"
                               : "refused_awaiting_connection");
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
    const auto newest = state.watermarks.NewestTime();
    const bool pooled = IsPooled(name);
    if (pooled && Now() - state.last_read > kPooledProbeDemand) continue;
    const Duration interval =
        pooled ? PooledProbeInterval(state.staleness) : kProbeInterval;
    const bool fresh = newest && Now() - *newest < interval;
    if (fresh || Now() < state.probe_after) continue;
    state.probe_after = Now() + interval / 2;
    Connection* idle = nullptr;
    std::size_t connection_count = 0;
    for (auto& [id, connection] : m_connections) {
      if (connection.endpoint != primary->id) continue;
      ++connection_count;
      if (connection.state == ConnectionState::kIdle) idle = &connection;
    }
    if (idle != nullptr) {
      idle->state = ConnectionState::kBusy;
      Send(idle, Step::kProbe, {Verb::kBegin, "", "", ""}, kProbeTimeout);
      continue;
    }
    if (connection_count == 0 && !m_directory->workspaces.empty() &&
        !HealthOf(primary->id).AtConnectionLimit(Now())) {
      Open(*primary, m_directory->workspaces.begin()->first);
    }
  }
}

void RelayCore::ReportPrimaries() {
  const auto pending = FindAllPending(m_connections);
  for (const auto& [name, group] : m_directory->groups) {
    const auto* primary = FindEndpoint(group.primary);
    if (primary == nullptr) continue;
    auto& state = m_groups[name];
    const auto requests = PendingAt(pending, primary->id);
    const Duration raw = SilenceOf(name, primary->id, requests, Instant{});
    if (state.silent_for >= kReplaceableAfter && raw < kReplaceableAfter) {
      state.primary_uncertain_until = Now() + kPromotionTime;
    }
    state.silent_for = raw;
    const Duration silent =
        SilenceOf(name, primary->id, requests, m_ticks.OnTimeSince(Now()));
    state.evident_silence = silent;
    const bool is_silent = silent > kMinReportedSilence;
    const bool position_due =
        group.synchronous &&
        state.acknowledged != state.reported_acknowledged &&
        Now() - state.last_report >= kPositionReportInterval;
    if (!is_silent && !state.reported_silent && !position_due) continue;
    if (is_silent && Now() - state.last_report < kReportInterval) continue;
    state.last_report = Now();
    state.reported_silent = is_silent;
    PrimaryHealth report;
    report.group = name;
    report.endpoint = primary->id;
    report.silent_for = is_silent ? silent : Duration{};
    report.term = state.newest_term;
    if (group.synchronous) report.acknowledged = state.acknowledged;
    state.reported_acknowledged = state.acknowledged;
    m_actions.push_back(report);
  }
}

// How long the primary has left statements unanswered, or left writes
// unanswered although it answers reads.
Duration RelayCore::SilenceOf(const GroupId& name, const EndpointId& primary,
                              const PendingRequests& requests,
                              Instant on_time_since) {
  const auto pool = m_pool_silence.find(primary);
  const auto own =
      MeasureSilence(requests, HealthOf(primary),
                     m_groups[name].last_write_answer, on_time_since, Now());
  return std::max(own.Longest(),
                  pool == m_pool_silence.end() ? Duration{} : pool->second);
}

void RelayCore::On(const EndpointSilence& event) {
  if (event.silent_for == Duration{}) {
    m_pool_silence.erase(event.endpoint);
  } else {
    m_pool_silence[event.endpoint] = event.silent_for;
  }
}

// Closes sessions between operations once the load balancer has had time to
// notice the drain. Transactions in progress may finish first.
void RelayCore::Drain() {
  if (Now() - m_drain->started < kDrainDelay) return;
  CloseIdleSessions(Instant::max(), Duration{});
}

bool RelayCore::ExitsBeforeAnswer(const Request& request) const {
  return m_drain && Now() >= m_drain->transactions_end &&
         request.deadline > m_drain->exit;
}

void RelayCore::CloseIdleSessions(Instant opened_before, Duration min_idle) {
  std::vector<SessionId> idle;
  for (const auto& [id, session] : m_sessions) {
    if (session.request || session.state != TxState::kIdle) continue;
    if (session.opened >= opened_before) continue;
    if (Now() - session.last_active < min_idle) continue;
    idle.push_back(id);
  }
  for (const auto id : idle) {
    m_actions.push_back(CloseSession{id});
    RemoveSession(FindSession(id));
  }
}

}  // namespace tiller::relay
