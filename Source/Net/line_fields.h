// Fields of a line: a word and fields, separated by blanks. The last field
// extends to the end of the line.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "Common/error.h"

namespace tiller::net {

// Whether `text` can stand at any place of a line: it is not empty and has
// neither a blank nor CR LF.
bool IsField(std::string_view text);
// Whether `text` can be the last field of a line: it does not have CR LF.
bool IsLastField(std::string_view text);

// Encodes a line with its end. Fails if the receiver would split it at other
// places: with kBadRequest if one of `fields`, which precede the last field, is
// not a field, or if `last_field` has CR LF, and with kTooLarge if the line
// without its end is longer than `max_line_bytes`.
Result<std::string> EncodeLine(std::span<const std::string_view> fields,
                               std::string_view last_field,
                               std::size_t max_line_bytes);

// Removes a field that precedes the last one, and the blank after it, from
// `rest`. Returns nullopt if `rest` begins with a blank or has none.
std::optional<std::string_view> TakeField(std::string_view* rest);

}  // namespace tiller::net
