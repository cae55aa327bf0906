// Connections that one host keeps for all, and the choice of that host.
#include "Relay/shared_pool.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

#include "Relay/connection_path.h"
#include "UnitTests/Support/relay_bench.h"

namespace tiller::relay {
namespace {

using std::chrono::seconds;

// A pool in front of endpoint "p", which accepts eight connections.
class PoolBench {
 public:
  PoolBench() : pool(&clock, &counters) {
    clock.Advance(seconds(10));
    RelayBench relay;
    directory = relay.MakeDirectory();
    Handle(DirectoryChanged{std::make_shared<const Directory>(directory)});
  }

  void Handle(const PoolEvent& event) {
    pool.Handle(event);
    for (auto actions = pool.TakeActions(); !actions.empty();
         actions = pool.TakeActions()) {
      for (const auto& action : actions) Take(action);
    }
  }
  SessionId Open(const std::string& workspace) {
    const auto id = m_next_session++;
    Handle(PoolSessionOpened{id, "p", workspace});
    return id;
  }
  void Say(SessionId session, Verb verb, const std::string& text,
           const std::string& name = {}, const std::string& argument = {}) {
    StatementReceived event;
    event.session = session;
    event.request_id = "q" + std::to_string(m_next_request++);
    event.statement = {verb, text, name, argument};
    Handle(event);
  }
  void Succeed(TxState state = TxState::kIdle) {
    const auto sent = statements.front();
    statements.erase(statements.begin());
    StatementResult result;
    result.text = "receipt";
    result.state = state;
    Handle(StatementDone{sent.connection, result});
  }
  void Tick(Milliseconds by) {
    clock.Advance(by);
    Handle(TimerFired{});
  }

  ManualClock clock;
  Counters counters;
  Directory directory;
  SharedPool pool;
  std::vector<SendStatement> statements;
  std::map<SessionId, std::vector<StatementResult>> replies;
  std::vector<SessionId> closed;
  int opened = 0;
  bool dark = false;

 private:
  void Take(const PoolAction& action) {
    if (const auto* open = std::get_if<OpenConnection>(&action)) {
      ++opened;
      if (!dark) pool.Handle(ConnectionOpened{open->connection, {}});
    } else if (const auto* send = std::get_if<SendStatement>(&action)) {
      statements.push_back(*send);
    } else if (const auto* reply = std::get_if<Reply>(&action)) {
      replies[reply->session].push_back(reply->result);
    } else if (const auto* close = std::get_if<CloseSession>(&action)) {
      closed.push_back(close->session);
    }
  }

  SessionId m_next_session = 1;
  int m_next_request = 1;
};

TEST(SharedPool, SessionsOfAWorkspaceTakeTurnsOnOneConnection) {
  PoolBench bench;
  for (int i = 0; i < 20; ++i) {
    const auto session = bench.Open("w1");
    bench.Say(session, Verb::kRead, "READ a");
    ASSERT_EQ(bench.statements.size(), 1U);
    EXPECT_EQ(bench.statements[0].statement.text, "READ a");
    bench.Succeed();
    ASSERT_EQ(bench.replies[session].size(), 1U);
    EXPECT_EQ(bench.replies[session][0].text, "receipt");
  }
  EXPECT_EQ(bench.opened, 1);
}

TEST(SharedPool, ConnectionServesOneWorkspaceOnly) {
  PoolBench bench;
  for (const auto* workspace : {"w1", "w2"}) {
    const auto session = bench.Open(workspace);
    bench.Say(session, Verb::kRead, "READ a");
    bench.Succeed();
  }
  EXPECT_EQ(bench.opened, 2);
}

TEST(SharedPool, OptionsOfOneSessionAreNotSeenByTheNext) {
  PoolBench bench;
  const auto first = bench.Open("w1");
  bench.Say(first, Verb::kSetOption, "", "o", "1");
  bench.Say(first, Verb::kRead, "READ a");
  EXPECT_EQ(bench.statements[0].statement.verb, Verb::kSetOption);
  bench.Succeed();
  EXPECT_EQ(bench.statements[0].statement.verb, Verb::kRead);
  bench.Succeed();
  const auto second = bench.Open("w1");
  bench.Say(second, Verb::kRead, "READ b");
  EXPECT_EQ(bench.statements[0].statement.verb, Verb::kDiscard);
  bench.Succeed();
  EXPECT_EQ(bench.statements[0].statement.text, "READ b");
}

TEST(SharedPool, TransactionKeepsItsConnectionToItself) {
  PoolBench bench;
  const auto first = bench.Open("w1");
  bench.Say(first, Verb::kBegin, "BEGIN");
  const auto held = bench.statements[0].connection;
  bench.Succeed(TxState::kOpen);
  const auto second = bench.Open("w1");
  bench.Say(second, Verb::kRead, "READ a");
  EXPECT_NE(bench.statements[0].connection, held);
  bench.Succeed();
  bench.Say(first, Verb::kWrite, "WRITE a 1");
  EXPECT_EQ(bench.statements[0].connection, held);
  bench.Succeed(TxState::kOpen);
  bench.Say(first, Verb::kCommit, "COMMIT");
  EXPECT_EQ(bench.statements[0].connection, held);
}

TEST(SharedPool, TransactionOfAHostThatIsGoneIsRolledBack) {
  PoolBench bench;
  const auto session = bench.Open("w1");
  bench.Say(session, Verb::kBegin, "BEGIN");
  bench.Succeed(TxState::kOpen);
  bench.Handle(SessionClosed{session});
  ASSERT_EQ(bench.statements.size(), 1U);
  EXPECT_EQ(bench.statements[0].statement.verb, Verb::kRollback);
}

TEST(SharedPool, ConnectionWhoseRollbackWasRefusedIsNotUsedAgain) {
  PoolBench bench;
  const auto first = bench.Open("w1");
  bench.Say(first, Verb::kBegin, "BEGIN");
  const auto used = bench.statements[0].connection;
  bench.Succeed(TxState::kOpen);
  bench.Handle(SessionClosed{first});
  StatementResult refused;
  refused.refusal = Refusal::kBusy;
  refused.state = TxState::kOpen;
  bench.statements.clear();
  bench.Handle(StatementDone{used, refused});
  const auto second = bench.Open("w1");
  bench.Say(second, Verb::kRead, "READ a");
  ASSERT_EQ(bench.statements.size(), 1U);
  EXPECT_NE(bench.statements[0].connection, used);
}

// A host without power says nothing more, not even the end of its connections.
TEST(SharedPool, TransactionOfASilentHostIsEnded) {
  PoolBench bench;
  const auto session = bench.Open("w1");
  bench.Say(session, Verb::kBegin, "BEGIN");
  bench.Succeed(TxState::kOpen);
  bench.Tick(seconds(10));
  EXPECT_EQ(bench.closed, (std::vector<SessionId>{session}));
  ASSERT_EQ(bench.statements.size(), 1U);
  EXPECT_EQ(bench.statements[0].statement.verb, Verb::kRollback);
}

TEST(SharedPool, LostConnectionEndsTheSessionWithoutAnAnswer) {
  PoolBench bench;
  const auto session = bench.Open("w1");
  bench.Say(session, Verb::kWrite, "WRITE a 1");
  bench.Handle(ConnectionLost{bench.statements[0].connection, "reset"});
  EXPECT_EQ(bench.closed, (std::vector<SessionId>{session}));
  EXPECT_TRUE(bench.replies[session].empty());
}

TEST(SharedPool, NothingIsSentToASilentEndpoint) {
  PoolBench bench;
  const auto first = bench.Open("w1");
  bench.Say(first, Verb::kRead, "READ a");
  bench.Tick(Milliseconds(400));
  const auto second = bench.Open("w1");
  bench.Say(second, Verb::kWrite, "WRITE a 1");
  ASSERT_EQ(bench.replies[second].size(), 1U);
  EXPECT_EQ(bench.replies[second][0].refusal, Refusal::kAborted);
  EXPECT_EQ(bench.statements.size(), 1U);
}

TEST(SharedPool, StatementWithoutAConnectionIsRefusedInTime) {
  PoolBench bench;
  bench.dark = true;
  const auto session = bench.Open("w1");
  bench.Say(session, Verb::kRead, "READ a");
  bench.Tick(Milliseconds(160));
  ASSERT_EQ(bench.replies[session].size(), 1U);
  EXPECT_EQ(bench.replies[session][0].refusal, Refusal::kBusy);
}

TEST(SharedPool, LeavingHostEndsSessionsBetweenStatements) {
  PoolBench bench;
  const auto idle = bench.Open("w1");
  const auto open = bench.Open("w1");
  bench.Say(open, Verb::kBegin, "BEGIN");
  bench.Succeed(TxState::kOpen);
  bench.Handle(DrainStarted{});
  EXPECT_EQ(bench.closed, (std::vector<SessionId>{idle}));
  bench.Say(open, Verb::kCommit, "COMMIT");
  bench.Succeed();
  EXPECT_EQ(bench.replies[open].size(), 2U);
  EXPECT_EQ(bench.closed, (std::vector<SessionId>{idle, open}));
}

// ---- which host keeps the connections

limits::SeatView Seats(std::size_t hosts) {
  limits::SeatView seats;
  for (std::size_t i = 0; i < hosts; ++i) {
    seats.holders.push_back("h" + std::to_string(i));
    seats.zones.push_back("z" + std::to_string(i % 3));
    seats.pool_addresses.push_back("10.0.0." + std::to_string(i) + ":1");
  }
  return seats;
}

TEST(ConnectionPath, PoolsAreSharedOnlyWhereConnectionsAreFewerThanNeeded) {
  EXPECT_FALSE(UsesSharedPools(22, Seats(9)));
  EXPECT_TRUE(UsesSharedPools(22, Seats(24)));
  EXPECT_TRUE(UsesSharedPools(53, Seats(90)));
  EXPECT_FALSE(UsesSharedPools(1, Seats(1)));
}

// Load pattern: 24 hosts serve 8 workspaces; each endpoint accepts 22
// connections. Divided, no host could keep one for each workspace. Shared, the
// eight workspaces need eight.
TEST(ConnectionPath, WorkspaceMeetsItsConnectionsFromWhicheverHost) {
  const auto seats = Seats(24);
  const Endpoint endpoint{"e", "g", "e:1", "z1", true, false, 3, 1};
  std::set<std::string> pools;
  for (int w = 0; w < 8; ++w) {
    const auto workspace = "w" + std::to_string(w);
    const auto chosen = ChoosePool(endpoint, workspace, seats, {}, Instant{});
    ASSERT_TRUE(chosen);
    pools.insert(workspace + "@" + chosen->host);
    const auto index = std::stoul(chosen->host.substr(1));
    EXPECT_EQ(seats.zones[index], "z1");
  }
  EXPECT_LE(pools.size(), 22U);
}

TEST(ConnectionPath, HostThatDoesNotAnswerIsPassedOverForAWhile) {
  const auto seats = Seats(24);
  const Endpoint endpoint{"e", "g", "e:1", "z1", true, false, 3, 1};
  const Instant now{seconds(100)};
  const auto first = ChoosePool(endpoint, "w", seats, {}, now);
  std::map<HostId, Instant> avoided{{first->host, now + seconds(1)}};
  const auto second = ChoosePool(endpoint, "w", seats, avoided, now);
  EXPECT_NE(second->host, first->host);
  const auto later =
      ChoosePool(endpoint, "w", seats, avoided, now + seconds(1));
  EXPECT_EQ(later->host, first->host);
}

TEST(ConnectionPath, ZoneWithoutHostsIsReachedThroughOthers) {
  auto seats = Seats(24);
  for (auto& zone : seats.zones) zone = zone == "z1" ? "z0" : zone;
  const Endpoint endpoint{"e", "g", "e:1", "z1", true, false, 3, 1};
  EXPECT_TRUE(ChoosePool(endpoint, "w", seats, {}, Instant{}));
}

// A pool that does not answer says nothing of the endpoint behind it: the
// primary must not be replaced because another host froze.
TEST(ConnectionPath, SilentPoolIsNotBlamedOnThePrimary) {
  RelayBench bench;
  auto seats = Seats(24);
  for (auto& zone : seats.zones) zone = "z1";
  seats.held = {0};
  seats.valid_until = bench.clock.Now() + std::chrono::hours(1);
  bench.Handle(SeatsChanged{seats});
  bench.Tick(seconds(3));  // connections of the time before are closed
  bench.SucceedOwn();
  bench.Tick(seconds(3));
  bench.SucceedOwn();
  bench.health.clear();
  const auto session = bench.Open("strict");
  bench.Say(session, Verb::kWrite, "WRITE x 1");
  for (int i = 0; i < 40; ++i) bench.Tick(Milliseconds(20));
  EXPECT_GT(bench.counters.Get("pools_avoided"), 0U);
  for (const auto& news : bench.health) {
    EXPECT_EQ(news.silent_for, Duration{}) << news.endpoint;
  }
}

}  // namespace
}  // namespace tiller::relay
