// Checks of configurations and questionnaires: every fault is named at once.
#include "Config/config.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "Common/json.h"
#include "Config/questionnaire.h"

namespace tiller::config {
namespace {

std::string FixedHex(int bytes) {
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

TEST(Questionnaire, MakesAConfigurationThatPassesItsChecks) {
  const auto made = GenerateConfig(kAnswers, &FixedHex);
  ASSERT_TRUE(made.problems.empty()) << Describe(made.problems);
  EXPECT_EQ(made.config.seats.size(), 4U);
  EXPECT_EQ(made.config.FindWorkspace("w")->burst, 10);
  ASSERT_EQ(made.keys.size(), 1U);
  EXPECT_EQ(ToText(ToJson(made.config)).find(made.keys[0].text),
            std::string::npos);
  const auto again = CheckConfig(ToJson(made.config));
  EXPECT_TRUE(again.problems.empty());
  EXPECT_TRUE(Diff(made.config, again.config).empty());
}

TEST(Questionnaire, NamesEveryFaultWithItsLine) {
  std::string text = kAnswers;
  text.replace(text.find("rate: 10"), 8, "rate: fast");
  text.replace(text.find("slots: 3"), 8, "spots: 3");
  const auto made = GenerateConfig(text, &FixedHex);
  const auto all = Describe(made.problems);
  EXPECT_NE(all.find("rate"), std::string::npos);
  EXPECT_NE(all.find("spots"), std::string::npos);
  EXPECT_NE(all.find("slots"), std::string::npos);
  EXPECT_NE(all.find("line 9"), std::string::npos) << all;
}

TEST(Questionnaire, RefusesTextThatIsNoYaml) {
  for (const auto* text : {"", "[", "a: b: c", "- 1\n- 2", "\t", "{}"}) {
    EXPECT_FALSE(GenerateConfig(text, &FixedHex).problems.empty()) << text;
  }
}

TEST(Config, RefusesWhatDoesNotFitTogether) {
  const auto good = ToJson(GenerateConfig(kAnswers, &FixedHex).config);
  const auto problems = [&](const std::function<void(Json::Value*)>& change) {
    auto json = good;
    change(&json);
    return CheckConfig(json).problems.size();
  };
  EXPECT_EQ(problems([](Json::Value*) {}), 0U);
  EXPECT_GT(problems([](Json::Value* j) { (*j)["extra"] = 1; }), 0U);
  EXPECT_GT(problems([](Json::Value* j) { (*j)["session_secret"] = "short"; }),
            0U);
  EXPECT_GT(problems([](Json::Value* j) {
              (*j)["groups"][0]["endpoints"].resize(2);
            }),
            0U);
  EXPECT_GT(
      problems([](Json::Value* j) { (*j)["workspaces"][0]["group"] = "none"; }),
      0U);
  EXPECT_GT(
      problems([](Json::Value* j) { (*j)["keys"].append((*j)["keys"][0]); }),
      0U);
  EXPECT_GT(problems([](Json::Value* j) { (*j)["keys"][0]["sha256"] = "x"; }),
            0U);
  EXPECT_GT(problems([](Json::Value* j) { *j = 7; }), 0U);
}

}  // namespace
}  // namespace tiller::config
