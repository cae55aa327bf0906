// Implementation of the control part: dispatch, views and operator commands.
#include "Control/control_core.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "Common/json.h"
#include "Control/config_edit.h"

namespace tiller::control {
namespace {

constexpr Milliseconds kHostsPollInterval{5'000};
// A longer interval between two ticks means that the process was paused.
constexpr Milliseconds kPauseThreshold{400};
// The deadlines in a view change continuously. The traffic part needs them
// refreshed at this interval, also when nothing else in the view has changed.
constexpr Milliseconds kRepublishInterval{500};

bool SameView(const traffic::TrafficView& a, const traffic::TrafficView& b) {
  const auto same_groups =
      a.groups.size() == b.groups.size() &&
      std::equal(a.groups.begin(), a.groups.end(), b.groups.begin(),
                 [](const auto& x, const auto& y) {
                   return x.first == y.first &&
                          x.second.term == y.second.term &&
                          x.second.primary == y.second.primary;
                 });
  return a.config == b.config && a.seats.holders == b.seats.holders &&
         a.seats.held == b.seats.held && same_groups &&
         a.draining == b.draining &&
         a.zone_out_of_service == b.zone_out_of_service;
}

}  // namespace

ControlCore::ControlCore(ControlOptions options, const Clock* clock,
                         Random* random, Counters* counters)
    : m_context(std::move(options), clock, random, counters),
      m_members(&m_context),
      m_seats(&m_context, &m_members),
      m_config(&m_context, &m_members, &m_seats.Quorum()),
      m_failover(&m_context, &m_members) {}

void ControlCore::Handle(const Event& event) {
  std::visit([this](const auto& kind) { On(kind); }, event);
  PublishIfChanged();
}

void ControlCore::On(const PeerMessageArrived& arrived) {
  const auto& envelope = arrived.envelope;
  if (envelope.from.empty() || envelope.from == m_context.Options().host) {
    return;
  }
  // The first message from an unknown host already makes its address known.
  m_members.AddAddress(envelope.from_address);
  Dispatch(envelope);
}

void ControlCore::Dispatch(const peer::Envelope& envelope) {
  const auto& from = envelope.from;
  const auto& message = envelope.message;
  if (const auto* gossip = std::get_if<peer::Gossip>(&message)) {
    m_members.Merge(gossip->members);
    for (const auto& group : gossip->groups) m_failover.Merge(group);
  } else if (const auto* guard_request =
                 std::get_if<peer::GuardRequest>(&message)) {
    m_seats.Handle(from, *guard_request);
  } else if (const auto* guard_ack = std::get_if<peer::GuardAck>(&message)) {
    m_seats.Handle(from, *guard_ack);
  } else if (const auto* vouch_request =
                 std::get_if<peer::SeatVouchRequest>(&message)) {
    m_seats.Quorum().Handle(from, *vouch_request);
  } else if (const auto* vouch = std::get_if<peer::SeatVouch>(&message)) {
    m_seats.Quorum().Handle(from, *vouch);
  } else if (const auto* take_request =
                 std::get_if<peer::SeatTakeRequest>(&message)) {
    m_seats.Quorum().Handle(from, *take_request);
  } else if (const auto* consent =
                 std::get_if<peer::SeatTakeConsent>(&message)) {
    m_seats.Quorum().Handle(from, *consent);
  } else if (const auto* query = std::get_if<peer::ConfigQuery>(&message)) {
    m_config.Handle(from, *query);
  } else if (const auto* answer = std::get_if<peer::ConfigAnswer>(&message)) {
    m_config.Handle(from, *answer);
  } else if (const auto* fetch = std::get_if<peer::ConfigFetch>(&message)) {
    m_config.Handle(from, *fetch);
  } else if (const auto* body = std::get_if<peer::ConfigBody>(&message)) {
    m_config.Handle(*body);
  } else if (const auto* prepare = std::get_if<peer::ConfigPrepare>(&message)) {
    m_config.Handle(from, *prepare);
  } else if (const auto* prepared =
                 std::get_if<peer::ConfigPrepared>(&message)) {
    m_config.Handle(from, *prepared);
  } else {
    m_context.Stats()->Add("peer_messages_misdirected");
  }
}

void ControlCore::On(const PlatformAnswered& answered) {
  if (!answered.answer) {
    m_context.Stats()->Add("platform_" +
                           std::string(NameOf(answered.answer.error().code)));
  }
  if (m_hosts_call && answered.id == *m_hosts_call) {
    m_hosts_call.reset();
    if (!answered.answer) return;
    for (const auto& host : answered.answer.value().hosts) {
      m_members.AddAddress(host.address);
      if (host.leaving) m_members.MarkLeaving(host.address);
    }
    return;
  }
  if (m_seats.Handle(answered)) return;
  m_config.Handle(answered);
}

void ControlCore::On(const GroupCallDone& done) { m_failover.Handle(done); }

void ControlCore::On(const DrainRequested&) { m_draining = true; }

void ControlCore::On(const TrafficDrained&) {
  m_traffic_drained = true;
  m_seats.Release();
}

void ControlCore::On(const traffic::TimerFired&) {
  const auto now = m_context.Now();
  if (m_last_tick && now - *m_last_tick > kPauseThreshold) {
    m_failover.OnPause();
  }
  m_last_tick = now;
  if (m_config.TakeChanged()) {
    const auto& config = *m_config.Current();
    std::vector<ZoneId> zones;
    for (const auto& seat : config.seats) zones.push_back(seat.zone);
    m_seats.Configure(zones);
    m_failover.Configure(config);
  }
  if (!ZoneOut()) {
    m_zone_out_since.reset();
  } else if (!m_zone_out_since) {
    m_zone_out_since = now;
  }
  PollHosts();
  for (const auto& address : m_seats.HolderAddresses()) {
    m_members.AddAddress(address);
  }
  m_config.Tick();
  m_seats.Tick();
  m_failover.Tick();
  m_members.Tick(SelfRecord(), m_failover.Records());
  if (m_traffic_drained && m_seats.Released()) {
    m_traffic_drained = false;
    m_context.Emit(DrainFinished{});
  }
}

void ControlCore::PollHosts() {
  if (m_context.Now() < m_next_hosts_poll || m_hosts_call) return;
  m_next_hosts_poll = m_context.Now() + kHostsPollInterval;
  m_hosts_call = m_context.Call(platform::ListHosts{});
}

peer::MemberRecord ControlCore::SelfRecord() const {
  const auto& options = m_context.Options();
  return {options.host,        options.address,
          options.zone,        0,
          m_draining,          m_config.Version(),
          m_seats.HeldCount(), m_failover.ReachablePrimaries()};
}

bool ControlCore::ZoneOut() const {
  const auto& config = m_config.Current();
  if (!config) return false;
  const auto* zone = config->FindZone(m_context.Options().zone);
  return zone != nullptr && zone->out_of_service;
}

bool ControlCore::ZoneOutGraceElapsed() const {
  return m_zone_out_since && m_context.Now() - *m_zone_out_since >=
                                 m_context.Options().zone_out_grace;
}

bool ControlCore::IsolatedFromPrimaries() const {
  const int groups = m_failover.GroupCount();
  if (m_failover.ReachablePrimaries() * 2 >= groups) return false;
  const auto live = m_members.Live();
  return std::any_of(live.begin(), live.end(), [&](const auto& row) {
    return row.record.primaries * 2 >= groups && !row.record.leaving;
  });
}

bool ControlCore::Ready() const {
  return m_config.Current() != nullptr && !m_draining && !ZoneOut() &&
         !IsolatedFromPrimaries() &&
         m_seats.View().valid_until > m_context.Now() &&
         m_config.KeysValidUntil() > m_context.Now();
}

void ControlCore::PublishIfChanged() {
  if (!m_config.Current()) return;
  auto view = std::make_shared<traffic::TrafficView>();
  view->config = m_config.Current();
  view->seats = m_seats.View();
  view->keys_valid_until = m_config.KeysValidUntil();
  view->draining = m_draining;
  view->zone_out_of_service = ZoneOutGraceElapsed();
  for (const auto& record : m_failover.Records()) {
    view->groups[record.group] = {record.term, record.primary};
  }
  const auto now = m_context.Now();
  const bool same = m_published && SameView(*m_published, *view);
  if (same && now - m_last_publish < kRepublishInterval) return;
  m_last_publish = now;
  m_published = view;
  m_context.Emit(PublishView{view});
}

void ControlCore::Reply(const OperatorCommand& command,
                        Result<Json::Value> result) {
  m_context.Emit(OperatorReply{command.ticket, std::move(result)});
}

void ControlCore::ProposeEdit(const OperatorCommand& command, ConfigEdit edit) {
  std::optional<config::ConfigVersion> expected;
  if (command.arguments.isMember("expected_version")) {
    expected = UintOr(command.arguments, "expected_version");
  }
  m_config.Propose(command.ticket, std::move(edit), expected);
}

void ControlCore::On(const OperatorCommand& command) {
  const auto& arguments = command.arguments;
  const auto name = StringOr(arguments, "name");
  switch (command.verb) {
    case OperatorVerb::kStatus:
      return Reply(command, Status());
    case OperatorVerb::kConfigShow:
      if (!m_config.Current()) {
        return Reply(command, MakeError(ErrorCode::kNotFound,
                                        "no configuration in force"));
      }
      return Reply(command, config::ToJson(*m_config.Current()));
    case OperatorVerb::kConfigApply:
      return ProposeEdit(command, ReplaceConfig(arguments["config"]));
    case OperatorVerb::kKeyAdd:
      return ProposeEdit(command, AddKey(name, StringOr(arguments, "workspace"),
                                         StringOr(arguments, "sha256")));
    case OperatorVerb::kKeyWithdraw:
      return ProposeEdit(command, WithdrawKey(name));
    case OperatorVerb::kZoneOut:
    case OperatorVerb::kZoneIn:
      return ProposeEdit(
          command, SetZoneOut(name, command.verb == OperatorVerb::kZoneOut));
    case OperatorVerb::kEndpointDrain:
    case OperatorVerb::kEndpointUndrain:
      return ProposeEdit(
          command,
          SetDraining(name, command.verb == OperatorVerb::kEndpointDrain));
    case OperatorVerb::kSeatClear:
      return m_seats.Clear(command.ticket,
                           static_cast<int>(UintOr(arguments, "seat")));
    case OperatorVerb::kPromote: {
      const auto endpoint = StringOr(arguments, "endpoint");
      return m_failover.Promote(
          command.ticket, name,
          endpoint.empty() ? std::nullopt : std::optional(endpoint));
    }
  }
}

Json::Value ControlCore::Status() const {
  const auto now = m_context.Now();
  const auto remaining_ms = [&](Instant until) {
    return Json::Int64(std::max<std::int64_t>(
        0, std::chrono::duration_cast<Milliseconds>(until - now).count()));
  };
  Json::Value out;
  out["host"] = m_context.Options().host;
  out["zone"] = m_context.Options().zone;
  out["config_version"] = Json::UInt64(m_config.Version());
  out["ready"] = Ready();
  out["draining"] = m_draining;
  out["platform_reachable"] = m_config.PlatformReachable();
  out["keys_valid_ms"] = remaining_ms(m_config.KeysValidUntil());
  const auto seats = m_seats.View();
  out["seats_valid_ms"] = remaining_ms(seats.valid_until);
  out["seats"] = Json::Value(Json::arrayValue);
  for (const int seat : seats.held) out["seats"].append(seat);
  out["groups"] = m_failover.Describe();
  out["members"] = Json::Value(Json::arrayValue);
  for (const auto& row : m_members.Live()) {
    Json::Value member;
    member["host"] = row.record.host;
    member["address"] = row.record.address;
    member["zone"] = row.record.zone;
    member["config_version"] = Json::UInt64(row.record.config_version);
    member["leaving"] = row.record.leaving;
    member["seats"] = row.record.seats;
    out["members"].append(member);
  }
  return out;
}

}  // namespace tiller::control
