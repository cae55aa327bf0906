// Implementation of the table follower.
#include "Fleet/table_follower.h"

#include <algorithm>

#include "Common/log.h"
#include "Common/names.h"

namespace tiller::fleet {
namespace {

// Long, since every poll that ends without a change is a wasted call. A dead
// connection is detected sooner: by the probes of the client, and by other
// hosts, which send newer copies.
constexpr Milliseconds kFollowWait{10'000};
constexpr Milliseconds kInitialRetryDelay{100};
constexpr Milliseconds kMaxRetryDelay{800};
constexpr int kMaxDoublings = 3;

}  // namespace

std::optional<Action> TableFollower::NextCall() {
  if (m_call_outstanding || m_clock->Now() < m_retry_at) return std::nullopt;
  m_call_outstanding = true;
  if (m_read_needed) return ReadTable{m_table};
  // After a failure the call does not wait: its answer shows that the store is
  // available again.
  const auto wait = m_failures > 0 ? Milliseconds{0} : kFollowWait;
  return FollowTable{m_table, m_store_version, wait};
}

bool TableFollower::RecordFailure(StoreStatus status) {
  const int doublings = std::min(m_failures, kMaxDoublings);
  if (m_failures++ == 0) {
    log::Event(log::Channel::kPlatform, log::Level::kWarn, "store_lost",
               {{"table", m_table},
                {"status", std::string(NameOf(kStoreStatusNames, status))},
                {"version", std::to_string(m_content_version)}});
  }
  m_retry_at =
      m_clock->Now() +
      std::min<Duration>(kInitialRetryDelay * (1 << doublings), kMaxRetryDelay);
  return false;
}

void TableFollower::RecordSuccess() {
  if (m_failures > 0) {
    log::Event(log::Channel::kPlatform, log::Level::kInfo, "store_regained",
               {{"table", m_table}});
  }
  m_failures = 0;
  m_last_answer_at = m_clock->Now();
}

bool TableFollower::Handle(const TableRead& event) {
  m_call_outstanding = false;
  if (event.status != StoreStatus::kDone) return RecordFailure(event.status);
  RecordSuccess();
  m_read_needed = false;
  m_store_version = event.version;
  // A read that started before a newer copy from another host was adopted is
  // discarded below.
  RowVersion newest = 0;
  for (const auto& row : event.rows) newest = std::max(newest, row.version);
  if (m_loaded && event.version < m_content_version) return false;
  m_rows.clear();
  for (const auto& row : event.rows) m_rows[row.key] = row;
  m_content_version = std::max(m_content_version, newest);
  m_loaded = true;
  return true;
}

bool TableFollower::Handle(const TableChanged& event) {
  m_call_outstanding = false;
  if (event.status == StoreStatus::kExpired) {
    m_read_needed = true;
    log::Event(log::Channel::kPlatform, log::Level::kInfo, "history_expired",
               {{"table", m_table}});
    return false;
  }
  if (event.status != StoreStatus::kDone) return RecordFailure(event.status);
  RecordSuccess();
  m_store_version = std::max(m_store_version, event.version);
  bool changed = false;
  for (const auto& row : event.rows) {
    const auto it = m_rows.find(row.key);
    if (it != m_rows.end() && it->second.version >= row.version) continue;
    m_content_version = std::max(m_content_version, row.version);
    changed = true;
    if (row.deleted) {
      m_rows.erase(row.key);
    } else {
      m_rows[row.key] = row;
    }
  }
  return changed;
}

bool TableFollower::Adopt(const std::vector<Row>& rows,
                          RowVersion content_version) {
  if (m_loaded && content_version <= m_content_version) return false;
  m_rows.clear();
  for (const auto& row : rows) m_rows[row.key] = row;
  m_content_version = content_version;
  m_loaded = true;
  return true;
}

}  // namespace tiller::fleet
