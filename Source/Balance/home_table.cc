// Implementation of the homes of workspaces.
#include "Balance/home_table.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

#include "Common/crypto.h"

namespace tiller::balance {
namespace {

// An endpoint's homes may exceed its part of the load by this factor. A smaller
// one moves more homes when an endpoint comes or goes.
constexpr double kLoadBound = 1.15;

// Weighted rendezvous hashing: the member with the highest score is first.
double Score(const GroupId& group, const GroupMember& member,
             const WorkspaceId& workspace) {
  const auto hash =
      StableHash("home/" + group + "/" + workspace + "/" + member.endpoint);
  const double uniform = (static_cast<double>(hash >> 11) + 0.5) * 0x1p-53;
  return -static_cast<double>(std::max<std::size_t>(member.slots, 1)) /
         std::log(uniform);
}

}  // namespace

std::vector<EndpointId> RankMembers(const GroupId& group,
                                    const std::vector<GroupMember>& members,
                                    const WorkspaceId& workspace) {
  std::vector<std::tuple<bool, double, EndpointId>> ranked;
  ranked.reserve(members.size());
  for (const auto& member : members) {
    ranked.emplace_back(member.primary, -Score(group, member, workspace),
                        member.endpoint);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<EndpointId> order;
  order.reserve(ranked.size());
  for (auto& entry : ranked) order.push_back(std::move(std::get<2>(entry)));
  return order;
}

HomeOrders ComputeHomes(const GroupId& group,
                        const std::vector<GroupMember>& members,
                        const std::map<WorkspaceId, double>& rates) {
  double slots = 0;
  std::map<EndpointId, double> part;
  for (const auto& member : members) {
    if (member.primary) continue;
    part[member.endpoint] =
        static_cast<double>(std::max<std::size_t>(member.slots, 1));
    slots += part[member.endpoint];
  }
  double total = 0;
  std::vector<std::pair<double, WorkspaceId>> largest_first;
  for (const auto& [workspace, rate] : rates) {
    total += rate;
    largest_first.emplace_back(rate, workspace);
  }
  std::sort(largest_first.begin(), largest_first.end(), std::greater<>());
  std::map<EndpointId, double> load;
  HomeOrders orders;
  for (const auto& entry : largest_first) {
    const double rate = entry.first;
    const auto& workspace = entry.second;
    auto order = RankMembers(group, members, workspace);
    // Load in relation to the endpoint's part of the total.
    const auto relative = [&](const EndpointId& endpoint) {
      const double own = total * part.at(endpoint) / slots;
      return own > 0 ? (load[endpoint] + rate) / own : 0.0;
    };
    const auto replicas_end = std::find_if(
        order.begin(), order.end(),
        [&](const auto& endpoint) { return part.count(endpoint) == 0; });
    auto home = std::find_if(
        order.begin(), replicas_end,
        [&](const auto& endpoint) { return relative(endpoint) <= kLoadBound; });
    if (home == replicas_end && order.begin() != replicas_end) {
      home = std::min_element(order.begin(), replicas_end,
                              [&](const auto& a, const auto& b) {
                                return relative(a) < relative(b);
                              });
    }
    if (home != replicas_end) {
      load[*home] += rate;
      std::rotate(order.begin(), home, home + 1);
    }
    orders.emplace(workspace, std::move(order));
  }
  return orders;
}

}  // namespace tiller::balance
