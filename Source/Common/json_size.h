// Bound on the number of values in a JSON text, taken before it is parsed. A
// parsed value takes many times the bytes of its text, so that one message of
// the largest size could use more memory than a small machine has.
#pragma once

#include <cstddef>
#include <string>

namespace tiller {

// A parsed value takes 100 bytes or more, so these take 10 MB. The largest
// messages between hosts, configurations of up to 1 MiB, have 98,000 (measured
// with one of 1,500 workspaces: 33,085 in 354 KB).
inline constexpr std::size_t kMaxJsonValues = 100'000;

// At least the number of values and members in `text` without one; exact for
// well-formed texts without empty arrays and objects.
inline std::size_t JsonValueBound(const std::string& text) {
  std::size_t count = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
      continue;
    }
    in_string = c == '"';
    if (c == ',' || c == ':' || c == '[' || c == '{') ++count;
  }
  return count;
}

}  // namespace tiller
