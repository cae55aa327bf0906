// Tests of settings files: types, unknown keys, line numbers, and rules between
// settings.
#include "Settings/settings_table.h"

#include <gtest/gtest.h>

#include "Daemon/daemon_settings.h"

namespace tiller::settings {
namespace {

std::vector<Problem> LoadDaemonSettings(const std::string& text,
                                        daemon::DaemonSettings* values) {
  SettingsTable table;
  daemon::Declare(&table, values);
  auto problems = table.LoadText(text);
  if (problems.empty()) problems = daemon::CheckConsistency(*values);
  return problems;
}

TEST(Settings, DefaultsAreConsistent) {
  daemon::DaemonSettings values;
  EXPECT_TRUE(
      LoadDaemonSettings("zone: a\nplatform: 127.0.0.1:1\n", &values).empty());
}

TEST(Settings, ReportsEveryProblemWithItsLine) {
  daemon::DaemonSettings values;
  const auto problems = LoadDaemonSettings(
      "zone: a\nunknown: 1\ncaller_port: 70000\npeers: x\n"
      "key_grace_ms: soon\n",
      &values);
  ASSERT_EQ(problems.size(), 5U);  // including the missing "platform"
  EXPECT_EQ(problems[0].line, 2);
  EXPECT_EQ(problems[1].line, 3);
  EXPECT_EQ(problems[2].line, 4);
  EXPECT_EQ(problems[3].line, 5);
  EXPECT_EQ(problems[4].key, "platform");
}

TEST(Settings, ChecksRulesBetweenSettings) {
  daemon::DaemonSettings values;
  const auto problems = LoadDaemonSettings(
      "zone: a\nplatform: 127.0.0.1:1\nguard_lease_ms: 100\n"
      "tls_certificate: x\n",
      &values);
  EXPECT_EQ(problems.size(), 2U);
}

TEST(Settings, RejectsTextThatIsNotAMap) {
  daemon::DaemonSettings values;
  for (const auto* text : {"", "- a", "zone: [", "\"", "7"}) {
    EXPECT_FALSE(LoadDaemonSettings(text, &values).empty()) << text;
  }
}

}  // namespace
}  // namespace tiller::settings
