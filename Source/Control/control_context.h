// State shared by the components of the control part: the host's identity and
// options, its clock, its counters and the queue of actions to be performed.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Control/control_messages.h"

namespace tiller::control {

struct ControlOptions {
  HostId host;
  std::string address;  // control address of this host
  ZoneId zone;
  std::vector<std::string> seeds;  // control addresses of other hosts

  Milliseconds gossip_interval{1'000};
  Milliseconds member_timeout{3'000};
  Milliseconds config_poll{2'000};
  // Keys are honoured for this long after the newest configuration was
  // confirmed.
  Milliseconds key_grace{8'000};
  // Used instead of key_grace while holders of a majority of the seats report
  // that they cannot reach the platform.
  Milliseconds outage_grace{1'800'000};
  Milliseconds seat_lease{60'000};
  Milliseconds seat_renew{15'000};
  Milliseconds guard_lease{4'000};
  Milliseconds guard_renew{1'000};
  Milliseconds suspect_after{600};
  Milliseconds zone_out_grace{3'000};
};

class ControlContext {
 public:
  ControlContext(ControlOptions options, const Clock* clock, Random* random,
                 Counters* counters)
      : m_options(std::move(options)),
        m_clock(clock),
        m_random(random),
        m_counters(counters) {}

  const ControlOptions& Options() const { return m_options; }
  Instant Now() const { return m_clock->Now(); }
  Random* Rng() { return m_random; }
  Counters* Stats() { return m_counters; }

  CallId NextId() { return ++m_last_id; }
  // Queues a platform call and returns its id.
  CallId Call(platform::Call call) {
    const auto id = NextId();
    m_actions.emplace_back(CallPlatform{id, std::move(call)});
    return id;
  }
  void Send(const std::string& address, peer::Message message) {
    m_actions.emplace_back(SendPeer{address, std::move(message)});
  }
  void Emit(Action action) { m_actions.push_back(std::move(action)); }
  void Log(log::Channel channel, log::Level level, std::string event,
           std::vector<std::pair<std::string, std::string>> fields = {}) {
    m_actions.emplace_back(
        LogEvent{channel, level, std::move(event), std::move(fields)});
  }
  // Returns the queued actions and clears the queue.
  std::vector<Action> Take() { return std::exchange(m_actions, {}); }

 private:
  const ControlOptions m_options;
  const Clock* const m_clock;
  Random* const m_random;
  Counters* const m_counters;
  CallId m_last_id = 0;
  std::vector<Action> m_actions;
};

// Largest relative difference between the clock rates of two hosts.
inline constexpr double kMaxClockDrift = 0.01;
// Lengthens a duration by the largest clock drift.
inline Duration WithDrift(Duration duration) {
  return std::chrono::duration_cast<Duration>(duration *
                                              (1.0 + kMaxClockDrift));
}

}  // namespace tiller::control
