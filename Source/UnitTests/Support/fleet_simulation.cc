// Implementation of the fleet simulation.
#include "UnitTests/Support/fleet_simulation.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "Common/names.h"
#include "Fleet/claim_row.h"

namespace tiller::fleet {
namespace {

constexpr Milliseconds kTickInterval{25};
constexpr Milliseconds kPromotionTime{600};
constexpr Milliseconds kWriteAnswerLimit{1'200};
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

void FleetSimulation::SetConfig(std::uint64_t version, std::size_t padding) {
  PutRow("config", "config",
         std::to_string(version) + std::string(padding, ' '));
}

void FleetSimulation::TakeZoneOutOfService(const ZoneId& zone) {
  PutRow("config", "out/" + zone, "");
}

void FleetSimulation::WriteEndpointRow(const EndpointId& id) {
  auto& endpoint = m_endpoints.at(id);
  if (!endpoint.alive || !endpoint.listed) {
    if (m_store.tables["endpoints"].erase(id) > 0) {
      m_store.history["endpoints"].push_back({id, "", NextVersion(), true});
    }
    return;
  }
  Json::Value value;
  value["primary"] = id == m_primary_id && !endpoint.stepped_down;
  value["leaving"] = endpoint.leaving;
  value["process_start_ms"] = Json::UInt64(endpoint.process_start_ms);
  value["report"] = Json::UInt64(++endpoint.report_number);
  PutRow("endpoints", id, ToText(value));
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

void FleetSimulation::RestartEndpoint(const EndpointId& id) {
  auto& endpoint = m_endpoints.at(id);
  endpoint.paused_below = 0;
  ++endpoint.process_start_ms;
  endpoint.report_number = 0;
  AddTrace(id + " restarts");
  WriteEndpointRow(id);
}

void FleetSimulation::WriteStrayEndpointRow(const EndpointId& id, bool primary,
                                            bool leaving) {
  Json::Value value;
  value["primary"] = primary;
  value["leaving"] = leaving;
  PutRow("endpoints", id, ToText(value));
}

void FleetSimulation::WriteEndpointRows() {
  for (const auto& [id, endpoint] : m_endpoints) WriteEndpointRow(id);
}

RowVersion FleetSimulation::NextVersion() {
  ++m_store.version.number;
  return m_store.version;
}

void FleetSimulation::CopyStore() { m_store_copy = m_store; }

void FleetSimulation::RestoreStore() {
  const auto era = m_store.version.era + 1;
  m_store = m_store_copy;
  m_store.version.era = era;
  for (auto& [table, rows] : m_store.tables) {
    for (auto& [key, row] : rows) row.version.era = era;
  }
  for (auto& [table, rows] : m_store.history) {
    for (auto& row : rows) row.version.era = era;
  }
  AddTrace("store restored at " + TextOf(m_store.version));
  for (auto& poll : std::exchange(m_long_polls, {})) {
    if (random.UniformBelow(2) == 0) {
      m_long_polls.push_back(std::move(poll));
      continue;
    }
    TableChanged event;
    event.table = poll.follow.table;
    event.call = poll.follow.call;
    Deliver(poll.host, event);
  }
}

template <typename Answer>
void FleetSimulation::Stamp(Answer* event) const {
  event->version = m_store.version;
  event->now = StoreNow();
  event->era = m_store.version.era;
}

void FleetSimulation::PutRow(const std::string& table, const std::string& key,
                             const std::string& value) {
  const Row row{key, value, NextVersion(), false};
  m_store.tables[table][key] = row;
  m_store.history[table].push_back(row);
}

StoreTime FleetSimulation::StoreNow() const {
  return std::chrono::duration_cast<StoreTime>(clock.Now().time_since_epoch());
}

relay::DirectoryPtr FleetSimulation::DirectoryOf(int host) const {
  return m_hosts[static_cast<std::size_t>(host)]->directory;
}

const limits::SeatView& FleetSimulation::SeatsOf(int host) const {
  return m_hosts[static_cast<std::size_t>(host)]->seats;
}

bool FleetSimulation::AllReplicasResumed() const {
  const auto primary_endpoint = m_endpoints.find(m_primary_id);
  return std::all_of(
      m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
        return !item.second.alive || item.first == m_primary_id ||
               item.second.paused_below <= primary_endpoint->second.term;
      });
}

std::set<int> FleetSimulation::HostsPolling(const std::string& table) const {
  std::set<int> hosts;
  for (const auto& poll : m_long_polls) {
    if (poll.follow.table == table && !poll.lost) hosts.insert(poll.host);
  }
  return hosts;
}

bool FleetSimulation::ReachesStore(int host) const {
  const bool in_cut_zone = m_zone_is_cut && ZoneOf(host) == *m_cut_zone;
  return !store_down && cut_off_from_store.count(host) == 0 &&
         refused_by_store.count(host) == 0 && !in_cut_zone;
}

void FleetSimulation::Deliver(int host, Event event,
                              std::uint64_t max_delay_ms) {
  const auto& state = *m_hosts[static_cast<std::size_t>(host)];
  m_deliveries.push_back(
      {clock.Now() + Milliseconds(1 + random.UniformBelow(max_delay_ms)), host,
       state.generation, std::move(event)});
}

template <typename Answer>
void FleetSimulation::DeliverStoreAnswer(int host, Answer event,
                                         Milliseconds answer_limit) {
  if (refused_by_store.count(host) > 0) event.status = StoreStatus::kNotRun;
  if (unanswered_by_store.count(host) == 0) return Deliver(host, event);
  event.status = StoreStatus::kUnknown;
  event.era = 0;
  const auto& state = *m_hosts[static_cast<std::size_t>(host)];
  m_deliveries.push_back(
      {clock.Now() + answer_limit, host, state.generation, event});
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
    Execute(host, action);
  }
}

void FleetSimulation::Execute(int host, const Action& action) {
  auto& state = *m_hosts[static_cast<std::size_t>(host)];
  if (const auto* read = std::get_if<ReadTable>(&action)) {
    CountStoreCall(read->table);
    TableRead event;
    event.table = read->table;
    event.call = read->call;
    if (ReachesStore(host)) {
      Stamp(&event);
      event.status = StoreStatus::kDone;
      for (const auto& [key, item] : m_store.tables[read->table]) {
        event.rows.push_back(item);
      }
    }
    DeliverStoreAnswer(host, event, read->answer_limit);
  } else if (const auto* follow = std::get_if<FollowTable>(&action)) {
    CountStoreCall(follow->table);
    m_long_polls.push_back(
        {host, state.generation, *follow, clock.Now() + follow->wait});
  } else if (const auto* write = std::get_if<WriteRow>(&action)) {
    CountStoreCall(write->table);
    RowWritten event;
    event.call = write->call;
    event.expected = write->expected;
    if (ReachesStore(host)) {
      const auto it = m_store.tables[write->table].find(write->key);
      const auto present = it == m_store.tables[write->table].end()
                               ? 0
                               : it->second.version.number;
      if (present != write->expected.number) {
        event.status = StoreStatus::kConflict;
      } else {
        PutRow(write->table, write->key, write->value);
        event.status = StoreStatus::kDone;
      }
      CountClaim(*write, event.status == StoreStatus::kDone);
      Stamp(&event);
      if (lose_one_answer_in > 0 &&
          random.UniformBelow(lose_one_answer_in) == 0) {
        event.status = StoreStatus::kUnknown;
      }
    }
    DeliverStoreAnswer(host, event, kWriteAnswerLimit);
  } else if (const auto* promote = std::get_if<Promote>(&action)) {
    ++promotion_calls;
    last_promotion_target = promote->endpoint;
    last_promotion_host = host;
    auto status = PromoteStatus::kUnknown;
    if (promotion_delay.count() == 0) {
      status = HandlePromote(*promote);
    } else {
      m_late_promotions.emplace_back(clock.Now() + promotion_delay, *promote);
      const auto due = clock.Now() + kPromoteAnswerLimit;
      m_deliveries.push_back({due, host, state.generation,
                              PromoteAnswered{promote->call, status}});
      return;
    }
    if (lose_one_answer_in > 0 &&
        random.UniformBelow(lose_one_answer_in) == 0) {
      status = PromoteStatus::kUnknown;
    }
    Deliver(host, PromoteAnswered{promote->call, status});
  } else if (const auto* order = std::get_if<relay::AdminRequest>(&action)) {
    Deliver(host, HandleAdmin(host, *order));
  } else if (const auto* peer = std::get_if<SendPeer>(&action)) {
    const auto* copy = std::get_if<peer::TableCopy>(&peer->message);
    if (copy != nullptr && copy->table == "config") {
      for (const auto& row : copy->rows) copied_bytes += row.value.size();
    }
    ++peer_messages;
    const auto found = m_hosts_by_address.find(peer->address);
    if (found == m_hosts_by_address.end()) return;
    const int to = found->second;
    if (IsCut(ZoneOf(host), ZoneOf(to))) return;
    if (cut_off_from_hosts.count(host) + cut_off_from_hosts.count(to) > 0) {
      return;
    }
    Deliver(to, PeerReceived{{state.name, state.name + ":9", peer->message}});
  } else if (const auto* publish = std::get_if<PublishDirectory>(&action)) {
    state.directory = publish->directory;
    EndHoldIfTargetLeads(&state);
  } else if (const auto* seats = std::get_if<relay::SeatsChanged>(&action)) {
    state.seats = seats->seats;
  } else if (const auto* hold = std::get_if<relay::HoldCommits>(&action)) {
    if (hold->token < state.hold.token) return;
    if (hold->token > state.hold.token) state.holds_commits = true;
    state.hold = *hold;
    if (hold->released) state.holds_commits = false;
    EndHoldIfTargetLeads(&state);
    if (!state.holds_commits) return;
    Deliver(host,
            relay::CommitsHeld{hold->group, hold->token, state.acknowledged});
  } else if (const auto* lease =
                 std::get_if<relay::CommitLeaseChanged>(&action)) {
    state.commits_until = lease->valid_until;
  }
}

void FleetSimulation::CountStoreCall(const std::string& table) {
  ++store_calls;
  ++store_calls_of_table[table];
}

void FleetSimulation::CountClaim(const WriteRow& write, bool written) {
  if (write.table != kClaimTable) return;
  const auto claim = DecodeClaim(write.value);
  if (!claim || claim->token <= m_claim_token) {
    // An attempt that another host's claim has overtaken has its token, too.
    claims_tried += claim && !written && !claim->finished;
    return;
  }
  ++claims_tried;
  if (!written) return;
  ++claims_made;
  m_claim_token = claim->token;
}

void FleetSimulation::AnswerLongPolls() {
  std::vector<LongPoll> still_open;
  for (auto& poll : std::exchange(m_long_polls, {})) {
    TableChanged event;
    event.table = poll.follow.table;
    event.after = poll.follow.after;
    event.call = poll.follow.call;
    event.status = StoreStatus::kDone;
    Stamp(&event);
    if (poll.lost) {
      if (clock.Now() < poll.deadline + poll.follow.answer_limit) {
        still_open.push_back(std::move(poll));
        continue;
      }
      event.status = StoreStatus::kUnknown;
      event.era = 0;
      Deliver(poll.host, event);
      continue;
    }
    if (!ReachesStore(poll.host)) {
      event.status = StoreStatus::kUnknown;
      event.era = 0;
      Deliver(poll.host, event);
      continue;
    }
    const bool unknown_version =
        poll.follow.after.number > m_store.version.number && !poll.waiting;
    if (history_discarded || unknown_version) {
      event.status = StoreStatus::kExpired;
      Deliver(poll.host, event);
      continue;
    }
    poll.waiting = true;
    for (const auto& row : m_store.history[poll.follow.table]) {
      if (row.version.number > poll.follow.after.number)
        event.rows.push_back(row);
    }
    if (event.rows.empty() && clock.Now() < poll.deadline) {
      still_open.push_back(std::move(poll));
      continue;
    }
    if (unanswered_by_store.count(poll.host) > 0) {
      poll.lost = true;
      still_open.push_back(std::move(poll));
      continue;
    }
    Deliver(poll.host, event);
  }
  for (auto& poll : still_open) m_long_polls.push_back(std::move(poll));
}

// If the primary is partly unreachable, every second host cannot reach it.
bool FleetSimulation::CannotReachPrimary(int host) const {
  return !m_endpoints.at(m_primary_id).alive ||
         IsCut(ZoneOf(host), ZoneOf(m_primary_id)) ||
         cut_off_from_primary.count(host) > 0 ||
         (primary_partly_unreachable && host % 2 == 1);
}

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

// Simulates commits, replication, and a pending promotion that is due.
void FleetSimulation::AdvanceGroup() {
  for (const auto& [due, call] : std::exchange(m_late_promotions, {})) {
    if (clock.Now() >= due) {
      HandlePromote(call);
    } else {
      m_late_promotions.emplace_back(due, call);
    }
  }
  if (m_pending_promotion && clock.Now() >= m_pending_promotion->first) {
    const auto target =
        std::exchange(m_pending_promotion, std::nullopt)->second;
    if (m_endpoints.at(target).alive) MakePrimary(target);
  }
  const auto receive = [&](SimulatedEndpoint* endpoint) {
    if (!endpoint->alive || endpoint->replication_cut) return false;
    if (endpoint->sent_across_cut) return false;
    if (endpoint->paused_below > endpoint->sent_term) return false;
    if (endpoint->sent_term < endpoint->term) return false;
    endpoint->term = endpoint->sent_term;
    endpoint->position = std::max(endpoint->position, endpoint->sent_position);
    return true;
  };
  const auto& primary_term = m_endpoints.at(m_primary_id).term;
  for (auto& [id, endpoint] : m_endpoints) {
    if (id == m_primary_id || !receive(&endpoint)) continue;
    if (endpoint.term != primary_term) continue;
    m_acknowledged_position =
        std::max(m_acknowledged_position, endpoint.position);
  }
  auto& primary_endpoint = m_endpoints.at(m_primary_id);
  if (!primary_endpoint.alive || primary_endpoint.stepped_down) return;
  ++primary_endpoint.position;
  for (auto& [id, endpoint] : m_endpoints) {
    if (id == m_primary_id || !endpoint.alive) continue;
    endpoint.sent_across_cut = IsCut(ZoneOf(id), ZoneOf(m_primary_id));
    if (endpoint.sent_across_cut) continue;
    endpoint.sent_term = primary_endpoint.term;
    endpoint.sent_position = primary_endpoint.position;
    // Some entries arrive immediately, others stay in flight.
    if (random.UniformBelow(4) == 0 || !receive(&endpoint)) continue;
    m_acknowledged_position =
        std::max(m_acknowledged_position, primary_endpoint.position);
  }
}

void FleetSimulation::MakePrimary(const EndpointId& target) {
  auto& promoted = m_endpoints.at(target);
  AddTrace(target + " leads with " + std::to_string(promoted.position) +
           ", acknowledged " + std::to_string(m_acknowledged_position));
  if (promoted.position < m_acknowledged_position) {
    violations.push_back("lost: " + target + " holds " +
                         std::to_string(promoted.position) + " of " +
                         std::to_string(m_acknowledged_position));
    m_acknowledged_position = promoted.position;
  }
  if (promoted.position < m_passed_on.position) {
    lost_commits.push_back(target + " holds " +
                           std::to_string(promoted.position) + " of " +
                           std::to_string(m_passed_on.position));
    m_passed_on.position = promoted.position;
  }
  const auto old = std::exchange(m_primary_id, target);
  Term newest = 0;
  for (const auto& [id, endpoint] : m_endpoints) {
    newest = std::max(newest, endpoint.term);
  }
  promoted.term = newest + 1;
  promoted.paused_below = 0;
  // A primary that stepped down becomes an ordinary replica.
  m_endpoints.at(old).stepped_down = false;
  for (auto& [id, endpoint] : m_endpoints) {
    endpoint.position = std::min(endpoint.position, promoted.position);
    endpoint.sent_term = 0;
  }
  WriteEndpointRow(old);
  WriteEndpointRow(target);
}

relay::AdminDone FleetSimulation::HandleAdmin(
    int host, const relay::AdminRequest& request) {
  relay::AdminDone done{request.id, request.endpoint, false, {}};
  const auto it = m_endpoints.find(request.endpoint);
  done.ever_answered =
      it != m_endpoints.end() && never_answered.count(request.endpoint) == 0;
  if (it == m_endpoints.end() || !it->second.alive) return done;
  auto& endpoint = it->second;
  const bool leads = request.endpoint == m_primary_id && !endpoint.stepped_down;
  AddTrace("host " + std::to_string(host) + " orders " +
           std::string(NameOf(relay::kVerbNames, request.verb)) + " " +
           std::to_string(request.term) + " at " + request.endpoint +
           " (term " + std::to_string(endpoint.term) + ", position " +
           std::to_string(endpoint.position) + ")");
  if (request.endpoint == m_primary_id && CannotReachPrimary(host)) return done;
  if (IsCut(ZoneOf(host), ZoneOf(request.endpoint))) return done;
  if (request.verb == relay::Verb::kPause &&
      unanswered_pauses.count(request.endpoint) > 0) {
    return done;
  }
  done.answered = true;
  if (busy_answers[request.endpoint] > 0) {
    --busy_answers[request.endpoint];
    done.result.refusal = relay::Refusal::kBusy;
    return done;
  }
  if (request.verb == relay::Verb::kContinue) endpoint.paused_below = 0;
  if (request.verb == relay::Verb::kPause && !leads &&
      request.term > endpoint.term) {
    endpoint.paused_below = request.term;
  }
  if (request.verb == relay::Verb::kStepDown && leads &&
      request.term > endpoint.term) {
    // The endpoint stops acting as primary. The group has no active primary
    // until a promotion.
    endpoint.stepped_down = true;
    WriteEndpointRow(request.endpoint);
  }
  done.result.status = relay::EndpointStatus{leads && !endpoint.stepped_down,
                                             endpoint.term,
                                             {endpoint.term, endpoint.position},
                                             endpoint.paused_below};
  return done;
}

PromoteStatus FleetSimulation::HandlePromote(const Promote& call) {
  AddTrace(call.holder + " promotes " + call.endpoint + " with token " +
           std::to_string(call.fencing_token));
  const auto inserted =
      m_token_holders.emplace(call.fencing_token, call.holder);
  if (inserted.first->second != call.holder) {
    violations.push_back("two holders promote with one token");
  }
  if (call.fencing_token < m_newest_token) return PromoteStatus::kFenced;
  m_newest_token = call.fencing_token;
  const auto it = m_endpoints.find(call.endpoint);
  const bool in_cut_zone =
      m_zone_is_cut && ZoneOf(call.endpoint) == *m_cut_zone;
  if (it == m_endpoints.end() || !it->second.alive || in_cut_zone) {
    return PromoteStatus::kFenced;
  }
  if (call.endpoint == m_primary_id && !it->second.stepped_down)
    return PromoteStatus::kDone;
  ++promotions;
  m_pending_promotion = {clock.Now() + kPromotionTime, call.endpoint};
  return PromoteStatus::kDone;
}

}  // namespace tiller::fleet
