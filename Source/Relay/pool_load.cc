// Relay: what it tells shared pools about its statements, and what it does with
// their load reports.
#include <algorithm>

#include "Relay/connection_path.h"
#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

// The first version that knows schedules and load reports.
constexpr int kScheduleVersion = 2;

}  // namespace

std::optional<balance::Schedule> RelayCore::ScheduleFor(
    const Connection& connection, const Session& session, Step step) const {
  if (!m_settings.load_management) return std::nullopt;
  if (connection.pool_version < kScheduleVersion) return std::nullopt;
  if (connection.in_transaction) return std::nullopt;
  if (step != Step::kBegin && step != Step::kUser) return std::nullopt;
  const auto until = [&](Instant time) {
    return std::chrono::duration_cast<Milliseconds>(time - Now());
  };
  balance::Schedule schedule;
  schedule.priority = session.route.priority;
  schedule.until_target =
      until(session.operation.first_arrived + session.route.target_latency);
  schedule.until_limit = until(session.request->deadline);
  schedule.begins_transaction = session.state == TxState::kOpen;
  return schedule;
}

void RelayCore::RecordLoad(const Connection& connection,
                           const StatementResult& result) {
  if (!result.load || !m_settings.load_management) return;
  m_loads.Record(
      {connection.endpoint, connection.workspace, connection.pool_host_id},
      *result.load, Now());
}

// Only what a single endpoint can serve: a read may run elsewhere.
bool RelayCore::RefuseIfOverloaded(Session* session) {
  const auto& group = session->route.group;
  if (!m_settings.load_management || !IsPooled(group)) return false;
  if (session->pinned != 0 || !NeedsPrimary(*session)) return false;
  const auto* primary = PrimaryOf(group);
  if (primary == nullptr) return false;
  const auto pool = PoolFor(*primary, session->workspace);
  if (!pool) return false;
  const auto load =
      m_loads.Find({primary->id, session->workspace, pool->host}, Now());
  if (!load) return false;
  balance::Schedule schedule;
  schedule.until_target = std::chrono::duration_cast<Milliseconds>(
      session->operation.first_arrived + session->route.target_latency - Now());
  schedule.until_limit = std::chrono::duration_cast<Milliseconds>(
      session->request->deadline - Now());
  if (load->expected_wait <= balance::MaxWait(schedule)) return false;
  const auto retry = m_loads.RetryAfter(load->expected_wait);
  m_counters->Add("refused_pool_overloaded");
  const auto reason =
      "endpoint is busy, retry after " + std::to_string(retry.count()) + " ms";
  if (session->state == TxState::kOpen) {
    RefuseInTransaction(session, Refusal::kBusy, reason);
  } else {
    Refuse(session, Refusal::kBusy, reason);
  }
  return true;
}

}  // namespace tiller::relay
