// Tests which statements are classified as reads, writes and refused.
#include "Sql/statement_class.h"

#include <gtest/gtest.h>

namespace tiller::sql {
namespace {

struct Case {
  const char* sql;
  StatementClass kind;
};

class ClassifyTest : public testing::TestWithParam<Case> {};

TEST_P(ClassifyTest, Classifies) {
  EXPECT_EQ(Classify(GetParam().sql).kind, GetParam().kind) << GetParam().sql;
}

INSTANTIATE_TEST_SUITE_P(
    Reads, ClassifyTest,
    testing::Values(Case{"SELECT 1", StatementClass::kRead},
                    Case{"SELECT count(*), upper(a) FROM t WHERE b = $1",
                         StatementClass::kRead},
                    Case{"WITH x AS (SELECT 1) SELECT * FROM x",
                         StatementClass::kRead},
                    Case{"VALUES (1, 2)", StatementClass::kRead}));
INSTANTIATE_TEST_SUITE_P(
    Writes, ClassifyTest,
    testing::Values(
        Case{"INSERT INTO t VALUES ($1)", StatementClass::kWrite},
        Case{"UPDATE t SET a = 1", StatementClass::kWrite},
        Case{"DELETE FROM t", StatementClass::kWrite},
        Case{"SELECT * FROM t FOR UPDATE", StatementClass::kWrite},
        Case{"SELECT * INTO u FROM t", StatementClass::kWrite},
        Case{"WITH x AS (DELETE FROM t RETURNING a) SELECT * FROM x",
             StatementClass::kWrite},
        Case{"SELECT nextval('s')", StatementClass::kWrite},
        Case{"SELECT my_function(a) FROM t", StatementClass::kWrite},
        Case{"CREATE TABLE t (a int)", StatementClass::kWrite},
        Case{"EXPLAIN ANALYZE DELETE FROM t", StatementClass::kWrite},
        Case{"this is no SQL", StatementClass::kWrite}));
INSTANTIATE_TEST_SUITE_P(
    Refused, ClassifyTest,
    testing::Values(
        Case{"", StatementClass::kRefused},
        Case{"SELECT 1; SELECT 2", StatementClass::kRefused},
        Case{"COMMIT", StatementClass::kRefused},
        Case{"BEGIN", StatementClass::kRefused},
        Case{"SET tiller.workspace = 'x'", StatementClass::kRefused},
        Case{"SELECT set_config('tiller.workspace', 'x', false)",
             StatementClass::kRefused},
        Case{"SELECT pg_catalog.set_config('a', 'b', true)",
             StatementClass::kRefused},
        Case{"SELECT * FROM group_status()", StatementClass::kRefused},
        Case{"SELECT group_promote(1, 'x')", StatementClass::kRefused},
        Case{"SELECT answer FROM tiller_requests", StatementClass::kRefused},
        Case{"SELECT pg_advisory_lock(1)", StatementClass::kRefused},
        Case{"DO $$ BEGIN PERFORM 1; END $$", StatementClass::kRefused},
        Case{"CALL p()", StatementClass::kRefused},
        Case{"LISTEN x", StatementClass::kRefused},
        Case{"PREPARE p AS SELECT 1", StatementClass::kRefused},
        Case{"COPY t FROM STDIN", StatementClass::kRefused},
        Case{"no SQL but set_config", StatementClass::kRefused}));

TEST(Classify, DetectsStatementsThatLeaveConnectionState) {
  EXPECT_FALSE(Classify("SELECT 1").leaves_state);
  EXPECT_FALSE(Classify("INSERT INTO t VALUES (1)").leaves_state);
  EXPECT_TRUE(Classify("CREATE TEMP TABLE t (a int)").leaves_state);
  EXPECT_TRUE(Classify("SELECT my_function()").leaves_state);
}

TEST(StatementClassCache, EvictsTheLeastRecentlyUsed) {
  StatementClassCache cache(2);
  EXPECT_EQ(cache.Lookup("SELECT 1").kind, StatementClass::kRead);
  EXPECT_EQ(cache.Lookup("DELETE FROM t").kind, StatementClass::kWrite);
  EXPECT_EQ(cache.Lookup("SELECT 1").kind, StatementClass::kRead);
  EXPECT_EQ(cache.Lookup("SELECT 2").kind, StatementClass::kRead);
  EXPECT_EQ(cache.Lookup("DELETE FROM t").kind, StatementClass::kWrite);
}

}  // namespace
}  // namespace tiller::sql
