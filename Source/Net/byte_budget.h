// Budget of the bytes that all connections of a process, or of one of its
// threads, hold: input that is not processed yet, output that the peer has not
// taken, values of sessions.
//
// Answers crowds of clients outside the limits: many messages of legal size at
// once, messages that stop half-way, answers that nobody reads. Each connection
// is within its own limits, but together they exceed the memory of the machine.
// The budget takes the memory back from those who hold most of it:
//
// - A connection that holds at most `ordinary_bytes` is ordinary, one that
// holds
//   more is large. Large connections of callers may use the budget up to the
//   reserve, so that an ordinary connection always finds room in the reserve.
// - Above a limit, a large connection of the owner that holds most is closed:
//   its largest one, and among equal ones the one that has been large longest.
//   So a crowd of one owner does not take the budget of others.
// - Ordinary connections are closed only if they alone exceed the whole budget.
//   That cannot happen while their number times `ordinary_bytes` is below
//   `total_bytes`.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"

namespace tiller::net {

using ConsumerId = std::uint64_t;

enum class BudgetClass { kSession, kUnstarted, kPeer, kOperations };
inline constexpr std::array<std::string_view, 4> kBudgetClassNames = {
    "session", "unstarted", "peer", "operations"};

// Accounts for the bytes that the connections of a process hold, and names the
// connections to be closed when the limit is reached. Not thread-safe.
class ByteBudget {
 public:
  struct Limits {
    std::size_t total_bytes = 0;
    // Part of the total that large connections of callers (kSession,
    // kUnstarted) cannot use.
    std::size_t reserved_bytes = 0;
    // A connection that holds at most this much is ordinary.
    std::size_t ordinary_bytes = 0;
  };

  ByteBudget(Limits limits, const Clock* clock, Counters* counters);

  // `owner` groups connections for fairness (a workspace; empty: not known
  // yet). All connections of a class whose owner is not known count as one
  // owner.
  ConsumerId Add(BudgetClass kind, std::string owner);
  // Has no effect on an unknown id, like the other functions.
  void SetOwner(ConsumerId id, BudgetClass kind, std::string owner);
  void Remove(ConsumerId id);
  // Sets the bytes that a connection holds now. Returns the connections that
  // must be closed at once to stay within the limit (may include `id`). Their
  // bytes count as free from then on; Update() for one of them returns it
  // again. Remove() is still called for each.
  std::vector<ConsumerId> Update(ConsumerId id, std::size_t bytes);
  std::size_t Used() const { return m_used; }

 private:
  struct Consumer {
    BudgetClass kind = BudgetClass::kUnstarted;
    std::string owner;
    std::size_t bytes = 0;
    Instant large_since{};  // valid while the connection is large
    bool closing = false;   // returned by Update(); then `bytes` is 0
  };
  using Consumers = std::unordered_map<ConsumerId, Consumer>;

  bool IsLarge(const Consumer& consumer) const {
    return consumer.bytes > m_limits.ordinary_bytes;
  }
  bool IsLargeCaller(const Consumer& consumer) const;
  void SetBytes(Consumer* consumer, std::size_t bytes);
  // Adds the bytes of `consumer` to the sums, or takes them out.
  void Count(const Consumer& consumer);
  void Discount(const Consumer& consumer);
  // Returns the connection to be closed next, or end() if no limit is exceeded.
  Consumers::iterator ChooseVictim();
  // Among the connections of the lowest rank, returns the largest one of the
  // owner that holds most. Connections without a rank are left out.
  template <typename RankOf>
  Consumers::iterator HeaviestOf(RankOf rank_of);

  const Limits m_limits;
  const Clock* const m_clock;
  Counters* const m_counters;
  ConsumerId m_next_id = 1;
  Consumers m_consumers;
  std::size_t m_used = 0;                // sum over m_consumers
  std::size_t m_large_caller_bytes = 0;  // part of m_used
};

}  // namespace tiller::net
