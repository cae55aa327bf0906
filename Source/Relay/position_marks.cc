// Implementation of the marks.
#include "Relay/position_marks.h"

#include <algorithm>

namespace tiller::relay {
namespace {

// Marks closer together add nothing to a choice among bounds of seconds.
constexpr Milliseconds kSpacing{25};
// Longer than any staleness bound in use; older marks prove nothing useful.
constexpr std::chrono::seconds kKept{30};

}  // namespace

void PositionMarks::Add(Instant sent, GroupPosition position) {
  if (!m_marks.empty()) {
    auto& last = m_marks.back();
    if (sent <= last.at) return;
    // An answer that was overtaken by a later one proves less.
    if (position < last.position) return;
    const bool crowded = m_marks.size() > 1 &&
                         last.at - m_marks[m_marks.size() - 2].at < kSpacing;
    if (crowded && position == last.position) {
      last.at = sent;
      return;
    }
  }
  m_marks.push_back({sent, position});
  while (sent - m_marks.front().at > kKept) m_marks.pop_front();
}

std::optional<GroupPosition> PositionMarks::AtLeast(Instant instant) const {
  const auto it = std::lower_bound(
      m_marks.begin(), m_marks.end(), instant,
      [](const Mark& mark, Instant at) { return mark.at < at; });
  if (it == m_marks.end()) return std::nullopt;
  return it->position;
}

std::optional<Instant> PositionMarks::FirstSeen(GroupPosition position) const {
  const auto it = std::lower_bound(
      m_marks.begin(), m_marks.end(), position,
      [](const Mark& mark, GroupPosition at) { return mark.position < at; });
  if (it == m_marks.end()) return std::nullopt;
  return it->at;
}

std::optional<Instant> PositionMarks::FirstAbove(GroupPosition position) const {
  const auto it = std::upper_bound(
      m_marks.begin(), m_marks.end(), position,
      [](GroupPosition at, const Mark& mark) { return at < mark.position; });
  if (it == m_marks.end()) return std::nullopt;
  return it->at;
}

std::optional<Instant> PositionMarks::Newest() const {
  if (m_marks.empty()) return std::nullopt;
  return m_marks.back().at;
}

}  // namespace tiller::relay
