// The shared pool: open transactions that give way to statements that wait; see
// Balance/idle_transactions.h.
#include <algorithm>

#include "Balance/idle_transactions.h"
#include "Common/log.h"
#include "Relay/shared_pool.h"

namespace tiller::relay {
namespace {

// A connection that runs a statement is usually free again by then. A third of
// the shortest target latency.
constexpr Milliseconds kMinWait{50};

}  // namespace

void SharedPool::EndIdleTransactions(const EndpointId& endpoint) {
  if (!m_load_management) return;
  const auto* listed = FindEndpoint(endpoint);
  // What arrived while this host was suspended is still to be read.
  const auto on_time_since = m_ticks.OnTimeSince(Now());
  const auto time_since = [&](Instant at) {
    return Now() - std::max(at, on_time_since);
  };
  std::size_t wanted = 0;
  std::vector<balance::IdleTransaction> transactions;
  for (const auto& [id, session] : m_sessions) {
    if (session.endpoint != endpoint) continue;
    if (session.pending && session.connection == 0) {
      const bool waits = time_since(session.arrived) >= kMinWait &&
                         !IsAdministrative(session.pending->statement.verb);
      wanted += waits ? 1 : 0;
    }
    if (session.pending || session.connection == 0) continue;
    transactions.push_back(
        {id, time_since(session.last_active), session.priority});
  }
  if (wanted == 0) return;
  std::size_t coming = 0;
  std::size_t running = 0;
  for (const auto& [id, connection] : m_connections) {
    if (connection.endpoint != endpoint) continue;
    const bool released = connection.state == ConnectionState::kBusy &&
                          connection.session_id == 0;
    if (connection.state == ConnectionState::kIdle ||
        connection.state == ConnectionState::kOpening || released) {
      ++coming;
    } else if (connection.state == ConnectionState::kBusy) {
      ++running;
    }
  }
  // With all slots busy, or no answer, another connection would not help.
  if (listed == nullptr || running >= listed->slots) return;
  if (SilenceOf(endpoint).Longest() >= kMinWait) return;
  if (coming >= wanted) return;
  for (const auto id : balance::ChooseTransactionsToEnd(std::move(transactions),
                                                        wanted - coming)) {
    const auto* session = FindSession(id);
    if (session == nullptr) continue;
    m_counters->Add("pool_idle_transactions_ended");
    log::Event(
        log::Channel::kTraffic, log::Level::kInfo,
        "pool_idle_transaction_ended",
        {{"workspace", session->workspace},
         {"endpoint", endpoint},
         {"idle_ms", log::MillisecondsText(Now() - session->last_active)},
         {"waiting", std::to_string(wanted)}});
    // Its host learns by the closed connection that the transaction is lost.
    EndSession(id);
  }
}

}  // namespace tiller::relay
