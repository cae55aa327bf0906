// Tests that the load tool detects each kind of breach and measures write gaps
// correctly.
#include "Load/session_model.h"

#include <gtest/gtest.h>

#include "Common/json.h"
#include "Load/load_report.h"

namespace tiller::load {
namespace {

Json::Value Rows(const std::string& rows) {
  return ParseJson("{\"rows\":" + rows + "}").value();
}

class SessionModelTest : public testing::Test {
 protected:
  SessionModelTest() {
    m_model.OnWriteAnswered();
    m_model.OnWriteAnswered();
    m_model.OnWriteFailed(RunOutcome::kUnknown);
    m_model.OnWriteFailed(RunOutcome::kNotRun);
  }
  SessionModel m_model{"s1", "w"};
};

TEST_F(SessionModelTest, AcceptsEveryPossibleVersion) {
  EXPECT_EQ(m_model.CheckRead(Rows(R"([["s1","w",2]])")), Breach::kNone);
  EXPECT_EQ(m_model.CheckRead(Rows(R"([["s1","w",3]])")), Breach::kNone);
}

TEST_F(SessionModelTest, DetectsEachBreach) {
  EXPECT_EQ(m_model.CheckRead(Rows(R"([["s1","w",1]])")),
            Breach::kReadYourWrites);
  EXPECT_EQ(m_model.CheckFinal(Rows(R"([["s1","w",1]])")), Breach::kLostWrite);
  EXPECT_EQ(m_model.CheckRead(Rows("[]")), Breach::kReadYourWrites);
  EXPECT_EQ(m_model.CheckRead(Rows(R"([["s1","w",4]])")), Breach::kRunTwice);
  EXPECT_EQ(m_model.CheckRead(Rows(R"([["s1","other",2]])")),
            Breach::kWrongWorkspace);
  EXPECT_EQ(m_model.CheckRead(Rows(R"([["s2","w",2]])")), Breach::kWrongAnswer);
  EXPECT_EQ(m_model.CheckRead(Rows(R"("cut off")")), Breach::kWrongAnswer);
}

TEST(LoadReport, WriteGapRunsFromTheFirstFailedWriteToTheNextAcknowledgement) {
  LoadReport report(Milliseconds(1000), {});
  const auto write = [&](int start_ms, int latency_ms, bool answered) {
    RequestResult result;
    result.operation = Operation::kWrite;
    result.workspace = "w";
    result.intended_start = Milliseconds(start_ms);
    result.latency = Milliseconds(latency_ms);
    result.answered = answered;
    report.Add(result);
  };
  write(0, 10, true);
  write(500, 100, false);
  write(900, 100, false);
  write(1200, 50, true);
  EXPECT_DOUBLE_EQ(report.ToJson()["failover_gap_ms"].asDouble(), 750);
}

}  // namespace
}  // namespace tiller::load
