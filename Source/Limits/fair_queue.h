// A bounded queue that shares one server between workspaces by weight:
// start-time fair queueing (Goyal, Vin and Cheng, 1996).
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "Common/types.h"

namespace tiller::limits {

class FairQueue {
 public:
  using Item = std::uint64_t;

  FairQueue(std::size_t capacity, std::size_t workspace_capacity)
      : m_capacity(capacity), m_workspace_capacity(workspace_capacity) {}

  struct PushResult {
    bool accepted = false;
    // The newest item of the longest workspace queue, pushed out to make room.
    std::optional<Item> evicted;
  };
  PushResult Push(const WorkspaceId& workspace, int weight, Item item);
  std::optional<Item> Pop();
  // Takes an item out of turn; false if it is not queued.
  bool Remove(const WorkspaceId& workspace, Item item);
  std::size_t Size() const { return m_size; }
  std::size_t SizeOf(const WorkspaceId& workspace) const;

 private:
  struct Entry {
    Item item = 0;
    double start = 0;
    double finish = 0;
  };
  struct Lane {
    // Ordered by start tag.
    std::deque<Entry> entries;
    double last_finish = 0;
  };
  Lane* LongestLane();

  const std::size_t m_capacity;
  const std::size_t m_workspace_capacity;
  // Start tag of the item served last; never decreases.
  double m_virtual_time = 0;
  // Equals the sum of all lanes' sizes.
  std::size_t m_size = 0;
  std::unordered_map<WorkspaceId, Lane> m_lanes;
};

}  // namespace tiller::limits
