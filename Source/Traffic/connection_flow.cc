// Connection handling of the traffic core: exchanges, resets, probes, and the
// closing of connections whose state is uncertain.
#include <algorithm>
#include <utility>

#include "Traffic/traffic_core.h"

namespace tiller::traffic {
namespace {

constexpr Milliseconds kStatusReportInterval{50};
constexpr Milliseconds kResetTimeout{1000};
constexpr Milliseconds kProbeConfirmLimit{300};

}  // namespace

void TrafficCore::RunPlan(Connection* connection, Request* request, Plan plan,
                          Duration timeout) {
  connection->request = request->call.id;
  connection->state = ConnectionState::kBusy;
  connection->exchange_sent_at = Now();
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
  connection->exchange_sent_at = Now();
  ++connection->generation;
  m_actions.push_back(RunPipeline{connection->id, connection->generation,
                                  MakeReset().steps, kResetTimeout});
}

void TrafficCore::Close(ConnectionId id, bool failed) {
  if (m_pool.Find(id) == nullptr) return;
  m_pool.RemoveConnection(id, failed, Now());
  m_actions.push_back(CloseConnection{id});
}

void TrafficCore::ReleaseConnection(Request* request, Connection* connection) {
  ReleaseSlot(request);
  if (request->leaves_state) return Reset(connection);
  m_pool.MarkIdle(connection, Now());
}

void TrafficCore::ReleaseSlot(Request* request) {
  if (!request->slot) return;
  m_slots.Release(*request->slot, Now());
  request->slot.reset();
}

// Records and reports that an endpoint did not answer on one connection, and
// closes its idle connections: the same fault may have broken them as well.
void TrafficCore::SuspectEndpoint(const EndpointId& endpoint) {
  m_endpoints.ObserveFailure(endpoint, Now());
  m_actions.push_back(EndpointUnresponsive{endpoint});
  for (const auto id : m_pool.IdleConnections(endpoint)) {
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
    // Probe immediately: the router sends no reads to an endpoint of unknown
    // status.
    m_next_probe_at[endpoint] = Now();
    const auto* row = m_endpoints.Find(endpoint);
    if (row != nullptr && !row->status_known) SendDueProbes(Now());
    return DispatchQueued(endpoint);
  }
  m_counters->Add("connect_failed");
  m_pool.RemoveConnection(opened.connection, true, Now());
  m_endpoints.ObserveFailure(endpoint, Now());
  m_actions.push_back(EndpointUnresponsive{endpoint});
}

void TrafficCore::On(const ConnectionClosed& closed) {
  auto* connection = m_pool.Find(closed.connection);
  if (connection == nullptr) return;
  const auto endpoint = connection->endpoint;
  const auto transaction = connection->transaction;
  m_pool.RemoveConnection(closed.connection, true, Now());
  m_actions.push_back(CloseConnection{closed.connection});
  if (!transaction.empty()) {
    m_counters->Add("transactions_ended_connection_lost");
    m_transactions.Remove(transaction);
  }
  m_endpoints.ObserveFailure(endpoint, Now());
  m_actions.push_back(EndpointUnresponsive{endpoint});
}

void TrafficCore::RecordEndpointStatus(const EndpointId& endpoint,
                                       const endpoint::StepResult& result) {
  const auto status = endpoint::ParseStatus(result);
  if (!status) return;
  const auto* row = m_endpoints.Find(endpoint);
  if (row == nullptr) return;
  const auto group = row->group;
  const auto* group_row = m_endpoints.FindGroup(group);
  const Term previous_term = group_row == nullptr ? 0 : group_row->term;
  // Reports a changed role or term to the control core immediately, and an
  // unchanged status at intervals only: sending a message to the control thread
  // for each answer would cost more than the information is worth.
  const auto& previous = row->status;
  const auto& current = status.value();
  const bool status_changed = previous.role != current.role ||
                              previous.term != current.term ||
                              previous.fence_term != current.fence_term;
  const bool report_due =
      Now() - row->last_reported_at >= kStatusReportInterval;
  m_endpoints.Observe(endpoint, current, Now());
  if (status_changed || report_due) {
    m_endpoints.Find(endpoint)->last_reported_at = Now();
    m_actions.push_back(EndpointStatusReport{endpoint, current});
  }
  if (group_row != nullptr && group_row->term != previous_term) {
    RerouteAfterTermChange(group);
  }
}

void TrafficCore::OnProbeResults(
    Connection* connection, const std::vector<endpoint::StepResult>& results) {
  const auto endpoint = connection->endpoint;
  const auto probe_sent_at = connection->exchange_sent_at;
  m_pool.MarkIdle(connection, Now());
  RecordEndpointStatus(endpoint, results.front());
  const auto status = endpoint::ParseStatus(results.front());
  const auto* row = m_endpoints.Find(endpoint);
  if (results.size() < 2 || !status || row == nullptr) return;
  const auto confirmed = endpoint::ParseConfirmation(results.back());
  if (!confirmed || !confirmed.value().confirmed) return;
  m_endpoints.AddWatermark(row->group, {probe_sent_at, confirmed.value().at});
}

// Probes each endpoint at a fixed interval over an idle connection. While all
// connections are busy, the status in the answers serves instead.
void TrafficCore::SendDueProbes(Instant now) {
  if (!m_view || !m_view->config) return;
  for (auto& [name, row] : m_endpoints.Endpoints()) {
    auto& next = m_next_probe_at[name];
    if (now < next) continue;
    const auto* group = m_endpoints.FindGroup(row.group);
    const bool primary = group != nullptr && group->primary == name;
    // A recent answer already carried the status, so no probe is needed. The
    // primary is always probed: its confirmations are needed to determine the
    // age of the replicas' data.
    const bool answered_recently =
        row.status_known && now - row.last_answer_at < m_options.probe_interval;
    if (!primary && answered_recently) {
      next = row.last_answer_at + m_options.probe_interval;
      continue;
    }
    auto* connection = m_pool.TakeIdle(name);
    if (connection == nullptr) {
      if (m_pool.ConnectionCount(name) > 0) continue;
      if (auto open = m_pool.TryOpen(name, row.address, now)) {
        m_actions.emplace_back(std::move(*open));
      }
      continue;
    }
    next = now + m_options.probe_interval;
    connection->probing = true;
    connection->exchange_sent_at = now;
    ++connection->generation;
    m_actions.push_back(RunPipeline{
        connection->id, connection->generation,
        MakeProbe(primary, kProbeConfirmLimit).steps, m_options.probe_timeout});
  }
}

}  // namespace tiller::traffic
