// What this host has learned of one endpoint from its own exchanges.
#pragma once

#include <optional>

#include "Common/types.h"

namespace tiller::relay {

class EndpointHealth {
 public:
  // A whole answer arrived.
  void Heard(Instant now);
  // A read or write took this long to be answered.
  void Answered(Duration took);
  // A connection attempt or an exchange got no answer.
  void Silent(Instant now);
  // It refused because it was full.
  void Full(Instant now);
  // A replica's log position, and when the primary was first known to be
  // above it; nothing if it holds all that is known.
  void Position(GroupPosition position, std::optional<Instant> passed,
                Instant now);
  // It lacked a position that the primary held `age` ago.
  void Lagged(Duration age);

  // Nothing new should be sent while this holds.
  bool Avoided(Instant now) const { return now < m_avoid_until; }
  bool RefusesConnections(Instant now) const { return now < m_full_until; }
  // Shorter: a host below its share asks again sooner.
  bool RefusedJustNow(Instant now) const { return now < m_refused_until; }
  void ConnectionLimitReached(Instant now);

  Duration ResponseTime() const { return m_response; }
  // How far the log trails the primary, as last observed.
  Duration Lag() const { return m_lag; }
  std::optional<GroupPosition> Known() const { return m_position; }
  Instant LastHeard() const { return m_heard; }
  int Failures() const { return m_failures; }

 private:
  Instant m_heard{};
  Instant m_avoid_until{};
  Instant m_full_until{};
  Instant m_refused_until{};
  // Consecutive exchanges without an answer; 0 after any answer.
  int m_failures = 0;
  // Moving mean.
  Duration m_response = Milliseconds(10);
  Duration m_lag{};
  std::optional<GroupPosition> m_position;
};

}  // namespace tiller::relay
