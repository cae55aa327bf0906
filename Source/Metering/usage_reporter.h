// Usage reports of the whole fleet, as far as one host takes part in them: it
// sends its counts to the host that holds the duty, or holds it itself.
// Inactive, and without any message or store call, unless a window is set.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Metering/fleet_view.h"
#include "Metering/usage_collector.h"
#include "Metering/usage_duty.h"
#include "Metering/usage_sender.h"
#include "Metering/usage_settings.h"
#include "Metering/window_clock.h"

namespace tiller::metering {

class UsageReporter {
 public:
  UsageReporter(HostId host, const UsageSettings& settings,
                const FleetView* fleet, const Clock* clock, Random* random,
                Counters* counters);

  bool Active() const { return m_active; }
  void ObserveEra(fleet::StoreEra era) { m_duty.ObserveEra(era); }
  void Handle(const OperationsCounted& event);
  void Handle(const peer::Envelope& envelope, const UsageCounts& message);
  void Handle(const peer::Envelope& envelope, const UsageHolder& message);
  void Handle(const fleet::TableRead& event) { m_duty.Handle(event); }
  bool OwnsCall(fleet::CallId call) const { return m_duty.OwnsCall(call); }
  void Handle(const fleet::RowWritten& event) { m_duty.Handle(event); }
  void Handle(const fleet::UsageAnswered& event) { m_duty.Handle(event); }
  void Handle(const fleet::Stopping& event);
  void Tick();
  std::vector<fleet::Action> TakeActions(fleet::CallId* next_call);

 private:
  struct Holder {
    std::string address;  // empty: this host
    std::uint64_t token = 0;
  };
  void Send(UsageCounts message);
  void Announce();
  std::vector<fleet::FleetHost> Candidates() const;
  void SeekHolder(UsageCounts message);

  const HostId m_host;
  const bool m_active;
  const FleetView* const m_fleet;
  Random* const m_random;
  Counters* const m_counters;
  WindowClock m_windows;
  UsageCollector m_collector;
  UsageDuty m_duty;
  UsageSender m_sender;
  std::optional<Holder> m_holder;
  std::vector<fleet::Action> m_messages;
};

}  // namespace tiller::metering
