// Encoding of the usage row as JSON.
#include "Metering/usage_row.h"

#include <charconv>

#include "Common/json.h"

namespace tiller::metering {
namespace {

// Of the 65,536 bytes of a value; escaped quotes double some of the text.
constexpr std::size_t kMaxTextBytes = 48'000;

std::size_t EncodedSize(const std::string& text) {
  std::size_t size = text.size();
  for (const char c : text) size += c == '"' || c == '\\' ? 1 : 0;
  return size;
}

}  // namespace

std::size_t DropExcessTexts(std::map<WindowNumber, std::string>* texts) {
  std::size_t bytes = 0;
  for (const auto& [window, text] : *texts) bytes += EncodedSize(text);
  std::size_t dropped = 0;
  while (!texts->empty() && bytes > kMaxTextBytes) {
    bytes -= EncodedSize(texts->begin()->second);
    texts->erase(texts->begin());
    ++dropped;
  }
  return dropped;
}

std::string Encode(const UsageRow& row) {
  Json::Value out;
  out["holder"] = row.holder;
  out["process"] = Json::UInt64(row.process);
  out["token"] = Json::UInt64(row.token);
  out["claimed"] = Json::Int64(row.claimed_at.count());
  out["era"] = Json::UInt64(row.era);
  out["newest"] = Json::UInt64(row.newest);
  out["clock_offset"] = Json::Int64(row.clock_offset.count());
  for (const auto& [window, text] : row.texts) {
    out["texts"][std::to_string(window)] = text;
  }
  return ToText(out);
}

std::optional<UsageRow> DecodeUsageRow(const std::string& value) {
  const auto json = ParseJson(value);
  if (!json || !json.value().isObject()) return std::nullopt;
  const auto& in = json.value();
  UsageRow row;
  row.holder = StringOr(in, "holder");
  row.process = UintOr(in, "process");
  row.token = UintOr(in, "token");
  row.claimed_at = fleet::StoreTime(IntOr(in, "claimed"));
  row.era = UintOr(in, "era");
  row.newest = UintOr(in, "newest");
  row.clock_offset = Milliseconds(IntOr(in, "clock_offset"));
  const auto& texts = in["texts"];
  if (!texts.isObject()) return row;
  for (const auto& key : texts.getMemberNames()) {
    WindowNumber window = 0;
    const auto* end = key.data() + key.size();
    const auto parsed = std::from_chars(key.data(), end, window);
    if (parsed.ec != std::errc() || parsed.ptr != end) continue;
    if (texts[key].isString()) row.texts[window] = texts[key].asString();
  }
  return row;
}

std::string TextOf(const Counts& counts) {
  Json::Value out(Json::objectValue);
  for (const auto& [workspace, count] : counts) {
    out[workspace] = Json::UInt64(count);
  }
  return ToText(out);
}

}  // namespace tiller::metering
