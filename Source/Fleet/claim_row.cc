// Encoding of claims as JSON.
#include "Fleet/claim_row.h"

#include "Common/json.h"

namespace tiller::fleet {
namespace {

constexpr char kUnanswered[] = "unanswered";
constexpr std::size_t kMaxEndpointIdLength = 256;

// Rows of older hosts have no such field.
void DecodeUnanswered(const Json::Value& row, ClaimRow* claim) {
  if (!row.isObject() || !row.isMember(kUnanswered)) return;
  const auto& entries = row[kUnanswered];
  if (!entries.isObject()) {
    ++claim->ignored_entries;
    return;
  }
  for (const auto& id : entries.getMemberNames()) {
    const auto& at = entries[id];
    if (id.empty() || id.size() > kMaxEndpointIdLength || !at.isInt64() ||
        at.asInt64() < 0 || claim->unanswered.size() >= kMaxUnanswered) {
      ++claim->ignored_entries;
      continue;
    }
    claim->unanswered[id] = StoreTime(at.asInt64());
  }
}

}  // namespace

std::string Encode(const ClaimRow& claim) {
  Json::Value out;
  out["holder"] = claim.holder;
  out["token"] = Json::UInt64(claim.token);
  out["claimed"] = Json::Int64(claim.claimed_at.count());
  out["finished"] = claim.finished;
  out["target"] = claim.target;
  out["settled"] = claim.settled;
  out["acknowledged_term"] = Json::UInt64(claim.acknowledged.term);
  out["acknowledged_position"] = Json::UInt64(claim.acknowledged.position);
  out["era"] = Json::UInt64(claim.era);
  out["failed_before"] = Json::UInt64(claim.failed_before);
  for (const auto& [id, at] : claim.unanswered) {
    if (out[kUnanswered].size() >= kMaxUnanswered) break;
    out[kUnanswered][id] = Json::Int64(at.count());
  }
  return ToText(out);
}

std::optional<ClaimRow> DecodeClaim(const std::string& value) {
  const auto json = ParseJson(value);
  if (!json) return std::nullopt;
  const auto& row = json.value();
  ClaimRow claim{
      StringOr(row, "holder"),
      UintOr(row, "token"),
      StoreTime(static_cast<StoreTime::rep>(UintOr(row, "claimed"))),
      BoolOr(row, "finished"),
      StringOr(row, "target"),
      BoolOr(row, "settled"),
      {UintOr(row, "acknowledged_term"), UintOr(row, "acknowledged_position")},
      UintOr(row, "era"),
      UintOr(row, "failed_before")};
  DecodeUnanswered(row, &claim);
  return claim;
}

}  // namespace tiller::fleet
