// Interactive transactions: each owns one connection, in one term, until it
// ends.
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
  std::string key_id;  // of the key that began it
  EndpointId endpoint;
  ConnectionId connection = 0;
  Term term = 0;
  TransactionStage stage = TransactionStage::kBeginning;
  Instant began;
  Instant last_use;
};

class TransactionTable {
 public:
  Transaction* Add(Transaction transaction);
  // Fails with kTransactionUnknown, also for another workspace's transaction,
  // and with kTransactionBusy while a statement of it runs.
  Result<Transaction*> Claim(const std::string& id,
                             const WorkspaceId& workspace);
  Transaction* Find(const std::string& id);
  void Remove(const std::string& id) { m_rows.erase(id); }
  // Idle for longer than `idle_limit`, or open for longer than `total_limit`.
  std::vector<std::string> Expired(Instant now, Duration idle_limit,
                                   Duration total_limit) const;
  std::size_t Size() const { return m_rows.size(); }
  std::unordered_map<std::string, Transaction>& Rows() { return m_rows; }

 private:
  std::unordered_map<std::string, Transaction> m_rows;
};

}  // namespace tiller::traffic
