// Implementation of the fields of a line.
#include "Net/line_fields.h"

namespace tiller::net {

namespace {
constexpr char kSeparator = ' ';
constexpr std::string_view kLineEnd = "\r\n";
}  // namespace

bool IsField(std::string_view text) {
  return !text.empty() && text.find(kSeparator) == std::string_view::npos &&
         IsLastField(text);
}

bool IsLastField(std::string_view text) {
  return text.find(kLineEnd) == std::string_view::npos;
}

Result<std::string> EncodeLine(std::span<const std::string_view> fields,
                               std::string_view last_field,
                               std::size_t max_line_bytes) {
  std::string line;
  for (const auto field : fields) {
    if (!IsField(field)) {
      return MakeError(ErrorCode::kBadRequest,
                       "a field is empty or has a blank or a line end");
    }
    line += field;
    line += kSeparator;
  }
  if (!IsLastField(last_field)) {
    return MakeError(ErrorCode::kBadRequest, "the last field has a line end");
  }
  if (line.size() + last_field.size() > max_line_bytes) {
    return MakeError(ErrorCode::kTooLarge, "line too long");
  }
  line += last_field;
  line += kLineEnd;
  return line;
}

std::optional<std::string_view> TakeField(std::string_view* rest) {
  const auto separator = rest->find(kSeparator);
  if (separator == 0 || separator == std::string_view::npos) {
    return std::nullopt;
  }
  const auto field = rest->substr(0, separator);
  rest->remove_prefix(separator + 1);
  return field;
}

}  // namespace tiller::net
