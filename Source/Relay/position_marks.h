// Marks: proofs of how far a group's log had been acknowledged at some time.
//
// A plain BEGIN or a write succeeds only at the leader of the moment. Its
// answer therefore shows that nothing acknowledged before it was sent lies
// above the position in the answer.
#pragma once

#include <deque>
#include <optional>

#include "Common/types.h"

namespace tiller::relay {

class PositionMarks {
 public:
  // `sent` is when the statement was sent, on a clock that counts suspension.
  void Add(Instant sent, GroupPosition position);
  // The lowest position that holds everything acknowledged before `instant`;
  // nothing if no mark is that young.
  std::optional<GroupPosition> AtLeast(Instant instant) const;
  // When the position was first known to exist; nothing if it is newer than
  // all marks.
  std::optional<Instant> FirstSeen(GroupPosition position) const;
  // When the primary was first known to be above the position; nothing if it
  // is not known to be.
  std::optional<Instant> FirstAbove(GroupPosition position) const;
  std::optional<Instant> Newest() const;

 private:
  struct Mark {
    Instant at;
    GroupPosition position;
  };
  // Ordered by time; positions never decrease.
  std::deque<Mark> m_marks;
};

}  // namespace tiller::relay
