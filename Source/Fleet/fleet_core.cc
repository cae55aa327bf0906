// Implementation of the control part.
#include "Fleet/fleet_core.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"

namespace tiller::fleet {
namespace {

// How often a host tells some others how new its tables are.
constexpr Milliseconds kTellEvery{1000};
// While the store does not answer, others are the only source.
constexpr Milliseconds kTellEveryCutOff{250};
constexpr std::size_t kToldAtOnce = 3;
// A table may have to be sent again if its copy was lost.
constexpr Milliseconds kCopyEvery{400};
// Time for changes that were missed to arrive after the store is back.
constexpr Milliseconds kInformedAfter{400};

}  // namespace

FleetCore::FleetCore(FleetSettings settings, const RecordCodec* codec,
                     const Clock* clock, Random* random, Counters* counters)
    : m_settings(std::move(settings)),
      m_clock(clock),
      m_random(random),
      m_counters(counters),
      m_operator(m_settings.operator_table, clock),
      m_endpoints(m_settings.endpoint_table, clock),
      m_seats({m_settings.host, m_settings.address, m_settings.pool_address,
               m_settings.zone},
              clock, random),
      m_builder(codec, clock),
      m_failover(m_settings.host, m_settings.zone, clock, counters) {}

void FleetCore::Handle(const Event& event) {
  std::visit([this](const auto& kind) { On(kind); }, event);
  Collect();
}

std::vector<Action> FleetCore::TakeActions() {
  return std::exchange(m_actions, {});
}

bool FleetCore::Ready() const {
  return m_directory != nullptr && !m_directory->endpoints.empty();
}

TableFollower* FleetCore::FollowerOf(const std::string& table) {
  if (table == m_operator.Table()) return &m_operator;
  if (table == m_endpoints.Table()) return &m_endpoints;
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
  if (follower != nullptr && follower->Handle(event)) OnContent(*follower);
}

void FleetCore::On(const TableChanged& event) {
  if (event.status != StoreStatus::kDone) {
    m_counters->Add("store_follows_failed");
  }
  auto* follower = FollowerOf(event.table);
  if (follower != nullptr && follower->Handle(event)) OnContent(*follower);
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
  m_builder.Deny(event.endpoint);
  Publish();
}

void FleetCore::On(const relay::AdminDone& event) { m_failover.Handle(event); }

void FleetCore::On(const relay::SendShare& event) {
  for (const auto& peer : m_seats.Peers()) {
    if (peer.host != event.to) continue;
    m_actions.push_back(SendPeer{
        peer.address,
        std::visit([](const auto& kind) -> peer::Message { return kind; },
                   event.message)});
    return;
  }
}

void FleetCore::On(const PeerReceived& event) {
  const auto& envelope = event.envelope;
  if (const auto* digest = std::get_if<peer::TableDigest>(&envelope.message)) {
    return OnDigest(envelope, *digest);
  }
  if (const auto* request =
          std::get_if<peer::StepDownRequest>(&envelope.message)) {
    return m_failover.Handle(*request);
  }
  if (const auto* copy = std::get_if<peer::TableCopy>(&envelope.message)) {
    return OnCopy(*copy);
  }
  if (const auto* request =
          std::get_if<limits::TokenRequest>(&envelope.message)) {
    m_actions.push_back(relay::ShareReceived{envelope.from, *request});
  }
  if (const auto* grant = std::get_if<limits::TokenGrant>(&envelope.message)) {
    m_actions.push_back(relay::ShareReceived{envelope.from, *grant});
  }
}

// Sends a whole table to a host whose copy is older.
void FleetCore::OnDigest(const peer::Envelope& envelope,
                         const peer::TableDigest& digest) {
  for (const auto& item : digest.tables) {
    auto* follower = FollowerOf(item.table);
    if (follower == nullptr || !follower->Loaded()) continue;
    if (item.version >= follower->ContentVersion()) continue;
    auto& copied = m_copied[envelope.from_address + "/" + item.table];
    if (m_clock->Now() - copied < kCopyEvery) continue;
    copied = m_clock->Now();
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

void FleetCore::OnCopy(const peer::TableCopy& copy) {
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
  OnContent(*follower);
}

void FleetCore::OnContent(const TableFollower& follower) {
  if (&follower == &m_operator) {
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
  if (m_seats.CountChanged()) PublishSeats();
  std::map<GroupId, std::size_t> turns;
  if (m_directory) {
    for (const auto& [group, row] : m_directory->groups) {
      turns[group] = m_seats.TurnFor(group);
    }
  }
  // Endpoints must have been read: a group looks empty before, and its rows
  // may be old right after the store was out of reach.
  const auto now = m_clock->Now();
  if (m_endpoints.Failing() || m_operator.Failing())
    m_informed_from = now + kInformedAfter;
  m_failover.SetInformed(now >= m_informed_from);
  if (m_endpoints.Loaded()) m_failover.Tick(turns);
  if (m_clock->Now() >= m_tell_at) TellPeers();
}

void FleetCore::TellPeers() {
  const bool cut_off = m_operator.Failing() || m_endpoints.Failing();
  m_tell_at = m_clock->Now() + (cut_off ? kTellEveryCutOff : kTellEvery);
  auto peers = m_seats.Peers();
  peer::TableDigest digest;
  for (const auto* follower : {&m_operator, &m_endpoints}) {
    digest.tables.push_back({follower->Table(), follower->ContentVersion()});
  }
  for (std::size_t told = 0; told < kToldAtOnce && !peers.empty(); ++told) {
    const auto pick = m_random->Below(peers.size());
    m_actions.push_back(SendPeer{peers[pick].address, digest});
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void FleetCore::Collect() {
  for (auto* follower : {&m_operator, &m_endpoints}) {
    if (auto call = follower->NextCall()) m_actions.push_back(std::move(*call));
  }
  if (auto call = m_seats.NextCall(&m_next_call)) {
    m_actions.push_back(std::move(*call));
  }
  for (auto& action : m_failover.TakeActions(&m_next_call)) {
    m_actions.push_back(std::move(action));
  }
  for (const auto& request : m_failover.TakeForPeers()) {
    for (const auto& peer : m_seats.Peers()) {
      m_actions.push_back(SendPeer{peer.address, request});
    }
  }
  const auto promoted = m_failover.TakePromoted();
  for (const auto& [group, endpoint] : promoted) {
    m_builder.Expect(group, endpoint);
  }
  if (!promoted.empty()) Publish();
}

}  // namespace tiller::fleet
