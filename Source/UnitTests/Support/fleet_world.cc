// Implementation of the world of fleet cores.
#include "UnitTests/Support/fleet_world.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "Common/names.h"

namespace tiller::fleet {
namespace {

constexpr Milliseconds kStep{25};
constexpr Milliseconds kPromotionTime{600};
constexpr char kGroup[] = "g";

}  // namespace

std::optional<ZoneId> WorldCodec::ZoneTakenOut(const std::string& key) const {
  if (key.rfind("out/", 0) != 0) return std::nullopt;
  return key.substr(4);
}

Result<FleetConfig> WorldCodec::DecodeConfig(const std::string& value) const {
  FleetConfig config;
  config.version = std::stoull(value);
  config.groups.push_back({kGroup, 10, {}});
  config.workspaces.push_back({"w", 10, 10});
  return config;
}

Result<relay::Endpoint> WorldCodec::DecodeEndpoint(
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
  return out;
}

FleetWorld::FleetWorld(int hosts, int endpoints, std::uint64_t seed)
    : random(seed) {
  for (int i = 0; i < endpoints; ++i) {
    m_endpoints["e" + std::to_string(i)] = {};
  }
  m_leader = "e0";
  SetConfig(1);
  for (const auto& [id, endpoint] : m_endpoints) WriteEndpointRow(id);
  for (int i = 0; i < hosts; ++i) {
    m_hosts.push_back(std::make_unique<Host>());
    m_hosts.back()->name = "h" + std::to_string(i);
    Start(i);
  }
}

void FleetWorld::Note(const std::string& line) {
  trace.push_back(std::to_string(StoreNow().count() % 100'000) + " " + line);
}

std::string FleetWorld::TraceText() const {
  std::string out;
  for (const auto& line : trace) out += line + "\n";
  return out;
}

void FleetWorld::Start(int host) {
  auto& row = *m_hosts[static_cast<std::size_t>(host)];
  row.core = std::make_unique<FleetCore>(
      FleetSettings{row.name, row.name + ":9", row.name + ":8", "z", "config",
                    "endpoints"},
      &m_codec, &clock, &random, &row.counters);
  row.directory.reset();
}

void FleetWorld::Restart(int host) {
  ++m_hosts[static_cast<std::size_t>(host)]->generation;
  Start(host);
}

void FleetWorld::SetConfig(std::uint64_t version) {
  PutRow("config", "config", std::to_string(version));
}

void FleetWorld::WriteEndpointRow(const EndpointId& id) {
  const auto& endpoint = m_endpoints.at(id);
  if (!endpoint.alive || !endpoint.listed) {
    if (m_tables["endpoints"].erase(id) > 0) {
      m_history["endpoints"].push_back({id, "", ++m_version, true});
    }
    return;
  }
  Json::Value value;
  value["primary"] = id == m_leader;
  value["leaving"] = endpoint.leaving;
  PutRow("endpoints", id, ToText(value));
}

void FleetWorld::PutRow(const std::string& table, const std::string& key,
                        const std::string& value) {
  const Row row{key, value, ++m_version, false};
  m_tables[table][key] = row;
  m_history[table].push_back(row);
}

StoreTime FleetWorld::StoreNow() const {
  return std::chrono::duration_cast<StoreTime>(clock.Now().time_since_epoch());
}

relay::DirectoryPtr FleetWorld::DirectoryOf(int host) const {
  return m_hosts[static_cast<std::size_t>(host)]->directory;
}

const limits::SeatView& FleetWorld::SeatsOf(int host) const {
  return m_hosts[static_cast<std::size_t>(host)]->seats;
}

bool FleetWorld::AllReplicasGoOn() const {
  const auto leader = m_endpoints.find(m_leader);
  return std::all_of(m_endpoints.begin(), m_endpoints.end(),
                     [&](const auto& item) {
                       return !item.second.alive || item.first == m_leader ||
                              item.second.paused_below <= leader->second.term;
                     });
}

bool FleetWorld::Reaches(int host) const {
  return !store_down && cut_off.count(host) == 0;
}

void FleetWorld::Deliver(int host, Event event, std::uint64_t max_delay_ms) {
  const auto& row = *m_hosts[static_cast<std::size_t>(host)];
  m_deliveries.push_back(
      {clock.Now() + Milliseconds(1 + random.Below(max_delay_ms)), host,
       row.generation, std::move(event)});
}

void FleetWorld::Run(Milliseconds by) {
  const auto end = clock.Now() + by;
  while (clock.Now() < end) {
    clock.Advance(kStep);
    StepGroup();
    AnswerWatches();
    std::vector<Delivery> due;
    for (auto& delivery : std::exchange(m_deliveries, {})) {
      const bool later =
          delivery.due > clock.Now() || frozen.count(delivery.host) > 0;
      (later ? m_deliveries : due).push_back(std::move(delivery));
    }
    for (auto& delivery : due) {
      auto& row = *m_hosts[static_cast<std::size_t>(delivery.host)];
      if (row.generation != delivery.generation) continue;
      row.core->Handle(delivery.event);
      Collect(delivery.host);
    }
    for (int i = 0; i < HostCount(); ++i) {
      if (frozen.count(i) > 0) continue;
      auto& core = *m_hosts[static_cast<std::size_t>(i)]->core;
      relay::PrimaryHealth news;
      news.group = kGroup;
      for (const auto& [id, endpoint] : m_endpoints) {
        if (endpoint.alive) news.term = std::max(news.term, endpoint.term);
      }
      if (LostPrimary(i)) {
        news.endpoint = m_leader;
        news.silent_for = Milliseconds(700);
      }
      const auto& leader = m_endpoints.at(m_leader);
      if (!LostPrimary(i) && leader.paused_below > leader.term) {
        // Its callers are told that it does not lead.
        news.endpoint = m_leader;
        news.deposed = true;
      }
      core.Handle(news);
      core.Handle(TimerFired{});
      Collect(i);
    }
  }
}

void FleetWorld::Collect(int host) {
  for (const auto& action :
       m_hosts[static_cast<std::size_t>(host)]->core->TakeActions()) {
    Perform(host, action);
  }
}

void FleetWorld::Perform(int host, const Action& action) {
  auto& row = *m_hosts[static_cast<std::size_t>(host)];
  if (const auto* read = std::get_if<ReadTable>(&action)) {
    TableRead event{
        read->table, StoreStatus::kUnknown, {}, m_version, StoreNow()};
    if (Reaches(host)) {
      event.status = StoreStatus::kDone;
      for (const auto& [key, item] : m_tables[read->table]) {
        event.rows.push_back(item);
      }
    }
    Deliver(host, event);
  } else if (const auto* follow = std::get_if<FollowTable>(&action)) {
    m_watches.push_back(
        {host, row.generation, *follow, clock.Now() + follow->wait});
  } else if (const auto* write = std::get_if<WriteRow>(&action)) {
    RowWritten event{write->call, StoreStatus::kUnknown, 0, StoreNow()};
    if (Reaches(host)) {
      const auto it = m_tables[write->table].find(write->key);
      const RowVersion present =
          it == m_tables[write->table].end() ? 0 : it->second.version;
      if (present != write->expected) {
        event.status = StoreStatus::kConflict;
      } else {
        PutRow(write->table, write->key, write->value);
        event.status = StoreStatus::kDone;
        event.version = m_version;
      }
      if (lose_answer_of > 0 && random.Below(lose_answer_of) == 0) {
        event.status = StoreStatus::kUnknown;
      }
    }
    Deliver(host, event);
  } else if (const auto* promote = std::get_if<Promote>(&action)) {
    auto status = OnPromote(*promote);
    if (lose_answer_of > 0 && random.Below(lose_answer_of) == 0) {
      status = PromoteStatus::kUnknown;
    }
    Deliver(host, PromoteAnswered{promote->call, status});
  } else if (const auto* order = std::get_if<relay::AdminRequest>(&action)) {
    Deliver(host, Admin(host, *order));
  } else if (const auto* peer = std::get_if<SendPeer>(&action)) {
    for (int i = 0; i < HostCount(); ++i) {
      if (m_hosts[static_cast<std::size_t>(i)]->name + ":9" != peer->address) {
        continue;
      }
      Deliver(i, PeerReceived{{row.name, row.name + ":9", peer->message}});
    }
  } else if (const auto* publish = std::get_if<PublishDirectory>(&action)) {
    row.directory = publish->directory;
  } else if (const auto* seats = std::get_if<relay::SeatsChanged>(&action)) {
    row.seats = seats->seats;
  }
}

void FleetWorld::AnswerWatches() {
  std::vector<Watch> open;
  for (auto& watch : std::exchange(m_watches, {})) {
    TableChanged event{
        watch.follow.table, StoreStatus::kDone, {}, m_version, StoreNow()};
    if (!Reaches(watch.host)) {
      event.status = StoreStatus::kUnknown;
      Deliver(watch.host, event);
      continue;
    }
    for (const auto& row : m_history[watch.follow.table]) {
      if (row.version > watch.follow.after) event.rows.push_back(row);
    }
    if (event.rows.empty() && clock.Now() < watch.until) {
      open.push_back(std::move(watch));
      continue;
    }
    Deliver(watch.host, event);
  }
  for (auto& watch : open) m_watches.push_back(std::move(watch));
}

// While the primary is cut from some hosts, it is from every second one.
bool FleetWorld::LostPrimary(int host) const {
  return !m_endpoints.at(m_leader).alive || (silent_primary && host % 2 == 1);
}

// Commits, replication, and a promotion that falls due.
void FleetWorld::StepGroup() {
  if (m_promoting && clock.Now() >= m_promoting->first) {
    const auto target = std::exchange(m_promoting, std::nullopt)->second;
    if (m_endpoints.at(target).alive) Lead(target);
  }
  const auto arrive = [&](WorldEndpoint* endpoint) {
    if (!endpoint->alive || endpoint->deaf) return false;
    if (endpoint->paused_below > endpoint->sent_term) return false;
    if (endpoint->sent_term < endpoint->term) return false;
    endpoint->term = endpoint->sent_term;
    endpoint->position = std::max(endpoint->position, endpoint->sent_position);
    return true;
  };
  const auto& leader_term = m_endpoints.at(m_leader).term;
  for (auto& [id, endpoint] : m_endpoints) {
    if (id == m_leader || !arrive(&endpoint)) continue;
    if (endpoint.term != leader_term) continue;
    m_acknowledged = std::max(m_acknowledged, endpoint.position);
  }
  auto& leader = m_endpoints.at(m_leader);
  if (!leader.alive || leader.paused_below > leader.term) return;
  ++leader.position;
  for (auto& [id, endpoint] : m_endpoints) {
    if (id == m_leader || !endpoint.alive) continue;
    endpoint.sent_term = leader.term;
    endpoint.sent_position = leader.position;
    // Some arrive at once, some are on their way.
    if (random.Below(4) == 0 || !arrive(&endpoint)) continue;
    m_acknowledged = std::max(m_acknowledged, leader.position);
  }
}

void FleetWorld::Lead(const EndpointId& target) {
  auto& next = m_endpoints.at(target);
  Note(target + " leads with " + std::to_string(next.position) +
       ", acknowledged " + std::to_string(m_acknowledged));
  if (next.position < m_acknowledged) {
    breaches.push_back("lost: " + target + " holds " +
                       std::to_string(next.position) + " of " +
                       std::to_string(m_acknowledged));
    m_acknowledged = next.position;
  }
  const auto old = std::exchange(m_leader, target);
  Term newest = 0;
  for (const auto& [id, endpoint] : m_endpoints) {
    newest = std::max(newest, endpoint.term);
  }
  next.term = newest + 1;
  next.paused_below = 0;
  // A primary that stepped down is a replica like the others.
  if (old != target) m_endpoints.at(old).paused_below = 0;
  for (auto& [id, endpoint] : m_endpoints) {
    endpoint.position = std::min(endpoint.position, next.position);
    endpoint.sent_term = 0;
  }
  WriteEndpointRow(old);
  WriteEndpointRow(target);
}

relay::AdminDone FleetWorld::Admin(int host,
                                   const relay::AdminRequest& request) {
  relay::AdminDone done{request.id, request.endpoint, false, {}};
  const auto it = m_endpoints.find(request.endpoint);
  if (it == m_endpoints.end() || !it->second.alive) return done;
  auto& endpoint = it->second;
  const bool leads = request.endpoint == m_leader;
  Note("host " + std::to_string(host) + " orders " +
       std::string(NameOf(relay::kVerbNames, request.verb)) + " " +
       std::to_string(request.term) + " at " + request.endpoint + " (term " +
       std::to_string(endpoint.term) + ", position " +
       std::to_string(endpoint.position) + ")");
  if (leads && LostPrimary(host)) return done;
  done.answered = true;
  if (request.verb == relay::Verb::kContinue) endpoint.paused_below = 0;
  if (request.verb == relay::Verb::kPause && !leads &&
      request.term > endpoint.term) {
    endpoint.paused_below = request.term;
  }
  bool stepped_down = false;
  if (request.verb == relay::Verb::kStepDown && leads &&
      request.term > endpoint.term) {
    // It leads no more, and nobody else does until a promotion.
    endpoint.paused_below = request.term;
    stepped_down = true;
  }
  done.result.status = relay::EndpointStatus{leads && !stepped_down,
                                             endpoint.term,
                                             {endpoint.term, endpoint.position},
                                             endpoint.paused_below};
  return done;
}

PromoteStatus FleetWorld::OnPromote(const Promote& call) {
  Note(call.holder + " promotes " + call.endpoint + " with token " +
       std::to_string(call.fencing_token));
  const auto known = m_token_holders.emplace(call.fencing_token, call.holder);
  if (known.first->second != call.holder) {
    breaches.push_back("two holders promote with one token");
  }
  if (call.fencing_token < m_newest_token) return PromoteStatus::kFenced;
  m_newest_token = call.fencing_token;
  const auto it = m_endpoints.find(call.endpoint);
  if (it == m_endpoints.end() || !it->second.alive) {
    return PromoteStatus::kFenced;
  }
  const bool stepped_down = it->second.paused_below > it->second.term;
  if (call.endpoint == m_leader && !stepped_down) return PromoteStatus::kDone;
  ++promotions;
  m_promoting = {clock.Now() + kPromotionTime, call.endpoint};
  return PromoteStatus::kDone;
}

}  // namespace tiller::fleet
