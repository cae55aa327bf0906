// Administrative statements, which the control thread sends to endpoints.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Common/names.h"
#include "Relay/connection_path.h"
#include "Relay/connection_setup.h"
#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

constexpr Milliseconds kAdminTimeout{350};
// Before the next attempt at a busy endpoint.
constexpr Milliseconds kAdminRetryDelay{20};
// Before pools that had no connection are asked again. Each of them may try to
// open one at the endpoint's limit.
constexpr Milliseconds kPoolsRetryDelay{50};

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
        const auto& connection = item.second;
        return connection.endpoint == endpoint->id &&
               connection.state == ConnectionState::kOpening &&
               job->tried_pools.count(connection.pool_host_id) == 0;
      });
  if (opening || m_directory->workspaces.empty()) return;
  // Connecting again and again would let an endpoint that does not run look
  // worse than it is.
  if (std::exchange(job->opened, true) &&
      HealthOf(endpoint->id).InBackoff(Now())) {
    return;
  }
  if (CanOpenConnection(*endpoint) || ConnectionsAt(endpoint->id) == 0) {
    OpenForAdmin(job, *endpoint);
  }
}

// The hosts that hold connections to an endpoint are those that keep the
// connections of some workspace there.
void RelayCore::OpenForAdmin(AdminJob* job, const Endpoint& endpoint) {
  for (const auto& [workspace, row] : m_directory->workspaces) {
    const auto pool_host =
        IsPooled(endpoint.group) ? PoolFor(endpoint, workspace) : std::nullopt;
    if (pool_host && job->tried_pools.count(pool_host->host) > 0) continue;
    Open(endpoint, workspace);
    return;
  }
  job->tried_pools.clear();
  job->retry_at = Now() + kPoolsRetryDelay;
  m_counters->Add("admin_pools_exhausted");
}

bool RelayCore::TryRunAdmin(AdminJob* job, Connection* connection) {
  if (job->connection != 0) return false;
  if (connection->endpoint != job->request.endpoint) return false;
  if (connection->state != ConnectionState::kIdle) return false;
  if (Now() < job->retry_at) return false;
  if (job->tried_pools.count(connection->pool_host_id) > 0) return false;
  job->connection = connection->id;
  connection->state = ConnectionState::kBusy;
  connection->admin = job->request.id;
  SendStatement action;
  action.connection = connection->id;
  action.statement.verb = job->request.verb;
  action.term = job->request.term;
  RecordSent(connection, Step::kAdmin, action.statement);
  connection->sent_after.reset();
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
    if (job.connection != 0 || Now() < job.retry_at) continue;
    if (job.request.verb == Verb::kContinue) continue;  // see RetryAdmin
    waiting.push_back(id);
  }
  for (const auto id : waiting) {
    const auto it = m_admin.find(id);
    if (it != m_admin.end()) StartAdmin(&it->second);
  }
}

bool RelayCore::RetryRefusedAdmin(std::uint64_t id,
                                  const Connection& connection,
                                  const StatementResult& result) {
  const auto it = m_admin.find(id);
  if (it == m_admin.end() || result.Ok()) return false;
  auto& job = it->second;
  const auto code = std::string(NameOf(kRefusalNames, result.refusal));
  if (!IsFromEndpoint(connection, result)) {
    job.tried_pools.insert(connection.pool_host_id);
    RetryAdmin(&job, connection, "pool_" + code);
    return true;
  }
  if (result.refusal != Refusal::kBusy) return false;
  job.refused = result;
  job.retry_at = Now() + kAdminRetryDelay;
  RetryAdmin(&job, connection, "endpoint_" + code);
  return true;
}

bool RelayCore::RetryUnconfirmedAdmin(std::uint64_t id,
                                      const Connection& connection) {
  const auto it = m_admin.find(id);
  if (it == m_admin.end()) return false;
  // Its answer carries nothing that the sender uses.
  if (it->second.request.verb == Verb::kContinue) return false;
  RetryAdmin(&it->second, connection, "status_unconfirmed");
  return true;
}

void RelayCore::OnAdminLost(const Connection& connection, LossCause cause) {
  const auto it = m_admin.find(connection.admin);
  if (it == m_admin.end()) return;
  if (cause == LossCause::kAnswer) {
    return RetryAdmin(&it->second, connection, "status_unconfirmed");
  }
  if (cause == LossCause::kSilent || connection.pool_host_id.empty()) {
    return FinishAdmin(connection.admin, false, {});
  }
  it->second.tried_pools.insert(connection.pool_host_id);
  RetryAdmin(&it->second, connection, "pool_lost");
}

// CONTINUE carries no term, so a late one would end the pause of the next
// holder of the group's claim. Its sender decides whether to repeat it.
void RelayCore::RetryAdmin(AdminJob* job, const Connection& connection,
                           const std::string& reason) {
  if (job->request.verb == Verb::kContinue) {
    m_counters->Add("admin_continue_refused");
    return FinishAdmin(job->request.id, false, {});
  }
  job->connection = 0;
  m_counters->Add("admin_retried_" + reason);
  log::Event(log::Channel::kEndpoint, log::Level::kInfo, "admin_retried",
             {{"endpoint", connection.endpoint},
              {"verb", std::string(NameOf(kVerbNames, job->request.verb))},
              {"pool_host", connection.pool_host_id},
              {"reason", reason}});
}

// A statement that the endpoint itself refused until the end was answered.
void RelayCore::FinishAdmin(std::uint64_t id, bool answered,
                            const StatementResult& result) {
  const auto it = m_admin.find(id);
  if (it == m_admin.end()) return;
  if (!answered && it->second.refused) {
    const StatementResult refusal = *it->second.refused;
    return FinishAdmin(id, true, refusal);
  }
  if (!answered) m_counters->Add("admin_unanswered");
  const auto& endpoint = it->second.request.endpoint;
  const bool ever_answered =
      answered || HealthOf(endpoint).LastKnownPosition().has_value();
  m_actions.push_back(AdminDone{id, endpoint, answered, result, ever_answered});
  m_admin.erase(it);
}

}  // namespace tiller::relay
