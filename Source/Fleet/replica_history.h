// Remembers which replicas of a group have gone, since such a replica may have
// acknowledged commits that the listed ones lack.
//
// - A replica that announced that it leaves has departed: until then it counted
//   for acknowledgements, and its log is gone with it.
// - A replica whose row disappeared without that is missing: it may be alive
//   behind a partition.
// - A row whose endpoint has never answered may be a stray one.
#pragma once

#include <cstddef>
#include <map>

#include "Common/clock.h"
#include "Relay/relay_messages.h"
#include "Relay/relay_types.h"

namespace tiller::fleet {

class ReplicaHistory {
 public:
  explicit ReplicaHistory(const Clock* clock) : m_clock(clock) {}

  // Compares two directories; `old` may be null.
  void Update(const relay::DirectoryPtr& old,
              const relay::DirectoryPtr& directory);
  // The group's primary answers, so it sends its log to the other replicas.
  void PrimaryAnswers(const GroupId& group);
  // True if a replica disappeared when the primary was no longer healthy, or
  // departed so recently that the others may not have received all it had.
  bool HasGone(const GroupId& group) const;
  // True if a commit may have been acknowledged that no listed replica has.
  bool MayLackCommits(const GroupId& group) const;
  // Records whether an endpoint answered an administrative request.
  void RecordAnswer(const relay::AdminDone& event);
  // True if the endpoint has never answered this host, for long enough to take
  // its row for one of an endpoint that does not run. One that is cut off with
  // the primary is not left out too early: hosts there have stopped writing.
  bool NeverAnswers(const EndpointId& endpoint) const;
  // Number of replicas of the group that are remembered as gone.
  std::size_t GoneCount(const GroupId& group) const;

 private:
  using Replicas = std::map<EndpointId, Instant>;  // and when they went
  void Forget();

  const Clock* const m_clock;
  std::map<GroupId, Replicas> m_missing;
  std::map<GroupId, Replicas> m_departed;
  // Endpoints that have never answered, and since when they were asked.
  Replicas m_unanswered;
};

}  // namespace tiller::fleet
