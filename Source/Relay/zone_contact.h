// Contact of this host with endpoints of other availability zones.
//
// Hosts outside a zone that is cut off may replace a primary in it. They cannot
// tell the hosts inside, so those have to notice that they hear nothing from
// outside, and stop writing before the primary can have been replaced.
#pragma once

#include <optional>

#include "Common/types.h"

namespace tiller::relay {

class ZoneContact {
 public:
  // A statement was sent to an endpoint of another zone.
  void RecordSent(Instant now) {
    if (!m_unanswered_since) m_unanswered_since = now;
  }
  // An endpoint of another zone has answered.
  void RecordAnswer(Instant now) {
    m_unanswered_since.reset();
    m_last_answer = now;
  }

  // How long statements have been unanswered, without any answer from another
  // zone; zero if none is.
  Duration SilentFor(Instant now) const {
    return m_unanswered_since ? now - *m_unanswered_since : Duration{};
  }
  Instant LastAnswer() const { return m_last_answer; }

 private:
  std::optional<Instant> m_unanswered_since;
  Instant m_last_answer{};
};

}  // namespace tiller::relay
