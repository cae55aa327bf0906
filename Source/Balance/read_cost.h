// Costs that decide among the endpoints of a read, in milliseconds of response
// time, whether connections are direct or go through shared pools.
#pragma once

#include <cstdint>

namespace tiller::balance {

// Two transfers between zones (request and answer), and the price of the
// traffic.
inline constexpr double kOtherZoneCostMs = 3;
// A refused attempt costs one round trip and the choice of another endpoint.
inline constexpr double kUncertainCostMs = 10;
// Keeps reads off the primary while a replica is about as fast.
inline constexpr double kPrimaryFactor = 1.5;
inline constexpr double kPrimaryCostMs = 15;
// Relative noise, so that hosts with the same information choose differently.
inline constexpr double kNoise = 0.2;
inline constexpr std::uint64_t kNoiseSteps = 1000;

}  // namespace tiller::balance
