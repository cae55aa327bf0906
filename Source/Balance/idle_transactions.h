// Which open transactions give way to statements that wait. No I/O.
//
// Load pattern: callers leave transactions open and send nothing. Each holds
// one of the endpoint's few connections, so statements of others wait although
// the endpoint has free slots.
#pragma once

#include <cstdint>
#include <vector>

#include "Common/types.h"

namespace tiller::balance {

struct IdleTransaction {
  std::uint64_t id = 0;
  Duration idle{};   // since its last statement was answered
  int priority = 0;  // of that statement; 0 is the highest
};

// Returns the transactions to be ended for `wanted` statements that have waited
// for a connection: at most as many, those of the lowest priority first, and of
// these the ones that have been idle longest. A transaction that may still be
// in use is never among them.
std::vector<std::uint64_t> ChooseTransactionsToEnd(
    std::vector<IdleTransaction> transactions, std::size_t wanted);

}  // namespace tiller::balance
