// Expected wait for one of an endpoint's connections.
//
// Load pattern: more statements arrive than the connections can serve. A
// statement that will not get one in time should be refused when it arrives,
// and not after it has waited for nothing.
#pragma once

#include <cstddef>

#include "Common/types.h"

namespace tiller::balance {

class WaitForecast {
 public:
  // A connection was occupied for `time`.
  void RecordOccupied(Duration time);
  // Until a statement gets a connection if `ahead` others get one before it and
  // `connections` are all occupied. Zero if nothing is known.
  Duration Expected(std::size_t ahead, std::size_t connections) const;

 private:
  // Exponential moving average; zero: no sample.
  Duration m_occupied{};
};

}  // namespace tiller::balance
