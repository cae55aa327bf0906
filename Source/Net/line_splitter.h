// Splits a stream of bytes into lines that end in CR LF. A CR or LF on its own
// is data.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Common/error.h"

namespace tiller::net {

class LineSplitter {
 public:
  // A line may have `max_line_bytes` without its end.
  explicit LineSplitter(std::size_t max_line_bytes)
      : m_max_line_bytes(max_line_bytes) {}

  void Append(std::string_view bytes);
  // The next line without its end, or nullopt if its end has not been received
  // yet. Valid until the next call of any function that is not const. Fails
  // with kTooLarge, from then on each time, at a line that is too long.
  Result<std::optional<std::string_view>> Next();

  // Discards what has not been returned yet.
  void Clear();
  // Memory of the buffer.
  std::size_t BufferBytes() const { return m_buffer.capacity(); }
  // Offset in the received bytes at which the line begins whose end has not
  // been received yet, if any of it has. Valid after Next() returned nullopt.
  std::optional<std::uint64_t> UnfinishedLine() const;

  std::uint64_t ReceivedBytes() const { return m_received_bytes; }
  // Offset in the received bytes at which the line that Next() returned begins.
  std::uint64_t LineStart() const { return m_line_start; }

 private:
  void RemoveReturnedLines();
  void Reserve(std::size_t bytes);

  const std::size_t m_max_line_bytes;
  // The last bytes received. It holds at most one line that is not complete.
  std::string m_buffer;
  std::size_t m_next_line = 0;  // begin of the line that Next() returns
  // No line end begins in [m_next_line, m_searched); m_next_line <= m_searched
  // <= m_buffer.size().
  std::size_t m_searched = 0;
  std::uint64_t m_received_bytes = 0;
  std::uint64_t m_line_start = 0;
};

}  // namespace tiller::net
