// Implementation of the replica history.
#include "Fleet/replica_history.h"

#include <algorithm>

namespace tiller::fleet {
namespace {

// A replica whose row disappeared may still be alive behind a network partition
// and hold commits that no other endpoint has. The timeout is longer than
// partitions usually last. After it the replica counts as gone, which is the
// meaning that the platform gives to missing rows.
constexpr Milliseconds kMissingReplicaTimeout{10'000};
// After this time a healthy primary has sent its log to the other replicas.
constexpr Milliseconds kReplicaCatchUpTime{2'000};
// So long after a replica has left, the end of the old primary's log is
// compared to those of the other replicas. Longer than partitions usually last,
// in which the others receive nothing.
constexpr Milliseconds kDepartedReplicaMemory{30'000};

// Longer than hosts in a zone that is cut off go on writing, with time for a
// promotion.
constexpr Milliseconds kNeverAnsweredTimeout{6'000};

template <typename Replicas>
const Replicas& In(const std::map<GroupId, Replicas>& groups,
                   const GroupId& group) {
  static const Replicas none;
  const auto it = groups.find(group);
  return it == groups.end() ? none : it->second;
}

}  // namespace

void ReplicaHistory::Update(const relay::DirectoryPtr& old,
                            const relay::DirectoryPtr& directory) {
  Forget();
  if (old != nullptr) {
    for (const auto& [id, endpoint] : old->endpoints) {
      if (endpoint.primary || directory->endpoints.count(id) > 0) continue;
      auto& gone = endpoint.leaving ? m_departed : m_missing;
      gone[endpoint.group][id] = m_clock->Now();
    }
  }
  std::erase_if(m_unanswered, [&](const auto& item) {
    return directory->endpoints.count(item.first) == 0;
  });
  for (auto& [group, missing] : m_missing) {
    std::erase_if(missing, [&](const auto& item) {
      return directory->endpoints.count(item.first) > 0;
    });
  }
}

void ReplicaHistory::RecordAnswer(const relay::AdminDone& event) {
  if (event.answered || event.ever_answered) {
    m_unanswered.erase(event.endpoint);
  } else {
    m_unanswered.emplace(event.endpoint, m_clock->Now());
  }
}

bool ReplicaHistory::NeverAnswers(const EndpointId& endpoint) const {
  const auto it = m_unanswered.find(endpoint);
  return it != m_unanswered.end() &&
         m_clock->Now() - it->second >= kNeverAnsweredTimeout;
}

void ReplicaHistory::Forget() {
  const auto now = m_clock->Now();
  for (auto& [group, departed] : m_departed) {
    std::erase_if(departed, [&](const auto& item) {
      return now - item.second > kDepartedReplicaMemory;
    });
  }
}

void ReplicaHistory::PrimaryAnswers(const GroupId& group) {
  const auto missing = m_missing.find(group);
  if (missing == m_missing.end()) return;
  std::erase_if(missing->second, [&](const auto& item) {
    return m_clock->Now() - item.second > kReplicaCatchUpTime;
  });
}

bool ReplicaHistory::HasGone(const GroupId& group) const {
  const auto within = [now = m_clock->Now()](Milliseconds time) {
    return [=](const auto& item) { return now - item.second <= time; };
  };
  const auto& missing = In(m_missing, group);
  const auto& departed = In(m_departed, group);
  return std::any_of(missing.begin(), missing.end(),
                     within(kMissingReplicaTimeout)) ||
         std::any_of(departed.begin(), departed.end(),
                     within(kReplicaCatchUpTime));
}

bool ReplicaHistory::MayLackCommits(const GroupId& group) const {
  const auto& departed = In(m_departed, group);
  return HasGone(group) ||
         std::any_of(departed.begin(), departed.end(), [&](const auto& item) {
           return m_clock->Now() - item.second <= kDepartedReplicaMemory;
         });
}

std::size_t ReplicaHistory::GoneCount(const GroupId& group) const {
  return In(m_missing, group).size() + In(m_departed, group).size();
}

}  // namespace tiller::fleet
