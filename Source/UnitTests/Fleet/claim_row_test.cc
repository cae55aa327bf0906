// Tests of the encoding of claims.
#include "Fleet/claim_row.h"

#include <gtest/gtest.h>

#include <string>

namespace tiller::fleet {
namespace {

ClaimRow ClaimWithUnanswered(std::size_t count) {
  ClaimRow claim;
  claim.holder = "h1";
  claim.token = 7;
  claim.claimed_at = StoreTime(1'000);
  claim.failed_before = 2;
  for (std::size_t i = 0; i < count; ++i) {
    claim.unanswered["e" + std::to_string(i)] =
        StoreTime(static_cast<StoreTime::rep>(1'000 + i));
  }
  return claim;
}

TEST(ClaimRow, NamesTheReplicasThatDidNotAnswer) {
  const auto claim = ClaimWithUnanswered(3);
  const auto decoded = DecodeClaim(Encode(claim));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->holder, "h1");
  EXPECT_EQ(decoded->token, 7U);
  EXPECT_EQ(decoded->unanswered, claim.unanswered);
  EXPECT_EQ(decoded->ignored_entries, 0U);
}

TEST(ClaimRow, NamesNoMoreThanItsLimit) {
  const auto decoded = DecodeClaim(Encode(ClaimWithUnanswered(100)));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->unanswered.size(), kMaxUnanswered);
}

TEST(ClaimRow, RowsOfOlderHostsAreReadable) {
  const auto text = Encode(ClaimWithUnanswered(0));
  EXPECT_EQ(text.find("unanswered"), std::string::npos);
  const auto decoded = DecodeClaim(text);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->token, 7U);
  EXPECT_TRUE(decoded->unanswered.empty());
  EXPECT_EQ(decoded->ignored_entries, 0U);
}

// The rest of the row counts: without its token, another claim could be made
// under the same one.
TEST(ClaimRow, UnreadableEntriesAreLeftOut) {
  const auto decode = [](const std::string& unanswered) {
    return DecodeClaim(R"({"holder":"h1","token":7,"unanswered":)" +
                       unanswered + "}");
  };
  for (const auto* wrong : {"1", "null", "\"e1\"", "[\"e1\"]"}) {
    const auto claim = decode(wrong);
    ASSERT_TRUE(claim) << wrong;
    EXPECT_EQ(claim->token, 7U);
    EXPECT_TRUE(claim->unanswered.empty());
    EXPECT_EQ(claim->ignored_entries, 1U) << wrong;
  }
  const auto claim = decode(
      R"({"e1":5,"e2":"5","e3":-1,"e4":1.5,"e5":18446744073709551615,"":5})");
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->unanswered.size(), 1U);
  EXPECT_EQ(claim->unanswered.count("e1"), 1U);
  EXPECT_EQ(claim->ignored_entries, 5U);
  std::string many = "{";
  for (int i = 0; i < 100; ++i) {
    many += (i > 0 ? ",\"e" : "\"e") + std::to_string(i) + "\":5";
  }
  const auto long_claim = decode(many + "}");
  ASSERT_TRUE(long_claim);
  EXPECT_EQ(long_claim->unanswered.size(), kMaxUnanswered);
  EXPECT_EQ(long_claim->ignored_entries, 100 - kMaxUnanswered);
  EXPECT_TRUE(DecodeClaim("[1]"));
}

}  // namespace
}  // namespace tiller::fleet
