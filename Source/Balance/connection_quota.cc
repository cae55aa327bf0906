// Implementation of the decision when to open a connection.
#include "Balance/connection_quota.h"

#include <algorithm>
#include <tuple>

namespace tiller::balance {
namespace {

// Opening a connection takes about this long: a handshake of 12 ms in a slot,
// and the wait for the slot. A statement waits as long for a connection of its
// workspace that is in use.
constexpr Milliseconds kOpenCost{15};
// First delays after a refusal, each doubled by the next one. Within its part a
// pool retries once idle connections of others have been trimmed; beyond it,
// the endpoint is likely to stay at its limit for longer.
constexpr Milliseconds kRetryDelay{30};
constexpr Milliseconds kBorrowDelay{300};
constexpr int kMaxDoublings = 4;
// An endpoint that restarts is tried again sooner: nobody else uses up its
// connections.
constexpr int kMaxUnreachableDoublings = 2;
// A workspace with less than one statement in five seconds has no recent
// demand.
constexpr double kColdDemand = 0.2;
// A connection with more statements per second is wanted again within the time
// that a statement can wait for one. It is closed only if the statement has
// waited for kSparedFor, a part of the shortest target latency of 150 ms.
constexpr double kWantedAtOnce = 10;
constexpr Milliseconds kSparedFor{30};

// How long a statement or a short transaction occupies a connection.
constexpr double kOccupiedSeconds = 0.05;

}  // namespace

// With Poisson arrivals, a statement finds k connections in use with a
// probability of about load^k / k!.
double DemandForLast(double rate, std::size_t connections) {
  const double load = rate * kOccupiedSeconds;
  double demand = rate;
  for (std::size_t used = 1; used < connections; ++used) {
    demand *= std::min(load / static_cast<double>(used), 1.0);
  }
  return demand;
}

std::optional<IdleConnection> LeastWanted(
    const std::vector<IdleConnection>& idle) {
  const auto least = std::min_element(
      idle.begin(), idle.end(), [](const auto& a, const auto& b) {
        return std::tie(a.demand, a.idle_since, a.id) <
               std::tie(b.demand, b.idle_since, b.id);
      });
  if (least == idle.end()) return std::nullopt;
  return *least;
}

OpenDecision ConnectionQuota::Decide(const ConnectionUse& use,
                                     Instant now) const {
  if (MustWait(now)) return OpenDecision::kWait;
  // Handshakes of one pool take at most half of the endpoint's slots.
  if (use.opening >= std::max<std::size_t>(use.slots / 2, 1)) {
    return OpenDecision::kWait;
  }
  if (use.workspace_opening >= use.workspace_waiting) {
    return OpenDecision::kWait;
  }
  const bool free_soon =
      use.workspace_waiting - use.workspace_opening <= use.workspace_running;
  if (free_soon && use.waited < kOpenCost) return OpenDecision::kWait;
  if (use.held < use.part.held) return OpenDecision::kOpen;
  const auto& victim = use.least_wanted;
  const double spared = std::min(use.demand, kWantedAtOnce);
  if (victim && victim->demand < std::max(spared, kColdDemand)) {
    return OpenDecision::kReplace;
  }
  const bool may_borrow =
      use.held < use.part.max && !AtLimit(now) && use.opening == 0;
  if (may_borrow) return OpenDecision::kBorrow;
  if (!victim) return OpenDecision::kWait;
  if (victim->demand < kWantedAtOnce || use.waited >= kSparedFor) {
    return OpenDecision::kReplace;
  }
  return OpenDecision::kWait;
}

void ConnectionQuota::RecordOpened(bool beyond_part) {
  m_refusals = 0;
  m_unreachable = 0;
  if (beyond_part) m_borrow_refusals = 0;
}

void ConnectionQuota::RecordRefused(Instant now) {
  m_retry_at = now + kRetryDelay * (1 << std::min(m_refusals, kMaxDoublings));
  m_borrow_at = std::max(
      m_borrow_at,
      now + kBorrowDelay * (1 << std::min(m_borrow_refusals, kMaxDoublings)));
  ++m_refusals;
  ++m_borrow_refusals;
}

void ConnectionQuota::RecordUnreachable(Instant now) {
  const int doublings = std::min(m_unreachable, kMaxUnreachableDoublings);
  m_retry_at = std::max(m_retry_at, now + kRetryDelay * (1 << doublings));
  ++m_unreachable;
}

}  // namespace tiller::balance
