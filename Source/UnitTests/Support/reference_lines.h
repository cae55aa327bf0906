// Lines and fields as the protocol page describes them, independent of the code
// under test.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace tiller::test {

struct ReferenceLines {
  std::vector<std::string> lines;
  std::vector<std::uint64_t> starts;  // offsets of the lines
  std::string rest;                   // bytes after the last line end
  bool too_long = false;
  bool operator==(const ReferenceLines&) const = default;
};

// A line ends at CR LF and may have `limit` bytes without it.
inline ReferenceLines SplitByThePage(const std::string& bytes,
                                     std::size_t limit) {
  ReferenceLines out;
  std::string line;
  std::size_t start = 0;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    line += bytes[i];
    if (bytes[i] == '\n' && line.size() > 1 && line[line.size() - 2] == '\r') {
      line.resize(line.size() - 2);
      out.lines.push_back(std::exchange(line, {}));
      out.starts.push_back(std::exchange(start, i + 1));
      continue;
    }
    // One byte more than the limit can still be the CR of the end.
    const bool may_end = line.size() == limit + 1 && bytes[i] == '\r';
    if (line.size() <= limit || may_end) continue;
    out.too_long = true;
    return out;
  }
  out.rest = line;
  return out;
}

inline std::string JoinByThePage(const std::vector<std::string>& fields) {
  std::string line;
  for (const auto& field : fields) line += (line.empty() ? "" : " ") + field;
  return line;
}

// Whether a receiver that knows the number of fields reads them back: all but
// the last end at the next blank and are not empty.
inline bool Representable(const std::vector<std::string>& fields,
                          std::size_t limit) {
  const auto line = JoinByThePage(fields);
  const auto split = SplitByThePage(line + "\r\n", limit);
  if (split.lines != std::vector<std::string>{line}) return false;
  std::size_t begin = 0;
  for (std::size_t i = 0; i + 1 < fields.size(); ++i) {
    const auto end = line.find(' ', begin);
    const auto field = line.substr(begin, end - begin);
    if (field != fields[i] || field.empty()) return false;
    begin = end + 1;
  }
  return line.substr(begin) == fields.back();
}

}  // namespace tiller::test
