// Configuration changes take effect on every host and are never reverted, and
// keys are honoured only while no accepted withdrawal can have been missed.
#include <gtest/gtest.h>

#include "Common/json.h"
#include "UnitTests/Support/service_simulation.h"

namespace tiller::test {
namespace {

using std::chrono::seconds;

SimulationOptions SixHostOptions() {
  SimulationOptions options;
  options.hosts = 6;
  options.seats = 6;
  return options;
}

class ConfigStateTest : public testing::Test {
 protected:
  ConfigStateTest() : m_simulation(SixHostOptions()) {
    EXPECT_TRUE(m_simulation.RunUntilReady());
    m_simulation.RunFor(seconds(24));
  }
  // Withdraws the key of w2 through a host. Returns the result, or nothing if
  // there is none within the limit.
  std::optional<Result<Json::Value>> Withdraw(int host, Duration limit) {
    std::optional<Result<Json::Value>> out;
    Json::Value arguments;
    arguments["name"] = "w2-key";
    m_simulation.SendOperatorCommand(
        host, control::OperatorVerb::kKeyWithdraw, arguments,
        [&out](const Result<Json::Value>& result) { out = result; });
    m_simulation.RunUntil([&out] { return out.has_value(); }, limit);
    return out;
  }
  // Error of a read with the workspace's key; nothing if the read succeeds,
  // kInternal if there is no reply.
  std::optional<ErrorCode> ReadError(int host, const std::string& workspace) {
    auto request = m_simulation.MakeRead(workspace, "x");
    request.deadline = Milliseconds(2000);
    const auto reply = m_simulation.Call(host, request);
    if (!reply) return ErrorCode::kInternal;
    return reply->error ? std::optional(reply->error->code) : std::nullopt;
  }
  ServiceSimulation m_simulation;
};

TEST_F(ConfigStateTest, WithdrawnKeyIsRefusedByEveryHost) {
  EXPECT_FALSE(ReadError(5, "w2"));
  const auto result = Withdraw(0, seconds(5));
  ASSERT_TRUE(result && *result);
  m_simulation.RunFor(seconds(1));
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(ReadError(i, "w2"), ErrorCode::kKeyWithdrawn) << i;
    EXPECT_FALSE(ReadError(i, "w1")) << i;
  }
}

TEST_F(ConfigStateTest, IsolatedZoneStopsHonouringKeys) {
  m_simulation.DisconnectZone("z1", true);
  const auto result = Withdraw(1, seconds(5));
  ASSERT_TRUE(result && *result);
  m_simulation.RunFor(seconds(10));
  EXPECT_EQ(ReadError(0, "w2"), ErrorCode::kKeysUnconfirmed);
  EXPECT_EQ(ReadError(1, "w2"), ErrorCode::kKeyWithdrawn);
}

TEST_F(ConfigStateTest, MajorityConfirmedOutageKeepsKeysValid) {
  m_simulation.SetPlatformMode(PlatformMode::kDown);
  m_simulation.RunFor(seconds(120));
  for (int i = 0; i < 6; ++i) EXPECT_FALSE(ReadError(i, "w1")) << i;
}

TEST_F(ConfigStateTest, MinorityWithPlatformAccessCannotAcceptChanges) {
  // Only the hosts of z1 reach the platform, and they reach no other hosts.
  for (const auto* zone : {"z1"}) m_simulation.DisconnectZone(zone, false);
  for (int i = 0; i < 6; ++i) {
    if (m_simulation.ZoneOfHost(i) != "z1") {
      m_simulation.Disconnect(m_simulation.HostNode(i), {"platform"});
    }
  }
  m_simulation.RunFor(seconds(15));
  // The majority concludes that the platform is down and continues to honour
  // keys.
  EXPECT_FALSE(ReadError(1, "w2"));
  // This is safe because no withdrawal can be accepted in the meantime.
  const auto result = Withdraw(0, seconds(12));
  ASSERT_TRUE(result);
  EXPECT_FALSE(*result);
  EXPECT_EQ(result->error().outcome, RunOutcome::kNotRun);
}

TEST_F(ConfigStateTest, ConcurrentChangesAreAllAccepted) {
  int accepted = 0;
  for (int i = 0; i < 3; ++i) {
    Json::Value arguments;
    arguments["name"] = "k" + std::to_string(i);
    arguments["workspace"] = "w1";
    arguments["sha256"] = std::string(63, 'a') + std::to_string(i);
    m_simulation.SendOperatorCommand(i, control::OperatorVerb::kKeyAdd,
                                     arguments,
                                     [&](const Result<Json::Value>& result) {
                                       if (result) ++accepted;
                                     });
  }
  m_simulation.RunFor(seconds(10));
  EXPECT_EQ(accepted, 3);
  for (int i = 0; i < 6; ++i) {
    EXPECT_EQ(m_simulation.Control(i).Configuration().Version(), 4U);
    EXPECT_EQ(m_simulation.Control(i).Configuration().Current()->keys.size(),
              5U);
  }
}

TEST_F(ConfigStateTest, LostCommitAnswerIsResolved) {
  m_simulation.SetPlatformMode(PlatformMode::kLoseAnswers);
  std::optional<Result<Json::Value>> out;
  Json::Value arguments;
  arguments["name"] = "w2-key";
  m_simulation.SendOperatorCommand(
      0, control::OperatorVerb::kKeyWithdraw, arguments,
      [&out](const Result<Json::Value>& result) { out = result; });
  m_simulation.RunFor(seconds(4));
  m_simulation.SetPlatformMode(PlatformMode::kUp);
  m_simulation.RunFor(seconds(10));
  ASSERT_TRUE(out);
  const bool in_force = m_simulation.Control(3).Configuration().Version() == 2;
  const bool unknown = !*out && out->error().outcome == RunOutcome::kUnknown;
  EXPECT_TRUE(unknown || static_cast<bool>(*out) == in_force);
}

TEST_F(ConfigStateTest, HostStartedDuringOutageFetchesConfigurationFromPeers) {
  m_simulation.SetPlatformMode(PlatformMode::kDown);
  m_simulation.RunFor(seconds(2));
  const int new_host = m_simulation.StartHost("z1");
  m_simulation.RunFor(seconds(10));
  EXPECT_EQ(m_simulation.Control(new_host).Configuration().Version(), 1U);
}

TEST_F(ConfigStateTest, OlderConfigurationThatArrivesLateIsIgnored) {
  const auto old =
      config::ToJson(*m_simulation.Control(1).Configuration().Current());
  const auto result = Withdraw(0, seconds(5));
  ASSERT_TRUE(result && *result);
  m_simulation.RunFor(seconds(1));
  for (int i = 0; i < 6; ++i) {
    m_simulation.Control(i).Handle(
        control::PeerMessageArrived{{"h99", "host0:1", peer::ConfigBody{old}}});
    EXPECT_EQ(m_simulation.Control(i).Configuration().Version(), 2U) << i;
  }
  EXPECT_EQ(ReadError(3, "w2"), ErrorCode::kKeyWithdrawn);
}

TEST_F(ConfigStateTest, InvalidConfigurationIsRejectedWithAllProblems) {
  auto json =
      config::ToJson(*m_simulation.Control(0).Configuration().Current());
  json["groups"][0]["slots"] = 0;
  json["workspaces"][0]["group"] = "nowhere";
  json["surprise"] = 1;
  Json::Value arguments;
  arguments["config"] = json;
  std::optional<Error> error;
  m_simulation.SendOperatorCommand(0, control::OperatorVerb::kConfigApply,
                                   arguments,
                                   [&error](const Result<Json::Value>& result) {
                                     if (!result) error = result.error();
                                   });
  m_simulation.RunFor(seconds(3));
  ASSERT_TRUE(error);
  EXPECT_EQ(error->code, ErrorCode::kConfigInvalid);
  for (const auto* part : {"slots", "nowhere", "surprise"}) {
    EXPECT_NE(error->detail.find(part), std::string::npos) << error->detail;
  }
  EXPECT_EQ(m_simulation.Control(0).Configuration().Version(), 1U);
}

}  // namespace
}  // namespace tiller::test
