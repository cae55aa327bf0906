// Watermarks of a group's log: each one proves that everything acknowledged
// before a point in time lies at or below a log position.
//
// A plain (not read-only) BEGIN or a write succeeds only at the current
// primary. The position in its answer is therefore at or above everything that
// was acknowledged before the statement was sent.
#pragma once

#include <deque>
#include <optional>

#include "Common/types.h"

namespace tiller::relay {

class PositionWatermarks {
 public:
  // `sent` is when the statement was sent, on a clock that also advances while
  // the host is suspended. Ignored if it is not newer than the last watermark,
  // or its position is lower.
  void Add(Instant sent, GroupPosition position);
  // The lowest position proved to cover everything acknowledged before
  // `instant`; nullopt if no watermark is that recent.
  std::optional<GroupPosition> CoveringPosition(Instant instant) const;
  // When the position was first known to exist; nullopt if it is above all
  // watermarks.
  std::optional<Instant> FirstSeen(GroupPosition position) const;
  // When the primary's log was first known to extend beyond the position;
  // nullopt if no watermark is above it.
  std::optional<Instant> FirstAbove(GroupPosition position) const;
  // Time of the newest watermark; nullopt if there is none.
  std::optional<Instant> NewestTime() const;

 private:
  struct Watermark {
    Instant at;
    GroupPosition position;
  };
  // Ordered by time; positions never decrease.
  std::deque<Watermark> m_watermarks;
};

}  // namespace tiller::relay
