// Implementation of the budget of bytes.
#include "Net/byte_budget.h"

#include <algorithm>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

#include "Common/names.h"

namespace tiller::net {
namespace {

// Order in which connections are closed: all large ones come before the first
// ordinary one.
enum class Rank {
  kLarge,
  kOrdinaryUnstarted,
  kOrdinarySession,
  kOrdinaryInternal
};

Rank OrdinaryRank(BudgetClass kind) {
  switch (kind) {
    case BudgetClass::kUnstarted:
      return Rank::kOrdinaryUnstarted;
    case BudgetClass::kSession:
      return Rank::kOrdinarySession;
    default:
      return Rank::kOrdinaryInternal;
  }
}

bool IsCaller(BudgetClass kind) {
  return kind == BudgetClass::kSession || kind == BudgetClass::kUnstarted;
}

}  // namespace

ByteBudget::ByteBudget(Limits limits, const Clock* clock, Counters* counters)
    : m_limits{limits.total_bytes,
               std::min(limits.reserved_bytes, limits.total_bytes),
               limits.ordinary_bytes},
      m_clock(clock),
      m_counters(counters) {}

ConsumerId ByteBudget::Add(BudgetClass kind, std::string owner) {
  const auto id = m_next_id++;
  Consumer consumer;
  consumer.kind = kind;
  consumer.owner = std::move(owner);
  m_consumers.emplace(id, std::move(consumer));
  return id;
}

void ByteBudget::SetOwner(ConsumerId id, BudgetClass kind, std::string owner) {
  const auto it = m_consumers.find(id);
  if (it == m_consumers.end()) return;
  Discount(it->second);
  it->second.kind = kind;
  it->second.owner = std::move(owner);
  Count(it->second);
}

void ByteBudget::Remove(ConsumerId id) {
  const auto it = m_consumers.find(id);
  if (it == m_consumers.end()) return;
  Discount(it->second);
  m_consumers.erase(it);
}

std::vector<ConsumerId> ByteBudget::Update(ConsumerId id, std::size_t bytes) {
  const auto it = m_consumers.find(id);
  if (it == m_consumers.end()) return {};
  if (it->second.closing) return {id};
  SetBytes(&it->second, bytes);
  std::vector<ConsumerId> out;
  for (auto victim = ChooseVictim(); victim != m_consumers.end();
       victim = ChooseVictim()) {
    m_counters->Add(
        "byte_budget_closed_" +
        std::string(NameOf(kBudgetClassNames, victim->second.kind)));
    SetBytes(&victim->second, 0);
    victim->second.closing = true;
    out.push_back(victim->first);
  }
  return out;
}

bool ByteBudget::IsLargeCaller(const Consumer& consumer) const {
  return IsLarge(consumer) && IsCaller(consumer.kind);
}

void ByteBudget::SetBytes(Consumer* consumer, std::size_t bytes) {
  const bool was_large = IsLarge(*consumer);
  Discount(*consumer);
  consumer->bytes = bytes;
  Count(*consumer);
  if (!was_large && IsLarge(*consumer)) consumer->large_since = m_clock->Now();
}

void ByteBudget::Count(const Consumer& consumer) {
  m_used += consumer.bytes;
  if (IsLargeCaller(consumer)) m_large_caller_bytes += consumer.bytes;
}

void ByteBudget::Discount(const Consumer& consumer) {
  m_used -= consumer.bytes;
  if (IsLargeCaller(consumer)) m_large_caller_bytes -= consumer.bytes;
}

ByteBudget::Consumers::iterator ByteBudget::ChooseVictim() {
  if (m_large_caller_bytes > m_limits.total_bytes - m_limits.reserved_bytes) {
    return HeaviestOf([this](const Consumer& consumer) {
      return IsLargeCaller(consumer) ? std::optional(Rank::kLarge)
                                     : std::nullopt;
    });
  }
  if (m_used > m_limits.total_bytes) {
    return HeaviestOf([this](const Consumer& consumer) {
      if (consumer.bytes == 0) return std::optional<Rank>();
      return std::optional(IsLarge(consumer) ? Rank::kLarge
                                             : OrdinaryRank(consumer.kind));
    });
  }
  return m_consumers.end();
}

// Linear in the number of connections, but it runs only when one is closed.
template <typename RankOf>
ByteBudget::Consumers::iterator ByteBudget::HeaviestOf(RankOf rank_of) {
  std::optional<Rank> lowest;
  for (const auto& [_, consumer] : m_consumers) {
    const std::optional<Rank> rank = rank_of(consumer);
    if (rank && (!lowest || *rank < *lowest)) lowest = rank;
  }
  using Owner = std::pair<BudgetClass, std::string_view>;
  std::map<Owner, std::size_t> bytes_of;
  for (const auto& [_, consumer] : m_consumers) {
    if (rank_of(consumer) != lowest) continue;
    bytes_of[{consumer.kind, consumer.owner}] += consumer.bytes;
  }
  auto heaviest = m_consumers.end();
  // Larger is closed first. The last two parts make the choice independent of
  // the order in the hash table.
  const auto weight_of = [&bytes_of](const auto& entry) {
    const auto& [id, consumer] = entry;
    return std::tuple(bytes_of.at({consumer.kind, consumer.owner}),
                      std::string_view(consumer.owner), consumer.bytes,
                      -consumer.large_since.time_since_epoch(), -id);
  };
  for (auto it = m_consumers.begin(); it != m_consumers.end(); ++it) {
    if (!lowest || rank_of(it->second) != lowest) continue;
    if (heaviest == m_consumers.end() ||
        weight_of(*it) > weight_of(*heaviest)) {
      heaviest = it;
    }
  }
  return heaviest;
}

}  // namespace tiller::net
