// Private state of the fleet, shared by its two source files.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "UnitTests/Support/fleet.h"

namespace tiller::test {

inline constexpr Milliseconds kStep{5};
inline constexpr Milliseconds kHop{1};
inline constexpr int kEndpoints = 3;

struct Fleet::Host {
  std::string node;
  HostId id;
  std::string address;
  ZoneId zone;
  bool alive = true;
  Instant paused_until{};
  Counters counters;
  std::unique_ptr<SeededRandom> random;
  std::unique_ptr<control::ControlCore> control;
  std::unique_ptr<traffic::TrafficCore> traffic;
  // Events that wait for a paused host.
  std::vector<std::function<void()>> held;
  std::map<traffic::RequestId, ReplyHandler> replies;
  std::map<control::CallId, OperatorHandler> tickets;
  Instant next_control_tick{};
  bool acting = false;
  bool draining = false;
};

struct Fleet::Connection {
  int host = 0;
  traffic::ConnectionId id = 0;
  FakeEndpoint::Session session;
  bool silent = false;
  bool open = true;
};

struct Fleet::EndpointNode {
  EndpointNode(const EndpointId& name, std::string in_zone)
      : endpoint(name, kEndpoints), zone(std::move(in_zone)) {}
  FakeEndpoint endpoint;
  ZoneId zone;
  bool alive = true;
  std::map<std::pair<int, traffic::ConnectionId>, Connection> connections;
  std::uint64_t work = 0;
};

}  // namespace tiller::test
