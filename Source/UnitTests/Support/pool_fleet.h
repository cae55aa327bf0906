// Simulation of hosts that reach endpoints through each other's shared pools:
// a relay core and a pool for each host, joined by a queue of delayed messages,
// on a manual clock. Hosts can be starved of processor time, primaries cut off
// from their replicas, and zones from each other. There is no control part:
// primaries are replaced by the test.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Relay/relay_core.h"
#include "Relay/shared_pool.h"

namespace tiller::relay {

class PoolFleet {
 public:
  struct Sizes {
    int hosts = 73;
    int zones = 3;
    int groups = 8;
    int workspaces = 20;
    std::size_t slots = 6;
    std::size_t max_connections = 82;
    Milliseconds latency{4};  // between zones, one way
    double requests_per_second = 500;
    bool load_management = false;
  };
  // What became of an operation of a caller.
  struct Outcome {
    GroupId group;
    ZoneId zone;  // of the host that it was sent to
    bool write = false;
    Instant arrived;
    bool on_time = false;
    bool answered = false;
  };
  struct Suspicion {
    Instant at;
    EndpointId endpoint;
  };

  PoolFleet(const Sizes& sizes, std::uint64_t seed);

  // Callers send operations at random hosts meanwhile.
  void Run(Milliseconds duration);
  // The first `count` hosts handle events only every 60 to 300 ms.
  void StarveHosts(int count);
  void EndStarvation();
  // The endpoint answers neither writes nor commits.
  void CutReplication(const EndpointId& id, bool cut);
  // The endpoint answers nothing at all, and no openings.
  void Darken(const EndpointId& id);
  // While it is cut off, no message enters or leaves the zone; empty: none is.
  void CutZone(const ZoneId& zone) { m_cut_zone = zone; }
  void Promote(const GroupId& group, const EndpointId& id);
  EndpointId PrimaryOf(const GroupId& group) const {
    return m_directory.groups.at(group).primary;
  }

  Instant Now() const { return m_clock.Now(); }
  const std::vector<Outcome>& Outcomes() const { return m_outcomes; }
  // Reports by which a control part may replace the primary.
  const std::vector<Suspicion>& Suspicions() const { return m_suspicions; }
  // Sum over all hosts.
  std::uint64_t Count(const std::string& counter) const;

 private:
  using Link = std::pair<int, ConnectionId>;  // host, and its connection
  struct Host {
    std::unique_ptr<RelayCore> core;
    std::unique_ptr<SharedPool> pool;
    ZoneId zone;
    Milliseconds pause{0};  // between the times at which it runs
    // Sessions of the pool by the link that opened them, and the reverse.
    std::map<Link, SessionId> pool_sessions;
    std::map<SessionId, Link> pool_links;
  };
  struct EndpointState {
    ZoneId zone;
    std::size_t busy_slots = 0;
    std::deque<std::pair<Duration, std::function<void()>>> queue;
    bool replication_cut = false;
    bool dark = false;
    // State of the transaction of each connection: "host/number" or, of a pool,
    // "pool/host/number".
    std::map<std::string, TxState> connections;
  };
  struct Caller {
    int host = 0;
    Statement statement;
    std::size_t outcome = 0;
    Instant deadline;
    int attempts = 0;
  };

  void At(Instant when, std::function<void()> action);
  // Runs it when the host next has processor time after `when`.
  void AtHost(int host, Instant when, std::function<void()> action);
  // A message to a host; it is lost if the zones are cut off from each other.
  void SendToHost(const ZoneId& from, int host, std::function<void()> action);
  void Tick(int host);
  void Arrive();
  void Submit(SessionId session);
  void OnReply(SessionId session, const StatementResult& result);
  void RunCore(int host, const Event& event);
  void RunPool(int host, const PoolEvent& event);
  void PerformCore(int host, const Action& action);
  void PerformPool(int host, const PoolAction& action);
  void OpenAtEndpoint(const EndpointId& id, const std::string& connection,
                      const ZoneId& from, Instant when,
                      const std::function<void(bool)>& opened);
  void Execute(const EndpointId& id, const std::string& connection,
               const SendStatement& sent, const ZoneId& from, Instant when,
               const std::function<void(StatementResult)>& answered);
  void UseSlot(const EndpointId& id, Duration work, std::function<void()> done);
  void FreeSlot(const EndpointId& id);
  Duration Latency(const ZoneId& a, const ZoneId& b) const;
  bool Reaches(const ZoneId& a, const ZoneId& b) const;
  int HostOf(const std::string& address) const;
  void Publish();

  const Sizes m_sizes;
  ManualClock m_clock;
  SeededRandom m_random;
  Counters m_counters;
  Directory m_directory;
  std::vector<Host> m_hosts;
  std::map<EndpointId, EndpointState> m_endpoints;
  ZoneId m_cut_zone;
  // Endpoint of each connection that goes directly to one.
  std::map<std::string, EndpointId> m_endpoint_of;
  std::map<SessionId, Caller> m_callers;
  SessionId m_next_session = 1;
  std::uint64_t m_receipts = 0;
  struct Queued {
    Instant when;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Queued& other) const {
      return std::tie(other.when, other.number) < std::tie(when, number);
    }
  };
  std::priority_queue<Queued> m_queue;
  std::uint64_t m_next_number = 0;
  std::vector<Outcome> m_outcomes;
  std::vector<Suspicion> m_suspicions;
};

}  // namespace tiller::relay
