// Implementation of the fleet core.
#include "Fleet/fleet_core.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"

namespace tiller::fleet {
namespace {

// Interval at which a host sends the versions of its tables to some other
// hosts.
constexpr Milliseconds kDigestInterval{1000};
// Shorter, since other hosts are the only source while the store does not
// answer.
constexpr Milliseconds kDigestIntervalStoreDown{250};
constexpr std::size_t kDigestFanOut = 3;
// Minimum time before a table is sent to the same host again. Repeating is
// necessary because a copy may be lost.
constexpr Milliseconds kTableCopyInterval{400};
// Large copies are sent to one host at a time, and a host that cannot reach the
// store asks for one at this interval.
constexpr Milliseconds kLargeCopyInterval{2'000};
constexpr Milliseconds kFetchInterval{3'000};
// Time for missed changes to arrive after the store is reachable again.
constexpr Milliseconds kTablesCurrentDelay{400};

}  // namespace

FleetCore::FleetCore(FleetSettings settings, const RecordCodec* codec,
                     const Clock* clock, Random* random, Counters* counters)
    : m_settings(std::move(settings)),
      m_clock(clock),
      m_random(random),
      m_counters(counters),
      m_operator_table(m_settings.operator_table, clock, random),
      m_endpoint_table(m_settings.endpoint_table, clock, random),
      m_seat_rows(kSeatTable, clock, random),
      m_seats({m_settings.host, m_settings.address, m_settings.pool_address,
               m_settings.zone},
              clock, random),
      m_builder(codec, clock),
      m_failover(m_settings.host, m_settings.zone, clock, counters),
      m_started_at(clock->Now()) {
  UpdateFollowModes();
}

void FleetCore::Handle(const Event& event) {
  std::visit([this](const auto& alternative) { On(alternative); }, event);
  CollectActions();
}

std::vector<Action> FleetCore::TakeActions() {
  return std::exchange(m_actions, {});
}

bool FleetCore::Ready() const {
  return m_directory != nullptr && !m_directory->endpoints.empty();
}

std::array<TableFollower*, 3> FleetCore::Followers() {
  return {&m_operator_table, &m_endpoint_table, &m_seat_rows};
}

TableFollower* FleetCore::FollowerOf(const std::string& table) {
  for (auto* follower : Followers()) {
    if (follower->Table() == table) return follower;
  }
  return nullptr;
}

void FleetCore::On(const TableRead& event) {
  if (event.status != StoreStatus::kDone) m_counters->Add("store_reads_failed");
  if (event.table == kPrimaryTable) return m_failover.Handle(event);
  auto* follower = FollowerOf(event.table);
  if (follower == nullptr) return;
  if (follower == &m_seat_rows && event.status == StoreStatus::kDone) {
    m_seats.ObserveStoreTime(event.now, follower->LastCallTime());
  }
  if (follower->Handle(event)) OnTableContent(*follower);
}

void FleetCore::On(const TableChanged& event) {
  if (event.status != StoreStatus::kDone) {
    m_counters->Add("store_follows_failed");
  }
  auto* follower = FollowerOf(event.table);
  if (follower == nullptr) return;
  const bool seats_answered =
      follower == &m_seat_rows && event.status == StoreStatus::kDone;
  if (seats_answered) {
    m_seats.ObserveStoreTime(event.now, follower->LastCallTime());
  }
  if (follower->Handle(event)) return OnTableContent(*follower);
  if (seats_answered) m_seats.Confirm(follower->CompleteAt());
}

void FleetCore::On(const RowWritten& event) {
  if (event.status != StoreStatus::kDone) {
    m_counters->Add("store_writes_failed");
  }
  if (m_seats.OwnsCall(event.call)) {
    if (m_seats.Handle(event)) OnSeatsChanged();
    return;
  }
  m_failover.Handle(event);
}

void FleetCore::On(const PromoteAnswered& event) { m_failover.Handle(event); }

void FleetCore::On(const relay::PrimaryHealth& event) {
  m_failover.Handle(event);
  if (!event.deposed) return;
  m_builder.MarkNotPrimary(event.endpoint);
  Publish();
}

void FleetCore::On(const relay::AdminDone& event) { m_failover.Handle(event); }

void FleetCore::On(const relay::SendShare& event) {
  for (const auto& peer : m_seats.Peers()) {
    if (peer.host != event.to) continue;
    m_actions.push_back(SendPeer{
        peer.address,
        std::visit([](const auto& share) -> peer::Message { return share; },
                   event.message)});
    return;
  }
}

void FleetCore::On(const PeerReceived& event) {
  const auto& envelope = event.envelope;
  if (const auto* digest = std::get_if<peer::TableDigest>(&envelope.message)) {
    return OnTableDigest(envelope, *digest);
  }
  if (const auto* request =
          std::get_if<peer::StepDownRequest>(&envelope.message)) {
    return m_failover.Handle(*request);
  }
  if (const auto* copy = std::get_if<peer::TableCopy>(&envelope.message)) {
    return OnTableCopy(*copy);
  }
  if (const auto* request =
          std::get_if<limits::TokenRequest>(&envelope.message)) {
    m_actions.push_back(relay::ShareReceived{envelope.from, *request});
  }
  if (const auto* grant = std::get_if<limits::TokenGrant>(&envelope.message)) {
    m_actions.push_back(relay::ShareReceived{envelope.from, *grant});
  }
}

// Sends changes to a host whose copies are older, and asks for them if its
// copies are newer.
void FleetCore::OnTableDigest(const peer::Envelope& envelope,
                              const peer::TableDigest& digest) {
  if (digest.answer) OnAnswer(envelope, digest);
  if (digest.query) OnQuery(envelope, digest);
  bool newer = false;
  for (const auto& item : digest.tables) {
    auto* follower = FollowerOf(item.table);
    if (follower == nullptr) continue;
    if (item.version > follower->ContentVersion()) {
      if (item.large) GetLargeChange(envelope.from_address, follower);
      newer |= !item.large;
    }
    if (!follower->Loaded() || item.version >= follower->ContentVersion())
      continue;
    auto& sent_at =
        m_table_copy_sent_at[envelope.from_address + "/" + item.table];
    if (!digest.fetch && m_clock->Now() - sent_at < kTableCopyInterval)
      continue;
    sent_at = m_clock->Now();
    SendCopy(envelope.from_address, *follower, item.version, digest.fetch);
  }
  // The sender of an answer has the versions of this host already.
  if (newer && !digest.answer) {
    auto& asked_at = m_table_copy_sent_at[envelope.from_address + "?"];
    if (m_clock->Now() - asked_at < kTableCopyInterval) return;
    asked_at = m_clock->Now();
    SendDigest(envelope.from_address, {}, true);
  }
}

void FleetCore::SendCopy(const std::string& address,
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

void FleetCore::GetLargeChange(const std::string& address,
                               TableFollower* follower) {
  follower->RequestLargeCall();
  if (!follower->Failing() || m_clock->Now() < m_next_fetch_at) return;
  m_next_fetch_at = m_clock->Now() + kFetchInterval;
  peer::TableDigest request;
  request.fetch = true;
  request.tables.push_back(follower->Digest());
  m_actions.push_back(SendPeer{address, std::move(request)});
}

void FleetCore::SendDigest(const std::string& address, peer::TableDigest digest,
                           bool with_seats) {
  for (const auto* follower : Followers()) {
    if (follower == &m_seat_rows && !with_seats) continue;
    digest.tables.push_back(follower->Digest());
  }
  m_actions.push_back(SendPeer{address, std::move(digest)});
}

void FleetCore::OnTableCopy(const peer::TableCopy& copy) {
  auto* follower = FollowerOf(copy.table);
  if (follower == nullptr || !follower->Adopt(copy)) return;
  if (follower != &m_seat_rows) {
    log::Event(log::Channel::kPlatform, log::Level::kInfo, "table_adopted",
               {{"table", copy.table},
                {"version", std::to_string(copy.version)},
                {"base", std::to_string(copy.base)}});
  }
  OnTableContent(*follower);
}

void FleetCore::OnTableContent(const TableFollower& follower) {
  if (&follower == &m_seat_rows) {
    if (!m_seats.Loaded()) m_first_start = follower.Rows().empty();
    m_seats.Update(follower.Rows(), follower.CompleteAt());
    return OnSeatsChanged();
  }
  if (&follower == &m_operator_table) {
    m_builder.UpdateOperator(follower.Rows());
  } else {
    m_builder.UpdateEndpoints(follower.Rows());
  }
  NotifySubscribers(follower);
  Publish();
}

void FleetCore::Publish() {
  if (!m_builder.Ready()) return;
  m_directory = m_builder.Build();
  for (const auto& [group, row] : m_directory->groups) {
    if (m_host_ranks.count(group) > 0) continue;
    m_host_ranks[group] = m_seats.HostRank(group);
  }
  m_failover.SetDirectory(m_directory);
  m_actions.push_back(PublishDirectory{m_directory});
}

// Other hosts renew their rows all the time, which changes nothing here.
void FleetCore::PublishSeats() {
  auto view = m_seats.View();
  if (m_published_seats == view) return;
  m_published_seats = std::move(view);
  m_actions.push_back(relay::SeatsChanged{*m_published_seats});
}

void FleetCore::OnSeatsChanged() {
  PublishSeats();
  if (!m_published_seats || m_published_seats->holders == m_ranked_holders) {
    return;
  }
  m_ranked_holders = m_published_seats->holders;
  for (auto& [group, rank] : m_host_ranks) rank = m_seats.HostRank(group);
}

void FleetCore::On(const TimerFired&) {
  if (m_builder.ExpireMissing()) Publish();
  if (m_seats.CountedSeatsChanged()) PublishSeats();
  UpdateFollowModes();
  // Failover runs only after the endpoint table has been read, since a group
  // looks empty before that. Right after a store outage no failover starts,
  // since the rows may be out of date.
  const auto now = m_clock->Now();
  const bool tables_current =
      ReadsStore() ? !m_endpoint_table.Failing() && !m_operator_table.Failing()
                   : SourceConfirmed();
  if (!tables_current) m_tables_current_from = now + kTablesCurrentDelay;
  m_failover.SetTablesCurrent(now >= m_tables_current_from);
  if (m_endpoint_table.Loaded()) m_failover.Tick(m_host_ranks);
  if (now >= m_next_digest_at) SendDigests();
  if (now >= m_next_query_at) QuerySources();
}

// Spreads versions among the hosts that read the store, so that one that is
// cut off from it gets changes from the others.
void FleetCore::SendDigests() {
  const bool store_failing =
      m_operator_table.Failing() || m_endpoint_table.Failing();
  m_next_digest_at = m_clock->Now() + (store_failing ? kDigestIntervalStoreDown
                                                     : kDigestInterval);
  if (!ReadsStore()) return;
  auto peers = m_seats.Peers();
  for (std::size_t sent = 0; sent < kDigestFanOut && !peers.empty(); ++sent) {
    const auto pick = m_random->UniformBelow(peers.size());
    SendDigest(peers[pick].address, {}, false);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void FleetCore::CollectActions() {
  if (m_seats.NeedsCurrentRows()) m_seat_rows.RequestCall();
  for (auto* follower : Followers()) {
    if (auto call = follower->NextCall()) m_actions.push_back(std::move(*call));
  }
  if (auto call = m_seats.NextCall(&m_next_call)) {
    m_actions.push_back(std::move(*call));
  }
  for (auto& action : m_failover.TakeActions(&m_next_call)) {
    m_actions.push_back(std::move(action));
  }
  for (const auto& request : m_failover.TakeStepDownRequests()) {
    for (const auto& peer : m_seats.Peers()) {
      m_actions.push_back(SendPeer{peer.address, request});
    }
  }
  const auto promoted = m_failover.TakePromotions();
  for (const auto& [group, endpoint] : promoted) {
    m_builder.SetExpectedPrimary(group, endpoint);
  }
  if (!promoted.empty()) Publish();
}

}  // namespace tiller::fleet
