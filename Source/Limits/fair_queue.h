// A bounded queue that shares one server between workspaces in proportion to
// their weights, using start-time fair queueing (Goyal, Vin and Cheng, 1996).
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/types.h"

namespace tiller::limits {

// The queue is bounded in total (`capacity`) and for each workspace
// (`workspace_capacity`); both count items.
class FairQueue {
 public:
  using Item = std::uint64_t;

  FairQueue(std::size_t capacity, std::size_t workspace_capacity)
      : m_capacity(capacity), m_workspace_capacity(workspace_capacity) {}

  struct PushResult {
    bool accepted = false;
    // Item that was removed to make room: the newest item of the longest
    // workspace queue.
    std::optional<Item> evicted;
  };
  // Appends an item to the workspace's queue. Rejects it if that queue is full,
  // or if the whole queue is full and no other workspace's queue is longer than
  // this one would become. A weight below 1 counts as 1.
  PushResult Push(const WorkspaceId& workspace, int weight, Item item);
  // Removes and returns the item with the lowest start tag; nullopt if the
  // queue is empty.
  std::optional<Item> Pop();
  // Removes an item from any position; returns false if it is not queued.
  bool Remove(const WorkspaceId& workspace, Item item);
  std::size_t Size() const { return m_size; }
  std::size_t SizeOf(const WorkspaceId& workspace) const;

 private:
  struct Entry {
    Item item = 0;
    // Start and finish tags, in virtual time.
    double start = 0;
    double finish = 0;
  };
  struct WorkspaceQueue {
    // Ordered by start tag.
    std::deque<Entry> entries;
    double last_finish = 0;
  };
  WorkspaceQueue* LongestQueue();

  const std::size_t m_capacity;
  const std::size_t m_workspace_capacity;
  // Start tag of the most recently popped item; never decreases.
  double m_virtual_time = 0;
  // Sum of the sizes of all workspace queues.
  std::size_t m_size = 0;
  std::unordered_map<WorkspaceId, WorkspaceQueue> m_queues;
};

}  // namespace tiller::limits
