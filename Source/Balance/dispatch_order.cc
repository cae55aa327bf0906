// Implementation of the order of waiting requests.
#include "Balance/dispatch_order.h"

#include <algorithm>
#include <deque>
#include <tuple>

namespace tiller::balance {

std::vector<std::uint64_t> DispatchOrder(
    std::vector<WaitingRequest> waiting,
    std::map<WorkspaceId, std::size_t> connections_in_use) {
  std::sort(waiting.begin(), waiting.end(),
            [](const WaitingRequest& a, const WaitingRequest& b) {
              return std::tie(a.late, a.priority, a.due, a.session) <
                     std::tie(b.late, b.priority, b.due, b.session);
            });
  std::map<WorkspaceId, std::deque<WaitingRequest>> queues;
  for (auto& request : waiting) queues[request.workspace].push_back(request);
  std::vector<std::uint64_t> order;
  order.reserve(waiting.size());
  while (!queues.empty()) {
    const auto next = std::min_element(
        queues.begin(), queues.end(), [&](const auto& a, const auto& b) {
          const auto& first = a.second.front();
          const auto& second = b.second.front();
          return std::make_tuple(first.late, connections_in_use[a.first],
                                 first.priority, first.due) <
                 std::make_tuple(second.late, connections_in_use[b.first],
                                 second.priority, second.due);
        });
    order.push_back(next->second.front().session);
    ++connections_in_use[next->first];
    next->second.pop_front();
    if (next->second.empty()) queues.erase(next);
  }
  return order;
}

}  // namespace tiller::balance
