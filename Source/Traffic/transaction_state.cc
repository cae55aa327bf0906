// Lookup and expiry of interactive transactions.
#include "Traffic/transaction_state.h"

#include <utility>

namespace tiller::traffic {

Transaction* TransactionTable::Add(Transaction transaction) {
  const auto id = transaction.id;
  return &(m_rows[id] = std::move(transaction));
}

Result<Transaction*> TransactionTable::FindIdle(const std::string& id,
                                                const WorkspaceId& workspace) {
  auto* row = Find(id);
  if (row == nullptr || row->workspace != workspace) {
    return MakeError(ErrorCode::kTransactionUnknown,
                     "not open here: ended, rolled back or on another host");
  }
  if (row->stage != TransactionStage::kIdle) {
    return MakeError(ErrorCode::kTransactionBusy,
                     "another call of this transaction is in progress");
  }
  return row;
}

Transaction* TransactionTable::Find(const std::string& id) {
  const auto it = m_rows.find(id);
  return it == m_rows.end() ? nullptr : &it->second;
}

std::vector<std::string> TransactionTable::Expired(Instant now,
                                                   Duration idle_limit,
                                                   Duration total_limit) const {
  std::vector<std::string> out;
  for (const auto& [id, row] : m_rows) {
    if (row.stage != TransactionStage::kIdle) continue;
    if (now - row.last_used_at < idle_limit &&
        now - row.began_at < total_limit) {
      continue;
    }
    out.push_back(id);
  }
  return out;
}

}  // namespace tiller::traffic
