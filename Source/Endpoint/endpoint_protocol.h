// Everything the system assumes about an endpoint, in one place: the SQL
// calls that ask a database group for its term, position, fence and
// promotion, and the parsing of their answers. docs/PLATFORM.md states them.
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

// What an endpoint says about itself.
struct EndpointStatus {
  Role role = Role::kReplica;
  // Term of the history the endpoint holds.
  Term term = 0;
  // Entries visible to reads, and entries held durably.
  LogPosition applied = 0;
  LogPosition received = 0;
  // Highest term the endpoint has promised, and to whom.
  Term fence_term = 0;
  std::string fence_owner;
  // Time since a replica heard from the primary of its term.
  Milliseconds primary_silence{0};
};

// Answer to a confirmation: true when a majority of the group held every
// entry up to `position` in `term`, after the call began.
struct Confirmation {
  bool confirmed = false;
  GroupPosition at;
};

// One value of a result; absent means SQL NULL.
using Cell = std::optional<std::string>;

// One SQL statement of a pipeline.
struct Step {
  std::string sql;
  std::vector<Cell> parameters;
  // Ends the implicit transaction after this step.
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
  // Rows changed, for statements without rows.
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
// Ends everything a session may have left behind: settings, locks, temporary
// tables, prepared statements.
inline constexpr std::string_view kDiscardSql = "DISCARD ALL";

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
// SQLSTATE class for the group functions' own refusals.
inline constexpr std::string_view kNotPrimaryState = "TL001";
inline constexpr std::string_view kStaleTermState = "TL002";
inline constexpr std::string_view kFencedState = "TL003";

Step StatusStep();
// Waits at the endpoint for at most `limit`.
Step ConfirmStep(Milliseconds limit);
// Fails the transaction unless the endpoint is the primary of `term`.
Step ExpectStep(Term term);
Step FenceStep(Term term, const std::string& owner);
Step PromoteStep(Term term, const std::string& owner);
Step FollowStep(Term term, const std::string& owner,
                const std::string& primary_address);
Step SetWorkspaceStep(const WorkspaceId& workspace);
Step PlainStep(std::string_view sql);

// Both fail with kMessageInvalid on an answer of another shape.
Result<EndpointStatus> ParseStatus(const StepResult& result);
Result<Confirmation> ParseConfirmation(const StepResult& result);

// The typed error for a failed step; kStatementFailed for an SQL error of the
// caller's own statement.
Error ErrorOf(const StepResult& result);

}  // namespace tiller::endpoint
