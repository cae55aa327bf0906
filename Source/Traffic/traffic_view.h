// What the control part tells the traffic part: an immutable picture of the
// configuration, the seats and the groups' primaries.
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
  // Keys may be honoured until then without another confirmation that none
  // was withdrawn.
  Instant keys_valid_until{};
  // The process is shutting down: no new transactions.
  bool draining = false;
  // The host's own zone has been out for longer than the grace time.
  bool zone_closed = false;
};
using TrafficViewPtr = std::shared_ptr<const TrafficView>;

}  // namespace tiller::traffic
