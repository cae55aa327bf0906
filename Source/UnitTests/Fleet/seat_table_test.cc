// Tests of the list of other hosts that the seat table keeps.
#include "Fleet/seat_table.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

#include "Common/json.h"

namespace tiller::fleet {
namespace {

class PeerList : public testing::Test {
 protected:
  void AddRow(const std::string& host, StoreTime renewed_at) {
    Json::Value value;
    value["host"] = host;
    value["address"] = host + ":9";
    value["zone"] = "z";
    value["renewed"] = Json::Int64(renewed_at.count());
    const std::string key = "000" + std::to_string(m_rows.size());
    m_rows[key] = {key, ToText(value), {1, m_rows.size() + 1}, false};
  }

  ManualClock m_clock;
  SeededRandom m_random{1};
  SeatTable m_seats{{"self", "self:9", "self:8", "z"}, &m_clock, &m_random};
  std::map<std::string, Row> m_rows;
};

TEST_F(PeerList, FollowsRowsAndTheEndsOfLeases) {
  EXPECT_TRUE(m_seats.Peers().empty());
  AddRow("a", StoreTime(10'000));
  AddRow("b", StoreTime(40'000));
  m_seats.Update(m_rows, 1);
  m_seats.Confirm(StoreTime(50'000));
  EXPECT_EQ(m_seats.Peers().size(), 2U);
  m_seats.Confirm(StoreTime(78'000));
  EXPECT_EQ(m_seats.Peers().size(), 2U);
  m_seats.Confirm(StoreTime(78'001));
  ASSERT_EQ(m_seats.Peers().size(), 1U);
  EXPECT_EQ(m_seats.Peers()[0].host, "b");
  AddRow("c", StoreTime(60'000));
  m_seats.Update(m_rows, 1);
  EXPECT_EQ(m_seats.Peers().size(), 2U);
}

// Each event of the control thread copied the list, 295 hosts of three names.
TEST_F(PeerList, IsNotCopiedWhileNothingChanges) {
  AddRow("a", StoreTime(10'000));
  m_seats.Update(m_rows, 1);
  const auto* first = &m_seats.Peers().front();
  const auto* text = first->host.data();
  m_seats.Confirm(StoreTime(20'000));
  EXPECT_EQ(&m_seats.Peers().front(), first);
  EXPECT_EQ(m_seats.Peers().front().host.data(), text);
}

}  // namespace
}  // namespace tiller::fleet
