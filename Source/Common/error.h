// Error type of all modules: a code with a stable name and an HTTP status, and
// whether the failed request took effect.
#pragma once

#include <array>
#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "Common/types.h"

namespace tiller {

// Whether a request took effect. kNotRun is reported only if it is certain that
// the request did not run.
enum class RunOutcome { kNotRun, kUnknown, kDone };
inline constexpr std::array<std::string_view, 3> kRunOutcomeNames = {
    "not_run", "unknown", "done"};

enum class ErrorCode {
  kBadRequest,
  kTooLarge,
  kRouteUnknown,
  kKeyMissing,
  kKeyUnknown,
  kKeyWithdrawn,
  kKeysUnconfirmed,
  kSessionInvalid,
  kSessionForeign,
  kStatementRefused,
  kStatementFailed,
  kRateExceeded,
  kQueueFull,
  kDeadlineExceeded,
  kPrimaryUnavailable,
  kReplicaUnavailable,
  kWorkspaceUnknown,
  kShuttingDown,
  kZoneOut,
  kTransactionUnknown,
  kTransactionBusy,
  kTransactionLimit,
  kTransactionRolledBack,
  kIdempotencyKeyReused,
  kAnswerTooLarge,
  kEndpointLost,
  kNotPrimary,
  kStaleTerm,
  kFenced,
  kNotConfirmed,
  kConnectFailed,
  kTimeout,
  kPlatformUnavailable,
  kConflict,
  kNotFound,
  kSettingInvalid,
  kConfigInvalid,
  kMessageInvalid,
  kInternal,
  kCount
};
inline constexpr std::size_t kErrorCodeCount =
    static_cast<std::size_t>(ErrorCode::kCount);

struct ErrorRow {
  std::string_view name;
  int http_status;
};
inline constexpr std::array<ErrorRow, kErrorCodeCount> kErrorTable = {{
    {"bad_request", 400},
    {"too_large", 413},
    {"route_unknown", 404},
    {"key_missing", 401},
    {"key_unknown", 401},
    {"key_withdrawn", 401},
    {"keys_unconfirmed", 503},
    {"session_invalid", 400},
    {"session_foreign", 403},
    {"statement_refused", 422},
    {"statement_failed", 422},
    {"rate_exceeded", 429},
    {"queue_full", 503},
    {"deadline_exceeded", 504},
    {"primary_unavailable", 503},
    {"replica_unavailable", 503},
    {"workspace_unknown", 404},
    {"shutting_down", 503},
    {"zone_out", 503},
    {"transaction_unknown", 404},
    {"transaction_busy", 409},
    {"transaction_limit", 429},
    {"transaction_rolled_back", 409},
    {"idempotency_key_reused", 422},
    {"answer_too_large", 502},
    {"endpoint_lost", 502},
    {"not_primary", 503},
    {"stale_term", 503},
    {"fenced", 503},
    {"not_confirmed", 504},
    {"connect_failed", 503},
    {"timeout", 504},
    {"platform_unavailable", 503},
    {"conflict", 409},
    {"not_found", 404},
    {"setting_invalid", 400},
    {"config_invalid", 422},
    {"message_invalid", 400},
    {"internal", 500},
}};

constexpr std::string_view NameOf(ErrorCode code) {
  return kErrorTable[static_cast<std::size_t>(code)].name;
}
constexpr int HttpStatusOf(ErrorCode code) {
  return kErrorTable[static_cast<std::size_t>(code)].http_status;
}

struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string detail;
  RunOutcome outcome = RunOutcome::kNotRun;
  // How long a caller should wait before it retries; 0 if unspecified.
  Milliseconds retry_after{0};
  // SQLSTATE of a failed statement; empty for all other errors.
  std::string sqlstate;
};

template <typename T>
using Result =
    boost::outcome_v2::result<T, Error, boost::outcome_v2::policy::all_narrow>;

// Success of an operation without a value.
inline auto Success() { return boost::outcome_v2::success(); }

inline Error MakeError(ErrorCode code, std::string detail = {},
                       RunOutcome outcome = RunOutcome::kNotRun) {
  return Error{code, std::move(detail), outcome, Milliseconds{0}, {}};
}

}  // namespace tiller
