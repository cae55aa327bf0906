// Round trips, forgeries and foreign tokens.
#include "Session/session_token.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace tiller::session {
namespace {

constexpr char kSecret[] = "0123456789abcdef0123456789abcdef";

SessionState Sample() {
  SessionState state;
  state.workspace = "duluth";
  state.seen["g1"] = {3, 70'000};
  state.seen["g2"] = {1, 5};
  return state;
}

TEST(SessionToken, RoundTrips) {
  const auto token = EncodeToken(Sample(), kSecret);
  const auto decoded = DecodeToken(token, kSecret, "duluth");
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value().SeenIn("g1"), (GroupPosition{3, 70'000}));
  EXPECT_EQ(decoded.value().SeenIn("other"), GroupPosition{});
}

TEST(SessionToken, RefusesForeignWorkspace) {
  const auto decoded =
      DecodeToken(EncodeToken(Sample(), kSecret), kSecret, "erie");
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error().code, ErrorCode::kSessionForeign);
}

TEST(SessionToken, RefusesOtherSecret) {
  const auto decoded = DecodeToken(EncodeToken(Sample(), kSecret),
                                   std::string(32, 'x'), "duluth");
  ASSERT_FALSE(decoded);
  EXPECT_EQ(decoded.error().code, ErrorCode::kSessionInvalid);
}

TEST(SessionToken, RefusesEveryChangedOrCutToken) {
  const auto token = EncodeToken(Sample(), kSecret);
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

TEST(SessionToken, NeverMovesBack) {
  auto state = Sample();
  state.Advance("g1", {2, 99'999});
  EXPECT_EQ(state.SeenIn("g1"), (GroupPosition{3, 70'000}));
  state.Advance("g1", {4, 1});
  EXPECT_EQ(state.SeenIn("g1"), (GroupPosition{4, 1}));
}

}  // namespace
}  // namespace tiller::session
