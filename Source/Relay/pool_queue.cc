// The shared pool's queue: how long statements wait, which are refused at once,
// and what hosts are told of the load.
#include <algorithm>
#include <utility>

#include "Relay/shared_pool.h"

namespace tiller::relay {
namespace {

// A report is repeated after this time, or sooner if the expected wait has
// changed by more than kReportStep or the limit was reached or left. Half of
// the time after which it expires.
constexpr Milliseconds kReportInterval{500};
constexpr Milliseconds kReportStep{20};

}  // namespace

const balance::Schedule* SharedPool::ScheduleOf(
    const PoolSession& session) const {
  if (!m_load_management || !session.pending) return nullptr;
  const auto& schedule = session.pending->schedule;
  return schedule ? &*schedule : nullptr;
}

Instant SharedPool::DueTime(const PoolSession& session) const {
  const auto* schedule = ScheduleOf(session);
  return session.arrived +
         (schedule == nullptr ? balance::kMinWait : schedule->until_target);
}

bool SharedPool::IsLate(const PoolSession& session) const {
  return ScheduleOf(session) != nullptr && DueTime(session) <= Now();
}

Duration SharedPool::MaxWaitOf(const PoolSession& session) const {
  const auto* schedule = ScheduleOf(session);
  return schedule == nullptr ? balance::kMinWait : balance::MaxWait(*schedule);
}

void SharedPool::RefuseIfHopeless(PoolSession* session) {
  if (ScheduleOf(*session) == nullptr || session->connection != 0) return;
  if (IsAdministrative(session->pending->statement.verb)) return;
  const auto load = LoadOf(*session);
  if (load.expected_wait <= MaxWaitOf(*session)) return;
  m_counters->Add("pool_refused_at_once");
  Refuse(session, Refusal::kBusy,
         "expected wait is " +
             std::to_string(
                 std::chrono::duration_cast<Milliseconds>(load.expected_wait)
                     .count()) +
             " ms");
}

balance::LoadReport SharedPool::LoadOf(const PoolSession& session) const {
  balance::LoadReport load;
  bool idle = false;
  for (const auto& [id, connection] : m_connections) {
    if (connection.endpoint != session.endpoint) continue;
    if (connection.state == ConnectionState::kOpening) continue;
    ++load.connections;
    if (connection.state == ConnectionState::kIdle) {
      idle = true;
    } else {
      ++load.in_progress;
    }
  }
  const bool late = IsLate(session);
  std::size_t ahead = 0;
  for (const auto& [id, other] : m_sessions) {
    if (!other.pending || other.connection != 0) continue;
    if (other.endpoint != session.endpoint || other.id == session.id) continue;
    ++load.waiting;
    // The late ones come after those that can still be on time.
    if (late || !IsLate(other)) ++ahead;
  }
  const auto health = m_health.find(session.endpoint);
  load.at_limit =
      health != m_health.end() && health->second.AtConnectionLimit(Now());
  const auto forecast = m_forecasts.find(session.endpoint);
  if (!idle && forecast != m_forecasts.end()) {
    load.expected_wait = forecast->second.Expected(ahead, load.connections);
  }
  return load;
}

void SharedPool::AddLoad(PoolSession* session, StatementResult* result) {
  if (ScheduleOf(*session) == nullptr) return;
  const auto load = LoadOf(*session);
  if (session->reported && Now() - session->reported_at < kReportInterval) {
    const auto change = load.expected_wait - session->reported->expected_wait;
    if (change < kReportStep && -change < kReportStep &&
        load.at_limit == session->reported->at_limit) {
      return;
    }
  }
  session->reported = load;
  session->reported_at = Now();
  result->load = load;
  m_counters->Add("pool_load_reports");
}

void SharedPool::RecordOccupied(const PoolSession& session) {
  m_forecasts[session.endpoint].RecordOccupied(Now() - session.assigned);
}

}  // namespace tiller::relay
