// Implementation of the fair queue.
#include "Limits/fair_queue.h"

#include <algorithm>

namespace tiller::limits {

FairQueue::PushResult FairQueue::Push(const WorkspaceId& workspace, int weight,
                                      Item item) {
  PushResult result;
  auto& queue = m_queues[workspace];
  if (queue.entries.size() >= m_workspace_capacity) return result;
  if (m_size >= m_capacity) {
    WorkspaceQueue* longest = LongestQueue();
    if (longest == nullptr ||
        longest->entries.size() <= queue.entries.size() + 1) {
      return result;
    }
    result.evicted = longest->entries.back().item;
    longest->last_finish = longest->entries.back().start;
    longest->entries.pop_back();
    --m_size;
  }
  const double start = std::max(m_virtual_time, queue.last_finish);
  const double finish = start + 1.0 / std::max(weight, 1);
  queue.entries.push_back({item, start, finish});
  queue.last_finish = finish;
  ++m_size;
  result.accepted = true;
  return result;
}

std::optional<FairQueue::Item> FairQueue::Pop() {
  WorkspaceQueue* best = nullptr;
  for (auto& [workspace, queue] : m_queues) {
    if (queue.entries.empty()) continue;
    // Ties go to the lower item, so that the order is deterministic.
    if (best == nullptr ||
        queue.entries.front().start < best->entries.front().start ||
        (queue.entries.front().start == best->entries.front().start &&
         queue.entries.front().item < best->entries.front().item)) {
      best = &queue;
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
  const auto it = m_queues.find(workspace);
  if (it == m_queues.end()) return false;
  auto& entries = it->second.entries;
  const auto entry_it =
      std::find_if(entries.begin(), entries.end(),
                   [&](const auto& e) { return e.item == item; });
  if (entry_it == entries.end()) return false;
  entries.erase(entry_it);
  --m_size;
  return true;
}

std::size_t FairQueue::SizeOf(const WorkspaceId& workspace) const {
  const auto it = m_queues.find(workspace);
  return it == m_queues.end() ? 0 : it->second.entries.size();
}

FairQueue::WorkspaceQueue* FairQueue::LongestQueue() {
  WorkspaceQueue* longest = nullptr;
  for (auto& [workspace, queue] : m_queues) {
    if (longest == nullptr || queue.entries.size() > longest->entries.size()) {
      longest = &queue;
    }
  }
  return longest;
}

}  // namespace tiller::limits
