// Implementation of the line splitter.
#include "Net/line_splitter.h"

#include <algorithm>

namespace tiller::net {

namespace {
constexpr std::string_view kLineEnd = "\r\n";
// Largest buffer that is kept allocated while it is empty.
constexpr std::size_t kMaxIdleBufferBytes = 1024;
// A larger part of a buffer than this is given back once its lines are gone.
constexpr std::size_t kMaxUnusedFactor = 4;
}  // namespace

void LineSplitter::Append(std::string_view bytes) {
  RemoveReturnedLines();
  Reserve(m_buffer.size() + bytes.size());
  m_buffer += bytes;
  m_received_bytes += bytes.size();
}

Result<std::optional<std::string_view>> LineSplitter::Next() {
  const std::string_view buffer = m_buffer;
  const auto end = buffer.find(kLineEnd, m_searched);
  const bool complete = end != std::string_view::npos;
  // The last byte may be the first one of a line end.
  const bool end_begun = !complete && buffer.ends_with(kLineEnd.front());
  const auto line_end = complete ? end : buffer.size() - (end_begun ? 1U : 0U);
  if (line_end - m_next_line > m_max_line_bytes) {
    return MakeError(ErrorCode::kTooLarge, "line too long");
  }
  m_searched = line_end;
  if (!complete) {
    RemoveReturnedLines();
    return std::optional<std::string_view>();
  }
  const auto line = buffer.substr(m_next_line, line_end - m_next_line);
  m_line_start = m_received_bytes - buffer.size() + m_next_line;
  m_next_line = m_searched = line_end + kLineEnd.size();
  return std::optional(line);
}

// Grows the buffer by doubling, but not beyond a line and what was read with
// it: the buffers of many long lines are most of a process's memory.
void LineSplitter::Reserve(std::size_t bytes) {
  if (bytes <= m_buffer.capacity()) return;
  const auto longest = m_max_line_bytes + kLineEnd.size();
  m_buffer.reserve(std::max(bytes, std::min(2 * m_buffer.capacity(), longest)));
}

void LineSplitter::RemoveReturnedLines() {
  if (m_next_line == 0 && !m_buffer.empty()) return;
  m_buffer.erase(0, m_next_line);
  m_searched -= m_next_line;
  m_next_line = 0;
  if (m_buffer.capacity() <= kMaxIdleBufferBytes) return;
  if (m_buffer.size() < m_buffer.capacity() / kMaxUnusedFactor)
    std::string(m_buffer).swap(m_buffer);
}

void LineSplitter::Clear() {
  m_next_line = m_searched = 0;
  std::string().swap(m_buffer);
}

std::optional<std::uint64_t> LineSplitter::UnfinishedLine() const {
  if (m_buffer.size() == m_next_line) return std::nullopt;
  return m_received_bytes - m_buffer.size() + m_next_line;
}

}  // namespace tiller::net
