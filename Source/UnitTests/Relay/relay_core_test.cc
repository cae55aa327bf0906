// Tests of the relay core: sessions, transactions, retries and results. The
// databases are named after their routes: reads of "strict" go to the primary,
// those of "bounded" accept a bounded staleness, and those of "own" see the
// session's own writes (read-your-writes).
#include "Relay/relay_core.h"

#include <gtest/gtest.h>

#include <set>

#include "UnitTests/Support/relay_bench.h"

namespace tiller::relay {
namespace {

// Runs a write, which records a watermark at its position.
void RecordWatermark(RelayBench* bench) {
  const auto session = bench->Open("own");
  bench->Submit(session, Verb::kWrite, "WRITE x 1");
  bench->CompleteInternal();
  bench->log_position.position += 1;
  bench->CompleteNext("receipt");
  ASSERT_TRUE(bench->TakeAnswer(session)->Ok());
  bench->Handle(SessionClosed{session});
}

// The position in an answer may be that of a later entry which no replica has
// received yet. It must not count as acknowledged, or a change of primary would
// wait for an entry that nobody was promised.
TEST(Commits, OnlyEntriesBelowTheCommitCountAsAcknowledged) {
  RelayBench bench;
  auto directory = bench.MakeDirectory();
  directory.groups.at("g").synchronous = true;
  bench.Publish(directory);
  const auto session = bench.Open("strict");
  bench.Submit(session, Verb::kWrite, "WRITE x 1");
  bench.CompleteInternal();
  bench.CompleteNext("receipt", GroupPosition{1, 104});
  ASSERT_TRUE(bench.TakeAnswer(session)->Ok());
  bench.Tick(Milliseconds(600));
  ASSERT_FALSE(bench.health.empty());
  EXPECT_EQ(bench.health.back().acknowledged, (GroupPosition{1, 101}));
}

std::optional<StatementResult> Write(RelayBench* bench) {
  const auto session = bench->Open("own");
  bench->Submit(session, Verb::kWrite, "WRITE x 1");
  return bench->TakeAnswer(session);
}

// A relay in zone z1 with the primary, and replicas in other zones that do not
// answer any more. `replica_in_zone`: one that answers is in z1 as well.
void CutOffZone(RelayBench* bench, bool replica_in_zone) {
  auto directory = bench->MakeDirectory();
  directory.groups.at("g").synchronous = true;
  directory.endpoints.at("r1").zone = replica_in_zone ? "z1" : "z3";
  bench->Publish(directory);
  for (int i = 0; i < 4; ++i) {
    bench->Submit(bench->Open("bounded"), Verb::kRead, "READ a");
  }
  while (!bench->PendingStatements().empty()) bench->CompleteNext();
  bench->unresponsive = true;
  bench->Tick(Milliseconds(20));
  Write(bench);
  for (int i = 0; i < 30; ++i) {
    bench->Tick(Milliseconds(20));
    const auto pending = std::exchange(bench->PendingStatements(), {});
    for (const auto& item : pending) {
      if (directory.endpoints.at(item.endpoint).zone != "z1") continue;
      StatementResult result;
      result.text = "-";
      result.position = bench->log_position;
      bench->Handle(StatementDone{item.statement.connection, result});
    }
  }
}

// Hosts outside a zone that is cut off replaced the primary in it, while hosts
// inside passed on its acknowledgements (review case 2).
TEST(CutOffZone, WriteThatMayBeRolledBackIsRefusedAtOnce) {
  RelayBench bench;
  RecordWatermark(&bench);
  CutOffZone(&bench, false);
  const auto answer = Write(&bench);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
}

// A host whose ticks came late, for lack of processor time, took the zone for
// connected again and went on writing (soak, seed 2).
TEST(CutOffZone, LateTicksDoNotAllowWritesAgain) {
  RelayBench bench;
  RecordWatermark(&bench);
  CutOffZone(&bench, false);
  for (int i = 0; i < 4; ++i) bench.Tick(Milliseconds(150));
  const auto answer = Write(&bench);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
}

// Commits that a listed replica in the zone had acknowledged alone were rolled
// back when hosts outside left it out (review case 2, seeds 12 and 16).
TEST(CutOffZone, ListedReplicaInTheZoneDoesNotAllowWrites) {
  RelayBench bench;
  RecordWatermark(&bench);
  CutOffZone(&bench, true);
  const auto answer = Write(&bench);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
}

// All endpoints answer for this many ticks.
void AnswerAll(RelayBench* bench, int ticks) {
  bench->unresponsive = false;
  for (int i = 0; i < ticks; ++i) {
    bench->Tick(Milliseconds(20));
    const auto pending = std::exchange(bench->PendingStatements(), {});
    for (const auto& item : pending) {
      StatementResult result;
      result.text = "-";
      result.position = bench->log_position;
      bench->Handle(StatementDone{item.statement.connection, result});
    }
  }
}

// A primary in the zone went on acknowledging right after the cut, and the
// promotion of another one took effect then (review case 2, seed 16).
TEST(CutOffZone, PrimaryThatMayHaveBeenReplacedIsNotWrittenTo) {
  RelayBench bench;
  RecordWatermark(&bench);
  CutOffZone(&bench, false);
  AnswerAll(&bench, 20);
  const auto answer = Write(&bench);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
  AnswerAll(&bench, 90);
  EXPECT_FALSE(Write(&bench));
}

// The same for a host outside the zone, which wrote as soon as the primary
// answered again (review case 2, seed 18).
TEST(SilentPrimary, IsNotWrittenToUntilAPromotionHasTakenEffect) {
  RelayBench bench;
  RecordWatermark(&bench);
  auto directory = bench.MakeDirectory();
  directory.groups.at("g").synchronous = true;
  bench.Publish(directory);
  bench.unresponsive = true;
  Write(&bench);
  for (int i = 0; i < 50; ++i) bench.Tick(Milliseconds(20));
  AnswerAll(&bench, 40);
  const auto answer = Write(&bench);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
  AnswerAll(&bench, 90);
  EXPECT_FALSE(Write(&bench));
}

TEST(Sessions, UnknownDatabaseAndKeyAreRefused) {
  RelayBench bench;
  bench.Open("nothing");
  bench.Open("strict", "k9");
  EXPECT_EQ(bench.rejected.size(), 2U);
}

TEST(Sessions, SessionsWaitForTheFirstDirectory) {
  RelayBench bench;
  RelayCore core({"h1", "z1"}, &bench.clock, &bench.random, &bench.counters);
  core.Handle(SessionOpened{1, "strict", "k1"});
  EXPECT_TRUE(core.TakeActions().empty());
  core.Handle(DirectoryChanged{
      std::make_shared<const Directory>(bench.MakeDirectory())});
  const auto actions = core.TakeActions();
  ASSERT_EQ(actions.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<AcceptSession>(actions.front()));
}

TEST(Sessions, RevokedKeyIsRefusedAtTheNextOperation) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  auto directory = bench.MakeDirectory();
  directory.keys.erase("k1");
  bench.Publish(directory);
  bench.Submit(session, Verb::kRead, "READ a");
  EXPECT_EQ(bench.TakeAnswer(session)->refusal, Refusal::kNoAuth);
  EXPECT_TRUE(bench.PendingStatements().empty());
}

// A caller went on reading with a withdrawn key for as long as it kept its
// transaction open.
TEST(Sessions, WithdrawnKeyIsRefusedInsideATransaction) {
  for (const bool moved : {false, true}) {
    RelayBench bench;
    const auto session = bench.Open("strict");
    bench.Submit(session, Verb::kBegin, "BEGIN");
    bench.TakeAnswer(session);
    bench.Submit(session, Verb::kRead, "READ a");
    bench.CompleteInternal();
    bench.CompleteNext();
    ASSERT_TRUE(bench.TakeAnswer(session)->Ok());
    auto directory = bench.MakeDirectory();
    directory.keys.erase("k1");
    if (moved) directory.keys["k1"] = "w2";
    bench.Publish(directory);
    bench.Submit(session, Verb::kRead, "READ b");
    const auto refused = bench.TakeAnswer(session);
    ASSERT_TRUE(refused) << moved;
    EXPECT_EQ(refused->refusal, Refusal::kNoAuth);
    EXPECT_EQ(refused->state, TxState::kFailed);
    ASSERT_EQ(bench.PendingStatements().size(), 1U);
    EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
              Verb::kRollback);
  }
}

// Regression test. After a refused ROLLBACK the connection was reused, and its
// next session was treated as being inside a transaction. Seen as PINNED on a
// variant of lfsc-quotes with 40 workspaces (scale-2).
TEST(Connections, ConnectionIsNotReusedAfterRefusedRollback) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.Submit(session, Verb::kRead, "READ a");
  bench.CompleteNext();  // BEGIN
  const auto used = bench.PendingStatements()[0].statement.connection;
  bench.CompleteNext("receipt");
  ASSERT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kRollback);
  bench.Refuse(Refusal::kBusy);
  bench.Submit(session, Verb::kRead, "READ b");
  ASSERT_FALSE(bench.PendingStatements().empty());
  EXPECT_NE(bench.PendingStatements()[0].statement.connection, used);
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kBegin);
}

TEST(Reads, StrictReadRunsInsideAPlainBegin) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.Submit(session, Verb::kRead, "READ a");
  ASSERT_EQ(bench.PendingStatements().size(), 1U);
  EXPECT_EQ(bench.PendingStatements()[0].endpoint, "p");
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kBegin);
  bench.CompleteNext();
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.text, "READ a");
  EXPECT_EQ(bench.PendingStatements()[0].statement.after, std::nullopt);
  bench.CompleteNext("receipt");
  EXPECT_EQ(bench.TakeAnswer(session)->text, "receipt");
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kRollback);
}

TEST(Reads, FormerPrimaryDoesNotServeAStrictRead) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.Submit(session, Verb::kRead, "READ a");
  bench.Refuse(Refusal::kReadOnly);
  EXPECT_EQ(bench.TakeAnswer(session), std::nullopt);
  ASSERT_FALSE(bench.health.empty());
  EXPECT_TRUE(bench.health.back().deposed);
  auto directory = bench.MakeDirectory();
  directory.groups["g"].primary = "r1";
  bench.Publish(directory);
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  EXPECT_EQ(bench.NextPendingAt("r1")->statement.statement.verb, Verb::kBegin);
}

TEST(Reads, BoundedReadRequiresTheOldestWatermarkWithinItsBound) {
  RelayBench bench;
  RecordWatermark(&bench);
  const auto first = bench.log_position;
  bench.Tick(Milliseconds(300));
  bench.CompleteInternal();
  RecordWatermark(&bench);
  const auto session = bench.Open("bounded");
  bench.Submit(session, Verb::kRead, "READ a");
  bench.CompleteInternal();
  ASSERT_FALSE(bench.PendingStatements().empty());
  EXPECT_EQ(bench.PendingStatements()[0].statement.after, first);
}

TEST(Reads, ReadRunsOnThePrimaryWithoutARecentWatermark) {
  RelayBench bench;
  const auto session = bench.Open("bounded");
  bench.Tick(std::chrono::seconds(3));
  bench.Submit(session, Verb::kRead, "READ a");
  ASSERT_FALSE(bench.PendingStatements().empty());
  EXPECT_EQ(bench.PendingStatements()[0].endpoint, "p");
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kBegin);
}

TEST(Reads, SessionReadsItsOwnWrite) {
  RelayBench bench;
  const auto session = bench.Open("own");
  bench.Submit(session, Verb::kWrite, "WRITE a 1");
  bench.log_position.position = 500;
  bench.CompleteNext("receipt");
  bench.TakeAnswer(session);
  bench.Submit(session, Verb::kRead, "READ a");
  bench.CompleteInternal();
  ASSERT_FALSE(bench.PendingStatements().empty());
  EXPECT_EQ(bench.PendingStatements()[0].statement.after,
            (GroupPosition{1, 500}));
}

TEST(Reads, ReadIsRetriedElsewhereAfterLaggingReplica) {
  RelayBench bench;
  RecordWatermark(&bench);
  const auto session = bench.Open("bounded");
  bench.Submit(session, Verb::kRead, "READ a");
  const auto first = bench.PendingStatements()[0].endpoint;
  bench.Refuse(Refusal::kLagging);
  bench.CompleteInternal();
  ASSERT_FALSE(bench.PendingStatements().empty());
  EXPECT_NE(bench.PendingStatements()[0].endpoint, first);
  bench.CompleteNext("receipt");
  EXPECT_TRUE(bench.TakeAnswer(session)->Ok());
}

TEST(Reads, ReadIsRetriedElsewhereAfterConnectionLoss) {
  RelayBench bench;
  RecordWatermark(&bench);
  const auto session = bench.Open("bounded");
  bench.Submit(session, Verb::kRead, "READ a");
  const auto first = bench.PendingStatements()[0].endpoint;
  bench.DropNextConnection();
  bench.CompleteInternal();
  EXPECT_EQ(bench.TakeAnswer(session), std::nullopt);
  ASSERT_FALSE(bench.PendingStatements().empty());
  EXPECT_NE(bench.PendingStatements()[0].endpoint, first);
}

TEST(Reads, ReadIsRetriedElsewhereAfterTimeout) {
  RelayBench bench;
  RecordWatermark(&bench);
  const auto session = bench.Open("bounded");
  bench.Submit(session, Verb::kRead, "READ a");
  const auto first = bench.PendingStatements()[0].endpoint;
  bench.Tick(Milliseconds(100));
  bench.CompleteInternal();
  ASSERT_FALSE(bench.PendingStatements().empty());
  EXPECT_NE(bench.PendingStatements()[0].endpoint, first);
  EXPECT_EQ(bench.TakeAnswer(session), std::nullopt);
}

TEST(Writes, WriteIsInDoubtAfterConnectionLossAndNotRetried) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.Submit(session, Verb::kWrite, "WRITE a 1");
  bench.DropNextConnection();
  EXPECT_EQ(bench.TakeAnswer(session)->refusal, Refusal::kInDoubt);
  bench.Tick(Milliseconds(50));
  for (const auto& pending : bench.PendingStatements()) {
    EXPECT_NE(pending.statement.statement.verb, Verb::kWrite);
  }
}

TEST(Writes, WriteIsRetriedAfterBusyRefusal) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.Submit(session, Verb::kWrite, "WRITE a 1");
  bench.Refuse(Refusal::kBusy);
  EXPECT_EQ(bench.TakeAnswer(session), std::nullopt);
  bench.Tick(Milliseconds(20));
  ASSERT_FALSE(bench.PendingStatements().empty());
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kWrite);
}

TEST(Writes, NothingIsSentToAnUnresponsivePrimary) {
  RelayBench bench;
  const auto first = bench.Open("strict");
  bench.Submit(first, Verb::kWrite, "WRITE a 1");
  bench.Tick(Milliseconds(320));
  const auto second = bench.Open("strict");
  const auto before = bench.PendingStatements().size();
  bench.Submit(second, Verb::kWrite, "WRITE b 2");
  EXPECT_EQ(bench.PendingStatements().size(), before);
  // The second write is sent only once another endpoint is the primary.
  auto directory = bench.MakeDirectory();
  directory.groups["g"].primary = "r1";
  bench.Publish(directory);
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  EXPECT_EQ(bench.NextPendingAt("r1")->statement.statement.text, "WRITE b 2");
}

TEST(Transactions, StatementsStayOnOneConnection) {
  RelayBench bench;
  const auto session = bench.Open("own");
  bench.Submit(session, Verb::kBegin, "BEGIN");
  EXPECT_EQ(bench.TakeAnswer(session)->state, TxState::kOpen);
  EXPECT_TRUE(bench.PendingStatements().empty());
  bench.Submit(session, Verb::kRead, "READ a");
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kBegin);
  bench.CompleteNext();
  const auto connection = bench.PendingStatements()[0].statement.connection;
  bench.CompleteNext("receipt");
  const auto other = bench.Open("own");
  bench.Submit(other, Verb::kWrite, "WRITE b 2");
  EXPECT_NE(bench.PendingStatements()[0].statement.connection, connection);
  bench.CompleteNext("receipt");
  bench.Submit(session, Verb::kCommit, "COMMIT");
  EXPECT_EQ(bench.PendingStatements()[0].statement.connection, connection);
  bench.CompleteNext("receipt");
  EXPECT_EQ(bench.Answers()[session].back().state, TxState::kIdle);
}

TEST(Transactions, ConnectionLossAbortsTheOpenTransaction) {
  RelayBench bench;
  const auto session = bench.Open("own");
  bench.Submit(session, Verb::kBegin, "BEGIN");
  bench.Submit(session, Verb::kWrite, "WRITE a 1");
  bench.CompleteInternal();
  bench.CompleteNext("receipt");
  bench.Submit(session, Verb::kRead, "READ a");
  bench.DropNextConnection();
  EXPECT_EQ(bench.Answers()[session].back().refusal, Refusal::kAborted);
  EXPECT_EQ(bench.Answers()[session].back().state, TxState::kFailed);
  bench.Submit(session, Verb::kRead, "READ a");
  EXPECT_EQ(bench.Answers()[session].back().refusal, Refusal::kMalformed);
  bench.Submit(session, Verb::kRollback, "ROLLBACK");
  EXPECT_EQ(bench.Answers()[session].back().state, TxState::kIdle);
}

TEST(Transactions, CommitOfWritesIsInDoubtAfterConnectionLoss) {
  RelayBench bench;
  const auto session = bench.Open("own");
  bench.Submit(session, Verb::kBegin, "BEGIN");
  bench.Submit(session, Verb::kWrite, "WRITE a 1");
  bench.CompleteInternal();
  bench.CompleteNext("receipt");
  bench.Submit(session, Verb::kCommit, "COMMIT");
  bench.DropNextConnection();
  EXPECT_EQ(bench.Answers()[session].back().refusal, Refusal::kInDoubt);
}

TEST(Transactions, CommitWithoutWritesIsAbortedAfterConnectionLoss) {
  RelayBench bench;
  const auto session = bench.Open("own");
  bench.Submit(session, Verb::kBegin, "BEGIN");
  bench.Submit(session, Verb::kRead, "READ a");
  bench.CompleteInternal();
  bench.CompleteNext("receipt");
  bench.Submit(session, Verb::kCommit, "COMMIT");
  bench.DropNextConnection();
  EXPECT_EQ(bench.Answers()[session].back().refusal, Refusal::kAborted);
}

TEST(Transactions, IdleTransactionIsRolledBackAndReportedAtNextStatement) {
  RelayBench bench;
  auto directory = bench.MakeDirectory();
  directory.transaction_idle = Milliseconds(3000);
  bench.Publish(directory);
  const auto session = bench.Open("own");
  bench.Submit(session, Verb::kBegin, "BEGIN");
  bench.Submit(session, Verb::kWrite, "WRITE a 1");
  bench.CompleteInternal();
  bench.CompleteNext("receipt");
  bench.Tick(Milliseconds(3100));
  EXPECT_EQ(bench.NextPendingAt("p")->statement.statement.verb,
            Verb::kRollback);
  bench.Submit(session, Verb::kCommit, "COMMIT");
  EXPECT_EQ(bench.Answers()[session].back().refusal, Refusal::kAborted);
}

TEST(Transactions, TransactionIsRolledBackWhenTheSessionCloses) {
  RelayBench bench;
  const auto session = bench.Open("own");
  bench.Submit(session, Verb::kBegin, "BEGIN");
  bench.Submit(session, Verb::kWrite, "WRITE a 1");
  bench.CompleteInternal();
  bench.CompleteNext("receipt");
  bench.Handle(SessionClosed{session});
  ASSERT_EQ(bench.PendingStatements().size(), 1U);
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kRollback);
}

TEST(ConnectionSetup, OptionsAndPreparedNamesFollowTheSession) {
  RelayBench bench;
  const auto first = bench.Open("strict");
  bench.Submit(first, Verb::kSetOption, "SETOPT a 1", "a", "1");
  bench.Submit(first, Verb::kPrepareWrite, "PREPARE s WRITE q", "s", "q");
  bench.Submit(first, Verb::kExecute, "EXECUTE s k v", "s", "k v");
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kSetOption);
  bench.CompleteNext();
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kPrepareWrite);
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.name, "w_q");
  bench.CompleteNext();
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.name, "w_q");
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.argument, "k v");
  bench.CompleteNext("receipt");
  // Another session has not set the option: DISCARD clears the first one's
  // state.
  const auto second = bench.Open("strict");
  bench.Submit(second, Verb::kWrite, "WRITE b 2");
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kDiscard);
}

TEST(ConnectionSetup, PreparedNameOfAnotherSessionIsUnknown) {
  RelayBench bench;
  const auto first = bench.Open("strict");
  bench.Submit(first, Verb::kPrepareRead, "PREPARE s READ q", "s", "q");
  const auto second = bench.Open("strict");
  bench.Submit(second, Verb::kExecute, "EXECUTE s k", "s", "k");
  EXPECT_EQ(bench.Answers()[second].back().refusal, Refusal::kNoStatement);
}

TEST(Connections, BelongToOneWorkspace) {
  RelayBench bench;
  const auto first = bench.Open("strict", "k1");
  bench.Submit(first, Verb::kWrite, "WRITE a 1");
  bench.CompleteNext("receipt");
  const auto second = bench.Open("strict", "k2");
  bench.Submit(second, Verb::kWrite, "WRITE b 2");
  EXPECT_EQ(bench.PendingStatements()[0].workspace, "w2");
}

TEST(Connections, IdleConnectionOfAnotherWorkspaceIsEvicted) {
  RelayBench bench;
  auto directory = bench.MakeDirectory();
  directory.groups["g"].max_connections = 1;
  directory.workspaces["w3"] = {"w3", 1000, 1000};
  directory.keys["k3"] = "w3";
  directory.workspaces["w4"] = {"w4", 1000, 1000};
  directory.keys["k4"] = "w4";
  bench.Publish(directory);
  bench.Tick(Milliseconds(300));  // refills the new workspaces' tokens
  bench.CompleteInternal();
  for (const auto* key : {"k1", "k2", "k3", "k4"}) {
    const auto session = bench.Open("strict", key);
    bench.Submit(session, Verb::kWrite, "WRITE a 1");
    ASSERT_FALSE(bench.PendingStatements().empty()) << key;
    bench.CompleteNext("receipt");
    EXPECT_TRUE(bench.TakeAnswer(session)->Ok()) << key;
  }
  // The share is one. A host may open twice its share plus one while others
  // leave connections unused.
  EXPECT_LE(bench.OpenConnectionsAt("p"), 3U);
}

// Load pattern: all hosts lose power, and endpoints still count the lost
// connections for a while. Right after the restart, hosts can open only as many
// connections as they had left unused before.
TEST(Connections, IdleConnectionsBeyondHalfTheShareAreClosed) {
  RelayBench bench;
  std::vector<SessionId> sessions;
  for (int i = 0; i < 8; ++i) {
    sessions.push_back(bench.Open("strict"));
    bench.Submit(sessions.back(), Verb::kWrite, "WRITE a 1");
  }
  EXPECT_EQ(bench.OpenConnectionsAt("p"), 8U);
  while (!bench.PendingStatements().empty()) bench.CompleteNext("receipt");
  bench.Tick(Milliseconds(250));
  EXPECT_LE(bench.OpenConnectionsAt("p"), 4U);
}

TEST(Connections, RefusedConnectionIsRetriedForTheWaitingRequest) {
  RelayBench bench;
  bench.refuse_connections = true;
  const auto session = bench.Open("strict", "k2");
  bench.Submit(session, Verb::kWrite, "WRITE a 1");
  EXPECT_TRUE(bench.PendingStatements().empty());
  bench.refuse_connections = false;
  bench.Tick(Milliseconds(40));
  ASSERT_FALSE(bench.PendingStatements().empty());
  bench.CompleteNext("receipt");
  EXPECT_TRUE(bench.TakeAnswer(session)->Ok());
}

// Another endpoint answered at the address of the listed primary. Its refusals
// counted as answers of the primary, so the group was never given another one.
TEST(Connections, PrimaryWhoseAddressIsAnothersCountsAsSilent) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.refuse_connections = true;
  bench.connection_refusal = Refusal::kMisrouted;
  for (int i = 0; i < 50; ++i) {
    bench.Submit(session, Verb::kWrite, "WRITE a x");
    bench.Tick(Milliseconds(20));
    bench.TakeAnswer(session);
  }
  ASSERT_FALSE(bench.health.empty());
  EXPECT_EQ(bench.health.back().endpoint, "p");
  EXPECT_GE(bench.health.back().silent_for, Milliseconds(600));
}

TEST(Waiting, RequestWithoutAConnectionIsRefusedAfterItsWaitLimit) {
  RelayBench bench;
  bench.refuse_connections = true;
  const auto session = bench.Open("strict", "k2");
  bench.Submit(session, Verb::kWrite, "WRITE a 1");
  bench.Tick(Milliseconds(110));
  const auto answer = bench.TakeAnswer(session);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->refusal, Refusal::kBusy);
  EXPECT_NE(answer->text.find("retry after"), std::string::npos);
}

TEST(Limits, OperationBeyondTheRateIsRefusedAndNotSent) {
  RelayBench bench;
  auto directory = bench.MakeDirectory();
  directory.workspaces["w1"] = {"w1", 1, 2};
  bench.Publish(directory);
  bench.Tick(std::chrono::seconds(3));
  int refused = 0;
  for (int i = 0; i < 5; ++i) {
    const auto session = bench.Open("strict");
    bench.Submit(session, Verb::kWrite, "WRITE a 1");
    bench.Tick(Milliseconds(25));
    const auto answer = bench.TakeAnswer(session);
    refused += answer && answer->refusal == Refusal::kBusy ? 1 : 0;
  }
  EXPECT_GE(refused, 3);
}

TEST(Drain, IdleSessionsAreClosedAfterTheDrainDelay) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.Handle(DrainStarted{});
  bench.Tick(Milliseconds(1000));
  EXPECT_TRUE(bench.closed.empty());
  bench.Tick(Milliseconds(1400));
  ASSERT_EQ(bench.closed.size(), 1U);
  EXPECT_EQ(bench.closed[0], session);
}

// A host that is being stopped passed on statements of open transactions until
// it exited, and the callers lost the connection without an answer.
TEST(Drain, StatementThatCannotBeAnsweredBeforeTheExitIsRefused) {
  RelayBench bench;
  const auto timeout =
      bench.MakeDirectory().routes.at("strict").statement_timeout;
  const auto open = bench.Open("strict");
  const auto idle = bench.Open("strict");
  bench.Submit(open, Verb::kBegin, "BEGIN");
  bench.TakeAnswer(open);
  bench.Handle(
      DrainStarted{std::chrono::seconds(3), std::chrono::seconds(3) + timeout});
  const auto run = [&](const std::string& text) {
    bench.Submit(open, Verb::kRead, text);
    bench.CompleteInternal();
    bench.CompleteNext();
    return bench.TakeAnswer(open);
  };
  bench.clock.Advance(Milliseconds(2'900));
  EXPECT_TRUE(run("READ a")->Ok());
  bench.clock.Advance(Milliseconds(100));
  EXPECT_TRUE(run("READ b")->Ok()) << "its time limit ends before the exit";
  bench.clock.Advance(Milliseconds(1));
  bench.Submit(open, Verb::kCommit, "COMMIT");
  const auto refused = bench.TakeAnswer(open);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->refusal, Refusal::kAborted);
  EXPECT_EQ(refused->state, TxState::kIdle);
  ASSERT_EQ(bench.PendingStatements().size(), 1U);
  EXPECT_EQ(bench.PendingStatements()[0].statement.statement.verb,
            Verb::kRollback);
  bench.Submit(idle, Verb::kRead, "READ c");
  const auto busy = bench.TakeAnswer(idle);
  ASSERT_TRUE(busy);
  EXPECT_EQ(busy->refusal, Refusal::kBusy);
  EXPECT_EQ(bench.PendingStatements().size(), 1U);
}

TEST(Admin, PauseUsesAnyIdleConnection) {
  RelayBench bench;
  bench.Handle(AdminRequest{5, "r1", Verb::kPause, 4});
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  EXPECT_EQ(bench.NextPendingAt("r1")->statement.term, 4U);
  bench.CompleteNext();
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_TRUE(bench.admin[0].answered);
}

TEST(Admin, UnansweredPauseIsReported) {
  RelayBench bench;
  bench.Handle(AdminRequest{5, "r1", Verb::kPause, 4});
  bench.Tick(Milliseconds(400));
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_FALSE(bench.admin[0].answered);
}

// Other hosts held all connections of a replica, so the first attempt to open
// one was refused. It was the only one, although others closed theirs at once.
TEST(Admin, ConnectionThatWasRefusedIsOpenedAgain) {
  RelayBench bench;
  bench.refuse_connections = true;
  bench.Handle(AdminRequest{5, "r1", Verb::kPause, 4});
  EXPECT_FALSE(bench.NextPendingAt("r1"));
  bench.refuse_connections = false;
  bench.Tick(Milliseconds(20));
  bench.Tick(Milliseconds(20));
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  bench.CompleteNext();
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_TRUE(bench.admin[0].answered);
}

// Further attempts would delay reads there after its return.
TEST(Admin, EndpointThatDoesNotRunIsNotConnectedToOnEveryTick) {
  RelayBench bench;
  bench.refuse_connections = true;
  bench.connection_refusal = Refusal::kNone;
  const auto before = bench.counters.Get("connections_opened");
  bench.Handle(AdminRequest{5, "r1", Verb::kStatus, 0});
  for (int i = 0; i < 20; ++i) bench.Tick(Milliseconds(20));
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_FALSE(bench.admin[0].answered);
  EXPECT_LE(bench.counters.Get("connections_opened") - before, 3U);
}

TEST(Admin, BusyEndpointIsAskedAgain) {
  RelayBench bench;
  bench.Handle(AdminRequest{5, "r1", Verb::kStatus, 0});
  bench.Refuse(Refusal::kBusy);
  EXPECT_TRUE(bench.admin.empty());
  EXPECT_TRUE(bench.PendingStatements().empty());
  bench.Tick(Milliseconds(20));
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  bench.CompleteNext();
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_TRUE(bench.admin[0].answered);
  EXPECT_TRUE(bench.admin[0].result.Ok());
  EXPECT_EQ(bench.counters.Get("admin_retried_endpoint_busy"), 1U);
}

TEST(Admin, EndpointThatStaysBusyHasAnswered) {
  RelayBench bench;
  bench.Handle(AdminRequest{5, "r1", Verb::kStatus, 0});
  for (int i = 0; i < 30 && bench.admin.empty(); ++i) {
    if (bench.NextPendingAt("r1")) bench.Refuse(Refusal::kBusy);
    bench.Tick(Milliseconds(20));
  }
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_TRUE(bench.admin[0].answered);
  EXPECT_EQ(bench.admin[0].result.refusal, Refusal::kBusy);
}

TEST(Admin, OtherRefusalsOfTheEndpointAreReportedAtOnce) {
  RelayBench bench;
  bench.Handle(AdminRequest{5, "r1", Verb::kPause, 4});
  bench.Refuse(Refusal::kFailed);
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_TRUE(bench.admin[0].answered);
}

// 24 hosts whose connections go through shared pools, and eight workspaces
// whose pools are on different hosts.
void UseSharedPools(RelayBench* bench) {
  limits::SeatView seats;
  for (int i = 0; i < 24; ++i) {
    seats.holders.push_back("h" + std::to_string(i + 1));
    seats.zones.push_back("z1");
    seats.pool_addresses.push_back("h" + std::to_string(i + 1) + ":8");
  }
  seats.held = {0};
  seats.valid_until = bench->clock.Now() + std::chrono::hours(1);
  auto directory = bench->MakeDirectory();
  for (int i = 3; i <= 8; ++i) {
    const auto name = "w" + std::to_string(i);
    directory.workspaces[name] = {name, 1000, 1000};
  }
  bench->Publish(directory);
  bench->Handle(SeatsChanged{seats});
  bench->Tick(std::chrono::seconds(3));
  bench->CompleteInternal();
}

// The holder of a claim took the refusal of a pool for one of the replica, and
// gave the group up.
TEST(Admin, PoolWithoutAConnectionIsNotTheEndpointsAnswer) {
  RelayBench bench;
  UseSharedPools(&bench);
  bench.Handle(AdminRequest{5, "r1", Verb::kPause, 4});
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  std::set<std::string> asked;
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(bench.NextPendingAt("r1"));
    EXPECT_TRUE(asked.insert(bench.NextPendingAt("r1")->address).second);
    bench.RefuseByPool(Refusal::kBusy);
    EXPECT_TRUE(bench.admin.empty());
  }
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  EXPECT_EQ(asked.count(bench.NextPendingAt("r1")->address), 0U);
  EXPECT_EQ(bench.NextPendingAt("r1")->statement.term, 4U);
  bench.CompleteNext();
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_TRUE(bench.admin[0].answered);
  EXPECT_TRUE(bench.admin[0].result.Ok());
  EXPECT_EQ(bench.counters.Get("admin_retried_pool_busy"), 3U);
}

// CONTINUE has no term: a late one would end the pause of the next holder.
TEST(Admin, ContinueIsNotSentAgain) {
  RelayBench bench;
  UseSharedPools(&bench);
  bench.Handle(AdminRequest{5, "r1", Verb::kContinue, 0});
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  bench.RefuseByPool(Refusal::kBusy);
  EXPECT_FALSE(bench.NextPendingAt("r1"));
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_FALSE(bench.admin[0].answered);
}

TEST(Admin, ContinueOpensNoConnectionAgain) {
  RelayBench bench;
  UseSharedPools(&bench);
  bench.unresponsive = true;
  bench.Handle(AdminRequest{5, "r1", Verb::kContinue, 0});
  bench.unresponsive = false;
  bench.Tick(Milliseconds(300));  // the pool has not accepted the connection
  EXPECT_FALSE(bench.NextPendingAt("r1"));
}

TEST(Admin, RefusalsOfAllPoolsAreNoAnswer) {
  RelayBench bench;
  UseSharedPools(&bench);
  bench.Handle(AdminRequest{5, "r1", Verb::kPause, 4});
  int asked = 0;
  for (int i = 0; i < 30 && bench.admin.empty(); ++i) {
    for (; bench.NextPendingAt("r1") && asked < 1000; ++asked) {
      bench.RefuseByPool(Refusal::kBusy);
    }
    bench.Tick(Milliseconds(20));
  }
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_FALSE(bench.admin[0].answered);
  // Pools that were asked are asked again, at most once in 50 ms.
  EXPECT_GT(asked, 8);
  EXPECT_LE(asked, 8 * 8);
  EXPECT_GT(bench.counters.Get("admin_pools_exhausted"), 0U);
  EXPECT_EQ(bench.counters.Get("admin_unanswered"), 1U);
}

TEST(Admin, LostPoolIsReplacedByAnother) {
  RelayBench bench;
  UseSharedPools(&bench);
  bench.Handle(AdminRequest{5, "r1", Verb::kStatus, 0});
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  const auto first = bench.NextPendingAt("r1")->address;
  bench.DropNextConnection();
  EXPECT_TRUE(bench.admin.empty());
  bench.Tick(Milliseconds(20));
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  EXPECT_NE(bench.NextPendingAt("r1")->address, first);
  bench.CompleteNext();
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_TRUE(bench.admin[0].answered);
  EXPECT_EQ(bench.counters.Get("admin_retried_pool_lost"), 1U);
}

// A pool that was asked shortly before the time is over may be waiting for one
// of its connections.
TEST(Admin, PoolThatWasAskedLateIsNotAvoided) {
  RelayBench bench;
  UseSharedPools(&bench);
  bench.Handle(AdminRequest{5, "r1", Verb::kStatus, 0});
  bench.Tick(Milliseconds(150));
  ASSERT_TRUE(bench.NextPendingAt("r1"));
  bench.RefuseByPool(Refusal::kBusy);
  for (int i = 0; i < 12; ++i) bench.Tick(Milliseconds(20));
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_FALSE(bench.admin[0].answered);
  EXPECT_EQ(bench.counters.Get("pools_avoided"), 0U);
  EXPECT_EQ(bench.counters.Get("admin_waited_in_pool"), 1U);
}

TEST(Admin, PoolThatDoesNotAnswerIsAvoided) {
  RelayBench bench;
  UseSharedPools(&bench);
  bench.Handle(AdminRequest{5, "r1", Verb::kStatus, 0});
  for (int i = 0; i < 20; ++i) bench.Tick(Milliseconds(20));
  ASSERT_EQ(bench.admin.size(), 1U);
  EXPECT_FALSE(bench.admin[0].answered);
  EXPECT_EQ(bench.counters.Get("pools_avoided"), 1U);
}

// A statement runs on a connection without a transaction, although the only
// connection that is open to the endpoint has one.
TEST(Admin, StatementStaysOutOfOpenTransactions) {
  RelayBench bench;
  const auto session = bench.Open("strict");
  bench.Submit(session, Verb::kBegin, "BEGIN");
  bench.Submit(session, Verb::kRead, "READ a");
  bench.CompleteInternal();
  const auto used = bench.PendingStatements().front().statement.connection;
  bench.CompleteNext();
  bench.endpoint_limit = bench.OpenConnectionsAt("p");
  bench.Handle(AdminRequest{5, "p", Verb::kStatus, 0});
  for (int i = 0; i < 20 && bench.admin.empty(); ++i) {
    for (const auto& pending : bench.PendingStatements()) {
      EXPECT_NE(pending.statement.connection, used);
    }
    bench.Tick(Milliseconds(20));
  }
  EXPECT_EQ(bench.admin.size(), 1U);
}

}  // namespace
}  // namespace tiller::relay
