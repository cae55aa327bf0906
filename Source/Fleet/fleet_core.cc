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
// Time for missed changes to arrive after the store is reachable again.
constexpr Milliseconds kTablesCurrentDelay{400};

}  // namespace

FleetCore::FleetCore(FleetSettings settings, const RecordCodec* codec,
                     const Clock* clock, Random* random, Counters* counters)
    : m_settings(std::move(settings)),
      m_clock(clock),
      m_random(random),
      m_counters(counters),
      m_operator_table(m_settings.operator_table, clock),
      m_endpoint_table(m_settings.endpoint_table, clock),
      m_seats({m_settings.host, m_settings.address, m_settings.pool_address,
               m_settings.zone},
              clock, random),
      m_builder(codec, clock),
      m_failover(m_settings.host, m_settings.zone, clock, counters) {}

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

TableFollower* FleetCore::FollowerOf(const std::string& table) {
  if (table == m_operator_table.Table()) return &m_operator_table;
  if (table == m_endpoint_table.Table()) return &m_endpoint_table;
  return nullptr;
}

void FleetCore::On(const TableRead& event) {
  if (event.status != StoreStatus::kDone) m_counters->Add("store_reads_failed");
  if (event.table == kSeatTable) {
    if (m_seats.Handle(event)) PublishSeats();
    return;
  }
  if (event.table == kPrimaryTable) return m_failover.Handle(event);
  auto* follower = FollowerOf(event.table);
  if (follower != nullptr && follower->Handle(event)) OnTableContent(*follower);
}

void FleetCore::On(const TableChanged& event) {
  if (event.status != StoreStatus::kDone) {
    m_counters->Add("store_follows_failed");
  }
  auto* follower = FollowerOf(event.table);
  if (follower != nullptr && follower->Handle(event)) OnTableContent(*follower);
}

void FleetCore::On(const RowWritten& event) {
  if (event.status != StoreStatus::kDone) {
    m_counters->Add("store_writes_failed");
  }
  if (m_seats.OwnsCall(event.call)) {
    if (m_seats.Handle(event)) PublishSeats();
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

// Sends whole tables to a host whose copies are older.
void FleetCore::OnTableDigest(const peer::Envelope& envelope,
                              const peer::TableDigest& digest) {
  for (const auto& item : digest.tables) {
    auto* follower = FollowerOf(item.table);
    if (follower == nullptr || !follower->Loaded()) continue;
    if (item.version >= follower->ContentVersion()) continue;
    auto& sent_at =
        m_table_copy_sent_at[envelope.from_address + "/" + item.table];
    if (m_clock->Now() - sent_at < kTableCopyInterval) continue;
    sent_at = m_clock->Now();
    peer::TableCopy copy;
    copy.table = item.table;
    copy.version = follower->ContentVersion();
    for (const auto& [key, row] : follower->Rows()) {
      copy.rows.push_back({key, row.value, row.version});
    }
    m_counters->Add("table_copies_sent");
    m_actions.push_back(SendPeer{envelope.from_address, std::move(copy)});
  }
}

void FleetCore::OnTableCopy(const peer::TableCopy& copy) {
  auto* follower = FollowerOf(copy.table);
  if (follower == nullptr) return;
  std::vector<Row> rows;
  for (const auto& item : copy.rows) {
    rows.push_back({item.key, item.value, item.version, false});
  }
  if (!follower->Adopt(rows, copy.version)) return;
  log::Event(
      log::Channel::kPlatform, log::Level::kInfo, "table_adopted",
      {{"table", copy.table}, {"version", std::to_string(copy.version)}});
  OnTableContent(*follower);
}

void FleetCore::OnTableContent(const TableFollower& follower) {
  if (&follower == &m_operator_table) {
    m_builder.UpdateOperator(follower.Rows());
  } else {
    m_builder.UpdateEndpoints(follower.Rows());
  }
  Publish();
}

void FleetCore::Publish() {
  if (!m_builder.Ready()) return;
  m_directory = m_builder.Build();
  m_failover.SetDirectory(m_directory);
  m_actions.push_back(PublishDirectory{m_directory});
}

void FleetCore::PublishSeats() {
  m_actions.push_back(relay::SeatsChanged{m_seats.View()});
}

void FleetCore::On(const TimerFired&) {
  if (m_builder.ExpireMissing()) Publish();
  if (m_seats.CountedSeatsChanged()) PublishSeats();
  std::map<GroupId, std::size_t> host_ranks;
  if (m_directory) {
    for (const auto& [group, row] : m_directory->groups) {
      host_ranks[group] = m_seats.HostRank(group);
    }
  }
  // Failover runs only after the endpoint table has been read, since a group
  // looks empty before that. Right after a store outage no failover starts,
  // since the rows may be out of date.
  const auto now = m_clock->Now();
  if (m_endpoint_table.Failing() || m_operator_table.Failing())
    m_tables_current_from = now + kTablesCurrentDelay;
  m_failover.SetTablesCurrent(now >= m_tables_current_from);
  if (m_endpoint_table.Loaded()) m_failover.Tick(host_ranks);
  if (m_clock->Now() >= m_next_digest_at) SendDigests();
}

void FleetCore::SendDigests() {
  const bool store_failing =
      m_operator_table.Failing() || m_endpoint_table.Failing();
  m_next_digest_at = m_clock->Now() + (store_failing ? kDigestIntervalStoreDown
                                                     : kDigestInterval);
  auto peers = m_seats.Peers();
  peer::TableDigest digest;
  for (const auto* follower : {&m_operator_table, &m_endpoint_table}) {
    digest.tables.push_back({follower->Table(), follower->ContentVersion()});
  }
  for (std::size_t sent = 0; sent < kDigestFanOut && !peers.empty(); ++sent) {
    const auto pick = m_random->UniformBelow(peers.size());
    m_actions.push_back(SendPeer{peers[pick].address, digest});
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void FleetCore::CollectActions() {
  for (auto* follower : {&m_operator_table, &m_endpoint_table}) {
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
