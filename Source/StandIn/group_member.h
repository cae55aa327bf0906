// The rules by which a stand-in endpoint takes part in its database group:
// terms, fences, promotion, log shipping and confirmation by a majority. No
// I/O: the stand-in daemon and the tests drive the same code.
//
// The scheme is that of Viewstamped Replication (Oki and Liskov, 1988): a
// promotion takes the log with the highest (term, position) of a majority.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Common/types.h"
#include "Endpoint/endpoint_protocol.h"

namespace tiller::standin {

struct LogEntry {
  // Term in which the entry was appended.
  Term term = 0;
  std::string payload;
};

// Start of a term's history: entries after `start` belong to `term`.
struct TermStart {
  Term term = 0;
  LogPosition start = 0;
};

struct PullRequest {
  EndpointId replica;
  Term following = 0;  // term that the replica follows
  Term held_term = 0;  // term of the history it holds
  LogPosition received = 0;
  std::uint64_t barrier = 0;  // last barrier it has seen
};

struct PullReply {
  Term term = 0;
  // The request that is answered; a reply to an older request is not applied.
  Term for_held_term = 0;
  LogPosition for_received = 0;
  // Entries after this position are not part of the primary's history.
  LogPosition keep_until = 0;
  LogPosition term_start = 0;
  std::vector<TermStart> history;
  std::vector<LogEntry> entries;  // from keep_until + 1
  std::uint64_t barrier = 0;
};

class GroupMember {
 public:
  // State that survives a restart of the endpoint.
  struct Durable {
    Term term = 0;  // term of the history held
    Term fence_term = 0;
    std::string fence_owner;
    Term following = 0;  // 0: follows nobody
    std::string primary_address;
    bool primary = false;
    std::vector<TermStart> history;
    std::vector<LogEntry> log;
    // Entries cut off when an old primary returned.
    std::uint64_t discarded = 0;
  };

  GroupMember(EndpointId name, std::size_t group_size);

  const Durable& State() const { return m_state; }
  // A member that was primary comes back without that role: what its replicas
  // had seen of its barriers is lost with the process.
  void Restore(Durable state);

  // Promises to take no part in a lower term, or in this term for another
  // owner. Fails with kStaleTerm.
  Result<void> Fence(Term term, const std::string& owner);
  // Starts `term` here; needs this member's own promise to `owner`.
  Result<void> Promote(Term term, const std::string& owner);
  // Follows the primary of `term`. A member that promised a higher term, or
  // this term to another owner, refuses.
  Result<void> Follow(Term term, const std::string& owner,
                      const std::string& primary_address);

  // Fails unless this member is the unfenced primary of `term`.
  Result<void> Expect(Term term) const;
  // Appends in the member's own term. Precondition: Expect() holds.
  LogPosition Append(std::string payload);

  // Starts a barrier: a majority that has seen it proves that this member was
  // still primary after the call.
  std::uint64_t StartBarrier() { return ++m_barrier; }
  bool Confirmed(LogPosition position, std::uint64_t barrier) const;

  Result<PullReply> HandlePull(const PullRequest& request,
                               std::size_t max_entries);
  PullRequest MakePull() const;
  // Returns the position after which the applied state has to be rebuilt, or
  // nothing when the log only grew. Fails when the reply is of a term this
  // member no longer follows.
  Result<std::optional<LogPosition>> ApplyPull(const PullReply& reply);

  LogPosition Received() const { return m_state.log.size(); }
  bool IsPrimary() const { return m_state.primary; }
  endpoint::Role Role() const;

 private:
  struct ReplicaProgress {
    LogPosition received = 0;
    std::uint64_t barrier = 0;
  };

  const EndpointId m_name;
  const std::size_t m_group_size;
  // Invariants: fence_term >= term; primary implies fence_term == term;
  // every history start is at most the log's size.
  Durable m_state;
  std::uint64_t m_barrier = 0;
  std::uint64_t m_seen_barrier = 0;
  // Only of replicas that hold this primary's own term.
  std::map<EndpointId, ReplicaProgress> m_progress;
};

}  // namespace tiller::standin
