// Choice of the hosts that read the store's tables for all others. A host that
// is not chosen gets changes from two readers, one in its own availability zone
// and one in another, so the number of store calls does not grow with the
// number of hosts.
//
// Load pattern: hundreds of hosts that each follow three tables would make
// several calls a second for each change, and all of them would call again at
// once when the store returns after an outage.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "Common/types.h"

namespace tiller::fleet {

struct FleetHost {
  std::string host;
  std::string address;
  ZoneId zone;
};

struct ReaderPlan {
  // This host follows the store.
  bool reads_store = true;
  // Hosts to get changes from, the one in this host's zone first. Empty if this
  // host reads the store.
  std::vector<FleetHost> sources;
  // The other readers of the fleet if this host is one. Empty in a small fleet.
  std::vector<FleetHost> readers;
};

// Chooses the readers among `self` and `others` without the hosts in `avoided`.
// The result depends only on the arguments, so all hosts that know the same
// hosts choose the same readers.
ReaderPlan ChooseReaders(const FleetHost& self,
                         const std::vector<FleetHost>& others,
                         const std::set<std::string>& avoided);

}  // namespace tiller::fleet
