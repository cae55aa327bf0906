// Implementation of the fair queue.
#include "Limits/fair_queue.h"

#include <algorithm>

namespace tiller::limits {

FairQueue::PushResult FairQueue::Push(const WorkspaceId& workspace, int weight,
                                      Item item) {
  PushResult result;
  auto& lane = m_lanes[workspace];
  if (lane.entries.size() >= m_workspace_capacity) return result;
  if (m_size >= m_capacity) {
    Lane* longest = LongestLane();
    if (longest == nullptr ||
        longest->entries.size() <= lane.entries.size() + 1) {
      return result;
    }
    result.evicted = longest->entries.back().item;
    longest->last_finish = longest->entries.back().start;
    longest->entries.pop_back();
    --m_size;
  }
  const double start = std::max(m_virtual_time, lane.last_finish);
  const double finish = start + 1.0 / std::max(weight, 1);
  lane.entries.push_back({item, start, finish});
  lane.last_finish = finish;
  ++m_size;
  result.accepted = true;
  return result;
}

std::optional<FairQueue::Item> FairQueue::Pop() {
  Lane* best = nullptr;
  for (auto& [workspace, lane] : m_lanes) {
    if (lane.entries.empty()) continue;
    // Equal tags go to the lower item, so that the order repeats.
    if (best == nullptr ||
        lane.entries.front().start < best->entries.front().start ||
        (lane.entries.front().start == best->entries.front().start &&
         lane.entries.front().item < best->entries.front().item)) {
      best = &lane;
    }
  }
  if (best == nullptr) return std::nullopt;
  const Entry entry = best->entries.front();
  best->entries.pop_front();
  m_virtual_time = std::max(m_virtual_time, entry.start);
  --m_size;
  return entry.item;
}

bool FairQueue::Remove(const WorkspaceId& workspace, Item item) {
  const auto it = m_lanes.find(workspace);
  if (it == m_lanes.end()) return false;
  auto& entries = it->second.entries;
  const auto at = std::find_if(entries.begin(), entries.end(),
                               [&](const auto& e) { return e.item == item; });
  if (at == entries.end()) return false;
  entries.erase(at);
  --m_size;
  return true;
}

std::size_t FairQueue::SizeOf(const WorkspaceId& workspace) const {
  const auto it = m_lanes.find(workspace);
  return it == m_lanes.end() ? 0 : it->second.entries.size();
}

FairQueue::Lane* FairQueue::LongestLane() {
  Lane* longest = nullptr;
  for (auto& [workspace, lane] : m_lanes) {
    if (longest == nullptr || lane.entries.size() > longest->entries.size()) {
      longest = &lane;
    }
  }
  return longest;
}

}  // namespace tiller::limits
