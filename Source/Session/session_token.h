// The session token: the positions that a caller's next read must include. The
// caller sends the token with each request, so any host can enforce it.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "Common/error.h"
#include "Common/types.h"

namespace tiller::session {

// Highest position that a session has written or read in each database group.
struct SessionState {
  WorkspaceId workspace;
  std::map<GroupId, GroupPosition> seen;

  // The group's position; zero if the session has not used the group.
  GroupPosition LastSeenPosition(const GroupId& group) const;
  // Raises the group's position; a lower `position` is ignored.
  void Advance(const GroupId& group, GroupPosition position);
};

// Longest accepted token, in characters.
inline constexpr std::size_t kMaxTokenLength = 2048;
// Returns the token's text: a version byte, the state and a truncated
// HMAC-SHA256 over both, encoded in base64url.
std::string EncodeToken(const SessionState& state, std::string_view secret);

// Fails with kSessionInvalid if the token is malformed or forged, and with
// kSessionForeign if it is genuine but belongs to another workspace.
Result<SessionState> DecodeToken(std::string_view token,
                                 std::string_view secret,
                                 const WorkspaceId& workspace);

}  // namespace tiller::session
