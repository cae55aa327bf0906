// Implementation of the shared budget.
#include "Net/shared_budget.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace tiller::net {

SharedBudget::SharedBudget(boost::asio::io_context* io,
                           ByteBudget::Limits limits, const Clock* clock,
                           Counters* counters)
    : m_io(io), m_budget(limits, clock, counters) {}

ConsumerId SharedBudget::Add(BudgetClass kind, const std::string& owner,
                             OnOverBudget on_over_budget) {
  const auto id = m_budget.Add(kind, owner);
  m_consumers.emplace(id, std::move(on_over_budget));
  return id;
}

void SharedBudget::SetOwner(ConsumerId id, BudgetClass kind,
                            const std::string& owner) {
  if (m_consumers.contains(id)) m_budget.SetOwner(id, kind, owner);
}

void SharedBudget::Remove(ConsumerId id) {
  if (m_consumers.erase(id) > 0) m_budget.Remove(id);
}

void SharedBudget::Update(ConsumerId id, std::size_t bytes) {
  if (!m_consumers.contains(id)) return;  // its close is on the way
  for (const auto victim : m_budget.Update(id, bytes)) {
    const auto it = m_consumers.find(victim);
    if (it == m_consumers.end()) continue;
    auto on_over_budget = std::move(it->second);
    m_consumers.erase(it);
    m_budget.Remove(victim);
    boost::asio::post(*m_io, std::move(on_over_budget));
  }
}

}  // namespace tiller::net
