// Tests of the relay: commits while the primary of their group is replaced, and
// those that a zone which is cut off may have acknowledged by itself.
#include <gtest/gtest.h>

#include "UnitTests/Support/relay_bench.h"

namespace tiller::relay {
namespace {

class CommitHold : public testing::Test {
 protected:
  CommitHold() : m_directory(m_bench.MakeDirectory()) {
    m_directory.groups.at("g").synchronous = true;
    m_bench.Publish(m_directory);
  }
  // Lists `id` as the primary; empty: none.
  void ListPrimary(const EndpointId& id) {
    m_directory.groups.at("g").primary = id;
    for (auto& [name, endpoint] : m_directory.endpoints) {
      endpoint.primary = name == id;
    }
    m_bench.Publish(m_directory);
  }
  SessionId SubmitWrite() {
    const auto session = m_bench.Open("strict");
    m_bench.Submit(session, Verb::kWrite, "WRITE a 1");
    return session;
  }
  void CompleteAll() {
    while (!m_bench.PendingStatements().empty()) m_bench.CompleteNext();
  }
  bool WriteIsSent(const EndpointId& endpoint) {
    for (const auto& pending : m_bench.PendingStatements()) {
      if (pending.endpoint != endpoint) continue;
      if (pending.statement.statement.verb == Verb::kWrite) return true;
    }
    return false;
  }

  RelayBench m_bench;
  Directory m_directory;
};

// The row of the old primary was missing for a while and came back while the
// promotion of another endpoint was pending. Hosts sent what had waited to the
// old primary and passed its commits on (issue 35).
TEST_F(CommitHold, LastsWhileTheOldPrimaryIsListedAgain) {
  ListPrimary("");
  m_bench.Handle(HoldCommits{"g", 5, "", false});
  const auto session = SubmitWrite();
  ListPrimary("p");
  m_bench.Tick(Milliseconds(20));
  EXPECT_FALSE(WriteIsSent("p"));
  m_bench.Handle(HoldCommits{"g", 5, "r1", false});
  EXPECT_FALSE(WriteIsSent("p"));
  ListPrimary("r1");
  ASSERT_TRUE(WriteIsSent("r1"));
  m_bench.CompleteNext("receipt");
  const auto answer = m_bench.TakeAnswer(session);
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->Ok());
}

// Two promotions are executed late, one after the other. The first target leads
// for a while, and what it commits is discarded (KNOWN-RED 9).
TEST_F(CommitHold, PassesOnNoCommitsOfAnotherTarget) {
  m_bench.Handle(HoldCommits{"g", 5, "", false});
  m_bench.Handle(HoldCommits{"g", 6, "r2", false});
  SubmitWrite();
  ListPrimary("r1");
  m_bench.Tick(Milliseconds(20));
  EXPECT_FALSE(WriteIsSent("r1"));
  // What is left of the older claim changes nothing.
  m_bench.Handle(HoldCommits{"g", 5, "r1", false});
  m_bench.Handle(HoldCommits{"g", 5, "", true});
  EXPECT_FALSE(WriteIsSent("r1"));
  ListPrimary("r2");
  EXPECT_TRUE(WriteIsSent("r2"));
}

TEST_F(CommitHold, ReleasedHoldSendsWhatWaited) {
  m_bench.Handle(HoldCommits{"g", 5, "", false});
  SubmitWrite();
  EXPECT_FALSE(WriteIsSent("p"));
  m_bench.Handle(HoldCommits{"g", 5, "", true});
  EXPECT_TRUE(WriteIsSent("p"));
}

TEST_F(CommitHold, CommitsInProgressAreAnsweredBeforeItIsReported) {
  const auto session = SubmitWrite();
  m_bench.Handle(HoldCommits{"g", 5, "", false});
  EXPECT_TRUE(m_bench.held.empty());
  m_bench.CompleteNext("receipt", GroupPosition{1, 101});
  EXPECT_TRUE(m_bench.TakeAnswer(session)->Ok());
  m_bench.Tick(Milliseconds(20));
  ASSERT_EQ(m_bench.held.size(), 1U);
  EXPECT_EQ(m_bench.held[0].token, 5U);
  EXPECT_EQ(m_bench.held[0].acknowledged, (GroupPosition{1, 101}));
}

TEST_F(CommitHold, CommitAnsweredAfterItsReportIsInDoubt) {
  const auto session = SubmitWrite();
  m_bench.Handle(HoldCommits{"g", 5, "", false});
  m_bench.Tick(Milliseconds(120));
  ASSERT_EQ(m_bench.held.size(), 1U);
  m_bench.CompleteNext("receipt");
  EXPECT_EQ(m_bench.TakeAnswer(session)->refusal, Refusal::kInDoubt);
}

// A host that no other host reaches can't be asked to hold commits (KNOWN-RED
// 7).
TEST_F(CommitHold, NoCommitsArePassedOnWithoutALease) {
  const auto session = SubmitWrite();
  m_bench.Handle(CommitLeaseChanged{m_bench.clock.Now() + Milliseconds(50)});
  m_bench.clock.Advance(Milliseconds(50));
  m_bench.CompleteNext("receipt");
  EXPECT_EQ(m_bench.TakeAnswer(session)->refusal, Refusal::kInDoubt);
  const auto refused = SubmitWrite();
  EXPECT_EQ(m_bench.TakeAnswer(refused)->refusal, Refusal::kBusy);
  m_bench.Handle(CommitLeaseChanged{m_bench.clock.Now() + Milliseconds(50)});
  SubmitWrite();
  EXPECT_TRUE(WriteIsSent("p"));
}

// A relay in zone z1 with the primary, and with replicas elsewhere that have
// answered it some time ago.
class CommitInOwnZone : public CommitHold {
 protected:
  CommitInOwnZone() {
    for (const auto* replica : {"r1", "r2"}) {
      m_bench.Handle(AdminRequest{1, replica, Verb::kStatus, 0});
      m_bench.CompleteNext();
    }
    // One connection to the primary is open.
    m_bench.Submit(m_bench.Open("strict"), Verb::kRead, "READ a");
    CompleteAll();
    m_bench.unresponsive = true;
    m_bench.clock.Advance(Milliseconds(160));
  }
  // Answers what is pending at the endpoints in `zone`.
  void AnswerZone(const ZoneId& zone) {
    const auto pending = std::exchange(m_bench.PendingStatements(), {});
    for (const auto& item : pending) {
      if (m_directory.endpoints.at(item.endpoint).zone != zone) {
        m_bench.PendingStatements().push_back(item);
        continue;
      }
      m_bench.Complete(item, "receipt");
    }
  }
};

// A replica that had started in the zone just after the cut acknowledged a
// commit before the host had noticed that the zone was cut off (review/2 on
// lfsc-quotes, seed 221).
TEST_F(CommitInOwnZone, IsInDoubtWithoutContactToOtherZones) {
  const auto session = SubmitWrite();
  AnswerZone("z1");
  const auto early = m_bench.TakeAnswer(session);
  ASSERT_FALSE(early) << early->text;
  for (int i = 0; i < 31; ++i) {
    m_bench.Tick(Milliseconds(20));
    AnswerZone("z1");
  }
  const auto answer = m_bench.TakeAnswer(session);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kInDoubt);
}

TEST_F(CommitInOwnZone, IsAnsweredOnceAnotherZoneAnswers) {
  const auto session = SubmitWrite();
  AnswerZone("z1");
  EXPECT_FALSE(m_bench.TakeAnswer(session));
  AnswerZone("z2");
  const auto answer = m_bench.TakeAnswer(session);
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->Ok());
}

// The row of the primary was lost, and its commits no longer waited for
// contact.
TEST_F(CommitInOwnZone, OfAnUnlistedPrimaryWaitsForContact) {
  const auto session = SubmitWrite();
  auto unlisted = m_directory;
  unlisted.groups.at("g").primary.clear();
  unlisted.endpoints.erase("p");
  m_bench.Publish(unlisted);
  AnswerZone("z1");
  const auto early = m_bench.TakeAnswer(session);
  ASSERT_FALSE(early) << early->text;
  AnswerZone("z2");
  ASSERT_TRUE(m_bench.TakeAnswer(session));
}

// An answer that a suspended host or a shared pool had kept since before the
// cut confirmed a commit.
TEST_F(CommitInOwnZone, IsNotConfirmedByAnAnswerToAnEarlierStatement) {
  m_bench.Handle(AdminRequest{2, "r1", Verb::kStatus, 0});
  m_bench.Handle(AdminRequest{3, "r2", Verb::kStatus, 0});
  m_bench.clock.Advance(Milliseconds(5));
  const auto session = SubmitWrite();
  AnswerZone("z1");
  AnswerZone("z2");
  const auto early = m_bench.TakeAnswer(session);
  ASSERT_FALSE(early) << early->text;
  m_bench.Tick(Milliseconds(20));
  AnswerZone("z2");
  const auto answer = m_bench.TakeAnswer(session);
  ASSERT_TRUE(answer);
  EXPECT_TRUE(answer->Ok());
}

// A replica whose row the platform has not written acknowledged commits in the
// first 100 ms after the cut (soak, seed 716).
TEST_F(CommitInOwnZone, IsInDoubtIfTheLastContactWasBeforeItsAnswer) {
  const auto session = SubmitWrite();
  AnswerZone("z2");
  m_bench.clock.Advance(Milliseconds(50));
  AnswerZone("z1");
  const auto early = m_bench.TakeAnswer(session);
  ASSERT_FALSE(early) << early->text;
  for (int i = 0; i < 31; ++i) {
    m_bench.Tick(Milliseconds(20));
    AnswerZone("z1");
  }
  const auto answer = m_bench.TakeAnswer(session);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kInDoubt);
}

// Commits that are answered around a change of primary, by a primary in another
// zone.
class LateCommitAnswer : public CommitHold {
 protected:
  LateCommitAnswer() {
    m_directory.endpoints.at("p").zone = "z2";
    m_bench.Publish(m_directory);
  }
  SessionId OpenTransaction() {
    const auto session = m_bench.Open("strict");
    m_bench.Submit(session, Verb::kBegin, "BEGIN");
    CompleteAll();
    return session;
  }
  // Opens a transaction with a write, and sets an option that its connection
  // does not have yet.
  SessionId OpenTransactionWithOption() {
    const auto session = OpenTransaction();
    m_bench.Submit(session, Verb::kWrite, "WRITE a 1");
    CompleteAll();
    m_bench.Submit(session, Verb::kSetOption, "SETOPT n v", "n", "v");
    CompleteAll();
    return session;
  }
  // Answers the caller's write that is pending at the endpoint.
  bool AnswerWriteAt(const EndpointId& endpoint) {
    for (const auto& pending : m_bench.PendingStatements()) {
      if (pending.endpoint != endpoint) continue;
      if (pending.statement.statement.verb != Verb::kWrite) continue;
      m_bench.Complete(pending, "receipt");
      return true;
    }
    return false;
  }
};

// The answer of the old primary to a commit that was sent before the hold
// arrives after the directory has named the target.
TEST_F(LateCommitAnswer, OfTheOldPrimaryAfterItsSuccessorIsListed) {
  const auto session = SubmitWrite();
  m_bench.Handle(HoldCommits{"g", 5, "", false});
  m_bench.Tick(Milliseconds(120));
  ASSERT_EQ(m_bench.held.size(), 1U);
  m_bench.Handle(HoldCommits{"g", 5, "r1", false});
  m_bench.clock.Advance(Milliseconds(500));
  ListPrimary("r1");
  ASSERT_TRUE(AnswerWriteAt("p"));
  const auto answer = m_bench.TakeAnswer(session);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kInDoubt);
}

// A host takes over the claim while the promotion of the first holder may still
// be executed. A commit that was in progress before the first hold is answered
// between the second hold and its report.
TEST_F(LateCommitAnswer, BetweenASecondHoldAndItsReport) {
  const auto other = OpenTransaction();
  const auto session = SubmitWrite();
  m_bench.Handle(HoldCommits{"g", 5, "", false});
  m_bench.Tick(Milliseconds(120));
  ASSERT_EQ(m_bench.held.size(), 1U);
  // A write within a transaction is answered meanwhile.
  m_bench.Submit(other, Verb::kWrite, "WRITE b 1");
  ASSERT_EQ(m_bench.PendingStatements().size(), 2U);
  StatementResult written;
  written.text = "receipt";
  written.state = TxState::kOpen;
  m_bench.Handle(StatementDone{
      m_bench.PendingStatements().back().statement.connection, written});
  m_bench.PendingStatements().pop_back();
  m_bench.Tick(Milliseconds(20));
  m_bench.Handle(HoldCommits{"g", 6, "", false});
  ASSERT_TRUE(AnswerWriteAt("p"));
  const auto answer = m_bench.TakeAnswer(session);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kInDoubt);
}

// A hold begins while an option is set on the connection of a transaction whose
// COMMIT has arrived. The connection is released twice, and used for another
// request while its ROLLBACK is not answered.
TEST_F(LateCommitAnswer, ConnectionOfAHeldCommitIsReleasedOnce) {
  const auto session = OpenTransactionWithOption();
  m_bench.Submit(session, Verb::kCommit, "COMMIT");
  ASSERT_EQ(m_bench.PendingStatements().size(), 1U);
  ASSERT_EQ(m_bench.PendingStatements()[0].statement.statement.verb,
            Verb::kSetOption);
  m_bench.Handle(HoldCommits{"g", 5, "", false});
  m_bench.CompleteNext();
  m_bench.Tick(Milliseconds(20));
  for (int i = 0; i < 3; ++i) {
    m_bench.Submit(m_bench.Open("strict"), Verb::kRead, "READ a");
  }
  std::map<ConnectionId, int> outstanding;
  for (const auto& pending : m_bench.PendingStatements()) {
    EXPECT_EQ(++outstanding[pending.statement.connection], 1)
        << pending.statement.statement.text << " "
        << static_cast<int>(pending.statement.statement.verb) << " at "
        << pending.endpoint;
  }
}

// The same, and the hold is released before the request is dispatched again:
// the COMMIT must not succeed after the transaction was rolled back.
TEST_F(LateCommitAnswer, HeldCommitDoesNotSucceedAfterItsRollback) {
  const auto session = OpenTransactionWithOption();
  m_bench.Answers().clear();
  m_bench.Submit(session, Verb::kCommit, "COMMIT");
  m_bench.Handle(HoldCommits{"g", 5, "", false});
  m_bench.CompleteNext();
  m_bench.Handle(HoldCommits{"g", 5, "", true});
  for (int i = 0; i < 20 && !m_bench.PendingStatements().empty(); ++i) {
    m_bench.CompleteNext("receipt");
  }
  const auto answer = m_bench.TakeAnswer(session);
  ASSERT_TRUE(answer);
  EXPECT_FALSE(answer->Ok()) << answer->text;
}

}  // namespace
}  // namespace tiller::relay
