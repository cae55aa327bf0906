// Implementation of the placement order.
#include "Relay/wait_order.h"

#include <algorithm>
#include <deque>
#include <tuple>

namespace tiller::relay {

std::vector<std::uint64_t> PlacementOrder(
    std::vector<Waiter> waiters,
    std::map<WorkspaceId, std::size_t> in_service) {
  std::sort(waiters.begin(), waiters.end(),
            [](const Waiter& a, const Waiter& b) {
              return std::tie(a.late, a.priority, a.arrived, a.session) <
                     std::tie(b.late, b.priority, b.arrived, b.session);
            });
  std::map<WorkspaceId, std::deque<Waiter>> lanes;
  for (auto& waiter : waiters) lanes[waiter.workspace].push_back(waiter);
  std::vector<std::uint64_t> order;
  order.reserve(waiters.size());
  while (!lanes.empty()) {
    const auto next = std::min_element(
        lanes.begin(), lanes.end(), [&](const auto& a, const auto& b) {
          const auto& first = a.second.front();
          const auto& second = b.second.front();
          return std::make_tuple(first.late, in_service[a.first],
                                 first.priority, first.arrived) <
                 std::make_tuple(second.late, in_service[b.first],
                                 second.priority, second.arrived);
        });
    order.push_back(next->second.front().session);
    ++in_service[next->first];
    next->second.pop_front();
    if (next->second.empty()) lanes.erase(next);
  }
  return order;
}

}  // namespace tiller::relay
