// The control part of the decision library: one instance per host, driven by
// events and a clock, without I/O. It runs its systems in a fixed order on
// each tick.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Control/config_state.h"
#include "Control/control_context.h"
#include "Control/failover.h"
#include "Control/member_table.h"
#include "Control/seat_lease.h"

namespace tiller::control {

class ControlCore {
 public:
  ControlCore(ControlOptions options, const Clock* clock, Random* random,
              Counters* counters);

  void Handle(const Event& event);
  std::vector<Action> TakeActions() { return m_context.Take(); }

  // For the balancer: takes new requests.
  bool Ready() const;
  // For checks only.
  const ConfigState& Configuration() const { return m_config; }
  const MemberTable& Members() const { return m_members; }
  const SeatLease& Seats() const { return m_seats; }

 private:
  void On(const PeerMessageArrived& arrived);
  void On(const PlatformAnswered& answered);
  void On(const GroupCallDone& done);
  void On(const traffic::EndpointHeard& heard) { m_failover.Handle(heard); }
  void On(const traffic::EndpointSilent& silent) { m_failover.Handle(silent); }
  void On(const OperatorCommand& command);
  void On(const DrainRequested& requested);
  void On(const TrafficDrained& drained);
  void On(const traffic::TimerFired& timer);

  void Dispatch(const peer::Envelope& envelope);
  void PollHosts();
  void PublishIfChanged();
  bool ZoneOut() const;
  bool ZoneClosed() const;
  // Most primaries do not answer this host, but they do answer another one.
  bool CutFromPrimaries() const;
  peer::MemberRecord SelfRecord() const;
  Json::Value Status() const;
  void ProposeEdit(const OperatorCommand& command, ConfigEdit edit);
  void Answer(const OperatorCommand& command, Result<Json::Value> result);

  ControlContext m_context;
  MemberTable m_members;
  SeatLease m_seats;
  ConfigState m_config;
  Failover m_failover;
  std::optional<CallId> m_hosts_call;
  Instant m_next_hosts{};
  std::optional<Instant> m_last_tick;
  Instant m_last_publish{};
  bool m_draining = false;
  bool m_drained = false;
  std::optional<Instant> m_zone_out_since;
  traffic::TrafficViewPtr m_published;
};

}  // namespace tiller::control
