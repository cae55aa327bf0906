// Implementation of a stand-in endpoint's part in its group.
#include "StandIn/group_member.h"

#include <algorithm>
#include <utility>

namespace tiller::standin {

GroupMember::GroupMember(EndpointId name, std::size_t group_size)
    : m_name(std::move(name)), m_group_size(group_size) {}

void GroupMember::Restore(Durable state) {
  m_state = std::move(state);
  m_state.primary = false;
  m_progress.clear();
}

endpoint::Role GroupMember::Role() const {
  if (m_state.primary) return endpoint::Role::kPrimary;
  return m_state.fence_term > m_state.following ? endpoint::Role::kFenced
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
  // Also true of a former primary of this term that restarted.
  if (m_state.following == term) {
    return MakeError(ErrorCode::kConflict, "already follows in this term");
  }
  m_state.primary = true;
  m_state.term = term;
  m_state.following = term;
  m_state.primary_address.clear();
  m_state.history.push_back({term, Received()});
  m_progress.clear();
  return Success();
}

Result<void> GroupMember::Follow(Term term, const std::string& owner,
                                 const std::string& primary_address) {
  const bool promised_elsewhere =
      term == m_state.fence_term && owner != m_state.fence_owner;
  if (term < m_state.fence_term || promised_elsewhere) {
    return MakeError(ErrorCode::kStaleTerm, "a later promise was given");
  }
  if (m_state.primary && m_state.term == term) {
    return MakeError(ErrorCode::kConflict, "is the primary of this term");
  }
  m_state.fence_term = term;
  m_state.fence_owner = owner;
  m_state.primary = false;
  m_state.following = term;
  m_state.primary_address = primary_address;
  m_seen_barrier = 0;
  m_progress.clear();
  return Success();
}

Result<void> GroupMember::Expect(Term term) const {
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

bool GroupMember::Confirmed(LogPosition position, std::uint64_t barrier) const {
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
  if (!m_state.primary || request.following != m_state.term) {
    return MakeError(ErrorCode::kNotPrimary, "not the primary of that term");
  }
  // The replica's history ends where ours leaves the term it holds.
  LogPosition shared = std::min(request.received, Received());
  for (const auto& start : m_state.history) {
    if (start.term <= request.held_term) continue;
    shared = std::min(shared, start.start);
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
  reply.keep_until = shared;
  reply.term_start = m_state.history.back().start;
  reply.history = m_state.history;
  reply.barrier = m_barrier;
  const auto end = std::min<LogPosition>(Received(), shared + max_entries);
  for (LogPosition at = shared; at < end; ++at) {
    reply.entries.push_back(m_state.log[at]);
  }
  return reply;
}

PullRequest GroupMember::MakePull() const {
  return PullRequest{m_name, m_state.following, m_state.term, Received(),
                     m_seen_barrier};
}

Result<std::optional<LogPosition>> GroupMember::ApplyPull(
    const PullReply& reply) {
  if (m_state.primary || reply.term != m_state.following ||
      reply.term < m_state.fence_term) {
    return MakeError(ErrorCode::kStaleTerm, "follows another term now");
  }
  if (reply.for_received != Received() || reply.for_held_term != m_state.term) {
    return MakeError(ErrorCode::kConflict, "reply to an older request");
  }
  std::optional<LogPosition> rebuild;
  if (reply.keep_until < Received()) {
    rebuild = reply.keep_until;
    m_state.discarded += Received() - reply.keep_until;
    m_state.log.resize(reply.keep_until);
  }
  m_state.log.insert(m_state.log.end(), reply.entries.begin(),
                     reply.entries.end());
  // The term counts as held only once its whole prefix is here: otherwise a
  // short log of a new term would outrank a longer one of the term before.
  if (Received() >= reply.term_start) {
    m_state.term = reply.term;
    m_state.history = reply.history;
    m_seen_barrier = reply.barrier;
  }
  return rebuild;
}

}  // namespace tiller::standin
