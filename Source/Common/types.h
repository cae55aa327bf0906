// Identifiers and small value types shared by every module.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace tiller {

using HostId = std::string;  // one run of the daemon on one host
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

// A position in a group's replication log. Positions compare by term first,
// because a later term contains all acknowledged entries of earlier terms.
struct GroupPosition {
  Term term = 0;
  LogPosition position = 0;
  auto operator<=>(const GroupPosition&) const = default;
};
// As TERM.POSITION, for log lines.
inline std::string TextOf(const GroupPosition& position) {
  return std::to_string(position.term) + "." +
         std::to_string(position.position);
}

}  // namespace tiller
