// What a host tells a shared pool about a statement, so that the pool can order
// its queue.
//
// Load pattern: statements with targets of 150 ms and of 1 s wait for the same
// connections. A pool that treats them alike, and refuses each after the same
// time, lets the first miss their targets and refuses the second too early.
#pragma once

#include "Common/types.h"

namespace tiller::balance {

// Only durations: the clocks of two hosts are not related.
struct Schedule {
  int priority = 0;  // 0 is the highest
  // Until the operation's target; negative if it is late.
  Milliseconds until_target{0};
  Milliseconds until_limit{0};  // of the operation
  bool begins_transaction = false;
  bool operator==(const Schedule&) const = default;
};

// How long a statement without a schedule may wait for a connection, and one
// with a schedule at least, unless its limit comes sooner.
inline constexpr Milliseconds kMinWait{150};

// How long the statement may wait for a connection. The calling host allows for
// it in the time limit of its own step, so that a refusal arrives before that.
Milliseconds MaxWait(const Schedule& schedule);

}  // namespace tiller::balance
