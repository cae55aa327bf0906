// Measures how control traffic, processor time and memory per host grow with
// the number of hosts. Runs the control part of many hosts in one process, on a
// manual clock, with message queues between them. Every group has a primary,
// and no failover takes place.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/crypto.h"
#include "Common/json.h"
#include "Control/control_core.h"
#include "Peer/json_rpc.h"
#include "Settings/command_line.h"
#include "StandIn/platform_store.h"

namespace {

using tiller::Instant;
using tiller::Milliseconds;
namespace control = tiller::control;
namespace config = tiller::config;
namespace peer = tiller::peer;
namespace platform = tiller::platform;
namespace settings = tiller::settings;

constexpr Milliseconds kTickInterval{50};
constexpr int kZones = 7;
constexpr int kStatusReportHz = 5;

struct FleetSize {
  int hosts = 9;
  int groups = 3;
  // Number of groups whose endpoints one host uses; it gets status reports of
  // these only.
  int groups_per_host = 3;
};

config::Config MakeConfig(const FleetSize& fleet_size) {
  config::Config out;
  out.version = 1;
  out.service = "s";
  out.session_secret = std::string(32, 's');
  for (int i = 0; i < kZones; ++i) {
    out.zones.push_back({"z" + std::to_string(i), i < 4 ? "r1" : "r2", false});
  }
  for (int i = 0; i < fleet_size.hosts; ++i) {
    out.seats.push_back({"z" + std::to_string(i % kZones)});
  }
  for (int i = 0; i < fleet_size.groups; ++i) {
    config::Group group{"g" + std::to_string(i), 3, 20, {}};
    for (int j = 0; j < 3; ++j) {
      group.endpoints.push_back(
          {group.name + "-" + std::to_string(j),
           "z" + std::to_string((i + j) % kZones),
           "10.0." + std::to_string(i) + "." + std::to_string(j) + ":1",
           false});
    }
    out.groups.push_back(group);
    out.workspaces.push_back(
        {"w" + std::to_string(i), "s", group.name, 100, 100, 1});
    out.keys.push_back({"k" + std::to_string(i), "w" + std::to_string(i),
                        tiller::Sha256Hex(std::to_string(i)), false});
  }
  return out;
}

// The control parts of all hosts, the messages between them and the platform's
// store.
class ControlFleet {
 public:
  explicit ControlFleet(const FleetSize& fleet_size)
      : m_fleet_size(fleet_size), m_config(MakeConfig(fleet_size)) {
    Json::Value head;
    head["version"] = 1;
    head["object"] = "c1";
    (void)m_store.Execute(
        platform::PutObject{"c1", tiller::ToText(ToJson(m_config))});
    (void)m_store.Execute(
        platform::CommitRows{{{"config", "head", 0, std::move(head)}}});
    const auto before = mallinfo2().uordblks;
    for (int i = 0; i < fleet_size.hosts; ++i) {
      control::ControlOptions options;
      options.host = "h" + std::to_string(i);
      options.address = Address(i);
      options.zone = "z" + std::to_string(i % kZones);
      options.seeds = {Address(0), Address(1), Address(2)};
      m_random.push_back(std::make_unique<tiller::SeededRandom>(i + 1));
      m_counters.push_back(std::make_unique<tiller::Counters>());
      m_hosts.push_back(std::make_unique<control::ControlCore>(
          options, &m_clock, m_random.back().get(), m_counters.back().get()));
      m_host_index[Address(i)] = i;
    }
    m_memory_before = before;
  }

  void Run(Milliseconds duration) {
    for (Milliseconds since_start{0}; since_start < duration;
         since_start += kTickInterval) {
      m_clock.Advance(kTickInterval);
      for (int i = 0; i < m_fleet_size.hosts; ++i) {
        const auto started = std::chrono::steady_clock::now();
        m_hosts[static_cast<std::size_t>(i)]->Handle(
            tiller::traffic::TimerFired{});
        ReportEndpointStatuses(i, since_start);
        m_handling_time += std::chrono::steady_clock::now() - started;
        PerformActions(i);
      }
      DeliverPeerMessages();
    }
  }
  void ResetMeasurements() {
    m_bytes = 0;
    m_messages = 0;
    m_handling_time = {};
    m_platform_calls_before = m_store.ReadCount() + m_store.WriteCount();
    m_platform_writes_before = m_store.WriteCount();
  }
  void Report(Milliseconds duration) {
    const double seconds = std::chrono::duration<double>(duration).count();
    const double host_seconds = seconds * m_fleet_size.hosts;
    std::size_t members = 0;
    for (const auto& host : m_hosts) members += host->Members().Live().size();
    std::printf(
        "%6d %7d %10.0f %9.2f %9.3f %10.1f %9.2f %9.2f %9.2f\n",
        m_fleet_size.hosts, m_fleet_size.groups,
        static_cast<double>(m_bytes) / host_seconds,
        static_cast<double>(m_messages) / host_seconds,
        100 * std::chrono::duration<double>(m_handling_time).count() /
            host_seconds,
        static_cast<double>(mallinfo2().uordblks - m_memory_before) / 1024 /
            m_fleet_size.hosts,
        static_cast<double>(m_store.ReadCount() + m_store.WriteCount() -
                            m_platform_calls_before) /
            seconds,
        static_cast<double>(m_store.WriteCount() - m_platform_writes_before) /
            seconds,
        static_cast<double>(members) / m_fleet_size.hosts);
    std::fflush(stdout);
  }
  // Returns the seconds until a configuration change that one host accepted is
  // in force on all hosts, at most 60.
  double ConfigPropagationSeconds() {
    Json::Value arguments;
    arguments["name"] = "k0";
    m_hosts[0]->Handle(control::OperatorCommand{
        1, control::OperatorVerb::kKeyWithdraw, arguments});
    PerformActions(0);
    const auto started = m_clock.Now();
    for (int i = 0; i < 1200; ++i) {
      Run(kTickInterval);
      bool all = true;
      for (const auto& host : m_hosts) {
        all &= host->Configuration().Version() >= 2;
      }
      if (all) break;
    }
    return std::chrono::duration<double>(m_clock.Now() - started).count();
  }

 private:
  static std::string Address(int i) {
    return "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) +
           ":7400";
  }
  // Passes the endpoint statuses to the control part as the traffic part
  // reports them, five times a second.
  void ReportEndpointStatuses(int host, Milliseconds since_start) {
    if (since_start.count() % (1000 / kStatusReportHz) != 0) return;
    for (int i = 0; i < m_fleet_size.groups_per_host; ++i) {
      const int group = (host + i) % m_fleet_size.groups;
      for (int j = 0; j < 3; ++j) {
        tiller::endpoint::EndpointStatus status;
        status.role = j == 0 ? tiller::endpoint::Role::kPrimary
                             : tiller::endpoint::Role::kReplica;
        status.term = status.fence_term = 1;
        status.fence_owner = "boot";
        m_hosts[static_cast<std::size_t>(host)]->Handle(
            tiller::traffic::EndpointStatusReport{
                "g" + std::to_string(group) + "-" + std::to_string(j), status});
      }
    }
  }
  void PerformActions(int index) {
    auto& host = *m_hosts[static_cast<std::size_t>(index)];
    for (auto actions = host.TakeActions(); !actions.empty();
         actions = host.TakeActions()) {
      for (auto& action : actions) {
        if (auto* call = std::get_if<control::CallPlatform>(&action)) {
          m_store.SetNow(m_clock.Now());
          host.Handle(
              control::PlatformAnswered{call->id, m_store.Execute(call->call)});
        } else if (auto* send = std::get_if<control::SendPeer>(&action)) {
          const auto started = std::chrono::steady_clock::now();
          auto text = peer::EncodeNotification(
              "deliver", peer::Encode({"h" + std::to_string(index),
                                       Address(index), send->message}));
          m_handling_time += std::chrono::steady_clock::now() - started;
          m_bytes += text.size();
          ++m_messages;
          m_message_queue.emplace_back(send->address, std::move(text));
        }
      }
    }
  }
  void DeliverPeerMessages() {
    auto queue = std::exchange(m_message_queue, {});
    for (const auto& [address, text] : queue) {
      const auto target = m_host_index.find(address);
      if (target == m_host_index.end()) continue;
      const auto started = std::chrono::steady_clock::now();
      const auto json = tiller::ParseJson(text);
      const auto envelope = peer::Decode(json.value()["params"]["body"]);
      if (envelope) {
        m_hosts[static_cast<std::size_t>(target->second)]->Handle(
            control::PeerMessageArrived{envelope.value()});
      }
      m_handling_time += std::chrono::steady_clock::now() - started;
      PerformActions(target->second);
    }
  }

  const FleetSize m_fleet_size;
  const config::Config m_config;
  tiller::ManualClock m_clock;
  tiller::standin::PlatformStore m_store;
  std::vector<std::unique_ptr<tiller::SeededRandom>> m_random;
  std::vector<std::unique_ptr<tiller::Counters>> m_counters;
  std::vector<std::unique_ptr<control::ControlCore>> m_hosts;
  std::map<std::string, int> m_host_index;
  std::deque<std::pair<std::string, std::string>> m_message_queue;
  std::size_t m_memory_before = 0;
  std::uint64_t m_bytes = 0;
  std::uint64_t m_messages = 0;
  // Elapsed time in handling events and messages; reported as CPU_%.
  std::chrono::steady_clock::duration m_handling_time{};
  std::uint64_t m_platform_calls_before = 0;
  std::uint64_t m_platform_writes_before = 0;
};

}  // namespace

int main(int argc, const char** argv) {
  int hosts = 0;
  int groups = 3;
  int warm_up_s = 30;
  int seconds = 30;
  settings::CommandLine command_line("tiller-control-slope", "");
  command_line.Add("hosts", &hosts, "number of hosts; 0: a series of sizes");
  command_line.Add("groups", &groups, "groups in the configuration");
  command_line.Add("warm-s", &warm_up_s,
                   "warm-up before the measurement, in seconds");
  command_line.Add("seconds", &seconds,
                   "duration of the measurement, in seconds");
  command_line.Parse(argc, argv);
  std::vector<int> series = {9, 20, 40, 80, 160, 320};
  if (hosts > 0) series = {hosts};
  std::printf("%6s %7s %10s %9s %9s %10s %9s %9s %9s\n", "HOSTS", "GROUPS",
              "BYTES/S", "MSGS/S", "CPU_%", "KB/HOST", "PLAT/S", "WRITES/S",
              "KNOWN");
  for (const int count : series) {
    FleetSize fleet_size;
    fleet_size.hosts = count;
    fleet_size.groups = groups;
    ControlFleet fleet(fleet_size);
    fleet.Run(Milliseconds(warm_up_s * 1000));
    fleet.ResetMeasurements();
    fleet.Run(Milliseconds(seconds * 1000));
    fleet.Report(Milliseconds(seconds * 1000));
    std::printf("       a change of configuration in force after %.2f s\n",
                fleet.ConfigPropagationSeconds());
  }
  return settings::kExitSuccess;
}
