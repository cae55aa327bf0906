// What usage metering needs to know of the fleet.
#pragma once

#include <optional>
#include <vector>

#include "Fleet/reader_choice.h"

namespace tiller::metering {

class FleetView {
 public:
  virtual ~FleetView() = default;
  // The other hosts.
  virtual std::vector<fleet::FleetHost> Peers() const = 0;
  // The time on the store's clock; nullopt if it is not known yet.
  virtual std::optional<Milliseconds> StoreTime() const = 0;
};

}  // namespace tiller::metering
