// Common types of the session relay: statements, results, and the directory of
// routes, workspaces and endpoints on which its decisions are based.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Balance/load_report.h"
#include "Common/types.h"

namespace tiller::relay {

using SessionId = std::uint64_t;
using ConnectionId = std::uint64_t;

enum class Verb {
  kBegin,
  kBeginRead,
  kCommit,
  kRollback,
  kRead,
  kWrite,
  kSetOption,
  kPrepareRead,
  kPrepareWrite,
  kExecute,
  kDeallocate,
  kDiscard,
  kStatus,
  kPause,
  kContinue,
  kStepDown,
  kInvalid
};
inline constexpr std::array<std::string_view, 17> kVerbNames = {
    "begin",      "begin_read", "commit",       "rollback",      "read",
    "write",      "set_option", "prepare_read", "prepare_write", "execute",
    "deallocate", "discard",    "status",       "pause",         "continue",
    "step_down",  "invalid"};
// Whether the statement is one of this service to the endpoint itself, which
// uses no state of a session.
constexpr bool IsAdministrative(Verb verb) {
  return verb == Verb::kStatus || verb == Verb::kPause ||
         verb == Verb::kContinue || verb == Verb::kStepDown;
}

struct Statement {
  Verb verb = Verb::kInvalid;
  // As received; forwarded unchanged for reads, writes and commits.
  std::string text;
  // Name of the option or prepared statement.
  std::string name;
  // Value of the option, shape of the prepared statement, or arguments of an
  // execution.
  std::string argument;
};

// Why a statement did not succeed. After kInDoubt and kTimeout it may or may
// not have taken effect; kFailed says that it ran and failed; all others
// guarantee that it had no effect.
enum class Refusal {
  kNone,
  kBusy,
  kAborted,
  kLagging,
  kReadOnly,
  kMisrouted,
  kTooMany,
  kInDoubt,
  kTimeout,
  kFailed,
  kNoStatement,
  kNoAuth,
  kNoDatabase,
  kTooLarge,
  kMalformed
};
inline constexpr std::array<std::string_view, 15> kRefusalNames = {
    "none",         "busy",     "aborted",     "lagging",   "read_only",
    "misrouted",    "too_many", "in_doubt",    "timeout",   "failed",
    "no_statement", "no_auth",  "no_database", "too_large", "malformed"};

// Transaction state of a session, reported with every result.
enum class TxState { kIdle, kOpen, kFailed };
inline constexpr std::array<std::string_view, 3> kTxStateNames = {
    "idle", "open", "failed"};

// State that an endpoint reports in answer to an administrative statement
// (kStatus, kPause, kContinue, kStepDown).
struct EndpointStatus {
  bool primary = false;
  Term term = 0;
  GroupPosition received;
  // It accepts nothing from primaries whose term is lower than this; 0: not
  // paused.
  Term paused_below = 0;
};

struct StatementResult {
  std::vector<std::string> rows;
  Refusal refusal = Refusal::kNone;
  // On success the endpoint's receipt, otherwise a human-readable detail.
  std::string text;
  TxState state = TxState::kIdle;
  std::optional<GroupPosition> position;
  std::optional<EndpointStatus> status;     // only of administrative statements
  std::optional<balance::LoadReport> load;  // only of a shared pool
  bool Ok() const { return refusal == Refusal::kNone; }
};

enum class RouteKind { kPrimary, kBoundedStaleness, kReadYourWrites };
inline constexpr std::array<std::string_view, 3> kRouteKindNames = {
    "primary", "bounded_staleness", "read_your_writes"};

struct Route {
  std::string name;
  std::string database;
  RouteKind kind = RouteKind::kPrimary;
  GroupId group;
  Milliseconds statement_timeout{0};
  Milliseconds target_latency{0};
  Milliseconds max_staleness{0};
  int priority = 0;   // 0 is the highest
  bool open = false;  // accepts sessions without a known key
};

// Workspace of sessions without a known key, on routes that are open to all.
inline constexpr char kNoWorkspace[] = "-";

struct Workspace {
  WorkspaceId name;
  double rate = 0;   // operations per second over all hosts
  double burst = 0;  // operations
};

struct Group {
  GroupId name;
  std::size_t max_connections = 0;  // per endpoint, from all hosts together
  EndpointId primary;               // empty: unknown
  // Other endpoints whose rows say that they are the primary.
  std::vector<EndpointId> other_primaries;
  // A commit is acknowledged only once a replica has received it.
  bool synchronous = false;
};

struct Endpoint {
  EndpointId id;
  GroupId group;
  std::string address;
  ZoneId zone;
  bool primary = false;  // as reported by the endpoint itself
  bool leaving = false;  // draining, or its zone is taken out of service
  std::size_t slots = 1;
  // Start of its process, Unix time in milliseconds.
  // Counts the reports of this process; 0: unknown.
  std::uint64_t report_number = 0;
  std::uint64_t process_start_ms = 0;
};

// Snapshot of the configuration and of the endpoints' state. Immutable once
// published to the traffic thread.
struct Directory {
  std::uint64_t version = 0;
  std::unordered_map<std::string, Route> routes;  // by database
  std::unordered_map<std::string, WorkspaceId> keys;
  std::map<WorkspaceId, Workspace> workspaces;
  std::map<GroupId, Group> groups;
  std::map<EndpointId, Endpoint> endpoints;
  // Idle transactions are rolled back after this time; 0: never.
  Milliseconds transaction_idle{0};
};
using DirectoryPtr = std::shared_ptr<const Directory>;

}  // namespace tiller::relay
