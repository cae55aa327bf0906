// Implementation of the endpoint protocol.
#include "Endpoint/endpoint_protocol.h"

#include <charconv>

#include "Common/names.h"

namespace tiller::endpoint {
namespace {

constexpr std::size_t kStatusColumns = 7;
constexpr std::size_t kConfirmColumns = 3;

std::uint64_t ToUint(const Cell& cell) {
  std::uint64_t value = 0;
  if (!cell) return value;
  std::from_chars(cell->data(), cell->data() + cell->size(), value);
  return value;
}

bool HasOneRow(const StepResult& result, std::size_t columns) {
  return result.ok && result.rows.size() == 1 &&
         result.rows.front().size() == columns;
}

}  // namespace

Step PlainStep(std::string_view sql) {
  return Step{std::string(sql), {}, false};
}

Step StatusStep() { return PlainStep(kStatusSql); }

Step ConfirmStep(Milliseconds limit) {
  return Step{std::string(kConfirmSql), {std::to_string(limit.count())}, false};
}

Step ExpectStep(Term term) {
  return Step{std::string(kExpectSql), {std::to_string(term)}, false};
}

Step FenceStep(Term term, const std::string& owner) {
  return Step{std::string(kFenceSql), {std::to_string(term), owner}, false};
}

Step PromoteStep(Term term, const std::string& owner) {
  return Step{std::string(kPromoteSql), {std::to_string(term), owner}, false};
}

Step FollowStep(Term term, const std::string& owner,
                const std::string& primary_address) {
  return Step{std::string(kFollowSql),
              {std::to_string(term), owner, primary_address},
              false};
}

Step SetWorkspaceStep(const WorkspaceId& workspace) {
  return Step{std::string(kSetWorkspaceSql), {workspace}, false};
}

Result<EndpointStatus> ParseStatus(const StepResult& result) {
  if (!HasOneRow(result, kStatusColumns)) {
    return MakeError(ErrorCode::kMessageInvalid,
                     "status is not one row of 7 columns");
  }
  const auto& row = result.rows.front();
  const auto role = ValueOf<Role>(kRoleNames, row[0].value_or(""));
  if (!role) return MakeError(ErrorCode::kMessageInvalid, "unknown role");
  EndpointStatus status;
  status.role = *role;
  status.term = ToUint(row[1]);
  status.applied = ToUint(row[2]);
  status.received = ToUint(row[3]);
  status.fence_term = ToUint(row[4]);
  status.fence_owner = row[5].value_or("");
  status.primary_silence = Milliseconds(ToUint(row[6]));
  return status;
}

Result<Confirmation> ParseConfirmation(const StepResult& result) {
  if (!HasOneRow(result, kConfirmColumns)) {
    return MakeError(ErrorCode::kMessageInvalid,
                     "confirmation is not one row of 3 columns");
  }
  const auto& row = result.rows.front();
  return Confirmation{row[0] == "t", {ToUint(row[1]), ToUint(row[2])}};
}

Error ErrorOf(const StepResult& result) {
  Error error = MakeError(ErrorCode::kStatementFailed, result.message);
  error.sqlstate = result.sqlstate;
  if (result.sqlstate == kNotPrimaryState ||
      result.sqlstate == kReadOnlyTransaction) {
    error.code = ErrorCode::kNotPrimary;
  } else if (result.sqlstate == kStaleTermState) {
    error.code = ErrorCode::kStaleTerm;
  } else if (result.sqlstate == kFencedState) {
    error.code = ErrorCode::kFenced;
  }
  return error;
}

}  // namespace tiller::endpoint
