// The row by which a host claims the duty to report usage, with the texts of
// the reports that may have been sent and have no answer yet.
//
// Invariant: a window up to `newest` is reported with its stored text or not at
// all, since a report of it may have been sent.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "Fleet/fleet_messages.h"
#include "Metering/usage_messages.h"

namespace tiller::metering {

// Table and key of the only row.
inline constexpr char kUsageTable[] = "usage";
inline constexpr char kUsageKey[] = "duty";

struct UsageRow {
  HostId holder;
  std::uint64_t process = 0;  // random number of the holder's process
  std::uint64_t token = 0;
  fleet::StoreTime claimed_at{0};  // 0: the holder has given up the duty
  fleet::StoreEra era = 0;         // in which it was claimed
  WindowNumber newest = 0;
  Milliseconds clock_offset{0};  // true time minus the store's time
  std::map<WindowNumber, std::string> texts;
};

// Removes the oldest texts until the row is small enough for the store, and
// returns how many that were.
std::size_t DropExcessTexts(std::map<WindowNumber, std::string>* texts);
std::string Encode(const UsageRow& row);
// Returns nullopt if the value is unreadable.
std::optional<UsageRow> DecodeUsageRow(const std::string& value);

// The counts as JSON. The same counts always give the same text.
std::string TextOf(const Counts& counts);

}  // namespace tiller::metering
