// Implementation of the fleet core.
#include "Fleet/fleet_core.h"

#include <utility>

#include "Common/log.h"

namespace tiller::fleet {
namespace {

// Time for missed changes to arrive after the store is reachable again.
constexpr Milliseconds kTablesCurrentDelay{400};

// One message to another host takes a few round trips.
constexpr Milliseconds kLastMessagesTime{100};

}  // namespace

FleetCore::FleetCore(const FleetSettings& settings, const RecordCodec* codec,
                     const Clock* clock, Random* random, Counters* counters,
                     const metering::UsageSettings& usage)
    : m_clock(clock),
      m_counters(counters),
      m_seats({settings.host, settings.address, settings.pool_address,
               settings.zone},
              clock, random),
      m_tables({settings.host, settings.address, settings.zone},
               settings.operator_table, settings.endpoint_table, &m_seats,
               clock, random, counters),
      m_builder(codec, clock),
      m_guard({settings.host, settings.address, settings.zone}, &m_seats, clock,
              random, counters),
      m_failover(settings.host, settings.zone, &m_guard, clock, counters),
      m_fleet_view(&m_seats),
      m_usage(settings.host, usage, &m_fleet_view, clock, random, counters) {}

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

Milliseconds FleetCore::StopDelay() const {
  return m_usage.Active() ? kLastMessagesTime : Milliseconds{0};
}

template <typename Answer>
void FleetCore::OnTableAnswer(const Answer& answer) {
  if (answer.table == kSeatTable && answer.status == StoreStatus::kDone) {
    m_seats.ObserveStoreTime(answer.now, m_tables.SeatRows().LastCallTime());
  }
  OnTableContent(m_tables.Handle(answer));
}

void FleetCore::ObserveEra(StoreEra era) {
  if (era <= m_era) return;
  const auto previous = std::exchange(m_era, era);
  if (previous > 0) m_counters->Add("store_restored");
  log::Event(
      log::Channel::kPlatform,
      previous > 0 ? log::Level::kWarn : log::Level::kInfo, "store_era",
      {{"era", std::to_string(era)}, {"previous", std::to_string(previous)}});
  m_tables.ObserveEra(era);
  m_failover.ObserveEra(era);
  m_usage.ObserveEra(era);
}

template <typename Answer>
void FleetCore::CheckEra(Answer* answer) {
  ObserveEra(answer->era);
  const bool says_nothing = answer->status == StoreStatus::kUnknown ||
                            answer->status == StoreStatus::kNotRun;
  if (says_nothing || answer->era == m_era) return;
  m_counters->Add("store_answers_outdated");
  answer->status = StoreStatus::kUnknown;
}

void FleetCore::On(const TableRead& answer) {
  auto event = answer;
  CheckEra(&event);
  if (event.status != StoreStatus::kDone) m_counters->Add("store_reads_failed");
  // Each replicated table numbers its calls by itself, so these numbers are
  // also used for calls of the guard.
  const bool guard_reads_claims =
      event.table == kClaimTable && m_guard.OwnsCall(event.call);
  if (event.table == kLeaseTable || guard_reads_claims) {
    return m_guard.Handle(event);
  }
  if (event.table == kClaimTable) return m_failover.Handle(event);
  if (event.table == metering::kUsageTable) return m_usage.Handle(event);
  OnTableAnswer(event);
}

void FleetCore::On(const TableChanged& answer) {
  auto event = answer;
  CheckEra(&event);
  // Versions of an earlier era have been given out again: changes below the
  // requested one may be missing.
  if (event.status == StoreStatus::kDone && event.after.era != event.era) {
    event.status = StoreStatus::kExpired;
  }
  if (event.status != StoreStatus::kDone) {
    m_counters->Add("store_follows_failed");
  }
  OnTableAnswer(event);
}

void FleetCore::On(const RowWritten& answer) {
  auto event = answer;
  CheckEra(&event);
  // The row may have had the expected version by chance.
  if (event.status == StoreStatus::kDone && event.expected.era != event.era) {
    event.status = StoreStatus::kUnknown;
  }
  if (event.status != StoreStatus::kDone) {
    m_counters->Add("store_writes_failed");
  }
  if (m_seats.OwnsCall(event.call)) {
    if (m_seats.Handle(event)) PublishSeats();
    return;
  }
  if (m_guard.OwnsCall(event.call)) return m_guard.Handle(event);
  if (m_usage.OwnsCall(event.call)) return m_usage.Handle(event);
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

void FleetCore::On(const relay::CommitsHeld& event) {
  m_guard.Handle(event);
  m_failover.Handle(
      peer::CommitReport{event.group, event.acknowledged, event.token, {}});
}

void FleetCore::On(const relay::SendShare& event) {
  const auto address = m_seats.AddressOf(event.to);
  if (!address) return;
  m_actions.push_back(SendPeer{
      *address,
      std::visit([](const auto& share) -> peer::Message { return share; },
                 event.message)});
}

void FleetCore::On(const PeerReceived& event) {
  const auto& envelope = event.envelope;
  if (const auto* digest = std::get_if<peer::TableDigest>(&envelope.message)) {
    for (const auto& item : digest->tables) ObserveEra(item.era);
    m_tables.Handle(envelope, *digest);
    OfferConfig(envelope.from_address, digest->config_version);
    return OnTableContent(nullptr);
  }
  if (const auto* request =
          std::get_if<peer::StepDownRequest>(&envelope.message)) {
    return m_failover.Handle(envelope, *request);
  }
  if (const auto* report =
          std::get_if<peer::StepDownReport>(&envelope.message)) {
    return m_failover.Handle(*report);
  }
  if (const auto* hold = std::get_if<peer::CommitHold>(&envelope.message)) {
    return m_guard.Handle(envelope, *hold);
  }
  if (const auto* query = std::get_if<peer::LeaseQuery>(&envelope.message)) {
    return m_guard.Handle(envelope, *query);
  }
  if (const auto* grant = std::get_if<peer::LeaseGrant>(&envelope.message)) {
    return m_guard.Handle(envelope, *grant);
  }
  if (const auto* report = std::get_if<peer::CommitReport>(&envelope.message)) {
    m_guard.Handle(envelope, *report);
    return m_failover.Handle(*report);
  }
  if (const auto* copy = std::get_if<peer::TableCopy>(&envelope.message)) {
    ObserveEra(copy->era);
    // A copy of an older era may have a newer configuration than the store.
    const bool outdated =
        copy->era < m_tables.OperatorTable().ContentVersion().era;
    if (outdated && copy->table == m_tables.OperatorTable().Table()) {
      bool adopted = false;
      for (const auto& row : copy->rows) {
        adopted |= m_builder.AdoptConfig(
            {row.key, row.value, {copy->era, row.version}, row.deleted});
      }
      if (adopted) Publish();
      return;
    }
    return OnTableContent(m_tables.Handle(*copy));
  }
  if (const auto* counts =
          std::get_if<metering::UsageCounts>(&envelope.message)) {
    return m_usage.Handle(envelope, *counts);
  }
  if (const auto* holder =
          std::get_if<metering::UsageHolder>(&envelope.message)) {
    return m_usage.Handle(envelope, *holder);
  }
  if (const auto* request =
          std::get_if<limits::TokenRequest>(&envelope.message)) {
    m_actions.push_back(relay::ShareReceived{envelope.from, *request});
  }
  if (const auto* grant = std::get_if<limits::TokenGrant>(&envelope.message)) {
    m_actions.push_back(relay::ShareReceived{envelope.from, *grant});
  }
}

void FleetCore::OfferConfig(const std::string& address,
                            std::uint64_t known_version) {
  const auto row = m_builder.ConfigMissingFromStore();
  if (!row || known_version >= m_builder.ConfigVersion()) return;
  m_counters->Add("configs_offered");
  peer::TableCopy copy;
  copy.table = m_tables.OperatorTable().Table();
  copy.era = row->version.era;
  copy.version = row->version.number;
  // Marks the row as one of several.
  copy.base = copy.version - 1;
  copy.rows.push_back({row->key, row->value, row->version.number, false});
  m_actions.push_back(SendPeer{address, std::move(copy)});
}

void FleetCore::OnTableContent(const TableFollower* changed) {
  // An answer may also show that unchanged seats are up to date.
  const auto& seat_rows = m_tables.SeatRows();
  m_seats.Confirm(seat_rows.CompleteAt());
  if (changed == nullptr) return;
  if (changed == &seat_rows) {
    m_seats.Update(seat_rows.Rows(), seat_rows.ContentVersion().era);
    return PublishSeats();
  }
  if (changed == &m_tables.OperatorTable()) {
    m_builder.UpdateOperator(changed->Rows());
  } else {
    m_builder.UpdateEndpoints(changed->Rows());
  }
  Publish();
}

void FleetCore::Publish() {
  if (!m_builder.Ready()) return;
  m_directory = m_builder.Build();
  m_tables.SetConfigVersion(m_builder.ConfigVersion());
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
  const bool ranks_change =
      !m_published_seats || m_published_seats->holders != view.holders;
  m_published_seats = std::move(view);
  m_actions.push_back(relay::SeatsChanged{*m_published_seats});
  if (!ranks_change) return;
  for (auto& [group, rank] : m_host_ranks) rank = m_seats.HostRank(group);
}

void FleetCore::On(const TimerFired&) {
  if (m_builder.ExpireMissing()) Publish();
  if (m_seats.CountedSeatsChanged()) PublishSeats();
  m_tables.Tick();
  m_guard.Tick();
  m_usage.Tick();
  // Failover runs only after the endpoint table has been read, since a group
  // looks empty before that. Right after a store outage no failover starts,
  // since the rows may be out of date.
  const auto now = m_clock->Now();
  if (!m_tables.Current()) m_tables_current_from = now + kTablesCurrentDelay;
  m_failover.SetTablesCurrent(now >= m_tables_current_from);
  if (m_tables.EndpointTable().Loaded()) m_failover.Tick(m_host_ranks);
}

void FleetCore::CollectActions() {
  if (m_seats.NeedsCurrentRows()) m_tables.RequestSeats();
  for (auto& action : m_tables.TakeActions()) {
    m_actions.push_back(std::move(action));
  }
  if (auto call = m_seats.NextCall(&m_next_call)) {
    m_actions.push_back(std::move(*call));
  }
  for (auto& action : m_failover.TakeActions(&m_next_call)) {
    m_actions.push_back(std::move(action));
  }
  for (auto& action : m_guard.TakeActions(&m_next_call)) {
    m_actions.push_back(std::move(action));
  }
  for (auto& action : m_usage.TakeActions(&m_next_call)) {
    m_actions.push_back(std::move(action));
  }
  for (const auto& message : m_failover.TakePeerMessages()) {
    for (const auto& peer : m_seats.Peers()) {
      m_actions.push_back(SendPeer{peer.address, message});
    }
  }
  const auto promoted = m_failover.TakePromotions();
  for (const auto& [group, endpoint] : promoted) {
    m_builder.SetExpectedPrimary(group, endpoint);
  }
  const auto confirmed = m_failover.TakeConfirmedPrimaries();
  for (const auto& [group, endpoint] : confirmed) {
    m_builder.ConfirmPrimary(group, endpoint);
  }
  if (!promoted.empty() || !confirmed.empty()) Publish();
}

}  // namespace tiller::fleet
