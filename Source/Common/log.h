// Structured logging: one line of key=value pairs for each event.
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

// Writes events at `level` or above to standard output. Writing never blocks: a
// line that the pipe or file can't accept at once is dropped and counted. Above
// limits of lines per second, only warnings and errors are written; lines of
// the channels kTraffic and kEndpoint have one limit, all others another one.
void Configure(Level level);
// Number of lines dropped since the process started, for metrics.
std::uint64_t DroppedLines();
void Event(Channel channel, Level level, std::string_view event,
           std::initializer_list<Field> fields = {});
// Returns the line that Event() writes. Values that are empty or contain
// anything but printable ASCII characters without spaces, quotes, '=' and
// backslashes are quoted. In quoted values a backslash precedes quotes and
// backslashes, and other bytes than printable ASCII are written as \xNN. Long
// values are cut off, and their size is added.
std::string FormatEvent(std::string_view event,
                        std::initializer_list<Field> fields);

// Returns " key=value", the form of a field within a line.
std::string FormatField(std::string_view key, const std::string& value);
// Returns `duration` in whole milliseconds, as the value of a field.
std::string MillisecondsText(Duration duration);
// Returns the level with this name, or nullopt if there is none.
std::optional<Level> LevelNamed(std::string_view name);

}  // namespace tiller::log
