// Tests of the group protocol: fences, promotion, divergent logs and
// confirmation by a majority.
#include "StandIn/group_member.h"

#include <gtest/gtest.h>

namespace tiller::standin {
namespace {

class GroupMemberTest : public testing::Test {
 protected:
  GroupMemberTest() {
    for (auto* member : {&m_a, &m_b, &m_c}) EXPECT_TRUE(member->Fence(1, "h"));
    EXPECT_TRUE(m_a.Promote(1, "h"));
    for (auto* member : {&m_b, &m_c}) {
      EXPECT_TRUE(member->Follow(1, "h", "a:1"));
      Pull(member, &m_a);
    }
  }
  static bool Pull(GroupMember* replica, GroupMember* primary) {
    const auto reply = primary->HandlePull(replica->MakePull(), 100);
    if (!reply || !replica->ApplyPull(reply.value())) return false;
    return primary->HandlePull(replica->MakePull(), 100).has_value();
  }
  void PromoteB(Term term) {
    for (auto* member : {&m_b, &m_c}) EXPECT_TRUE(member->Fence(term, "h"));
    EXPECT_TRUE(m_b.Promote(term, "h"));
    EXPECT_TRUE(m_c.Follow(term, "h", "b:1"));
    Pull(&m_c, &m_b);
  }
  GroupMember m_a{"a", 3};
  GroupMember m_b{"b", 3};
  GroupMember m_c{"c", 3};
};

TEST_F(GroupMemberTest, TermIsPromisedToOneOwnerOnly) {
  EXPECT_TRUE(m_b.Fence(5, "x"));
  EXPECT_TRUE(m_b.Fence(5, "x"));
  EXPECT_FALSE(m_b.Fence(5, "y"));
  EXPECT_FALSE(m_b.Fence(4, "x"));
  EXPECT_FALSE(m_b.Promote(5, "y"));
}

TEST_F(GroupMemberTest, WriteIsConfirmedOnlyByMajority) {
  const auto position = m_a.Append("w");
  const auto barrier = m_a.StartBarrier();
  EXPECT_FALSE(m_a.IsConfirmed(position, barrier));
  Pull(&m_b, &m_a);
  EXPECT_TRUE(m_a.IsConfirmed(position, barrier));
}

TEST_F(GroupMemberTest, FencedPrimaryRefusesToConfirmAndAppend) {
  const auto position = m_a.Append("w");
  Pull(&m_b, &m_a);
  EXPECT_TRUE(m_a.Fence(2, "h"));
  EXPECT_FALSE(m_a.IsConfirmed(position, 0));
  EXPECT_FALSE(m_a.CheckPrimary(1));
}

TEST_F(GroupMemberTest, ReplicasOfLaterTermDoNotConfirmWritesOfOldPrimary) {
  const auto position = m_a.Append("w");
  PromoteB(2);
  Pull(&m_b, &m_a);
  Pull(&m_c, &m_a);
  EXPECT_FALSE(m_a.IsConfirmed(position, m_a.StartBarrier()));
}

TEST_F(GroupMemberTest, OldPrimaryDiscardsUnconfirmedEntries) {
  m_a.Append("kept");
  Pull(&m_b, &m_a);
  Pull(&m_c, &m_a);
  m_a.Append("lost-1");
  m_a.Append("lost-2");
  PromoteB(2);
  m_b.Append("new");
  EXPECT_TRUE(m_a.Follow(2, "h", "b:1"));
  EXPECT_TRUE(Pull(&m_a, &m_b));
  ASSERT_EQ(m_a.Received(), 2U);
  EXPECT_EQ(m_a.State().log[1].payload, "new");
  EXPECT_EQ(m_a.State().discarded, 2U);
}

TEST_F(GroupMemberTest, ReplicaAdoptsNewTermOnlyWithItsWholePrefix) {
  for (int i = 0; i < 5; ++i) m_a.Append("w");
  Pull(&m_b, &m_a);
  PromoteB(2);
  // c follows term 2 but has received only 2 of the 5 entries from before its
  // start. It must not report term 2 yet, because a log's term counts before
  // its length when a promotion compares logs.
  GroupMember c("c", 3);
  EXPECT_TRUE(c.Follow(2, "h", "b:1"));
  const auto reply = m_b.HandlePull(c.MakePull(), 2);
  ASSERT_TRUE(reply);
  ASSERT_TRUE(c.ApplyPull(reply.value()));
  EXPECT_EQ(c.Received(), 2U);
  EXPECT_EQ(c.State().term, 0U);
}

TEST_F(GroupMemberTest, ReplyToOlderRequestIsNotApplied) {
  m_a.Append("1");
  const auto old_reply = m_a.HandlePull(m_b.MakePull(), 100);
  m_a.Append("2");
  Pull(&m_b, &m_a);
  ASSERT_TRUE(old_reply);
  EXPECT_FALSE(m_b.ApplyPull(old_reply.value()));
  EXPECT_EQ(m_b.Received(), 2U);
}

TEST_F(GroupMemberTest, RestartedPrimaryCannotResumeItsTerm) {
  m_a.Restore(m_a.State());
  EXPECT_FALSE(m_a.IsPrimary());
  EXPECT_FALSE(m_a.Promote(1, "h"));
}

}  // namespace
}  // namespace tiller::standin
