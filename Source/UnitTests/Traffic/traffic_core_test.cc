// Sends requests through a simulated fleet: consistency, at-most-once
// execution, transactions, failover, limits, and the refusal of invalid input.
#include <gtest/gtest.h>

#include "Common/json.h"
#include "UnitTests/Support/fleet.h"

namespace tiller::test {
namespace {

using std::chrono::seconds;
using traffic::RequestKind;

class TrafficTest : public testing::Test {
 protected:
  TrafficTest() : TrafficTest(FleetOptions{}) {}
  explicit TrafficTest(FleetOptions options) : m_fleet(std::move(options)) {
    EXPECT_TRUE(m_fleet.Settle());
    m_fleet.RunFor(seconds(4));
  }
  std::uint64_t Version(const traffic::Reply& reply) {
    const auto body = ParseJson(reply.body);
    const auto& rows = body.value()["rows"];
    return rows.empty() ? 0 : std::stoull(rows[0][0].asString());
  }
  ErrorCode CodeOf(const std::optional<traffic::Reply>& reply) {
    return reply && reply->error ? reply->error->code : ErrorCode::kCount;
  }
  Fleet m_fleet;
};

TEST_F(TrafficTest, ReadsOwnWriteOnAnotherHostFromAReplica) {
  const auto written = m_fleet.Call(0, m_fleet.Bump("w1", "a"));
  ASSERT_TRUE(written && !written->error);
  auto read = m_fleet.Read("w1", "a");
  read.token = written->token;
  const auto seen = m_fleet.Call(1, read);
  ASSERT_TRUE(seen && !seen->error);
  EXPECT_EQ(Version(*seen), 1U);
  EXPECT_EQ(m_fleet.SumOf("reads_replica"), 1U);
}

TEST_F(TrafficTest, LaggingReplicasRouteSessionReadsToThePrimary) {
  for (const auto& name : m_fleet.EndpointNames()) {
    m_fleet.SetLag(name, seconds(5));
  }
  const auto written = m_fleet.Call(0, m_fleet.Bump("w1", "a"));
  ASSERT_TRUE(written && !written->error);
  auto read = m_fleet.Read("w1", "a");
  read.token = written->token;
  const auto seen = m_fleet.Call(2, read);
  ASSERT_TRUE(seen && !seen->error);
  EXPECT_EQ(Version(*seen), 1U);
  EXPECT_EQ(m_fleet.SumOf("reads_primary"), 1U);
}

TEST_F(TrafficTest, MaxStalenessIsRespected) {
  for (const auto& name : m_fleet.EndpointNames()) {
    m_fleet.SetLag(name, seconds(60));
  }
  ASSERT_TRUE(m_fleet.Call(0, m_fleet.Bump("w1", "a")));
  m_fleet.RunFor(seconds(3));
  auto read = m_fleet.Read("w1", "a");
  read.max_staleness = Milliseconds(1'000);
  const auto recent = m_fleet.Call(0, read);
  ASSERT_TRUE(recent && !recent->error);
  EXPECT_EQ(Version(*recent), 1U);
  read.max_staleness = Milliseconds(60'000);
  const auto stale = m_fleet.Call(0, read);
  ASSERT_TRUE(stale && !stale->error);
  EXPECT_EQ(Version(*stale), 0U);
}

TEST_F(TrafficTest, RepeatedIdempotencyKeyReturnsTheFirstAnswerOnAnyHost) {
  auto write = m_fleet.Bump("w1", "a");
  write.idempotency_key = "k1";
  const auto first = m_fleet.Call(0, write);
  const auto second = m_fleet.Call(1, write);
  ASSERT_TRUE(first && second && !first->error && !second->error);
  EXPECT_EQ(first->body, second->body);
  auto read = m_fleet.Read("w1", "a");
  read.token = second->token;
  EXPECT_EQ(Version(*m_fleet.Call(2, read)), 1U);
  write.statements = {{kBumpSql, {"b"}}};
  EXPECT_EQ(CodeOf(m_fleet.Call(0, write)), ErrorCode::kIdempotencyKeyReused);
}

TEST_F(TrafficTest,
       UnkeyedWriteWithALostAnswerHasUnknownOutcomeAndIsNotRetried) {
  const auto primary = m_fleet.Primary();
  bool injected = false;
  m_fleet.SetStageHook(
      [&](Stage stage, const std::string& kind, const std::string&) {
        if (injected || stage != Stage::kAfterEffect || kind != "write") return;
        injected = true;
        m_fleet.SilenceConnections(primary);
      });
  auto write = m_fleet.Bump("w1", "a");
  write.deadline = Milliseconds(1'500);
  const auto reply = m_fleet.Call(0, write);
  ASSERT_TRUE(reply && reply->error);
  EXPECT_EQ(reply->error->outcome, RunOutcome::kUnknown);
  m_fleet.RunFor(seconds(5));
  EXPECT_EQ(m_fleet.Endpoint(m_fleet.Primary()).VersionOf("w1", "a"), 1U);
}

TEST_F(TrafficTest, KeyedWriteSucceedsWhenThePrimaryFailsAfterExecutingIt) {
  bool injected = false;
  m_fleet.SetStageHook(
      [&](Stage stage, const std::string& kind, const std::string& endpoint) {
        if (injected || stage != Stage::kAfterEffect || kind != "finish")
          return;
        injected = true;
        m_fleet.KillEndpoint(endpoint);
      });
  auto write = m_fleet.Bump("w1", "a");
  write.idempotency_key = "k1";
  const auto started = m_fleet.Now();
  const auto reply = m_fleet.Call(0, write);
  ASSERT_TRUE(reply && !reply->error);
  // Availability goal: a failover interrupts writes for less than 2 s.
  EXPECT_LT(m_fleet.Now() - started, seconds(2));
  EXPECT_EQ(m_fleet.Endpoint(m_fleet.Primary()).VersionOf("w1", "a"), 1U);
}

TEST_F(TrafficTest, IsolatedPrimaryAcknowledgesNoWrites) {
  const auto primary = m_fleet.Primary();
  // Host 0 and the primary can reach each other but nothing else.
  std::set<std::string> others{"platform", "host1", "host2"};
  for (const auto& name : m_fleet.EndpointNames()) others.insert(name);
  others.erase(primary);
  m_fleet.Cut(primary, others);
  others.erase("platform");
  m_fleet.Cut("host0", others);
  auto write = m_fleet.Bump("w1", "a");
  write.deadline = Milliseconds(3'000);
  const auto reply = m_fleet.Call(0, write);
  ASSERT_TRUE(reply && reply->error);
  EXPECT_EQ(reply->error->outcome, RunOutcome::kUnknown);
  m_fleet.RunFor(seconds(5));
  const auto write_on_other_host = m_fleet.Call(1, m_fleet.Bump("w1", "a"));
  ASSERT_TRUE(write_on_other_host && !write_on_other_host->error);
  m_fleet.Heal();
  m_fleet.RunFor(seconds(8));
  // The entry that was never acknowledged is discarded, and the old primary
  // reports that.
  for (const auto& name : m_fleet.EndpointNames()) {
    EXPECT_EQ(m_fleet.Endpoint(name).VersionOf("w1", "a"), 1U) << name;
  }
  EXPECT_EQ(m_fleet.Endpoint(primary).Member().State().discarded, 1U);
}

TEST_F(TrafficTest, HostPartitionedFromThePrimaryReportsNotReady) {
  int host = 0;
  while (m_fleet.ZoneOf(host) == m_fleet.ZoneOfEndpoint(m_fleet.Primary())) {
    ++host;
  }
  m_fleet.Cut(m_fleet.HostNode(host), {m_fleet.Primary()});
  m_fleet.RunFor(seconds(5));
  // The load balancer sends no requests to a host that is not ready.
  EXPECT_FALSE(m_fleet.Control(host).Ready());
  EXPECT_TRUE(m_fleet.Control((host + 1) % 3).Ready());
  // The other hosts can reach the primary, so it is not replaced: the only
  // failover is the one at startup.
  EXPECT_EQ(m_fleet.SumOf("failovers"), 1U);
  m_fleet.Heal();
  m_fleet.RunFor(seconds(5));
  EXPECT_TRUE(m_fleet.Control(host).Ready());
}

TEST_F(TrafficTest, TransactionIsRolledBackWhenItsKeyIsWithdrawn) {
  auto begin = m_fleet.Bump("w2", "a");
  begin.kind = RequestKind::kBegin;
  begin.statements.clear();
  const auto begun = m_fleet.Call(0, begin);
  ASSERT_TRUE(begun && !begun->error);
  auto step = m_fleet.Bump("w2", "a");
  step.kind = RequestKind::kTransactionExecute;
  step.transaction = StringOr(ParseJson(begun->body).value(), "transaction");
  ASSERT_FALSE(m_fleet.Call(0, step)->error);
  Json::Value arguments;
  arguments["name"] = "w2-key";
  m_fleet.Operate(1, control::OperatorVerb::kKeyWithdraw, arguments,
                  [](const Result<Json::Value>&) {});
  m_fleet.RunFor(seconds(3));
  EXPECT_EQ(m_fleet.Traffic(0).OpenTransactions(), 0U);
  EXPECT_EQ(m_fleet.Endpoint(m_fleet.Primary()).VersionOf("w2", "a"), 0U);
}

TEST_F(TrafficTest, LostCommitAnswerIsResolvedFromItsRecordOnAnotherHost) {
  auto begin = m_fleet.Bump("w1", "a");
  begin.kind = RequestKind::kBegin;
  begin.statements.clear();
  const auto begun = m_fleet.Call(0, begin);
  ASSERT_TRUE(begun && !begun->error);
  auto step = m_fleet.Bump("w1", "a");
  step.kind = RequestKind::kTransactionExecute;
  step.transaction = StringOr(ParseJson(begun->body).value(), "transaction");
  ASSERT_FALSE(m_fleet.Call(0, step)->error);
  auto commit = step;
  commit.kind = RequestKind::kCommit;
  commit.statements.clear();
  commit.idempotency_key = "c1";
  m_fleet.SetStageHook(
      [&](Stage stage, const std::string& kind, const std::string&) {
        if (stage != Stage::kAfterEffect || kind != "claim") return;
        m_fleet.KillHost(0);
      });
  EXPECT_FALSE(m_fleet.Call(0, commit, seconds(2)));
  m_fleet.SetStageHook(nullptr);
  const auto resolved = m_fleet.Call(1, commit);
  ASSERT_TRUE(resolved && !resolved->error);
  commit.idempotency_key = "c2";
  const auto unknown = m_fleet.Call(1, commit);
  ASSERT_TRUE(unknown && unknown->error);
  EXPECT_EQ(unknown->error->outcome, RunOutcome::kUnknown);
}

TEST_F(TrafficTest, InvalidInputIsRefusedWithASpecificErrorCode) {
  auto request = m_fleet.Read("w1", "a");
  request.key.clear();
  EXPECT_EQ(CodeOf(m_fleet.Call(0, request)), ErrorCode::kKeyMissing);
  request.key = "nonsense";
  EXPECT_EQ(CodeOf(m_fleet.Call(0, request)), ErrorCode::kKeyUnknown);
  request = m_fleet.Read("w1", "a");
  request.token = "forged";
  EXPECT_EQ(CodeOf(m_fleet.Call(0, request)), ErrorCode::kSessionInvalid);
  const auto foreign = m_fleet.Call(0, m_fleet.Bump("w2", "a"));
  request.token = foreign->token;
  EXPECT_EQ(CodeOf(m_fleet.Call(0, request)), ErrorCode::kSessionForeign);
  request = m_fleet.Read("w1", "a");
  request.statements = {{"COMMIT", {}}};
  EXPECT_EQ(CodeOf(m_fleet.Call(0, request)), ErrorCode::kStatementRefused);
  request.statements.clear();
  EXPECT_EQ(CodeOf(m_fleet.Call(0, request)), ErrorCode::kBadRequest);
  request = m_fleet.Bump("w1", "a");
  request.kind = RequestKind::kTransactionExecute;
  request.transaction = "h9-unknown";
  EXPECT_EQ(CodeOf(m_fleet.Call(0, request)), ErrorCode::kTransactionUnknown);
  EXPECT_FALSE(m_fleet.Call(0, m_fleet.Read("w1", "a"))->error);
}

class RateLimitTest : public TrafficTest {
 protected:
  static FleetOptions Limited() {
    FleetOptions options;
    options.rate = 60;
    options.burst = 30;
    return options;
  }
  RateLimitTest() : TrafficTest(Limited()) {}
};

TEST_F(RateLimitTest, OverloadedWorkspaceGetsItsRateWithoutAffectingOthers) {
  int normal_sent = 0;
  int normal_served = 0;
  int overloaded_served = 0;
  const auto began = m_fleet.Now();
  for (int i = 0; i < 2000; ++i) {
    const int host = i % 3;
    for (int j = 0; j < 3; ++j) {
      m_fleet.Send(host, m_fleet.Read("w2", "x"), [&](const auto& reply) {
        if (!reply.error) ++overloaded_served;
      });
    }
    // 50 requests per second, below this workspace's rate of 60.
    if (i % 4 == 0) {
      ++normal_sent;
      m_fleet.Send(host, m_fleet.Read("w1", "x"), [&](const auto& reply) {
        if (!reply.error) ++normal_served;
      });
    }
    m_fleet.RunFor(Milliseconds(5));
  }
  const double offered =
      std::chrono::duration<double>(m_fleet.Now() - began).count();
  m_fleet.RunFor(seconds(2));
  const double elapsed =
      std::chrono::duration<double>(m_fleet.Now() - began).count();
  EXPECT_EQ(normal_served, normal_sent);
  EXPECT_LE(overloaded_served, 30 + 60 * elapsed);
  EXPECT_GE(overloaded_served, 0.9 * 60 * offered);
}

}  // namespace
}  // namespace tiller::test
