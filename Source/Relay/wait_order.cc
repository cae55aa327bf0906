// Implementation of the order of waiting requests.
#include "Relay/wait_order.h"

#include <algorithm>
#include <deque>
#include <tuple>

namespace tiller::relay {

std::vector<std::uint64_t> PlacementOrder(
    std::vector<Waiter> waiters,
    std::map<WorkspaceId, std::size_t> connections_in_use) {
  std::sort(waiters.begin(), waiters.end(),
            [](const Waiter& a, const Waiter& b) {
              return std::tie(a.late, a.priority, a.arrived, a.session) <
                     std::tie(b.late, b.priority, b.arrived, b.session);
            });
  std::map<WorkspaceId, std::deque<Waiter>> queues;
  for (auto& waiter : waiters) queues[waiter.workspace].push_back(waiter);
  std::vector<std::uint64_t> order;
  order.reserve(waiters.size());
  while (!queues.empty()) {
    const auto next = std::min_element(
        queues.begin(), queues.end(), [&](const auto& a, const auto& b) {
          const auto& first = a.second.front();
          const auto& second = b.second.front();
          return std::make_tuple(first.late, connections_in_use[a.first],
                                 first.priority, first.arrived) <
                 std::make_tuple(second.late, connections_in_use[b.first],
                                 second.priority, second.arrived);
        });
    order.push_back(next->second.front().session);
    ++connections_in_use[next->first];
    next->second.pop_front();
    if (next->second.empty()) queues.erase(next);
  }
  return order;
}

}  // namespace tiller::relay
