// Tests of the session token: round trips, forged tokens and tokens of another
// workspace.
#include "Session/session_token.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace tiller::session {
namespace {

constexpr char kSecret[] = "0123456789abcdef0123456789abcdef";

SessionState SampleState() {
  SessionState state;
  state.workspace = "duluth";
  state.seen["g1"] = {3, 70'000};
  state.seen["g2"] = {1, 5};
  return state;
}

TEST(SessionToken, RoundTrips) {
  const auto token = EncodeToken(SampleState(), kSecret);
  const auto decoded = DecodeToken(token, kSecret, "duluth");
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value().LastSeenPosition("g1"), (GroupPosition{3, 70'000}));
  EXPECT_EQ(decoded.value().LastSeenPosition("other"), GroupPosition{});
}

TEST(SessionToken, RefusesTokenOfAnotherWorkspace) {
  const auto decoded =
      DecodeToken(EncodeToken(SampleState(), kSecret), kSecret, "erie");
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error().code, ErrorCode::kSessionForeign);
}

TEST(SessionToken, RefusesTokenSignedWithAnotherSecret) {
  const auto decoded = DecodeToken(EncodeToken(SampleState(), kSecret),
                                   std::string(32, 'x'), "duluth");
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error().code, ErrorCode::kSessionInvalid);
}

TEST(SessionToken, RefusesChangedOrTruncatedToken) {
  const auto token = EncodeToken(SampleState(), kSecret);
  EXPECT_TRUE(rc::check("no changed token is accepted", [&] {
    auto changed = token;
    const auto at = *rc::gen::inRange<std::size_t>(0, token.size() - 1);
    const char other = *rc::gen::elementOf(std::string("ABCxyz019-_=~\n"));
    RC_PRE(changed[at] != other);
    changed[at] = other;
    RC_ASSERT(!DecodeToken(changed, kSecret, "duluth"));
    RC_ASSERT(!DecodeToken(token.substr(0, at), kSecret, "duluth"));
  }));
}

TEST(SessionToken, PositionNeverMovesBack) {
  auto state = SampleState();
  state.Advance("g1", {2, 99'999});
  EXPECT_EQ(state.LastSeenPosition("g1"), (GroupPosition{3, 70'000}));
  state.Advance("g1", {4, 1});
  EXPECT_EQ(state.LastSeenPosition("g1"), (GroupPosition{4, 1}));
}

}  // namespace
}  // namespace tiller::session
