// The shared pool: endpoints that do not answer it; see endpoint_silence.h.
#include <algorithm>

#include "Relay/connection_table.h"
#include "Relay/shared_pool.h"

namespace tiller::relay {
namespace {

// Statements for an endpoint that has not answered for this long are refused
// without being sent: the outcome of a write would be in doubt, whereas a
// refused statement can still run elsewhere.
constexpr Milliseconds kRefuseAfterSilence{300};
// An endpoint that has not answered for this long is reported to the relay.
constexpr Milliseconds kReportSilenceAfter{250};
// A status takes no slot at the endpoint, so if no answer has come after a few
// round trips, none will come.
constexpr Milliseconds kProbeTimeout{300};
constexpr Milliseconds kProbeOpenTimeout{700};

}  // namespace

Silence SharedPool::SilenceOf(const EndpointId& endpoint) const {
  return SilenceOf(endpoint, FindPending(m_connections, endpoint));
}

Silence SharedPool::SilenceOf(const EndpointId& endpoint,
                              const PendingRequests& pending) const {
  const auto health = m_health.find(endpoint);
  const auto write = m_last_write_answer.find(endpoint);
  return MeasureSilence(
      pending, health == m_health.end() ? EndpointHealth() : health->second,
      write == m_last_write_answer.end() ? Instant{} : write->second,
      m_ticks.OnTimeSince(Now()), Now());
}

// An endpoint that has lost its replicas still answers reads.
bool SharedPool::IsSilentFor(const PoolSession& session) const {
  const auto silence = SilenceOf(session.endpoint);
  const auto verb = session.pending->statement.verb;
  const bool only_reads = verb == Verb::kRead || verb == Verb::kBeginRead;
  return (only_reads ? silence.of_all : silence.Longest()) >
         kRefuseAfterSilence;
}

// Reports an endpoint that does not answer on each tick, and its recovery once.
void SharedPool::ReportSilence() {
  const auto pending = FindAllPending(m_connections);
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    const auto silent = SilenceOf(id, PendingAt(pending, id)).Longest();
    const bool is_silent = silent > kReportSilenceAfter;
    auto& reported = m_silence_reported[id];
    if (!is_silent && !reported) continue;
    reported = is_silent;
    m_actions.push_back(EndpointSilence{id, is_silent ? silent : Duration{}});
  }
}

void SharedPool::ProbeSilentEndpoints() {
  const auto on_time_since = m_ticks.OnTimeSince(Now());
  const auto pending = FindAllPending(m_connections);
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    const auto health = m_health.find(id);
    if (health == m_health.end() ||
        !NeedsProbe(PendingAt(pending, id), health->second, on_time_since,
                    Now())) {
      continue;
    }
    auto* connection = FindIdleOfAny(&m_connections, id);
    if (connection == nullptr) {
      OpenProbe(endpoint);
      continue;
    }
    m_counters->Add("pool_endpoint_probes");
    connection->state = ConnectionState::kBusy;
    SendStatement action;
    action.statement.verb = Verb::kStatus;
    Send(connection, Step::kProbe, std::move(action), kProbeTimeout);
  }
}

void SharedPool::OpenProbe(const Endpoint& endpoint) {
  std::size_t held = 0;
  for (const auto& [id, connection] : m_connections) {
    if (connection.endpoint != endpoint.id) continue;
    if (connection.state == ConnectionState::kOpening) return;
    ++held;
  }
  if (held >= MaxPerHost(endpoint) || m_directory->workspaces.empty()) return;
  if (m_health[endpoint.id].RefusedRecently(Now())) return;
  m_counters->Add("pool_endpoint_probes");
  // For a workspace that uses the endpoint, if there is one.
  auto workspace = m_directory->workspaces.begin()->first;
  for (const auto& [id, session] : m_sessions) {
    if (session.endpoint == endpoint.id) workspace = session.workspace;
  }
  const auto id = m_next_connection++;
  auto& connection = m_connections[id];
  connection.id = id;
  connection.endpoint = endpoint.id;
  connection.group = endpoint.group;
  connection.workspace = workspace;
  connection.step_sent = Now();
  connection.step_deadline = Now() + kProbeOpenTimeout;
  m_actions.push_back(OpenConnection{id, endpoint.id, endpoint.address,
                                     endpoint.group, workspace});
}

}  // namespace tiller::relay
