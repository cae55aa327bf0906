// Implementation of the placement of reads.
#include "Balance/endpoint_placement.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Balance/read_cost.h"

namespace tiller::balance {
namespace {

// A session with another host's pool takes a round trip or two. The connection
// behind it is often there already.
constexpr double kOpenCostMs = 5;
// A pool that has no connection of the workspace can't open one now.
constexpr double kAtLimitCostMs = 50;
// An endpoint is clearly slower above kSlowFactor times the other's cost plus
// kSlowMarginMs, about the time of a statement.
constexpr double kSlowFactor = 2;
constexpr double kSlowMarginMs = 20;
// Reads of a workspace reach a further endpoint one after another, so that one
// burst doesn't spread it over the whole group.
constexpr Milliseconds kWidenInterval{100};
// Longer than bursts and than the expiry of reports.
constexpr Milliseconds kNarrowAfter{3'000};
// One in this many reads of a workspace that is spread goes to its home even if
// that is slower: otherwise nothing shows that it has recovered.
constexpr std::uint64_t kProbeEvery = 40;

}  // namespace

double PlacementCostMs(const PlacementCandidate& candidate) {
  using MillisecondsF = std::chrono::duration<double, std::milli>;
  const double response = MillisecondsF(candidate.response_time).count();
  std::size_t in_progress = candidate.in_progress;
  double wait = 0;
  if (candidate.load != nullptr) {
    in_progress = std::max(in_progress, candidate.load->in_progress);
    wait = MillisecondsF(candidate.load->expected_wait).count();
  }
  const double load =
      static_cast<double>(in_progress) /
      static_cast<double>(std::max<std::size_t>(candidate.slots, 1));
  double cost = response * (1 + load) + wait;
  if (candidate.load != nullptr && candidate.load->at_limit &&
      candidate.load->connections == 0) {
    cost += kAtLimitCostMs;
  }
  if (candidate.primary) cost = cost * kPrimaryFactor + kPrimaryCostMs;
  if (!candidate.connection_ready) cost += kOpenCostMs;
  if (!candidate.same_zone) cost += kOtherZoneCostMs;
  if (!candidate.known_fresh) cost += kUncertainCostMs;
  return cost;
}

std::size_t EndpointPlacement::Width(const GroupId& group,
                                     const WorkspaceId& workspace) const {
  const auto spreads = m_spreads.find(group);
  if (spreads == m_spreads.end()) return 1;
  const auto spread = spreads->second.find(workspace);
  return spread == spreads->second.end() ? 1 : spread->second.width;
}

std::optional<EndpointId> EndpointPlacement::Choose(
    const GroupId& group, const WorkspaceId& workspace,
    const std::vector<PlacementCandidate>& candidates, Instant now) {
  std::vector<std::pair<double, const PlacementCandidate*>> usable;
  usable.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    if (!candidate.connection_ready && !candidate.connection_possible) continue;
    if (!candidate.known_fresh && !candidate.likely_fresh) continue;
    usable.emplace_back(PlacementCostMs(candidate), &candidate);
  }
  if (usable.empty()) return std::nullopt;
  auto& spread = m_spreads[group][workspace];
  const auto clearly_slower = [](double cost, double other) {
    return cost > kSlowFactor * other + kSlowMarginMs;
  };
  if (usable.size() > 1) {
    const auto best_other =
        std::min_element(usable.begin() + 1, usable.end())->first;
    if (clearly_slower(usable.front().first, best_other)) {
      spread.last_slow = now;
    }
  }
  const auto width = std::min(spread.width, usable.size());
  const auto used_end = usable.begin() + static_cast<std::ptrdiff_t>(width);
  if (used_end != usable.end() && now - spread.changed >= kWidenInterval &&
      clearly_slower(std::min_element(usable.begin(), used_end)->first,
                     std::min_element(used_end, usable.end())->first)) {
    spread.width = width + 1;
    spread.changed = now;
    m_counters->Add("placement_widened");
    return std::min_element(used_end, usable.end())->second->endpoint;
  }
  if (spread.width > 1 && now - spread.last_slow >= kNarrowAfter &&
      now - spread.changed >= kNarrowAfter) {
    --spread.width;
    spread.changed = now;
    m_counters->Add("placement_narrowed");
  }
  const auto choices = std::min(spread.width, usable.size());
  if (choices == 1 || m_random->UniformBelow(kProbeEvery) == 0) {
    return usable.front().second->endpoint;
  }
  const auto first = m_random->UniformBelow(choices);
  const auto second =
      (first + 1 + m_random->UniformBelow(choices - 1)) % choices;
  const double noise =
      1 + kNoise * static_cast<double>(m_random->UniformBelow(kNoiseSteps)) /
              static_cast<double>(kNoiseSteps);
  const bool take_second = usable[second].first * noise < usable[first].first;
  return usable[take_second ? second : first].second->endpoint;
}

}  // namespace tiller::balance
