// Encoding of claims as JSON.
#include "Fleet/claim_row.h"

#include "Common/json.h"

namespace tiller::fleet {

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
  return ToText(out);
}

std::optional<ClaimRow> DecodeClaim(const std::string& value) {
  const auto json = ParseJson(value);
  if (!json) return std::nullopt;
  const auto& row = json.value();
  return ClaimRow{
      StringOr(row, "holder"),
      UintOr(row, "token"),
      StoreTime(static_cast<StoreTime::rep>(UintOr(row, "claimed"))),
      BoolOr(row, "finished"),
      StringOr(row, "target"),
      BoolOr(row, "settled"),
      {UintOr(row, "acknowledged_term"), UintOr(row, "acknowledged_position")},
      UintOr(row, "era"),
      UintOr(row, "failed_before")};
}

}  // namespace tiller::fleet
