// Availability zones whose shared pools do not answer this host. No I/O.
//
// Load pattern: a zone is cut off. Each host would find out for each pool in it
// alone that it does not answer, and reads would go on to choose endpoints
// there. Several pools that leave unanswered what needs no endpoint, while
// nothing in their zone answers, are evidence about the zone. Slow hosts are
// not: they are spread over the zones, and other hosts of their zone answer.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "Relay/relay_types.h"

namespace tiller::relay {

class PoolZones {
 public:
  // A request that a pool has not answered yet.
  struct Unanswered {
    HostId host;
    ZoneId zone;
    Instant sent;
    // The pool answers it without an endpoint, so a late answer shows that the
    // pool is out of reach.
    bool local = false;
  };
  struct Decision {
    // Zones that are taken to be out of reach from now on.
    std::vector<ZoneId> silent;
    // Number of further pools of the zone to be asked something that they
    // answer without an endpoint.
    std::map<ZoneId, std::size_t> probes;
  };

  // Something in the zone answered. Returns true if the zone was taken to be
  // out of reach until now.
  bool RecordAnswer(const ZoneId& zone, Instant now);
  // To be called on each tick. `pools`: how many pools each zone has. A zone
  // whose hosts have given up their seats is not judged any more.
  // `on_time_since`: see TickMonitor.
  Decision Update(const std::vector<Unanswered>& requests,
                  const std::map<ZoneId, std::size_t>& pools,
                  Instant on_time_since, Instant now);
  // Zones that are taken to be out of reach.
  const std::set<ZoneId>& Silent() const { return m_silent; }

 private:
  std::map<ZoneId, Instant> m_last_answer;
  // Zones that were silent on the last tick. Answers that had arrived by then
  // have been read since.
  std::set<ZoneId> m_unconfirmed;
  std::set<ZoneId> m_silent;
};

}  // namespace tiller::relay
