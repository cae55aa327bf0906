// A stand-in database endpoint: a group member, its storage, log shipping and
// faults on command. Thread-safe; one thread per caller's connection.
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
  int max_connections = 20;  // further ones are refused
  Milliseconds lag{0};       // delay before a replica applies an entry
  std::chrono::microseconds statement_cost{0};
};

// Conditions set by group faults; see docs/PLATFORM.md.
struct Faults {
  bool freeze = false;  // answers nobody
  // Name prefixes whose messages are neither answered nor pulled from.
  std::vector<std::string> blocked;
  // Connections opened before this generation stay silent for good.
  std::uint64_t silent_before = 0;
};

class EndpointServer {
 public:
  explicit EndpointServer(EndpointOptions options);
  ~EndpointServer();

  const EndpointOptions& Options() const { return m_options; }

  // Result of a statement that concerns the group, or nothing if `sql` is
  // none.
  std::optional<endpoint::StepResult> RunGroupCall(
      const std::string& sql, const std::vector<endpoint::Cell>& parameters);

  // Commits what `handle` holds open. Fails if the role or term changed since
  // `term`, and rolls back.
  Result<void> CommitWrites(SqlHandle* handle, Term term,
                            const LoggedTransaction& transaction);
  Result<Term> PrimaryTerm() const;
  std::unique_ptr<SqlHandle> OpenHandle(const WorkspaceId& workspace) const;
  // Changes when the storage was rebuilt: handles from before are stale.
  std::uint64_t StorageGeneration() const { return m_storage_generation; }

  // Connection admission; false when the limit is reached.
  bool Admit();
  void Release() { --m_connections; }
  std::uint64_t NextConnectionNumber() { return ++m_connection_number; }

  // Blocks while the named peer may not be answered.
  void WaitWhileSilenced(const std::string& peer, std::uint64_t connection);
  // Something on the way has lost track of this connection for good.
  bool IsLost(std::uint64_t connection) const;

  void AcquireSlot();
  void ReleaseSlot();

 private:
  struct PendingApply {
    LogPosition position = 0;
    std::chrono::steady_clock::time_point ready;
  };

  void LoadDurable();
  void SaveDurable();
  void SaveEntries(LogPosition from);
  void CutSavedEntries(LogPosition keep_until);
  void RebuildStorage(LogPosition until);
  void PullLoop(const std::stop_token& stop);
  void ApplyLoop(const std::stop_token& stop);
  void ApplyEntry(const std::string& payload);
  void ApplyReply(const PullReply& reply);
  bool Silenced(const std::string& peer, std::uint64_t connection) const;

  endpoint::StepResult StatusResult() const;
  endpoint::StepResult Confirm(Milliseconds limit);
  endpoint::StepResult Pull(const std::vector<endpoint::Cell>& parameters);
  endpoint::StepResult SetFault(const std::string& kind,
                                const std::string& value);
  template <typename Operation>
  endpoint::StepResult Change(Operation operation);

  const EndpointOptions m_options;
  SqlStore m_store;
  SqlHandle m_meta;
  mutable std::mutex m_mutex;
  std::condition_variable_any m_changed;
  // All below m_mutex unless atomic.
  GroupMember m_member;
  LogPosition m_applied = 0;  // never above m_member.Received()
  std::deque<PendingApply> m_pending;
  std::map<WorkspaceId, std::unique_ptr<SqlHandle>> m_apply_handles;
  std::chrono::steady_clock::time_point m_heard_primary;
  Milliseconds m_lag;
  Faults m_faults;
  int m_free_slots;
  std::atomic<std::uint64_t> m_storage_generation{0};
  std::atomic<int> m_connections{0};
  std::atomic<std::uint64_t> m_connection_number{0};
  std::jthread m_puller;
  std::jthread m_applier;
};

}  // namespace tiller::standin
