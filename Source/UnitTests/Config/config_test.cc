// Tests that configurations and questionnaires are checked completely: all
// problems are reported together.
#include "Config/config.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "Common/json.h"
#include "Config/questionnaire.h"

namespace tiller::config {
namespace {

std::string FakeRandomHex(int bytes) {
  static int calls = 0;
  return std::string(static_cast<std::size_t>(bytes) * 2 - 1, 'a') +
         std::to_string(calls++ % 10);
}

constexpr char kAnswers[] = R"(
service: demo
hosts_per_zone: 2
zones:
  - {name: a, region: r}
  - {name: b, region: r}
databases:
  - name: db
    slots: 3
    connections: 20
    endpoints:
      - {zone: a, address: "127.0.0.1:1"}
      - {zone: b, address: "127.0.0.1:2"}
      - {zone: b, address: "127.0.0.1:3"}
workspaces:
  - {name: w, database: db, rate: 10}
)";

TEST(Questionnaire, GeneratesAValidConfiguration) {
  const auto generated = GenerateConfig(kAnswers, &FakeRandomHex);
  ASSERT_TRUE(generated.problems.empty()) << Describe(generated.problems);
  EXPECT_EQ(generated.config.seats.size(), 4U);
  EXPECT_EQ(generated.config.FindWorkspace("w")->burst, 10);
  ASSERT_EQ(generated.keys.size(), 1U);
  EXPECT_EQ(ToText(ToJson(generated.config)).find(generated.keys[0].text),
            std::string::npos);
  const auto reparsed = CheckConfig(ToJson(generated.config));
  EXPECT_TRUE(reparsed.problems.empty());
  EXPECT_TRUE(Diff(generated.config, reparsed.config).empty());
}

TEST(Questionnaire, ReportsEveryProblemWithItsLine) {
  std::string text = kAnswers;
  text.replace(text.find("rate: 10"), 8, "rate: fast");
  text.replace(text.find("slots: 3"), 8, "spots: 3");
  const auto generated = GenerateConfig(text, &FakeRandomHex);
  const auto all = Describe(generated.problems);
  EXPECT_NE(all.find("rate"), std::string::npos);
  EXPECT_NE(all.find("spots"), std::string::npos);
  EXPECT_NE(all.find("slots"), std::string::npos);
  EXPECT_NE(all.find("line 9"), std::string::npos) << all;
}

TEST(Questionnaire, RejectsInvalidQuestionnaires) {
  for (const auto* text : {"", "[", "a: b: c", "- 1\n- 2", "\t", "{}"}) {
    EXPECT_FALSE(GenerateConfig(text, &FakeRandomHex).problems.empty()) << text;
  }
}

TEST(Config, RejectsInvalidConfigurations) {
  const auto valid = ToJson(GenerateConfig(kAnswers, &FakeRandomHex).config);
  const auto count_problems =
      [&](const std::function<void(Json::Value*)>& change) {
        auto json = valid;
        change(&json);
        return CheckConfig(json).problems.size();
      };
  EXPECT_EQ(count_problems([](Json::Value*) {}), 0U);
  EXPECT_GT(count_problems([](Json::Value* j) { (*j)["extra"] = 1; }), 0U);
  EXPECT_GT(
      count_problems([](Json::Value* j) { (*j)["session_secret"] = "short"; }),
      0U);
  EXPECT_GT(count_problems([](Json::Value* j) {
              (*j)["groups"][0]["endpoints"].resize(2);
            }),
            0U);
  EXPECT_GT(count_problems([](Json::Value* j) {
              (*j)["workspaces"][0]["group"] = "none";
            }),
            0U);
  EXPECT_GT(count_problems(
                [](Json::Value* j) { (*j)["keys"].append((*j)["keys"][0]); }),
            0U);
  EXPECT_GT(
      count_problems([](Json::Value* j) { (*j)["keys"][0]["sha256"] = "x"; }),
      0U);
  EXPECT_GT(count_problems([](Json::Value* j) { *j = 7; }), 0U);
}

}  // namespace
}  // namespace tiller::config
