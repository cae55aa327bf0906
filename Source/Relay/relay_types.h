// Vocabulary of the session relay: statements, outcomes, and the directory of
// routes, workspaces and endpoints that decisions are made from.
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

struct Statement {
  Verb verb = Verb::kInvalid;
  // As received; forwarded unchanged for reads, writes and commits.
  std::string text;
  // Option or prepared statement.
  std::string name;
  // Option's value, prepared shape, or the arguments of an execution.
  std::string argument;
};

// Why a statement has no success. kInDoubt and kTimeout promise nothing;
// kFailed says that it ran; all others promise that nothing is kept.
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

// Transaction state as told with every answer.
enum class TxState { kIdle, kOpen, kFailed };
inline constexpr std::array<std::string_view, 3> kTxStateNames = {
    "idle", "open", "failed"};

// What an endpoint says of itself in answer to kStatus, kPause and kin.
struct EndpointStatus {
  bool primary = false;
  Term term = 0;
  GroupPosition received;
  // Term up to which it accepts nothing from a primary; 0: not paused.
  Term paused_below = 0;
};

struct StatementResult {
  std::vector<std::string> rows;
  Refusal refusal = Refusal::kNone;
  // The endpoint's receipt on success, else a detail for people.
  std::string text;
  TxState state = TxState::kIdle;
  std::optional<GroupPosition> position;
  std::optional<EndpointStatus> status;  // of administrative statements
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
  bool open = false;  // needs no key
};

struct Workspace {
  WorkspaceId name;
  double rate = 0;   // operations a second over all hosts
  double burst = 0;  // operations
};

struct Group {
  GroupId name;
  std::size_t max_connections = 0;  // per endpoint, from all hosts together
  EndpointId primary;               // empty: none known
};

struct Endpoint {
  EndpointId id;
  GroupId group;
  std::string address;
  ZoneId zone;
  bool primary = false;  // by its own report
  bool leaving = false;  // draining, or in a zone taken out
  std::size_t slots = 1;
  std::uint64_t born = 0;  // start of its process, Unix milliseconds
};

// Immutable once published to the traffic thread.
struct Directory {
  std::uint64_t version = 0;
  std::unordered_map<std::string, Route> routes;  // by database
  std::unordered_map<std::string, WorkspaceId> keys;
  std::map<WorkspaceId, Workspace> workspaces;
  std::map<GroupId, Group> groups;
  std::map<EndpointId, Endpoint> endpoints;
  Milliseconds transaction_idle{0};  // 0: no limit
};
using DirectoryPtr = std::shared_ptr<const Directory>;

}  // namespace tiller::relay
