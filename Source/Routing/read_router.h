// Chooses the endpoint for a read: one that has everything the session has seen
// and is as fresh as the caller requires, preferably in the same zone and with
// little load.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>

#include "Routing/endpoint_table.h"

namespace tiller::routing {

// Requirements of a read on the endpoint that serves it.
struct ReadRequirements {
  GroupId group;
  GroupPosition seen;               // read-your-writes bound
  std::optional<Duration> max_age;  // absent: no bound
  std::set<EndpointId> excluded;    // already tried
};

// kWait: no endpoint qualifies yet. kNone: no endpoint is usable.
enum class ReadTarget { kReplica, kPrimary, kWait, kNone };

struct ReadChoice {
  ReadTarget kind = ReadTarget::kNone;
  EndpointId endpoint;  // for kReplica and kPrimary
};

// Chooses an endpoint by expected waiting time and zone.
class ReadRouter {
 public:
  explicit ReadRouter(ZoneId own_zone) : m_own_zone(std::move(own_zone)) {}

  // `waited` is how long the read has waited, `wait_budget` how much longer it
  // may wait before it should go to the primary. Returns kWait if no endpoint
  // qualifies now but a replica may soon, and kNone if none is usable.
  ReadChoice Choose(const EndpointTable& table, const ReadRequirements& needs,
                    Duration waited, Duration wait_budget, Instant now) const;

  // Returns true if the endpoint is a replica that can serve the read according
  // to its last known status. The answer is checked again against the position
  // that it carries.
  static bool Qualifies(const EndpointTable& table, const EndpointRow& row,
                        const ReadRequirements& needs, Instant now);

 private:
  // Expected waiting time at an endpoint; lower is better.
  Duration Cost(const EndpointRow& row) const;

  const ZoneId m_own_zone;
};

}  // namespace tiller::routing
