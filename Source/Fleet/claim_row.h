// The row by which a host claims the right to replace the primary of a group.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Fleet/fleet_messages.h"

namespace tiller::fleet {

// Table of the claims; the keys are groups.
inline constexpr char kClaimTable[] = "primaries";
// A claim names no more endpoints than this.
inline constexpr std::size_t kMaxUnanswered = 16;

// More than the claims of a row in one era of the store.
inline constexpr std::uint64_t kTokensPerEra = 1'000'000;
// The token of the next claim, above all that were given out in this era and in
// older ones. `newest` is that of the last claim that is known.
constexpr std::uint64_t NextToken(std::uint64_t newest, StoreEra era) {
  return std::max(newest, era * kTokensPerEra) + 1;
}

struct ClaimRow {
  HostId holder;
  std::uint64_t token = 0;
  StoreTime claimed_at{0};
  bool finished = false;
  // The endpoint to be promoted; if finished, it was promoted. Empty: none.
  EndpointId target;
  // The platform has answered a promotion under this token, so it refuses all
  // promotions under older ones.
  bool settled = false;
  GroupPosition acknowledged;  // as known to the hosts that have held it
  StoreEra era = 0;            // in which it was made
  // Claims of the group since the last one that was finished with a promotion.
  std::uint64_t failed_before = 0;
  // Listed replicas that did not answer the attempt, and when that was.
  std::map<EndpointId, StoreTime> unanswered{};
  // Entries of a stored row that were left out. Not stored.
  std::size_t ignored_entries = 0;
};

std::string Encode(const ClaimRow& claim);
// Returns nullopt if the value is unreadable.
std::optional<ClaimRow> DecodeClaim(const std::string& value);

}  // namespace tiller::fleet
