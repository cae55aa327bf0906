// Structured logs: one line of key=value pairs for each event.
#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "Common/types.h"

namespace tiller::log {

enum class Channel {
  kDaemon,
  kTraffic,
  kFailover,
  kMembership,
  kConfig,
  kLimits,
  kPlatform,
  kEndpoint,
  kControl
};
inline constexpr std::array<std::string_view, 9> kChannelNames = {
    "daemon", "traffic",  "failover", "membership", "config",
    "limits", "platform", "endpoint", "control"};

enum class Level { kDebug, kInfo, kWarn, kError };
inline constexpr std::array<std::string_view, 4> kLevelNames = {
    "debug", "info", "warn", "error"};

using Field = std::pair<std::string_view, std::string>;

// Sends lines at `level` or above to standard output. Writing never waits: a
// line that the reader does not take is lost and counted, and beyond a budget
// a second only warnings and errors are written.
void Configure(Level level);
// Lines lost since the start, for metrics.
std::uint64_t LostLines();
void Event(Channel channel, Level level, std::string_view event,
           std::initializer_list<Field> fields = {});
// The line written for an event; values with spaces are quoted.
std::string FormatEvent(std::string_view event,
                        std::initializer_list<Field> fields);

// " key=value", as within a line.
std::string FormatField(std::string_view key, const std::string& value);
// Whole milliseconds, as the value of a field.
std::string MillisecondsText(Duration duration);
std::optional<Level> LevelNamed(std::string_view name);

}  // namespace tiller::log
