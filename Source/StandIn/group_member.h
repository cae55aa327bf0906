// Replication protocol of one member of a stand-in database group: terms,
// fences, promotion, log shipping and confirmation by a majority. Performs no
// I/O, so that the stand-in daemon and the tests run the same code.
//
// The protocol follows Viewstamped Replication (Oki and Liskov, 1988): a
// promotion selects the log with the highest (term, position) of a majority.
//
// A barrier is a number that the primary sends in its pull replies and that the
// replicas return in their next pull request. The primary starts a new one to
// prove that it still is the primary: once a majority has returned the barrier,
// it was still the primary after it had started the barrier.
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

// Start of a term in the log: entries after `previous_end`, up to the start of
// the next term, were appended in `term`.
struct TermStart {
  Term term = 0;
  LogPosition previous_end = 0;
};

struct PullRequest {
  EndpointId replica;
  Term followed_term = 0;  // term that the replica follows
  Term held_term = 0;      // term of the history in its log
  LogPosition received = 0;
  std::uint64_t barrier = 0;  // last barrier received from the primary
};

struct PullReply {
  Term term = 0;
  // `held_term` and `received` of the request. A replica whose state differs
  // by now rejects the reply.
  Term for_held_term = 0;
  LogPosition for_received = 0;
  // The replica truncates its log to this position: its later entries are not
  // part of the primary's history.
  LogPosition keep_until = 0;
  LogPosition term_start = 0;
  std::vector<TermStart> history;
  std::vector<LogEntry> entries;  // from keep_until + 1
  std::uint64_t barrier = 0;
};

class GroupMember {
 public:
  // State that survives a restart of the endpoint.
  struct DurableState {
    Term term = 0;  // term of the history in the log
    Term fence_term = 0;
    std::string fence_owner;
    Term followed_term = 0;  // term of the primary it follows; 0: none
    std::string primary_address;
    // False after a restart, even if the member was the primary: see Restore().
    bool primary = false;
    std::vector<TermStart> history;
    std::vector<LogEntry> log;
    // Number of entries removed because a new primary's history lacks them.
    std::uint64_t discarded = 0;
  };

  GroupMember(EndpointId name, std::size_t group_size);

  const DurableState& State() const { return m_state; }
  // Restores the state after a restart. A former primary does not regain its
  // role: which replicas have received which barrier was known only in memory
  // and was lost with the process.
  void Restore(DurableState state);

  // Promises to reject lower terms, and this term for any other owner. A
  // primary of a lower term loses its role. Fails with kStaleTerm if a higher
  // term, or this term for another owner, is already promised.
  Result<void> Fence(Term term, const std::string& owner);
  // Makes this member the primary of `term`. Fails with kStaleTerm unless this
  // member has promised `term` to `owner`, and with kConflict if it follows a
  // primary in this term or was its primary before a restart.
  Result<void> Promote(Term term, const std::string& owner);
  // Follows the primary of `term`. Fails with kStaleTerm if a higher term, or
  // this term for another owner, is promised, and with kConflict if this member
  // is the primary of `term`.
  Result<void> Follow(Term term, const std::string& owner,
                      const std::string& primary_address);

  // Fails with kNotPrimary or kStaleTerm unless this member is the unfenced
  // primary of `term`.
  Result<void> CheckPrimary(Term term) const;
  // Appends an entry in the member's own term and returns its position.
  // Precondition: CheckPrimary() succeeds.
  LogPosition Append(std::string payload);

  // Starts a barrier and returns its number. Once a majority has received the
  // barrier, this member is proved to have been primary after the call.
  std::uint64_t StartBarrier() { return ++m_barrier; }
  // True if this member is primary and a majority, itself included, has
  // received the log up to `position` and the barrier.
  bool IsConfirmed(LogPosition position, std::uint64_t barrier) const;

  // Records the replica's progress and returns the entries that it lacks, at
  // most `max_entries`. Fails with kNotPrimary unless this member is the
  // primary of the term that the replica follows.
  Result<PullReply> HandlePull(const PullRequest& request,
                               std::size_t max_entries);
  PullRequest MakePull() const;
  // Updates the log from a reply. Returns the position to which the log was
  // truncated, or nothing if the log was only extended; state applied from
  // later entries has to be rebuilt. Fails with kStaleTerm if this member no
  // longer follows the reply's term, and with kConflict if the reply answers an
  // older request.
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
  // no `previous_end` of the history exceeds the log's size.
  DurableState m_state;
  std::uint64_t m_barrier = 0;
  std::uint64_t m_last_seen_barrier = 0;
  // Contains only replicas that hold the history of this primary's own term.
  std::map<EndpointId, ReplicaProgress> m_progress;
};

}  // namespace tiller::standin
