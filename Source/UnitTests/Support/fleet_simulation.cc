// The simulated hosts, and the messages between them.
#include "UnitTests/Support/fleet_simulation.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"

namespace tiller::fleet {
namespace {

constexpr Milliseconds kTickInterval{25};
constexpr Milliseconds kPromoteAnswerLimit{500};
constexpr char kGroup[] = "g";
constexpr int kZones = 3;
// After their zone has returned, they hold the commits of its primaries.
constexpr Milliseconds kUncertainTime{1'500};

}  // namespace

std::optional<ZoneId> TestRecordCodec::ZoneOutOfService(
    const std::string& key) const {
  if (key.rfind("out/", 0) != 0) return std::nullopt;
  return key.substr(4);
}

Result<FleetConfig> TestRecordCodec::DecodeConfig(
    const std::string& value) const {
  FleetConfig config;
  config.version = std::stoull(value);
  config.groups.push_back({kGroup, 10, {}});
  config.workspaces.push_back({"w", 10, 10});
  return config;
}

Result<relay::Endpoint> TestRecordCodec::DecodeEndpoint(
    const std::string& id, const std::string& value) const {
  const auto json = ParseJson(value);
  if (!json) return MakeError(ErrorCode::kMessageInvalid, id);
  relay::Endpoint out;
  out.id = id;
  out.group = kGroup;
  out.address = id + ":1";
  out.zone = "z" + id;
  out.primary = BoolOr(json.value(), "primary");
  out.leaving = BoolOr(json.value(), "leaving");
  out.process_start_ms = UintOr(json.value(), "process_start_ms");
  out.report_number = UintOr(json.value(), "report");
  return out;
}

FleetSimulation::FleetSimulation(int hosts, int endpoints, std::uint64_t seed)
    : random(seed) {
  for (int i = 0; i < endpoints; ++i) {
    m_endpoints["e" + std::to_string(i)] = {};
  }
  m_primary_id = "e0";
  SetConfig(1);
  for (const auto& [id, endpoint] : m_endpoints) WriteEndpointRow(id);
  for (int i = 0; i < hosts; ++i) {
    m_hosts.push_back(std::make_unique<Host>());
    m_hosts.back()->name = "h" + std::to_string(i);
    m_hosts_by_address[m_hosts.back()->name + ":9"] = i;
    Start(i);
  }
}

void FleetSimulation::AddTrace(const std::string& line) {
  trace.push_back(std::to_string(StoreNow().count() % 100'000) + " " + line);
}

std::string FleetSimulation::TraceText() const {
  std::string out;
  for (const auto& line : trace) out += line + "\n";
  return out;
}

void FleetSimulation::Start(int host) {
  auto& state = *m_hosts[static_cast<std::size_t>(host)];
  state.core = std::make_unique<FleetCore>(
      FleetSettings{state.name, state.name + ":9", state.name + ":8",
                    "z" + std::to_string(host % kZones), "config", "endpoints"},
      &m_codec, &clock, &random, &state.counters);
  state.directory.reset();
  state.acknowledged = {};
  state.hold = {};
  state.holds_commits = false;
  state.commits_until = Instant::max();
}

void FleetSimulation::Restart(int host) {
  ++m_hosts[static_cast<std::size_t>(host)]->generation;
  Start(host);
}

int FleetSimulation::ZoneOf(const EndpointId& endpoint) {
  const bool numbered = endpoint.size() == 2 && endpoint[0] == 'e';
  return numbered ? (endpoint[1] - '0') % kZones : 0;
}

void FleetSimulation::CutZone(int zone) {
  m_cut_zone = zone;
  m_zone_is_cut = true;
  m_zone_changed_at = clock.Now();
  AddTrace("zone " + std::to_string(zone) + " is cut off");
}

void FleetSimulation::ConnectZone() {
  m_zone_is_cut = false;
  m_zone_changed_at = clock.Now();
  AddTrace("zone is back");
}

bool FleetSimulation::IsCut(int zone, int other_zone) const {
  return m_zone_is_cut && zone != other_zone &&
         (zone == *m_cut_zone || other_zone == *m_cut_zone);
}

relay::DirectoryPtr FleetSimulation::DirectoryOf(int host) const {
  return m_hosts[static_cast<std::size_t>(host)]->directory;
}

const limits::SeatView& FleetSimulation::SeatsOf(int host) const {
  return m_hosts[static_cast<std::size_t>(host)]->seats;
}

void FleetSimulation::Deliver(int host, Event event,
                              std::uint64_t max_delay_ms) {
  const auto& state = *m_hosts[static_cast<std::size_t>(host)];
  m_deliveries.push_back(
      {clock.Now() + Milliseconds(1 + random.UniformBelow(max_delay_ms)), host,
       state.generation, std::move(event)});
}

void FleetSimulation::Run(Milliseconds duration) {
  const auto end = clock.Now() + duration;
  while (clock.Now() < end) {
    clock.Advance(kTickInterval);
    AdvanceGroup();
    AnswerLongPolls();
    std::vector<Delivery> due;
    for (auto& delivery : std::exchange(m_deliveries, {})) {
      const bool later =
          delivery.due > clock.Now() || frozen.count(delivery.host) > 0;
      (later ? m_deliveries : due).push_back(std::move(delivery));
    }
    for (auto& delivery : due) {
      auto& state = *m_hosts[static_cast<std::size_t>(delivery.host)];
      if (state.generation != delivery.generation) continue;
      state.core->Handle(delivery.event);
      ExecuteActions(delivery.host);
    }
    for (int i = 0; i < HostCount(); ++i) {
      if (frozen.count(i) > 0) continue;
      auto& core = *m_hosts[static_cast<std::size_t>(i)]->core;
      AcknowledgeTo(i);
      core.Handle(HealthSeenBy(i));
      core.Handle(TimerFired{});
      ExecuteActions(i);
    }
  }
}

void FleetSimulation::ExecuteActions(int host) {
  for (const auto& action :
       m_hosts[static_cast<std::size_t>(host)]->core->TakeActions()) {
    std::visit([&](const auto& typed) { Execute(host, typed); }, action);
  }
}

bool FleetSimulation::LosesAnswer() {
  return lose_one_answer_in > 0 && random.UniformBelow(lose_one_answer_in) == 0;
}

void FleetSimulation::Execute(int host, const Promote& promote) {
  ++promotion_calls;
  last_promotion_target = promote.endpoint;
  last_promotion_host = host;
  if (promotion_delay.count() > 0) {
    m_late_promotions.emplace_back(clock.Now() + promotion_delay, promote);
    const auto due = clock.Now() + kPromoteAnswerLimit;
    m_deliveries.push_back(
        {due, host, m_hosts[static_cast<std::size_t>(host)]->generation,
         PromoteAnswered{promote.call, PromoteStatus::kUnknown}});
    return;
  }
  auto status = HandlePromote(promote);
  if (LosesAnswer()) status = PromoteStatus::kUnknown;
  Deliver(host, PromoteAnswered{promote.call, status});
}

void FleetSimulation::Execute(int host, const SendPeer& send) {
  const auto* copy = std::get_if<peer::TableCopy>(&send.message);
  if (copy != nullptr && copy->table == "config") {
    for (const auto& row : copy->rows) copied_bytes += row.value.size();
  }
  ++peer_messages;
  const auto found = m_hosts_by_address.find(send.address);
  if (found == m_hosts_by_address.end()) return;
  const int to = found->second;
  if (IsCut(ZoneOf(host), ZoneOf(to))) return;
  if (cut_off_from_hosts.count(host) + cut_off_from_hosts.count(to) > 0) {
    return;
  }
  const auto& name = m_hosts[static_cast<std::size_t>(host)]->name;
  Deliver(to, PeerReceived{{name, name + ":9", send.message}});
}

void FleetSimulation::Execute(int host, const PublishDirectory& publish) {
  auto& state = *m_hosts[static_cast<std::size_t>(host)];
  state.directory = publish.directory;
  EndHoldIfTargetLeads(&state);
}

void FleetSimulation::Execute(int host, const relay::SeatsChanged& change) {
  m_hosts[static_cast<std::size_t>(host)]->seats = change.seats;
}

void FleetSimulation::Execute(int host, const relay::AdminRequest& request) {
  Deliver(host, HandleAdmin(host, request));
}

void FleetSimulation::Execute(int host, const relay::HoldCommits& hold) {
  auto& state = *m_hosts[static_cast<std::size_t>(host)];
  if (hold.token < state.hold.token) return;
  if (hold.token > state.hold.token) state.holds_commits = true;
  state.hold = hold;
  if (hold.released) state.holds_commits = false;
  EndHoldIfTargetLeads(&state);
  if (!state.holds_commits) return;
  Deliver(host, relay::CommitsHeld{hold.group, hold.token, state.acknowledged});
}

void FleetSimulation::Execute(int host,
                              const relay::CommitLeaseChanged& lease) {
  m_hosts[static_cast<std::size_t>(host)]->commits_until = lease.valid_until;
}

void FleetSimulation::Execute(int, const relay::ShareReceived&) {}

void FleetSimulation::EndHoldIfTargetLeads(Host* host) {
  const auto& target = host->hold.target;
  if (target.empty() || host->directory == nullptr) return;
  if (host->directory->groups.at(kGroup).primary == target) {
    host->holds_commits = false;
  }
}

bool FleetSimulation::PassesOnCommits(int host) const {
  const auto& state = *m_hosts[static_cast<std::size_t>(host)];
  if (frozen.count(host) > 0 || state.directory == nullptr) return false;
  if (state.directory->groups.at(kGroup).primary != m_primary_id) return false;
  if (state.holds_commits || clock.Now() >= state.commits_until) return false;
  if (!m_cut_zone || ZoneOf(host) != *m_cut_zone) return true;
  const auto since = clock.Now() - m_zone_changed_at;
  // The relay needs contact to another zone. It may be 100 ms old, which isn't
  // modelled.
  if (m_zone_is_cut) return false;
  return ZoneOf(m_primary_id) != *m_cut_zone || since >= kUncertainTime;
}

void FleetSimulation::AcknowledgeTo(int host) {
  const auto& primary = m_endpoints.at(m_primary_id);
  if (primary.stepped_down || writes_unanswered || CannotReachPrimary(host))
    return;
  const GroupPosition acknowledged{primary.term, m_acknowledged_position};
  m_hosts[static_cast<std::size_t>(host)]->acknowledged = acknowledged;
  if (!PassesOnCommits(host)) return;
  if (acknowledged > m_passed_on) last_commit_at = clock.Now();
  m_passed_on = std::max(m_passed_on, acknowledged);
}

// What the host's traffic reports of the endpoint that it takes for the
// primary.
relay::PrimaryHealth FleetSimulation::HealthSeenBy(int host) const {
  relay::PrimaryHealth health;
  health.group = kGroup;
  health.acknowledged = m_hosts[static_cast<std::size_t>(host)]->acknowledged;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (endpoint.alive) health.term = std::max(health.term, endpoint.term);
  }
  const auto directory = DirectoryOf(host);
  const auto used = directory == nullptr ? EndpointId()
                                         : directory->groups.at(kGroup).primary;
  if (!used.empty() && m_endpoints.count(used) == 0) {
    health.endpoint = used;
    health.silent_for = Milliseconds(700);
    return health;
  }
  if (CannotReachPrimary(host) || writes_unanswered) {
    health.endpoint = m_primary_id;
    const bool is_cut = IsCut(ZoneOf(host), ZoneOf(m_primary_id));
    health.silent_for =
        is_cut ? clock.Now() - m_zone_changed_at : Duration(Milliseconds(700));
    return health;
  }
  if (used == m_primary_id) health.endpoint = used;  // it answers
  const auto& primary_endpoint = m_endpoints.at(m_primary_id);
  if (primary_endpoint.stepped_down) {
    // The endpoint has stepped down and rejects callers as not primary.
    health.endpoint = m_primary_id;
    health.deposed = true;
  }
  return health;
}

}  // namespace tiller::fleet
