// Table replication: answers of the store, and the exchange of versions and
// copies with other hosts.
#include "Fleet/table_replication.h"

#include <utility>

#include "Common/log.h"

namespace tiller::fleet {
namespace {

// Interval at which a reader sends the versions of its tables to some other
// hosts.
constexpr Milliseconds kDigestInterval{1000};
// Shorter, since other hosts are the only source while the store does not
// answer.
constexpr Milliseconds kDigestIntervalStoreDown{250};
constexpr std::size_t kDigestFanOut = 3;
// Minimum time before a table is sent to the same host again. Repeating is
// necessary because a copy may be lost.
constexpr Milliseconds kCopyInterval{400};
// Large copies are sent to one host at a time, and a host that cannot reach the
// store asks for one at this interval.
constexpr Milliseconds kLargeCopyInterval{2'000};
constexpr Milliseconds kFetchInterval{3'000};
// Confirmations are passed on to subscribers if they are newer by this much.
constexpr Milliseconds kConfirmationStep{500};

}  // namespace

TableReplication::TableReplication(FleetHost self,
                                   const std::string& operator_table,
                                   const std::string& endpoint_table,
                                   const SeatTable* seats, const Clock* clock,
                                   Random* random, Counters* counters)
    : m_self(std::move(self)),
      m_seats(seats),
      m_clock(clock),
      m_random(random),
      m_counters(counters),
      m_operator_table(operator_table, clock, random, counters),
      m_endpoint_table(endpoint_table, clock, random, counters),
      m_seat_rows(kSeatTable, clock, random, counters),
      m_started_at(clock->Now()) {
  UpdateFollowModes();
}

std::array<TableFollower*, 3> TableReplication::Followers() {
  return {&m_operator_table, &m_endpoint_table, &m_seat_rows};
}

TableFollower* TableReplication::FollowerOf(const std::string& table) {
  for (auto* follower : Followers()) {
    if (follower->Table() == table) return follower;
  }
  return nullptr;
}

bool TableReplication::Current() const {
  if (!ReadsStore()) return Fresh();
  return !m_endpoint_table.Failing() && !m_operator_table.Failing();
}

template <typename Answer>
const TableFollower* TableReplication::HandleAnswer(const Answer& answer) {
  auto* follower = FollowerOf(answer.table);
  if (follower == nullptr) return nullptr;
  const bool first_seats = follower == &m_seat_rows && !follower->Loaded();
  const bool was_failing = follower->Failing();
  const bool changed = follower->Handle(answer);
  if (was_failing && !follower->Failing()) RestartLongPolls();
  if (follower != &m_endpoint_table && answer.status == StoreStatus::kDone) {
    ConfirmToReaders();
  }
  if (follower == &m_operator_table && answer.status == StoreStatus::kDone &&
      !changed) {
    ConfirmToSubscribers();
  }
  if (!changed) return nullptr;
  if (first_seats) m_first_start = follower->Rows().empty();
  NotifySubscribers(*follower);
  return follower;
}

const TableFollower* TableReplication::Handle(const TableRead& event) {
  return HandleAnswer(event);
}

const TableFollower* TableReplication::Handle(const TableChanged& event) {
  return HandleAnswer(event);
}

const TableFollower* TableReplication::Handle(const peer::TableCopy& copy) {
  auto* follower = FollowerOf(copy.table);
  if (follower == nullptr) return nullptr;
  const bool first_seats = follower == &m_seat_rows && !follower->Loaded();
  if (!follower->Adopt(copy)) return nullptr;
  if (first_seats) m_first_start = false;
  if (follower != &m_seat_rows) {
    log::Event(log::Channel::kPlatform, log::Level::kInfo, "table_adopted",
               {{"table", copy.table},
                {"version", TextOf({copy.era, copy.version})},
                {"base", std::to_string(copy.base)}});
  }
  NotifySubscribers(*follower);
  return follower;
}

void TableReplication::ObserveEra(StoreEra era) {
  for (auto* follower : Followers()) follower->ObserveEra(era);
  if (ReadsStore()) m_seat_rows.RequestCall();
}

void TableReplication::Handle(const peer::Envelope& envelope,
                              const peer::TableDigest& digest) {
  if (digest.answer) OnAnswer(envelope);
  if (digest.query) OnQuery(envelope, digest);
  const auto now = m_clock->Now();
  const auto& address = envelope.from_address;
  const auto complete_before = m_operator_table.CompleteAt();
  bool sender_is_newer = false;
  for (const auto& item : digest.tables) {
    auto* follower = FollowerOf(item.table);
    if (follower == nullptr) continue;
    follower->Confirm(item);
    const RowVersion version{item.era, item.version};
    if (version > follower->ContentVersion()) {
      if (item.large) GetLargeChange(address, follower);
      sender_is_newer |= !item.large;
      continue;
    }
    if (version == follower->ContentVersion()) continue;
    auto& sent_at = m_copy_sent_at[address + "/" + item.table];
    if (!digest.fetch && now - sent_at < kCopyInterval) continue;
    sent_at = now;
    SendCopy(address, *follower, version, digest.fetch);
  }
  if (m_operator_table.CompleteAt() - complete_before >= kConfirmationStep) {
    ConfirmToSubscribers();
  }
  // The sender of an answer knows the versions of this host and sends what it
  // lacks.
  if (!sender_is_newer || digest.answer) return;
  auto& requested_at = m_copies_requested_at[address];
  if (now - requested_at < kCopyInterval) return;
  requested_at = now;
  SendDigest(address, {}, true);
}

// The store answers again after a failure. The answer to a long poll that was
// in progress meanwhile may be lost.
void TableReplication::RestartLongPolls() {
  m_operator_table.RestartLongPoll();
  m_endpoint_table.RestartLongPoll();
}

void TableReplication::SendCopy(const std::string& address,
                                const TableFollower& follower, RowVersion since,
                                bool fetch) {
  if (follower.IsLargeSince(since)) {
    const auto now = m_clock->Now();
    if (!fetch || now < m_next_large_copy_at) {
      peer::TableDigest notice;
      notice.tables.push_back(follower.Digest());
      notice.tables.back().large = true;
      m_counters->Add("table_copies_too_large");
      m_actions.push_back(SendPeer{address, std::move(notice)});
      return;
    }
    m_next_large_copy_at = now + kLargeCopyInterval;
  }
  m_counters->Add("table_copies_sent");
  m_actions.push_back(SendPeer{address, follower.CopySince(since)});
}

void TableReplication::GetLargeChange(const std::string& address,
                                      TableFollower* follower) {
  follower->RequestLargeCall();
  if (!follower->Failing() || m_clock->Now() < m_next_fetch_at) return;
  m_next_fetch_at = m_clock->Now() + kFetchInterval;
  peer::TableDigest request;
  request.fetch = true;
  request.tables.push_back(follower->Digest());
  m_actions.push_back(SendPeer{address, std::move(request)});
}

void TableReplication::SendDigest(const std::string& address,
                                  peer::TableDigest digest, bool with_seats) {
  for (const auto* follower : Followers()) {
    if (follower == &m_seat_rows && !with_seats) continue;
    digest.tables.push_back(follower->Digest());
  }
  digest.config_version = m_config_version;
  m_actions.push_back(SendPeer{address, std::move(digest)});
}

// Spreads versions among the hosts that read the store, so that one that is
// cut off from it gets changes from the others.
void TableReplication::SendDigests() {
  const bool store_failing =
      m_operator_table.Failing() || m_endpoint_table.Failing();
  m_next_digest_at = m_clock->Now() + (store_failing ? kDigestIntervalStoreDown
                                                     : kDigestInterval);
  if (!ReadsStore()) return;
  auto peers = m_seats->Peers();
  for (std::size_t sent = 0; sent < kDigestFanOut && !peers.empty(); ++sent) {
    const auto pick = m_random->UniformBelow(peers.size());
    SendDigest(peers[pick].address, {}, false);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void TableReplication::Tick() {
  UpdateFollowModes();
  if (m_clock->Now() >= m_next_digest_at) SendDigests();
  if (m_clock->Now() >= m_next_query_at) QuerySources();
}

std::vector<Action> TableReplication::TakeActions() {
  for (auto* follower : Followers()) {
    if (auto call = follower->NextCall()) m_actions.push_back(std::move(*call));
  }
  return std::exchange(m_actions, {});
}

}  // namespace tiller::fleet
