// Implementation of the budget of streams.
#include "Net/stream_budget.h"

namespace tiller::net {

void StreamMeter::Update(StreamId stream, std::size_t bytes, BudgetClass kind,
                         const std::string& owner) {
  if (m_budget == nullptr) return;
  const auto it = m_consumers.find(stream);
  if (bytes == 0) {
    if (it == m_consumers.end()) return;
    m_budget->Remove(it->second);
    m_consumers.erase(it);
    return;
  }
  if (it != m_consumers.end()) return m_budget->Update(it->second, bytes);
  const auto consumer =
      m_budget->Add(kind, owner, [this, stream] { m_on_over_budget(stream); });
  m_consumers.emplace(stream, consumer);
  m_budget->Update(consumer, bytes);
}

void StreamMeter::SetOwner(StreamId stream, BudgetClass kind,
                           const std::string& owner) {
  const auto it = m_consumers.find(stream);
  if (it != m_consumers.end()) m_budget->SetOwner(it->second, kind, owner);
}

}  // namespace tiller::net
