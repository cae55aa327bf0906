// Implementation of the limits on connections.
#include "Net/connection_guard.h"

namespace tiller::net {

std::optional<ConnectionGuard::Verdict> ConnectionGuard::OnAccepted(
    StreamId stream, Instant now) {
  ++m_open;
  std::optional<Verdict> verdict;
  if (m_open > m_limits.connections) {
    verdict =
        Verdict{OldestUnstarted().value_or(stream), CloseReason::kConnections};
  }
  m_unstarted.emplace(stream, now);
  return verdict;
}

ConnectionGuard::Owner* ConnectionGuard::OnOwnerKnown(
    const std::string& owner) {
  auto& entry = *m_owners.try_emplace(owner, 0).first;
  if (entry.second >= m_limits.connections_of_owner) return nullptr;
  ++entry.second;
  return &entry;
}

void ConnectionGuard::OnClosed(StreamId stream, Owner* owner) {
  --m_open;
  m_unstarted.erase(stream);
  m_stalled.erase(stream);
  if (owner != nullptr && --owner->second == 0) {
    m_owners.erase(m_owners.find(owner->first));
  }
}

std::optional<CloseReason> ConnectionGuard::OnLoad(StreamId stream,
                                                   const StreamLoad& load,
                                                   Instant now) {
  if (!load.unfinished_line && !load.unsent_output) {
    m_stalled.erase(stream);
  } else {
    auto& stalled = m_stalled[stream];
    if (!load.unfinished_line) {
      stalled.line_since.reset();
    } else if (!stalled.line_since || stalled.line != *load.unfinished_line) {
      stalled.line = *load.unfinished_line;
      stalled.line_since = now;
    }
    if (!load.unsent_output) {
      stalled.output_since.reset();
    } else if (!stalled.output_since) {
      stalled.output_since = now;
    }
  }
  if (load.bytes > m_limits.connection_bytes) {
    return CloseReason::kConnectionBytes;
  }
  return std::nullopt;
}

std::vector<ConnectionGuard::Verdict> ConnectionGuard::Overdue(
    Instant now) const {
  std::vector<Verdict> out;
  for (const auto& [stream, since] : m_unstarted) {
    if (now - since <= m_limits.unstarted) break;
    out.push_back({stream, CloseReason::kUnstarted});
  }
  for (const auto& [stream, stalled] : m_stalled) {
    if (stalled.output_since &&
        now - *stalled.output_since > m_limits.unread_answer) {
      out.push_back({stream, CloseReason::kUnreadAnswer});
    } else if (stalled.line_since &&
               now - *stalled.line_since > m_limits.unfinished_line) {
      out.push_back({stream, CloseReason::kUnfinishedLine});
    }
  }
  return out;
}

std::optional<StreamId> ConnectionGuard::OldestUnstarted() const {
  if (m_unstarted.empty()) return std::nullopt;
  return m_unstarted.begin()->first;
}

}  // namespace tiller::net
