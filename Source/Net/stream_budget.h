// Connects the byte budget of a thread with the streams that it charges.
//
// Load addressed: crowds whose connections are each inside the limits and
// together use more memory than the machine has. A stream is a consumer of the
// budget only while it holds buffers, so idle connections cost nothing.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

#include "Net/line_stream.h"
#include "Net/shared_budget.h"

namespace tiller::net {

// Charges the streams of one listener or driver.
class StreamMeter {
 public:
  using OnOverBudget = std::function<void(StreamId stream)>;

  // `budget` may be null: then nothing is charged.
  StreamMeter(SharedBudget* budget, OnOverBudget on_over_budget)
      : m_budget(budget), m_on_over_budget(std::move(on_over_budget)) {}

  void Update(StreamId stream, std::size_t bytes, BudgetClass kind,
              const std::string& owner);
  void SetOwner(StreamId stream, BudgetClass kind, const std::string& owner);

 private:
  SharedBudget* const m_budget;
  const OnOverBudget m_on_over_budget;
  std::unordered_map<StreamId, ConsumerId> m_consumers;
};

}  // namespace tiller::net
