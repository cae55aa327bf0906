// Interactive transactions. Each one owns a connection and is bound to one term
// until it ends.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/error.h"
#include "Common/types.h"
#include "Traffic/traffic_messages.h"

namespace tiller::traffic {

enum class TransactionStage { kBeginning, kIdle, kRunning };

struct Transaction {
  std::string id;
  WorkspaceId workspace;
  GroupId group;
  std::string key_id;  // id of the key that began the transaction
  EndpointId endpoint;
  ConnectionId connection = 0;
  Term term = 0;
  TransactionStage stage = TransactionStage::kBeginning;
  Instant began_at;
  Instant last_used_at;
};

class TransactionTable {
 public:
  Transaction* Add(Transaction transaction);
  // Returns the transaction if it can run another call. Fails with
  // kTransactionUnknown if it does not exist or belongs to another workspace,
  // and with kTransactionBusy while one of its calls is in progress.
  Result<Transaction*> FindIdle(const std::string& id,
                                const WorkspaceId& workspace);
  Transaction* Find(const std::string& id);
  void Remove(const std::string& id) { m_rows.erase(id); }
  // Ids of idle transactions that have been idle for at least `idle_limit` or
  // open for at least `total_limit`.
  std::vector<std::string> Expired(Instant now, Duration idle_limit,
                                   Duration total_limit) const;
  std::size_t Size() const { return m_rows.size(); }
  std::unordered_map<std::string, Transaction>& Rows() { return m_rows; }

 private:
  std::unordered_map<std::string, Transaction> m_rows;
};

}  // namespace tiller::traffic
