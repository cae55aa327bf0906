// The control part of the decision library: one instance per host, driven by
// events and a clock, without I/O. Its components run in a fixed order on each
// tick.
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

  // Processes one event; the resulting actions are queued for TakeActions().
  void Handle(const Event& event);
  // Returns the queued actions and clears the queue.
  std::vector<Action> TakeActions() { return m_context.Take(); }

  // True if a load balancer may send new requests to this host.
  bool Ready() const;
  // Read access for the daemon, tests and benchmarks.
  const ConfigState& Configuration() const { return m_config; }
  const MemberTable& Members() const { return m_members; }
  const SeatLease& Seats() const { return m_seats; }

 private:
  void On(const PeerMessageArrived& arrived);
  void On(const PlatformAnswered& answered);
  void On(const GroupCallDone& done);
  void On(const traffic::EndpointStatusReport& report) {
    m_failover.Handle(report);
  }
  void On(const traffic::EndpointUnresponsive& failure) {
    m_failover.Handle(failure);
  }
  void On(const OperatorCommand& command);
  void On(const DrainRequested& requested);
  void On(const TrafficDrained& drained);
  void On(const traffic::TimerFired& timer);

  void Dispatch(const peer::Envelope& envelope);
  void PollHosts();
  void PublishIfChanged();
  // True if operators have taken this host's zone out of service.
  bool ZoneOut() const;
  // True once the zone has been out of service for zone_out_grace.
  bool ZoneOutGraceElapsed() const;
  // True if fewer than half of the primaries answer this host, but at least
  // half of them answer another live host.
  bool IsolatedFromPrimaries() const;
  peer::MemberRecord SelfRecord() const;
  Json::Value Status() const;
  void ProposeEdit(const OperatorCommand& command, ConfigEdit edit);
  void Reply(const OperatorCommand& command, Result<Json::Value> result);

  ControlContext m_context;
  MemberTable m_members;
  SeatLease m_seats;
  ConfigState m_config;
  Failover m_failover;
  std::optional<CallId> m_hosts_call;
  Instant m_next_hosts_poll{};
  std::optional<Instant> m_last_tick;
  Instant m_last_publish{};
  bool m_draining = false;
  bool m_traffic_drained = false;
  std::optional<Instant> m_zone_out_since;
  traffic::TrafficViewPtr m_published;
};

}  // namespace tiller::control
