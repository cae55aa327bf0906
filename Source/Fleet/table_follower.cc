// Implementation of the table follower.
#include "Fleet/table_follower.h"

#include <algorithm>

#include "Common/log.h"
#include "Common/names.h"

namespace tiller::fleet {
namespace {

// Long, since every poll that ends without a change is a wasted call. A dead
// connection is detected sooner: by the probes of the client, by checks, and by
// other hosts, which send newer copies.
constexpr Milliseconds kFollowWait{10'000};
constexpr Milliseconds kInitialRetryDelay{100};
constexpr int kMaxDoublings = 4;
// First pause of a host that only checks whether the store answers. Hundreds of
// such hosts call at the same time, and refused calls are a load as well.
constexpr Milliseconds kProbeInterval{1'200};
// The first probes of hosts that lose their sources together are spread over
// this time. Part of the time in which a configuration must be in force.
constexpr Milliseconds kFirstProbeSpread{400};
constexpr int kMaxProbeDoublings = 2;
// Time for an answer of the store, and the same for an answer that is large: a
// configuration of many routes needs seconds over a slow link. Each failure
// doubles the time, since it may be due to a large answer.
constexpr Milliseconds kAnswerLimit{1'200};
constexpr Milliseconds kLargeAnswerLimit{5'000};
// A reader sends a copy to all its subscribers over one link, which callers'
// requests use as well.
constexpr std::size_t kMaxCopyBytes = 64 << 10;

}  // namespace

void TableFollower::RestartLongPoll() {
  if (m_call == 0 || !m_call_waits) return;
  m_call = 0;
  m_call_requested = true;
}

void TableFollower::ObserveEra(StoreEra era) {
  if (!m_loaded || m_content_version.era >= era) return;
  m_read_needed = true;
  RestartLongPoll();
  if (m_mode != FollowMode::kPaused) RequestCall();
}

void TableFollower::RequestLargeCall() {
  RequestCall();
  m_large_expected = true;
}

void TableFollower::SetMode(FollowMode mode, Milliseconds interval) {
  m_interval = interval;
  if (mode == m_mode) return;
  m_mode = mode;
  m_next_call_at = m_clock->Now();
  if (mode == FollowMode::kProbe) {
    m_next_call_at +=
        Milliseconds(m_random->UniformBelow(kFirstProbeSpread.count()));
  } else if (mode == FollowMode::kLongPoll) {
    m_call_requested = true;
  }
}

std::optional<Action> TableFollower::NextCall() {
  const auto now = m_clock->Now();
  if (m_call != 0) return NextCheck();
  const bool at_once = m_call_requested && m_failures == 0;
  if (!at_once && now < m_next_call_at) return std::nullopt;
  if (!m_call_requested && m_mode == FollowMode::kPaused && m_loaded) {
    return std::nullopt;
  }
  // After a failure the call does not wait: its answer shows that the store is
  // available again.
  const bool waits =
      m_mode == FollowMode::kLongPoll && m_failures == 0 && !m_call_requested;
  m_call_requested = false;
  m_check_requested = false;
  m_call = ++m_last_call;
  m_call_waits = waits && !m_read_needed;
  m_last_call_at = now;
  const auto answer_limit =
      m_large_expected || waits
          ? kLargeAnswerLimit
          : std::min(kAnswerLimit * (1 << std::min(m_failures, kMaxDoublings)),
                     kLargeAnswerLimit);
  if (m_read_needed) return ReadTable{m_table, answer_limit, m_call};
  return FollowTable{m_table, m_store_version,
                     waits ? kFollowWait : Milliseconds{0}, answer_limit,
                     m_call};
}

std::optional<Action> TableFollower::NextCheck() {
  if (!std::exchange(m_check_requested, false)) return std::nullopt;
  if (!m_call_waits || m_check != 0) return std::nullopt;
  m_check = ++m_last_call;
  return FollowTable{m_table, m_store_version, Milliseconds{0}, kAnswerLimit,
                     m_check};
}

bool TableFollower::EndCall(CallId call) {
  if (call != m_call && call != m_check) return false;
  (call == m_call ? m_call : m_check) = 0;
  return true;
}

bool TableFollower::RecordFailure(StoreStatus status) {
  // After a failed check the long poll is not worth waiting for.
  m_call = 0;
  const bool probe = m_mode == FollowMode::kProbe;
  const int doublings =
      std::min(m_failures, probe ? kMaxProbeDoublings : kMaxDoublings);
  if (m_failures++ == 0) {
    log::Event(log::Channel::kPlatform, log::Level::kWarn, "store_lost",
               {{"table", m_table},
                {"status", std::string(NameOf(kStoreStatusNames, status))},
                {"version", TextOf(m_content_version)}});
  }
  m_next_call_at =
      m_clock->Now() +
      (probe ? kProbeInterval : kInitialRetryDelay) * (1 << doublings);
  return false;
}

void TableFollower::RecordSuccess(StoreTime now) {
  if (m_failures > 0) {
    log::Event(log::Channel::kPlatform, log::Level::kInfo, "store_regained",
               {{"table", m_table}});
  }
  m_failures = 0;
  m_large_expected = false;
  m_complete_at = std::max(m_complete_at, now);
  m_last_answer_at = m_clock->Now();
  m_next_call_at = m_clock->Now() +
                   (m_mode == FollowMode::kProbe ? kProbeInterval : m_interval);
}

bool TableFollower::Apply(const Row& row) {
  const auto known = m_rows.find(row.key);
  if (known != m_rows.end() && known->second.version >= row.version) {
    return false;
  }
  const auto deletion = m_deletions.find(row.key);
  if (deletion != m_deletions.end() && deletion->second >= row.version) {
    return false;
  }
  m_content_version = std::max(m_content_version, row.version);
  if (row.deleted) {
    m_rows.erase(row.key);
    m_deletions[row.key] = row.version;
  } else {
    m_rows[row.key] = row;
    m_deletions.erase(row.key);
  }
  return true;
}

bool TableFollower::Handle(const TableRead& event) {
  const bool replaced = !EndCall(event.call);
  if (event.status != StoreStatus::kDone) {
    return !replaced && RecordFailure(event.status);
  }
  m_read_needed = false;
  m_store_version = std::max(m_store_version, event.version);
  // A read that started before a newer copy from another host was adopted is
  // discarded.
  if (m_loaded && event.version < m_content_version) {
    RecordSuccess(StoreTime{0});
    m_counters->Add("table_reads_discarded");
    log::Event(log::Channel::kPlatform, log::Level::kWarn,
               "table_read_discarded",
               {{"table", m_table},
                {"version", TextOf(event.version)},
                {"known", TextOf(m_content_version)}});
    return false;
  }
  RecordSuccess(event.now);
  m_rows.clear();
  m_deletions.clear();
  m_content_version =
      std::max(m_content_version, RowVersion{event.version.era, 0});
  for (const auto& row : event.rows) Apply(row);
  m_deletions_known_from = m_content_version;
  m_loaded = true;
  return true;
}

bool TableFollower::Handle(const TableChanged& event) {
  const bool replaced = !EndCall(event.call);
  if (event.status == StoreStatus::kExpired) {
    if (replaced) return false;
    m_read_needed = true;
    // The read that follows may not help; it is not repeated without a pause.
    if (m_expirations > 0) {
      m_next_call_at =
          m_clock->Now() +
          kInitialRetryDelay * (1 << std::min(m_expirations, kMaxDoublings));
    }
    ++m_expirations;
    m_counters->Add("table_history_expired");
    log::Event(log::Channel::kPlatform, log::Level::kInfo, "history_expired",
               {{"table", m_table},
                {"after", TextOf(event.after)},
                {"era", std::to_string(event.era)}});
    return false;
  }
  if (event.status != StoreStatus::kDone) {
    return !replaced && RecordFailure(event.status);
  }
  RecordSuccess(event.now);
  m_expirations = 0;
  m_store_version = std::max(m_store_version, event.version);
  bool changed = false;
  for (const auto& row : event.rows) changed |= Apply(row);
  return changed;
}

bool TableFollower::IsLargeSince(RowVersion version) const {
  const bool whole = version < m_deletions_known_from;
  std::size_t bytes = 0;
  for (const auto& [key, row] : m_rows) {
    if (whole || row.version > version) bytes += row.value.size();
  }
  return bytes > kMaxCopyBytes;
}

peer::TableDigest::Item TableFollower::Digest() const {
  return {m_table,
          m_content_version.number,
          m_store_version.number,
          static_cast<std::uint64_t>(m_complete_at.count()),
          false,
          m_content_version.era};
}

peer::TableCopy TableFollower::CopySince(RowVersion version) const {
  peer::TableCopy copy;
  copy.table = m_table;
  copy.era = m_content_version.era;
  copy.version = m_content_version.number;
  copy.complete_to = m_store_version.number;
  copy.complete_at_ms = static_cast<std::uint64_t>(m_complete_at.count());
  const bool changes_known =
      version.era == copy.era && version >= m_deletions_known_from;
  if (changes_known) copy.base = version.number;
  for (const auto& [key, row] : m_rows) {
    if (row.version.number <= copy.base) continue;
    copy.rows.push_back({key, row.value, row.version.number, false});
  }
  if (copy.base == 0) return copy;
  for (const auto& [key, deleted_at] : m_deletions) {
    if (deleted_at.number <= copy.base) continue;
    copy.rows.push_back({key, {}, deleted_at.number, true});
  }
  return copy;
}

bool TableFollower::Adopt(const peer::TableCopy& copy) {
  const RowVersion version{copy.era, copy.version};
  if (version.IsNone()) return false;
  if (m_loaded && version <= m_content_version) return false;
  const bool whole = copy.base == 0;
  const RowVersion base{copy.era, copy.base};
  // Changes between the local content and the copy's base would be missing.
  if (!whole && (!m_loaded || base > m_content_version)) return false;
  // The changes are relative to content of this era.
  if (!whole && copy.era != m_content_version.era) return false;
  if (whole) {
    m_rows.clear();
    m_deletions.clear();
    m_deletions_known_from = version;
  }
  for (const auto& row : copy.rows) {
    Apply({row.key, row.value, {copy.era, row.version}, row.deleted});
  }
  // The long poll in progress asks for the changes of the older era.
  if (m_content_version.era != copy.era) RestartLongPoll();
  m_content_version = version;
  m_loaded = true;
  m_read_needed = false;
  Confirm({m_table, copy.version, copy.complete_to, copy.complete_at_ms, false,
           copy.era});
  return true;
}

void TableFollower::Confirm(const peer::TableDigest::Item& item) {
  if (!m_loaded || item.era != m_content_version.era) return;
  if (item.version > m_content_version.number) return;
  m_store_version =
      std::max({m_store_version, RowVersion{item.era, item.complete_to},
                m_content_version});
  m_complete_at =
      std::max(m_complete_at,
               StoreTime(static_cast<StoreTime::rep>(item.complete_at_ms)));
}

}  // namespace tiller::fleet
