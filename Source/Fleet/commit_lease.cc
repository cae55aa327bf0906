// Implementation of the commit lease.
#include "Fleet/commit_lease.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "Common/log.h"
#include "Fleet/claim_row.h"

namespace tiller::fleet {
namespace {

// Once less than this is left of the lease, several hosts are asked at once.
constexpr Milliseconds kUrgentLeft{700};
constexpr Milliseconds kUrgentQueryInterval{120};
// Of other zones; one of the own zone is asked as well.
constexpr std::size_t kUrgentQueries = 3;
// After the time limit of a message to a host, and a random part of the spread,
// without an answer, the store is asked as well.
constexpr Milliseconds kStoreAfter{400};
constexpr Milliseconds kStoreSpread{250};
// A lease from the store is taken again when less than this is left.
constexpr Milliseconds kStoreLeft = kStoreAfter + kStoreSpread;
// The spread for hosts that have just started: in a fleet that starts, a few
// take leases from the store, and the others get theirs from these.
constexpr Milliseconds kFirstStoreSpread{4'000};
constexpr Milliseconds kStoreInterval{400};
// After a call that failed.
constexpr Milliseconds kStoreRetry{1'500};
constexpr Milliseconds kStoreAnswerLimit{600};

}  // namespace

Instant CommitLease::ValidUntil() const {
  // Before the seats are known, other hosts may exist.
  if (!m_seats->Loaded()) return Instant{};
  return m_seats->Peers().empty() ? Instant::max() : m_valid_until;
}

Instant CommitLease::EndOfGrants() const {
  const auto& peers = m_seats->Peers();
  const bool outside_exists =
      std::any_of(peers.begin(), peers.end(),
                  [&](const auto& peer) { return peer.zone != m_self.zone; });
  Instant last{};
  Instant second_last{};
  Instant last_outside{};
  for (const auto& [host, granted] : m_grants) {
    second_last = std::max(second_last, std::min(last, granted.sent_at));
    last = std::max(last, granted.sent_at);
    if (granted.host.zone == m_self.zone) continue;
    last_outside = std::max(last_outside, granted.sent_at);
  }
  auto end = (outside_exists ? last_outside : last) + kCommitLease;
  if (peers.size() >= kPeersForTwoGrants) {
    end = std::min(end, second_last + kGrantorLimit);
  }
  return end;
}

void CommitLease::Query(const FleetHost& host) {
  const peer::LeaseQuery query{m_next_nonce++};
  m_queries[query.nonce] = {host, m_clock->Now()};
  if (!m_asked_since) {
    m_asked_since = m_clock->Now();
    const auto spread = m_informed ? kStoreSpread : kFirstStoreSpread;
    m_store_after =
        kStoreAfter + Milliseconds(m_random->UniformBelow(
                          static_cast<std::uint64_t>(spread.count())));
  }
  m_counters->Add("commit_lease_queries");
  m_actions.push_back(SendPeer{host.address, query});
}

void CommitLease::QueryOne(std::vector<FleetHost>* hosts,
                           std::set<HostId>* asked) {
  if (hosts->empty()) return;
  const auto asked_before = std::stable_partition(
      hosts->begin(), hosts->end(),
      [&](const auto& host) { return m_last_asked.count(host.host) == 0; });
  const auto others = asked_before - hosts->begin();
  const auto choices =
      others > 0 ? static_cast<std::size_t>(others) : hosts->size();
  const auto pick = hosts->begin() + static_cast<std::ptrdiff_t>(
                                         m_random->UniformBelow(choices));
  Query(*pick);
  asked->insert(pick->host);
  hosts->erase(pick);
}

void CommitLease::Tick() {
  const auto now = m_clock->Now();
  std::erase_if(m_queries, [&](const auto& item) {
    return now - item.second.sent_at > kCommitLease;
  });
  std::erase_if(m_grants, [&](const auto& item) {
    return now - item.second.sent_at > kGrantorLimit;
  });
  std::erase_if(m_granted_until, [&](const auto& item) {
    return item.second + kGrantorLimit <= now;
  });
  if (m_seats->Peers().empty()) {
    m_informed |= m_seats->Loaded();
    return;
  }
  const bool urgent = m_valid_until - now < kUrgentLeft;
  const bool unanswered =
      m_asked_since && now - *m_asked_since >= m_store_after;
  if (unanswered && m_valid_until - now < kStoreLeft) StartStoreLease();
  if (now - m_queried_at <
      (urgent ? kUrgentQueryInterval : kLeaseQueryInterval)) {
    return;
  }
  m_queried_at = now;
  auto peers = m_seats->Peers();
  const auto own_zone = std::stable_partition(
      peers.begin(), peers.end(),
      [&](const auto& peer) { return peer.zone != m_self.zone; });
  std::vector<FleetHost> mates(own_zone, peers.end());
  peers.erase(own_zone, peers.end());
  const bool ask_mate = urgent || peers.size() < 2;
  const std::size_t count = urgent ? kUrgentQueries : 1;
  std::set<HostId> asked;
  for (std::size_t sent = 0; sent < count; ++sent) QueryOne(&peers, &asked);
  if (ask_mate) QueryOne(&mates, &asked);
  m_last_asked = std::move(asked);
}

std::optional<peer::LeaseGrant> CommitLease::Grant(
    const HostId& to, const peer::LeaseQuery& query) {
  if (!m_informed) return std::nullopt;
  m_granted_until[to] = m_clock->Now() + kCommitLease;
  return peer::LeaseGrant{query.nonce, {}};
}

void CommitLease::Handle(const peer::LeaseGrant& grant) {
  const auto query = m_queries.find(grant.nonce);
  if (query == m_queries.end()) return;
  auto& granted = m_grants[query->second.host.host];
  if (query->second.sent_at > granted.sent_at) granted = query->second;
  m_queries.erase(query);
  m_informed = true;
  const auto end = EndOfGrants();
  const bool renewed =
      end > m_valid_until || end - m_clock->Now() >= kUrgentLeft;
  m_valid_until = std::max(m_valid_until, end);
  if (renewed) m_asked_since.reset();
}

std::vector<peer::GrantedLease> CommitLease::Granted() const {
  std::vector<peer::GrantedLease> out;
  const auto now = m_clock->Now();
  for (const auto& [host, until] : m_granted_until) {
    if (until + kGrantorLimit <= now) continue;
    out.push_back(
        {host, std::chrono::duration_cast<Milliseconds>(until - now)});
  }
  return out;
}

// ---- the store

void CommitLease::StartStoreLease() {
  const auto now = m_clock->Now();
  if (m_step != StoreStep::kNone || now < m_next_store_call_at) return;
  m_next_store_call_at = now + kStoreInterval;
  m_counters->Add("commit_lease_store_calls");
  if (m_row_known) return WriteLeaseRow();
  m_counters->Add("commit_lease_row_reads");
  m_step = StoreStep::kReadingRow;
  m_row_read_sent_at = now;
  m_store_call = ReadTable{kLeaseTable, kStoreAnswerLimit};
}

void CommitLease::WriteLeaseRow() {
  const auto now = m_clock->Now();
  m_step = StoreStep::kWritingRow;
  m_row_sent_at = now;
  // Not behind the clock of the store, so that the row covers the lease.
  const auto since_answer =
      std::chrono::ceil<StoreTime>(now - m_store_time_requested_at);
  const auto store_now =
      std::max(m_seats->EstimatedStoreTime().value_or(StoreTime{0}),
               m_store_time + since_answer);
  Json::Value value;
  value["until"] = Json::Int64((store_now + kCommitLease).count());
  m_store_call =
      WriteRow{0, kLeaseTable, m_self.host, ToText(value), m_row_version};
}

bool CommitLease::Handle(const TableRead& event) {
  m_call = 0;
  const auto step = std::exchange(m_step, StoreStep::kNone);
  if (event.status != StoreStatus::kDone) {
    m_next_store_call_at = m_clock->Now() + kStoreRetry;
    return false;
  }
  if (step == StoreStep::kReadingClaims) {
    m_valid_until = std::max(m_valid_until, m_row_sent_at + kCommitLease);
    m_informed = true;
    return true;
  }
  const auto row =
      std::find_if(event.rows.begin(), event.rows.end(),
                   [&](const Row& other) { return other.key == m_self.host; });
  m_row_version =
      row == event.rows.end() ? RowVersion{event.era, 0} : row->version;
  m_store_time = event.now;
  m_store_time_requested_at = m_row_read_sent_at;
  WriteLeaseRow();
  return false;
}

void CommitLease::Handle(const RowWritten& event) {
  m_call = 0;
  m_step = StoreStep::kNone;
  if (event.status != StoreStatus::kDone) {
    const bool row_unchanged = event.status == StoreStatus::kNotRun;
    // The row may have another version than the one remembered: it is read at
    // once. If that fails as well, the store is left alone for a while.
    const bool read_at_once = m_row_known && !row_unchanged;
    m_row_known = m_row_known && row_unchanged;
    m_next_store_call_at =
        m_clock->Now() + (read_at_once ? Milliseconds{0} : kStoreRetry);
    return;
  }
  m_row_known = true;
  m_row_version = event.version;
  m_store_time = event.now;
  m_store_time_requested_at = m_row_sent_at;
  m_step = StoreStep::kReadingClaims;
  m_store_call = ReadTable{kClaimTable, kStoreAnswerLimit};
}

std::optional<peer::GrantedLease> CommitLease::ReadRow(const Row& row,
                                                       StoreTime now) {
  const auto json = ParseJson(row.value);
  if (!json) return std::nullopt;
  const StoreTime until(
      static_cast<StoreTime::rep>(UintOr(json.value(), "until")));
  return peer::GrantedLease{
      row.key,
      std::clamp<Milliseconds>(until - now, Milliseconds(0), kCommitLease)};
}

std::vector<Action> CommitLease::TakeActions(CallId* next_call) {
  auto out = std::exchange(m_actions, {});
  if (!m_store_call) return out;
  m_call = (*next_call)++;
  if (auto* read = std::get_if<ReadTable>(&*m_store_call)) read->call = m_call;
  if (auto* write = std::get_if<WriteRow>(&*m_store_call)) write->call = m_call;
  out.push_back(std::move(*m_store_call));
  m_store_call.reset();
  return out;
}

}  // namespace tiller::fleet
