// The protocol between hosts and endpoints, with everything that the system
// assumes about an endpoint: the SQL calls for the term, position, fence and
// promotion of a database group, and the parsing of their results.
// docs/PLATFORM.md describes these calls.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/error.h"
#include "Common/types.h"

namespace tiller::endpoint {

enum class Role { kReplica, kPrimary, kFenced };
inline constexpr std::array<std::string_view, 3> kRoleNames = {
    "replica", "primary", "fenced"};

// Status that an endpoint reports about itself.
struct EndpointStatus {
  Role role = Role::kReplica;
  // Term of the log history that the endpoint holds.
  Term term = 0;
  // Position of the last log entry that is visible to reads, and of the last
  // one that is stored durably.
  LogPosition applied = 0;
  LogPosition received = 0;
  // Highest term for which the endpoint has accepted a fence, and the owner
  // of that fence.
  Term fence_term = 0;
  std::string fence_owner;
  // On a replica: time since it last received a message from the primary of its
  // term.
  Milliseconds primary_silence{0};
};

// Result of a confirmation call. `confirmed` is true if, after the call began,
// a majority of the group held every entry up to `at.position` in `at.term`.
struct Confirmation {
  bool confirmed = false;
  GroupPosition at;
};

// One value of a parameter or a result. Absent means SQL NULL.
using Cell = std::optional<std::string>;

// One SQL statement of a pipeline.
struct Step {
  std::string sql;
  std::vector<Cell> parameters;
  // Sends a sync after this step, which ends the implicit transaction.
  bool sync_after = false;
};

enum class ColumnType { kText, kInteger, kFloat, kBoolean };

struct Column {
  std::string name;
  ColumnType type = ColumnType::kText;
};

// Result of one step.
struct StepResult {
  bool ok = false;
  // Not executed because an earlier step of its transaction failed.
  bool skipped = false;
  std::string sqlstate;
  std::string message;
  std::vector<Column> columns;
  std::vector<std::vector<Cell>> rows;
  // Number of rows changed, for statements that return no rows.
  std::uint64_t affected = 0;
};

inline constexpr std::string_view kStatusSql = "SELECT * FROM group_status()";
inline constexpr std::string_view kConfirmSql =
    "SELECT * FROM group_confirm($1)";
inline constexpr std::string_view kExpectSql = "SELECT group_expect($1)";
inline constexpr std::string_view kFenceSql =
    "SELECT * FROM group_fence($1, $2)";
inline constexpr std::string_view kPromoteSql =
    "SELECT * FROM group_promote($1, $2)";
inline constexpr std::string_view kFollowSql =
    "SELECT * FROM group_follow($1, $2, $3)";
inline constexpr std::string_view kSetWorkspaceSql =
    "SELECT set_config('tiller.workspace', $1, true)";
inline constexpr std::string_view kBeginSql = "BEGIN";
inline constexpr std::string_view kCommitSql = "COMMIT";
inline constexpr std::string_view kRollbackSql = "ROLLBACK";
// Resets all state that a session may have left in its connection: settings,
// locks, temporary tables and prepared statements.
inline constexpr std::string_view kDiscardSql = "DISCARD ALL";

// Request records: a write with an idempotency key stores one, so that a retry
// returns the stored answer instead of writing again.
inline constexpr std::string_view kClaimRecordSql =
    "INSERT INTO tiller_requests (request_key, digest, expires_at) "
    "VALUES ($1, $2, $3)";
inline constexpr std::string_view kStoreAnswerSql =
    "UPDATE tiller_requests SET answer = $2 WHERE request_key = $1";
inline constexpr std::string_view kReadRecordSql =
    "SELECT digest, answer FROM tiller_requests WHERE request_key = $1";
inline constexpr std::string_view kPurgeRecordsSql =
    "DELETE FROM tiller_requests WHERE request_key IN (SELECT request_key "
    "FROM tiller_requests WHERE expires_at < $1 ORDER BY expires_at LIMIT 2)";

inline constexpr std::string_view kUniqueViolation = "23505";
inline constexpr std::string_view kReadOnlyTransaction = "25006";
// SQLSTATEs with which the group functions refuse a call.
inline constexpr std::string_view kNotPrimaryState = "TL001";
inline constexpr std::string_view kStaleTermState = "TL002";
inline constexpr std::string_view kFencedState = "TL003";

Step StatusStep();
// The endpoint waits for the confirmation for at most `limit`.
Step ConfirmStep(Milliseconds limit);
// Fails the transaction unless the endpoint is the primary of `term`.
Step ExpectStep(Term term);
Step FenceStep(Term term, const std::string& owner);
Step PromoteStep(Term term, const std::string& owner);
Step FollowStep(Term term, const std::string& owner,
                const std::string& primary_address);
Step SetWorkspaceStep(const WorkspaceId& workspace);
Step PlainStep(std::string_view sql);

// Both fail with kMessageInvalid if the result does not have the expected form.
Result<EndpointStatus> ParseStatus(const StepResult& result);
Result<Confirmation> ParseConfirmation(const StepResult& result);

// Maps the SQLSTATE of a failed step to an error code. The code is
// kStatementFailed for SQL errors of the caller's statement.
Error ErrorOf(const StepResult& result);

}  // namespace tiller::endpoint
