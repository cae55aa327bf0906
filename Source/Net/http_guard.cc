// Implementation of the limits on connections of an HTTP listener.
#include "Net/http_guard.h"

#include <utility>

namespace tiller::net {

std::optional<HttpGuard::Verdict> HttpGuard::OnAccepted(
    HttpConnectionId connection, Instant now) {
  std::optional<Verdict> verdict;
  if (m_connections.size() >= m_limits.connections) {
    verdict = Verdict{ToGiveWay(now).value_or(connection),
                      HttpCloseReason::kConnections};
  }
  const State state{HttpPhase::kNew, now, connection};
  m_connections.emplace(connection, state);
  m_order.insert(state);
  return verdict;
}

void HttpGuard::OnPhase(HttpConnectionId connection, HttpPhase phase,
                        Instant now) {
  const auto it = m_connections.find(connection);
  if (it == m_connections.end() || it->second.phase == phase) return;
  // Reuses the node: a phase changes several times with each request.
  auto node = m_order.extract(it->second);
  it->second.phase = phase;
  it->second.since = now;
  node.value() = it->second;
  m_order.insert(std::move(node));
}

void HttpGuard::OnClosed(HttpConnectionId connection) {
  const auto it = m_connections.find(connection);
  if (it == m_connections.end()) return;
  m_order.erase(it->second);
  m_connections.erase(it);
}

std::optional<HttpConnectionId> HttpGuard::ToGiveWay(Instant now) const {
  for (const auto phase :
       {HttpPhase::kNew, HttpPhase::kHeader, HttpPhase::kIdle, HttpPhase::kBody,
        HttpPhase::kWriting}) {
    const auto* longest = LongestIn(phase);
    if (longest == nullptr) continue;
    const bool transfers =
        phase == HttpPhase::kBody || phase == HttpPhase::kWriting;
    if (transfers && now - longest->since < m_limits.grace) continue;
    return longest->connection;
  }
  return std::nullopt;
}

std::vector<HttpGuard::Verdict> HttpGuard::Overdue(Instant now) const {
  struct Row {
    HttpPhase phase;
    Duration limit;
    HttpCloseReason reason;
  };
  const Row rows[] = {
      {HttpPhase::kNew, m_limits.idle, HttpCloseReason::kIdleTime},
      {HttpPhase::kHeader, m_limits.header, HttpCloseReason::kHeaderTime},
      {HttpPhase::kIdle, m_limits.idle, HttpCloseReason::kIdleTime},
      {HttpPhase::kBody, m_limits.body, HttpCloseReason::kBodyTime},
      {HttpPhase::kWriting, m_limits.unread_answer,
       HttpCloseReason::kUnreadAnswer}};
  std::vector<Verdict> out;
  for (const auto& row : rows) {
    for (auto it = m_order.lower_bound({row.phase, Instant::min(), 0});
         it != m_order.end() && it->phase == row.phase &&
         now - it->since > row.limit;
         ++it) {
      out.push_back({it->connection, row.reason});
    }
  }
  return out;
}

const HttpGuard::State* HttpGuard::LongestIn(HttpPhase phase) const {
  const auto it = m_order.lower_bound({phase, Instant::min(), 0});
  return it != m_order.end() && it->phase == phase ? &*it : nullptr;
}

}  // namespace tiller::net
