// Implementation of the endpoint choice for reads.
#include "Relay/endpoint_choice.h"

#include <algorithm>
#include <limits>

#include "Balance/read_cost.h"

namespace tiller::relay {
namespace {

using balance::kNoise;
using balance::kNoiseSteps;
using balance::kOtherZoneCostMs;
using balance::kPrimaryCostMs;
using balance::kPrimaryFactor;
using balance::kUncertainCostMs;

// Opening a connection costs a handshake in one of the endpoint's slots.
constexpr double kOpenCostMs = 25;

double CostMs(const ReadCandidate& candidate) {
  const double response =
      std::chrono::duration<double, std::milli>(candidate.response_time)
          .count();
  const double load =
      static_cast<double>(candidate.in_progress) /
      static_cast<double>(std::max<std::size_t>(candidate.slots, 1));
  double cost = response * (1 + load);
  if (candidate.primary) cost = cost * kPrimaryFactor + kPrimaryCostMs;
  if (!candidate.connection_ready) cost += kOpenCostMs;
  if (!candidate.same_zone) cost += kOtherZoneCostMs;
  if (!candidate.known_fresh) cost += kUncertainCostMs;
  return cost;
}

}  // namespace

std::optional<EndpointId> ChooseForRead(
    const std::vector<ReadCandidate>& candidates, Random* random) {
  std::optional<EndpointId> best;
  double best_cost = std::numeric_limits<double>::max();
  for (const auto& candidate : candidates) {
    if (!candidate.connection_ready && !candidate.connection_possible) continue;
    if (!candidate.known_fresh && !candidate.likely_fresh) continue;
    const double noise =
        1 + kNoise * static_cast<double>(random->UniformBelow(kNoiseSteps)) /
                static_cast<double>(kNoiseSteps);
    const double cost = CostMs(candidate) * noise;
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = candidate.endpoint;
  }
  return best;
}

}  // namespace tiller::relay
