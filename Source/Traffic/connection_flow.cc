// Use of connections: exchanges, resets, probes and closing in doubt.
#include <algorithm>
#include <utility>

#include "Traffic/traffic_core.h"

namespace tiller::traffic {
namespace {

constexpr Milliseconds kTellInterval{50};
constexpr Milliseconds kResetTimeout{1000};
constexpr Milliseconds kProbeConfirmLimit{300};

}  // namespace

void TrafficCore::RunOn(Connection* connection, Request* request, Plan plan,
                        Duration timeout) {
  connection->request = request->call.id;
  connection->state = ConnectionState::kBusy;
  connection->exchange_sent = Now();
  ++connection->generation;
  request->connection = connection->id;
  request->layout = plan.layout;
  m_actions.push_back(RunPipeline{connection->id, connection->generation,
                                  std::move(plan.steps),
                                  std::chrono::ceil<Milliseconds>(timeout)});
}

void TrafficCore::Reset(Connection* connection) {
  connection->request = 0;
  connection->transaction.clear();
  connection->resetting = true;
  connection->state = ConnectionState::kBusy;
  connection->exchange_sent = Now();
  ++connection->generation;
  m_actions.push_back(RunPipeline{connection->id, connection->generation,
                                  MakeReset().steps, kResetTimeout});
}

void TrafficCore::Close(ConnectionId id, bool failed) {
  if (m_pool.Find(id) == nullptr) return;
  m_pool.Forget(id, failed, Now());
  m_actions.push_back(CloseConnection{id});
}

void TrafficCore::GiveBack(Request* request, Connection* connection) {
  ReleaseUnit(request);
  if (request->leaves_state) return Reset(connection);
  m_pool.MarkIdle(connection, Now());
}

void TrafficCore::ReleaseUnit(Request* request) {
  if (!request->unit) return;
  m_units.Release(*request->unit, Now());
  request->unit.reset();
}

// A connection that fell silent casts doubt on the idle ones of its endpoint:
// whatever lost track of it may have lost track of them too.
void TrafficCore::SuspectEndpoint(const EndpointId& endpoint) {
  m_endpoints.ObserveFailure(endpoint, Now());
  m_actions.push_back(EndpointSilent{endpoint});
  for (const auto id : m_pool.IdleOf(endpoint)) {
    m_counters->Add("connections_closed_suspect");
    Close(id, false);
  }
}

void TrafficCore::On(const ConnectionOpened& opened) {
  auto* connection = m_pool.Find(opened.connection);
  if (connection == nullptr) return;
  const auto endpoint = connection->endpoint;
  if (opened.ok) {
    m_pool.OnOpened(connection, Now());
    // Ask at once: without a status the endpoint gets no reads.
    m_next_probe[endpoint] = Now();
    const auto* row = m_endpoints.Find(endpoint);
    if (row != nullptr && !row->status_known) TickProbes(Now());
    return Pump(endpoint);
  }
  m_counters->Add("connect_failed");
  m_pool.Forget(opened.connection, true, Now());
  m_endpoints.ObserveFailure(endpoint, Now());
  m_actions.push_back(EndpointSilent{endpoint});
}

void TrafficCore::On(const ConnectionClosed& closed) {
  auto* connection = m_pool.Find(closed.connection);
  if (connection == nullptr) return;
  const auto endpoint = connection->endpoint;
  const auto transaction = connection->transaction;
  m_pool.Forget(closed.connection, true, Now());
  m_actions.push_back(CloseConnection{closed.connection});
  if (!transaction.empty()) {
    m_counters->Add("transactions_ended_connection_lost");
    m_transactions.Remove(transaction);
  }
  m_endpoints.ObserveFailure(endpoint, Now());
  m_actions.push_back(EndpointSilent{endpoint});
}

void TrafficCore::Observe(const EndpointId& endpoint,
                          const endpoint::StepResult& result) {
  const auto status = endpoint::ParseStatus(result);
  if (!status) return;
  const auto* row = m_endpoints.Find(endpoint);
  if (row == nullptr) return;
  const auto group = row->group;
  const auto* group_row = m_endpoints.FindGroup(group);
  const Term term_before = group_row == nullptr ? 0 : group_row->term;
  // The control part needs news at once, and signs of life now and then: a
  // message between threads for each answer would cost more than it tells.
  const auto& before = row->status;
  const auto& now_said = status.value();
  const bool news = before.role != now_said.role ||
                    before.term != now_said.term ||
                    before.fence_term != now_said.fence_term;
  const bool due = Now() - row->told >= kTellInterval;
  m_endpoints.Observe(endpoint, now_said, Now());
  if (news || due) {
    m_endpoints.Find(endpoint)->told = Now();
    m_actions.push_back(EndpointHeard{endpoint, now_said});
  }
  if (group_row != nullptr && group_row->term != term_before) {
    RerouteAfterTermChange(group);
  }
}

void TrafficCore::OnProbeResults(
    Connection* connection, const std::vector<endpoint::StepResult>& results) {
  const auto endpoint = connection->endpoint;
  const auto sent = connection->exchange_sent;
  m_pool.MarkIdle(connection, Now());
  Observe(endpoint, results.front());
  const auto status = endpoint::ParseStatus(results.front());
  const auto* row = m_endpoints.Find(endpoint);
  if (results.size() < 2 || !status || row == nullptr) return;
  const auto confirmed = endpoint::ParseConfirmation(results.back());
  if (!confirmed || !confirmed.value().confirmed) return;
  m_endpoints.AddMark(row->group, {sent, confirmed.value().at});
}

// Each endpoint is asked for its status at a steady interval over one idle
// connection; while all are busy, the answers themselves tell.
void TrafficCore::TickProbes(Instant now) {
  if (!m_view || !m_view->config) return;
  for (auto& [name, row] : m_endpoints.Endpoints()) {
    auto& next = m_next_probe[name];
    if (now < next) continue;
    const auto* group = m_endpoints.FindGroup(row.group);
    const bool primary = group != nullptr && group->primary == name;
    // Answers carry the status too; only a primary is asked in any case, for
    // its confirmations date the replicas' data.
    const bool heard_lately =
        row.status_known && now - row.heard < m_options.probe_interval;
    if (!primary && heard_lately) {
      next = row.heard + m_options.probe_interval;
      continue;
    }
    auto* connection = m_pool.TakeIdle(name);
    if (connection == nullptr) {
      if (m_pool.CountOf(name) > 0) continue;
      if (auto open = m_pool.Grow(name, row.address, now)) {
        m_actions.emplace_back(std::move(*open));
      }
      continue;
    }
    next = now + m_options.probe_interval;
    connection->probing = true;
    connection->exchange_sent = now;
    ++connection->generation;
    m_actions.push_back(RunPipeline{
        connection->id, connection->generation,
        MakeProbe(primary, kProbeConfirmLimit).steps, m_options.probe_timeout});
  }
}

}  // namespace tiller::traffic
