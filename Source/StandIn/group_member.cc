// Implementation of the replication protocol of a stand-in group member.
#include "StandIn/group_member.h"

#include <algorithm>
#include <utility>

namespace tiller::standin {

GroupMember::GroupMember(EndpointId name, std::size_t group_size)
    : m_name(std::move(name)), m_group_size(group_size) {}

void GroupMember::Restore(DurableState state) {
  m_state = std::move(state);
  m_state.primary = false;
  m_progress.clear();
}

endpoint::Role GroupMember::Role() const {
  if (m_state.primary) return endpoint::Role::kPrimary;
  return m_state.fence_term > m_state.followed_term ? endpoint::Role::kFenced
                                                    : endpoint::Role::kReplica;
}

Result<void> GroupMember::Fence(Term term, const std::string& owner) {
  if (term < m_state.fence_term ||
      (term == m_state.fence_term && owner != m_state.fence_owner)) {
    return MakeError(ErrorCode::kStaleTerm, "a later promise was given");
  }
  if (term == m_state.fence_term) return Success();
  m_state.fence_term = term;
  m_state.fence_owner = owner;
  m_state.primary = false;
  m_progress.clear();
  return Success();
}

Result<void> GroupMember::Promote(Term term, const std::string& owner) {
  if (term != m_state.fence_term || owner != m_state.fence_owner) {
    return MakeError(ErrorCode::kStaleTerm, "not promised to this owner");
  }
  if (m_state.primary) return Success();
  // This also rejects a former primary of this term that was restarted.
  if (m_state.followed_term == term) {
    return MakeError(ErrorCode::kConflict, "already follows in this term");
  }
  m_state.primary = true;
  m_state.term = term;
  m_state.followed_term = term;
  m_state.primary_address.clear();
  m_state.history.push_back({term, Received()});
  m_progress.clear();
  return Success();
}

Result<void> GroupMember::Follow(Term term, const std::string& owner,
                                 const std::string& primary_address) {
  const bool promised_to_other =
      term == m_state.fence_term && owner != m_state.fence_owner;
  if (term < m_state.fence_term || promised_to_other) {
    return MakeError(ErrorCode::kStaleTerm, "a later promise was given");
  }
  if (m_state.primary && m_state.term == term) {
    return MakeError(ErrorCode::kConflict, "is the primary of this term");
  }
  m_state.fence_term = term;
  m_state.fence_owner = owner;
  m_state.primary = false;
  m_state.followed_term = term;
  m_state.primary_address = primary_address;
  m_last_seen_barrier = 0;
  m_progress.clear();
  return Success();
}

Result<void> GroupMember::CheckPrimary(Term term) const {
  if (!m_state.primary) {
    return MakeError(ErrorCode::kNotPrimary, "not the primary");
  }
  if (m_state.term != term) {
    return MakeError(ErrorCode::kStaleTerm, "another term");
  }
  return Success();
}

LogPosition GroupMember::Append(std::string payload) {
  m_state.log.push_back({m_state.term, std::move(payload)});
  return Received();
}

bool GroupMember::IsConfirmed(LogPosition position,
                              std::uint64_t barrier) const {
  if (!m_state.primary) return false;
  std::size_t holders = 1;
  for (const auto& [replica, progress] : m_progress) {
    if (progress.received < position || progress.barrier < barrier) continue;
    ++holders;
  }
  return holders > m_group_size / 2;
}

Result<PullReply> GroupMember::HandlePull(const PullRequest& request,
                                          std::size_t max_entries) {
  if (!m_state.primary || request.followed_term != m_state.term) {
    return MakeError(ErrorCode::kNotPrimary, "not the primary of that term");
  }
  // The replica's log can agree with this one only up to the first term that
  // is later than the replica's own.
  LogPosition common_prefix = std::min(request.received, Received());
  for (const auto& start : m_state.history) {
    if (start.term <= request.held_term) continue;
    common_prefix = std::min(common_prefix, start.previous_end);
    break;
  }
  if (request.held_term == m_state.term) {
    auto& progress = m_progress[request.replica];
    progress.received = std::max(progress.received, request.received);
    progress.barrier = std::max(progress.barrier, request.barrier);
  }
  PullReply reply;
  reply.term = m_state.term;
  reply.for_held_term = request.held_term;
  reply.for_received = request.received;
  reply.keep_until = common_prefix;
  reply.term_start = m_state.history.back().previous_end;
  reply.history = m_state.history;
  reply.barrier = m_barrier;
  const auto end =
      std::min<LogPosition>(Received(), common_prefix + max_entries);
  for (LogPosition index = common_prefix; index < end; ++index) {
    reply.entries.push_back(m_state.log[index]);
  }
  return reply;
}

PullRequest GroupMember::MakePull() const {
  return PullRequest{m_name, m_state.followed_term, m_state.term, Received(),
                     m_last_seen_barrier};
}

Result<std::optional<LogPosition>> GroupMember::ApplyPull(
    const PullReply& reply) {
  if (m_state.primary || reply.term != m_state.followed_term ||
      reply.term < m_state.fence_term) {
    return MakeError(ErrorCode::kStaleTerm, "follows another term now");
  }
  if (reply.for_received != Received() || reply.for_held_term != m_state.term) {
    return MakeError(ErrorCode::kConflict, "reply to an older request");
  }
  std::optional<LogPosition> truncated_to;
  if (reply.keep_until < Received()) {
    truncated_to = reply.keep_until;
    m_state.discarded += Received() - reply.keep_until;
    m_state.log.resize(reply.keep_until);
  }
  m_state.log.insert(m_state.log.end(), reply.entries.begin(),
                     reply.entries.end());
  // The new term is adopted only once all entries from before its start have
  // been received. Otherwise a short log of the new term would outrank a longer
  // log of the previous term.
  if (Received() >= reply.term_start) {
    m_state.term = reply.term;
    m_state.history = reply.history;
    m_last_seen_barrier = reply.barrier;
  }
  return truncated_to;
}

}  // namespace tiller::standin
