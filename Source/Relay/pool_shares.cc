// Implementation of the pools' parts of the endpoints' connections.
#include "Relay/pool_shares.h"

#include <algorithm>
#include <cmath>

#include "Balance/cap_division.h"
#include "Relay/connection_path.h"
#include "Relay/directory_changes.h"

namespace tiller::relay {
namespace {

// Fraction of an endpoint's connections that one pool may hold, so that
// connections remain for workspaces that another one serves.
constexpr double kMaxFractionPerHost = 0.5;
// Fraction of its part up to which a pool keeps idle connections. After a loss
// of power the endpoint counts the old connections for some more seconds; the
// rest, which exceeds the part of one host among sixteen in a zone, lets the
// restarted host or those that serve its workspaces connect.
constexpr double kKeptFraction = 0.92;
// Half of the weight is divided evenly among workspaces, since each needs a
// connection of its own, and half by their rate limits, since large ones run
// several statements at a time.
constexpr double kWeightOfHalf = 1e6;

std::size_t Fraction(std::size_t limit, double fraction) {
  return static_cast<std::size_t>(static_cast<double>(limit) * fraction);
}

}  // namespace

void PoolShares::Update(const limits::SeatView& seats) {
  const bool same = seats.counted == m_seats.counted &&
                    seats.zones == m_seats.zones &&
                    seats.pool_addresses == m_seats.pool_addresses &&
                    seats.held == m_seats.held;
  m_seats = seats;
  if (!same) m_parts.clear();
}

void PoolShares::Update(const Directory* before, const Directory& directory) {
  if (before != nullptr && SameWorkspaces(*before, directory) &&
      SameLimits(*before, directory) && SameEndpoints(*before, directory)) {
    return;
  }
  m_parts.clear();
}

const balance::ConnectionPart& PoolShares::PartOf(const Endpoint& endpoint,
                                                  const Directory& directory) {
  const auto known = m_parts.find(endpoint.id);
  if (known != m_parts.end()) return known->second;
  return m_parts.emplace(endpoint.id, Compute(endpoint, directory))
      .first->second;
}

balance::ConnectionPart PoolShares::Compute(const Endpoint& endpoint,
                                            const Directory& directory) const {
  balance::ConnectionPart part;
  const auto group = directory.groups.find(endpoint.group);
  if (group == directory.groups.end()) return part;
  const auto limit = group->second.max_connections;
  part.max = std::max<std::size_t>(Fraction(limit, kMaxFractionPerHost), 1);
  const auto seats = PoolSeats(endpoint.zone, m_seats, {}, Instant{});
  if (seats.empty()) {
    // The hosts are not known yet.
    part.held = part.max;
    part.kept = std::max<std::size_t>(Fraction(part.max, kKeptFraction), 1);
    return part;
  }
  double rates = 0;
  for (const auto& [name, workspace] : directory.workspaces) {
    rates += workspace.rate;
  }
  const auto count = static_cast<double>(directory.workspaces.size());
  std::vector<std::uint64_t> weights(seats.size(), 0);
  for (const auto& [name, workspace] : directory.workspaces) {
    const auto seat = ChoosePoolSeat(endpoint.id, name, seats);
    const auto index = std::find(seats.begin(), seats.end(), *seat);
    const double by_rate = rates > 0 ? workspace.rate / rates : 0;
    weights[static_cast<std::size_t>(index - seats.begin())] +=
        static_cast<std::uint64_t>(
            std::llround(kWeightOfHalf * (3 / count + by_rate)));
  }
  const auto held = balance::DivideByWeight(limit, weights);
  const auto kept =
      balance::DivideByWeight(Fraction(limit, kKeptFraction), weights);
  for (std::size_t i = 0; i < seats.size(); ++i) {
    if (!m_seats.Holds(seats[i])) continue;
    part.held += held[i];
    part.kept += kept[i];
  }
  return part;
}

}  // namespace tiller::relay
