// Administrative statements, which the control thread sends to endpoints.
#include <algorithm>
#include <utility>

#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

constexpr Milliseconds kAdminTimeout{350};

}  // namespace

void RelayCore::On(const AdminRequest& event) {
  auto& job = m_admin[event.id];
  job.request = event;
  job.deadline = Now() + kAdminTimeout;
  StartAdmin(&job);
}

void RelayCore::StartAdmin(AdminJob* job) {
  const auto* endpoint = FindEndpoint(job->request.endpoint);
  if (endpoint == nullptr) return FinishAdmin(job->request.id, false, {});
  for (auto& [id, connection] : m_connections) {
    if (TryRunAdmin(job, &connection)) return;
  }
  const bool opening = std::any_of(
      m_connections.begin(), m_connections.end(), [&](const auto& item) {
        return item.second.endpoint == endpoint->id &&
               item.second.state == ConnectionState::kOpening;
      });
  if (opening || m_directory->workspaces.empty()) return;
  // Connecting again and again would let an endpoint that does not run look
  // worse than it is.
  if (std::exchange(job->opened, true) &&
      HealthOf(endpoint->id).InBackoff(Now())) {
    return;
  }
  if (CanOpenConnection(*endpoint) || ConnectionsAt(endpoint->id) == 0) {
    Open(*endpoint, m_directory->workspaces.begin()->first);
  }
}

bool RelayCore::TryRunAdmin(AdminJob* job, Connection* connection) {
  if (job->connection != 0) return false;
  if (connection->endpoint != job->request.endpoint) return false;
  if (connection->state != ConnectionState::kIdle) return false;
  job->connection = connection->id;
  connection->state = ConnectionState::kBusy;
  connection->admin = job->request.id;
  SendStatement action;
  action.connection = connection->id;
  action.statement.verb = job->request.verb;
  action.term = job->request.term;
  connection->step = Step::kAdmin;
  connection->sent = action.statement;
  connection->step_sent = Now();
  connection->step_deadline = job->deadline;
  m_actions.push_back(std::move(action));
  return true;
}

bool RelayCore::RunWaitingAdmin(Connection* connection) {
  for (auto& [id, job] : m_admin) {
    if (TryRunAdmin(&job, connection)) return true;
  }
  return false;
}

void RelayCore::StartWaitingAdmin() {
  std::vector<std::uint64_t> waiting;
  for (const auto& [id, job] : m_admin) {
    if (job.connection == 0) waiting.push_back(id);
  }
  for (const auto id : waiting) {
    const auto it = m_admin.find(id);
    if (it != m_admin.end()) StartAdmin(&it->second);
  }
}

void RelayCore::FinishAdmin(std::uint64_t id, bool answered,
                            const StatementResult& result) {
  const auto it = m_admin.find(id);
  if (it == m_admin.end()) return;
  const auto& endpoint = it->second.request.endpoint;
  const bool ever_answered =
      answered || HealthOf(endpoint).LastKnownPosition().has_value();
  m_actions.push_back(AdminDone{id, endpoint, answered, result, ever_answered});
  m_admin.erase(it);
}

}  // namespace tiller::relay
