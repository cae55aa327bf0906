// Tests of the parsing of socket addresses.
#include "Net/socket_address.h"

#include <gtest/gtest.h>

namespace tiller::net {
namespace {

TEST(SocketAddress, HasANumericAddressAndAPort) {
  const auto v4 = ParseAddress("127.0.0.1:80");
  ASSERT_TRUE(v4);
  EXPECT_EQ(v4.value().address().to_string(), "127.0.0.1");
  EXPECT_EQ(v4.value().port(), 80);
  const auto v6 = ParseAddress("::1:65535");
  ASSERT_TRUE(v6);
  EXPECT_TRUE(v6.value().address().is_v6());
  EXPECT_EQ(v6.value().port(), 65535);
}

TEST(SocketAddress, AnythingElseIsInvalid) {
  for (const auto* text :
       {"", ":", ":80", "80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
        "127.0.0.1:80x", "127.0.0.1:-80", "127.0.0.1:65536", "localhost:80"}) {
    const auto parsed = ParseAddress(text);
    ASSERT_FALSE(parsed) << text;
    EXPECT_EQ(parsed.error().code, ErrorCode::kSettingInvalid);
  }
}

}  // namespace
}  // namespace tiller::net
