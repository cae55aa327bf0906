// Connects the byte budget of a thread with the connections that it charges.
//
// Answers crowds whose connections are each inside the limits and together use
// more memory than the machine has.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "Net/byte_budget.h"

namespace tiller::net {

// The budget of all listeners and drivers of one thread.
class SharedBudget {
 public:
  // Called for a consumer that must be closed. It has been removed.
  using OnOverBudget = std::function<void()>;

  SharedBudget(boost::asio::io_context* io, ByteBudget::Limits limits,
               const Clock* clock, Counters* counters);

  ConsumerId Add(BudgetClass kind, const std::string& owner,
                 OnOverBudget on_over_budget);
  void SetOwner(ConsumerId id, BudgetClass kind, const std::string& owner);
  void Remove(ConsumerId id);
  // Calls the callbacks of the consumers that must be closed, from the
  // io_context: the caller may be in the middle of handling a stream.
  void Update(ConsumerId id, std::size_t bytes);
  std::size_t Used() const { return m_budget.Used(); }

 private:
  boost::asio::io_context* const m_io;
  ByteBudget m_budget;
  std::unordered_map<ConsumerId, OnOverBudget> m_consumers;
};

}  // namespace tiller::net
