// Private state of the simulation, shared by its two source files.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "UnitTests/Support/service_simulation.h"

namespace tiller::test {

// Time by which one tick advances the clock.
inline constexpr Milliseconds kTickInterval{5};
// One-way latency between hosts, and between hosts and endpoints.
inline constexpr Milliseconds kNetworkLatency{1};
inline constexpr int kEndpointCount = 3;

// One host process: its control and traffic parts and their pending callbacks.
struct ServiceSimulation::Host {
  std::string node;  // name in the simulated network
  HostId id;
  std::string address;
  ZoneId zone;
  bool alive = true;
  Instant paused_until{};
  Counters counters;
  std::unique_ptr<SeededRandom> random;
  std::unique_ptr<control::ControlCore> control;
  std::unique_ptr<traffic::TrafficCore> traffic;
  // Events that arrived during a pause; handled when it ends.
  std::vector<std::function<void()>> deferred_events;
  std::map<traffic::RequestId, ReplyHandler> reply_handlers;
  std::map<control::CallId, OperatorHandler> operator_handlers;
  Instant next_control_tick{};
  bool dispatching_actions = false;  // DispatchActions() is running
  bool draining = false;
};

// One host's connection to an endpoint.
struct ServiceSimulation::Connection {
  int host = 0;
  traffic::ConnectionId id = 0;
  FakeEndpoint::Session session;
  bool silent = false;  // gives no answers any more
  bool open = true;
};

// One endpoint process and its connections, keyed by host and connection.
struct ServiceSimulation::EndpointNode {
  EndpointNode(const EndpointId& name, std::string in_zone)
      : endpoint(name, kEndpointCount), zone(std::move(in_zone)) {}
  FakeEndpoint endpoint;
  ZoneId zone;
  bool alive = true;
  std::map<std::pair<int, traffic::ConnectionId>, Connection> connections;
  std::uint64_t pipelines_started = 0;
};

}  // namespace tiller::test
