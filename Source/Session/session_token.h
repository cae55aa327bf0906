// The session token: what a caller must see on its next read, carried by the
// caller itself so that any host can honour it.
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "Common/error.h"
#include "Common/types.h"

namespace tiller::session {

// Highest position a session has written or read, per database group.
struct SessionState {
  WorkspaceId workspace;
  std::map<GroupId, GroupPosition> seen;

  GroupPosition SeenIn(const GroupId& group) const;
  // Never moves backwards.
  void Advance(const GroupId& group, GroupPosition position);
};

// Text of at most kMaxTokenLength characters: a version byte, the state and a
// truncated HMAC-SHA256 over both, in base64url.
inline constexpr std::size_t kMaxTokenLength = 2048;
std::string EncodeToken(const SessionState& state, std::string_view secret);

// Fails with kSessionInvalid on a malformed or forged token, and with
// kSessionForeign on a genuine one of another workspace.
Result<SessionState> DecodeToken(std::string_view token,
                                 std::string_view secret,
                                 const WorkspaceId& workspace);

}  // namespace tiller::session
