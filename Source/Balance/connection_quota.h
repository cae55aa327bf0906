// Decides when a shared pool opens a connection to an endpoint, and which idle
// one it closes for it.
//
// Load pattern: an endpoint accepts fewer connections than there are
// workspaces, and a new connection occupies one of its slots. Pools that open
// one for each waiting statement and close the one that has been idle longest
// reopen it a moment later. At the endpoint's limit all of them go on trying,
// so that even pools with few connections are refused. Here
// - each pool opens connections freely only up to its part of the limit;
// - beyond that it uses what the endpoint leaves free, one at a time, and backs
//   off after a refusal;
// - a statement waits for a connection of its own workspace that is about to be
//   free, rather than opening one;
// - the connection of the workspace with the least demand is closed.
// A connection that is borrowed is trimmed soon, unless another idle one is
// wanted less. So one that is wanted more than an idle one replaces it at once.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "Common/types.h"

namespace tiller::balance {

// A pool's part of an endpoint's connections.
struct ConnectionPart {
  // It may hold this many without backoff.
  std::size_t held = 0;
  // Idle connections are closed while it holds more than this.
  std::size_t kept = 0;
  // It never holds more than this.
  std::size_t max = 0;
};

// Returns how many statements per second would find no connection if the
// workspace had one less than `connections`, when it sends `rate` statements
// per second.
double DemandForLast(double rate, std::size_t connections);

struct IdleConnection {
  std::uint64_t id = 0;
  // See DemandForLast().
  double demand = 0;
  Instant idle_since;
};

// Returns the connection of the least demand, or of those the one that has been
// idle longest; nullopt if there is none.
std::optional<IdleConnection> LeastWanted(
    const std::vector<IdleConnection>& idle);

// A pool's connections to an endpoint when a statement finds no idle one of its
// workspace.
struct ConnectionUse {
  ConnectionPart part;
  std::size_t slots = 1;  // of the endpoint
  // Connections to the endpoint, and how many of them began to be opened a
  // short time ago.
  std::size_t held = 0;
  std::size_t opening = 0;
  // The workspace's statements that wait for a connection, its connections that
  // are being opened, and those that run a statement outside of a transaction.
  std::size_t workspace_waiting = 0;
  std::size_t workspace_opening = 0;
  std::size_t workspace_running = 0;
  // See DemandForLast(): of the connection that would be opened.
  double demand = 0;
  // How long the statement has waited.
  Duration waited{};
  std::optional<IdleConnection> least_wanted;
};

enum class OpenDecision {
  kOpen,     // within the pool's part
  kBorrow,   // open one beyond it
  kReplace,  // close the least wanted idle connection, and open one
  kWait
};
inline constexpr std::array<std::string_view, 4> kOpenDecisionNames = {
    "open", "borrow", "replace", "wait"};

// What one pool knows of the connection limit of one endpoint.
class ConnectionQuota {
 public:
  OpenDecision Decide(const ConnectionUse& use, Instant now) const;
  // The endpoint accepted a connection. `beyond_part`: the pool held more than
  // its part.
  void RecordOpened(bool beyond_part);
  // The endpoint refused a connection because it was at its limit.
  void RecordRefused(Instant now);
  // Nothing answered at the endpoint's address.
  void RecordUnreachable(Instant now);
  // Returns true while no connection should be opened, whatever is idle.
  bool MustWait(Instant now) const { return now < m_retry_at; }
  // Returns true while the endpoint is assumed to be at its limit.
  bool AtLimit(Instant now) const { return now < m_borrow_at; }
  Instant BorrowAt() const { return m_borrow_at; }

 private:
  // Refusals since a connection was last accepted, and since one was last
  // accepted beyond the pool's part.
  int m_refusals = 0;
  int m_borrow_refusals = 0;
  int m_unreachable = 0;  // attempts since a connection was last accepted
  Instant m_retry_at{};
  Instant m_borrow_at{};
};

}  // namespace tiller::balance
