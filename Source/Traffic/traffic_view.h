// Immutable snapshot of the configuration, the seats and the primary of each
// group, published by the control core for the traffic core.
#pragma once

#include <map>
#include <memory>

#include "Config/config.h"
#include "Limits/seat_view.h"

namespace tiller::traffic {

struct GroupView {
  Term term = 0;
  EndpointId primary;
};

struct TrafficView {
  config::ConfigPtr config;
  limits::SeatView seats;
  std::map<GroupId, GroupView> groups;
  // Keys may be accepted until this time; after it, the host must confirm again
  // that no key was withdrawn.
  Instant keys_valid_until{};
  // The process is shutting down and begins no new transactions.
  bool draining = false;
  // The host's zone has been out of service for longer than the grace period.
  bool zone_out_of_service = false;
};
using TrafficViewPtr = std::shared_ptr<const TrafficView>;

}  // namespace tiller::traffic
