// Entities of the relay: sessions with their request in progress, connections
// to endpoints, and what is known of groups.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "Relay/endpoint_health.h"
#include "Relay/position_marks.h"
#include "Relay/relay_types.h"

namespace tiller::relay {

enum class Phase {
  kToken,       // waits for a token of the workspace's rate
  kConnection,  // waits for a connection
  kPause,       // waits before it is sent again on the same connection
  kRunning      // a connection works for it
};

struct Request {
  std::string id;
  Statement statement;
  Instant arrived;
  Instant deadline;  // the route's limit for one statement
  Phase phase = Phase::kConnection;
  // End of the phase: a wait is given up, a pause is over.
  Instant phase_until;
  int attempts = 0;
  // When a connection began to work for it, and when its statement was sent.
  Instant placed{};
  Instant forwarded{};
  // Endpoints that could not serve it; tried again only when all are excluded.
  std::set<EndpointId> excluded;
  ConnectionId connection = 0;
  // A connection that is being opened for it.
  ConnectionId opening = 0;
  // The statement itself has left for an endpoint at least once in this
  // attempt; never cleared for writes and commits.
  bool sent = false;
};

struct PreparedStatement {
  bool writes = false;
  std::string shape;
};

// One operation of a caller over all its attempts: after a refusal the same
// statement comes again on the same session, under a new id.
struct Operation {
  std::string text;  // of its first statement
  Instant first_arrived;
  // When the last attempt was refused with nothing kept; unset while an
  // attempt is in progress.
  std::optional<Instant> refused;
};

struct Session {
  SessionId id = 0;
  std::string database;
  std::string key;
  WorkspaceId workspace;
  // As of the operation or transaction in progress: a changed route applies
  // from the next one.
  Route route;
  Operation operation;
  std::map<std::string, std::string> options;
  std::map<std::string, PreparedStatement> prepared;
  TxState state = TxState::kIdle;
  bool tx_read_only = false;
  bool tx_wrote = false;
  int tx_answered = 0;  // statements of the transaction that were answered
  Instant tx_arrived;
  // The transaction ended without the caller knowing; said at its next
  // statement.
  bool tx_lost = false;
  // Held from the first forwarded statement to the end of the transaction.
  ConnectionId pinned = 0;
  // Position of the newest commit of this session.
  GroupPosition written;
  std::optional<Request> request;
  Instant last_active;
};

enum class ConnectionState { kOpening, kIdle, kBusy, kPinned };
// What the statement in progress on a connection is for.
enum class Step {
  kNone,
  kDiscard,
  kSetOption,
  kPrepare,
  kBegin,
  kUser,
  kRollback,
  kProbe,
  kAdmin
};

struct Connection {
  ConnectionId id = 0;
  EndpointId endpoint;
  GroupId group;
  WorkspaceId workspace;
  // The host whose shared pool it goes through; empty: direct.
  HostId via;
  ConnectionState state = ConnectionState::kOpening;
  SessionId user = 0;  // 0: none
  std::uint64_t admin = 0;
  // As acknowledged by the endpoint.
  std::map<std::string, std::string> options;
  std::set<std::string> prepared;
  bool in_transaction = false;
  // An option was set inside the transaction: a rollback may undo it.
  bool options_in_transaction = false;
  // Options and prepared names are not known; DISCARD comes first.
  bool dirty = false;
  Step step = Step::kNone;
  Statement sent;  // the statement of the step
  Instant step_sent;
  Instant step_deadline;
  Instant idle_since;
};

struct GroupState {
  PositionMarks marks;
  Term newest_term = 0;
  // An endpoint that refused to lead, until the directory names another.
  EndpointId deposed;
  Instant deposed_until{};
  // A shared pool found the primary silent; nothing is sent to it until then.
  Instant held_until{};
  Instant probe_after{};
  Instant last_write_answer{};
  Instant reported{};
  bool reported_silent = false;
  std::optional<Instant> without_primary_since;
  Duration silent_for{};  // of the primary, as of the last tick
};

}  // namespace tiller::relay
