// Implementation of the position watermarks.
#include "Relay/position_watermarks.h"

#include <algorithm>

namespace tiller::relay {
namespace {

// Staleness bounds are seconds long, so watermarks that are closer together
// would not improve the result.
constexpr Milliseconds kMinSpacing{25};
// Longer than any staleness bound in use. Older watermarks are never needed.
constexpr std::chrono::seconds kRetention{30};

}  // namespace

void PositionWatermarks::Add(Instant sent, GroupPosition position) {
  if (!m_watermarks.empty()) {
    auto& last = m_watermarks.back();
    if (sent <= last.at) return;
    // A lower position proves less than the last watermark: the answer was
    // overtaken by a later one.
    if (position < last.position) return;
    const bool crowded =
        m_watermarks.size() > 1 &&
        last.at - m_watermarks[m_watermarks.size() - 2].at < kMinSpacing;
    if (crowded && position == last.position) {
      last.at = sent;
      return;
    }
  }
  m_watermarks.push_back({sent, position});
  while (sent - m_watermarks.front().at > kRetention) m_watermarks.pop_front();
}

std::optional<GroupPosition> PositionWatermarks::CoveringPosition(
    Instant instant) const {
  const auto it = std::lower_bound(
      m_watermarks.begin(), m_watermarks.end(), instant,
      [](const Watermark& watermark, Instant at) { return watermark.at < at; });
  if (it == m_watermarks.end()) return std::nullopt;
  return it->position;
}

std::optional<Instant> PositionWatermarks::FirstSeen(
    GroupPosition position) const {
  const auto it =
      std::lower_bound(m_watermarks.begin(), m_watermarks.end(), position,
                       [](const Watermark& watermark, GroupPosition at) {
                         return watermark.position < at;
                       });
  if (it == m_watermarks.end()) return std::nullopt;
  return it->at;
}

std::optional<Instant> PositionWatermarks::FirstAbove(
    GroupPosition position) const {
  const auto it =
      std::upper_bound(m_watermarks.begin(), m_watermarks.end(), position,
                       [](GroupPosition at, const Watermark& watermark) {
                         return at < watermark.position;
                       });
  if (it == m_watermarks.end()) return std::nullopt;
  return it->at;
}

std::optional<Instant> PositionWatermarks::NewestTime() const {
  if (m_watermarks.empty()) return std::nullopt;
  return m_watermarks.back().at;
}

}  // namespace tiller::relay
