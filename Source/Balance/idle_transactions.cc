// Implementation of the choice of transactions that give way.
#include "Balance/idle_transactions.h"

#include <algorithm>
#include <tuple>

namespace tiller::balance {
namespace {

// A caller's next statement follows the last answer within a round trip.
// Routes with transactions have target latencies of up to 250 ms, so one that
// has been idle for twice as long is late whatever it does next.
constexpr Milliseconds kMinIdle{500};

}  // namespace

std::vector<std::uint64_t> ChooseTransactionsToEnd(
    std::vector<IdleTransaction> transactions, std::size_t wanted) {
  std::erase_if(transactions,
                [](const auto& item) { return item.idle < kMinIdle; });
  std::sort(transactions.begin(), transactions.end(),
            [](const auto& a, const auto& b) {
              return std::tie(a.priority, a.idle) >
                     std::tie(b.priority, b.idle);
            });
  std::vector<std::uint64_t> chosen;
  for (const auto& transaction : transactions) {
    if (chosen.size() >= wanted) break;
    chosen.push_back(transaction.id);
  }
  return chosen;
}

}  // namespace tiller::balance
