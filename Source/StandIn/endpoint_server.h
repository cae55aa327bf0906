// Stand-in database endpoint: a member of a database group with its storage,
// log shipping and fault injection. Thread-safe; each client connection is
// served by its own thread.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "StandIn/group_member.h"
#include "StandIn/sql_store.h"

namespace tiller::standin {

struct EndpointOptions {
  EndpointId name;
  std::uint16_t port = 0;
  std::size_t group_size = 3;
  std::string folder;
  std::string schema;
  int slots = 3;             // statements executed at once
  int max_connections = 20;  // connections above it are refused
  Milliseconds lag{0};       // delay before a replica applies an entry
  std::chrono::microseconds statement_cost{0};  // added to each statement
};

// Faults injected by the standin_fault() call; see docs/PLATFORM.md.
struct InjectedFaults {
  bool frozen = false;  // no client gets an answer
  // Clients whose name starts with one of these get no answer. The name
  // "peers" stops this endpoint's own pulls from the primary.
  std::vector<std::string> blocked_prefixes;
  // Connections with a lower number never get an answer again.
  std::uint64_t first_live_connection = 0;
};

class EndpointServer {
 public:
  explicit EndpointServer(EndpointOptions options);
  ~EndpointServer();

  const EndpointOptions& Options() const { return m_options; }

  // Runs `sql` if it is a call of a group function or of standin_fault() and
  // returns its result. Returns nothing for any other statement.
  std::optional<endpoint::StepResult> RunGroupCall(
      const std::string& sql, const std::vector<endpoint::Cell>& parameters);

  // Commits the open transaction of `handle` and appends it to the log. Rolls
  // it back and fails if this endpoint is not the primary of `term`.
  Result<void> CommitWrites(SqlHandle* handle, Term term,
                            const LoggedTransaction& transaction);
  // Term in which this endpoint is the primary; kNotPrimary if it is not.
  Result<Term> PrimaryTerm() const;
  std::unique_ptr<SqlHandle> OpenHandle(const WorkspaceId& workspace) const;
  // Changes when the storage is rebuilt. Handles that were opened in an
  // earlier generation are stale.
  std::uint64_t StorageGeneration() const { return m_storage_generation; }

  // Counts a new connection; false, and not counted, if the limit is reached.
  bool AdmitConnection();
  void ReleaseConnection() { --m_connections; }
  std::uint64_t NextConnectionNumber() { return ++m_last_connection_number; }

  // Blocks while a fault forbids answers to this client or connection.
  void WaitWhileUnresponsive(const std::string& peer, std::uint64_t connection);
  // True after the silent_connections fault, which simulates that a device on
  // the network path has permanently lost the state of this connection.
  bool IsConnectionLost(std::uint64_t connection) const;

  // A slot permits the execution of one statement. Blocks until one is free.
  void AcquireSlot();
  void ReleaseSlot();

 private:
  struct PendingApply {
    LogPosition position = 0;
    std::chrono::steady_clock::time_point apply_at;
  };

  void LoadDurableState();
  void SaveDurableState();
  // Saves the log entries from index `first_index` on. Indices start at 0,
  // positions at 1.
  void SaveEntries(LogPosition first_index);
  void TruncateSavedEntries(LogPosition keep_until);
  void RebuildStorage(LogPosition until);
  void PullLoop(const std::stop_token& stop);
  void ApplyLoop(const std::stop_token& stop);
  void ApplyEntry(const std::string& payload);
  void ApplyPullReply(const PullReply& reply);
  bool IsUnresponsive(const std::string& peer, std::uint64_t connection) const;

  endpoint::StepResult StatusResult() const;
  endpoint::StepResult Confirm(Milliseconds timeout);
  endpoint::StepResult ServePull(const std::vector<endpoint::Cell>& parameters);
  endpoint::StepResult SetFault(const std::string& kind,
                                const std::string& value);
  template <typename Operation>
  endpoint::StepResult UpdateMember(Operation operation);

  const EndpointOptions m_options;
  SqlStore m_store;
  SqlHandle m_state_database;
  mutable std::mutex m_mutex;
  std::condition_variable_any m_changed;
  // Guarded by m_mutex, except the atomics and the threads.
  GroupMember m_member;
  LogPosition m_applied = 0;  // at most m_member.Received()
  std::deque<PendingApply> m_pending_entries;
  std::map<WorkspaceId, std::unique_ptr<SqlHandle>> m_apply_handles;
  std::chrono::steady_clock::time_point m_last_primary_contact;
  Milliseconds m_lag;
  InjectedFaults m_faults;
  int m_free_slots;
  std::atomic<std::uint64_t> m_storage_generation{0};
  std::atomic<int> m_connections{0};
  std::atomic<std::uint64_t> m_last_connection_number{0};
  std::jthread m_pull_thread;
  std::jthread m_apply_thread;
};

}  // namespace tiller::standin
