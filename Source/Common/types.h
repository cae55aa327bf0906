// Identifiers and small value types shared by every module.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace tiller {

using HostId = std::string;  // one incarnation of one entry daemon
using ZoneId = std::string;  // availability zone
using WorkspaceId = std::string;
using GroupId = std::string;  // database group
using EndpointId = std::string;

using Term = std::uint64_t;
using LogPosition = std::uint64_t;

using Duration = std::chrono::steady_clock::duration;
using Instant = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

// A point in a group's history. Positions of different terms compare by term
// first: a later term holds every acknowledged entry of an earlier one.
struct GroupPosition {
  Term term = 0;
  LogPosition position = 0;
  auto operator<=>(const GroupPosition&) const = default;
};

}  // namespace tiller
