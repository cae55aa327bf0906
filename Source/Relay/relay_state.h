// State of the relay: sessions and their request in progress, connections to
// endpoints, and the observed state of each group.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "Metering/operation_counts.h"
#include "Relay/answer_history.h"
#include "Relay/endpoint_health.h"
#include "Relay/position_watermarks.h"
#include "Relay/relay_types.h"
#include "Relay/session_values.h"

namespace tiller::relay {

// Progress of a request.
enum class Phase {
  kWaitForToken,       // waits for a rate-limit token of its workspace
  kWaitForConnection,  // waits for a connection
  kBackoff,            // an endpoint was busy; waits before the next attempt
  kRunning             // occupies a connection
};

// The statement of a session that has not been answered yet.
struct Request {
  std::string id;
  Statement statement;
  Instant arrived;
  Instant deadline;  // arrival plus the route's statement timeout
  Phase phase = Phase::kWaitForConnection;
  // When the phase ends: a wait times out, or the backoff is over.
  Instant phase_end;
  int attempts = 0;  // failed attempts so far
  // When it was assigned a connection, and when its statement was sent.
  Instant dispatched{};
  Instant forwarded{};
  // Endpoints that could not serve it. Reads go to others; if none is left, to
  // the primary.
  std::set<EndpointId> excluded;
  ConnectionId connection = 0;
  // The connection that is being opened for it; 0: none.
  ConnectionId pending_connection = 0;
  // The statement itself was sent to an endpoint. Cleared only when it
  // certainly had no effect, so that it may be retried: it is a read, or the
  // endpoint refused it without running it. Never cleared for commits.
  bool sent = false;
  // It may have run outside of its transaction: the endpoint may have refused
  // the BEGIN before it.
  bool may_run_alone = false;
};

// One operation of a caller, over all attempts: after a refusal the caller
// retries by sending the same statement on the same session, under a new
// request id.
struct Operation {
  std::uint64_t text_hash = 0;  // of its first statement
  Instant first_arrived;
  // When the last attempt was refused without any effect; unset while an
  // attempt is in progress.
  std::optional<Instant> refused;
};

struct Session {
  explicit Session(MemoryAccount* memory) : values(kCallerLimits, memory) {}

  SessionId id = 0;
  std::string database;
  std::string key;
  WorkspaceId workspace;
  // The route of the operation or transaction in progress. A changed route
  // applies from the next one.
  Route route;
  Operation operation;
  SessionValues values;
  TxState state = TxState::kIdle;
  bool tx_read_only = false;
  bool tx_wrote = false;
  int tx_answered = 0;  // statements of the transaction that were answered
  Instant tx_arrived;
  // The transaction ended without the caller knowing: its connection was lost,
  // or it was idle for too long. Reported at the caller's next statement.
  bool tx_lost = false;
  // Connection of the open transaction, from the first statement that an
  // endpoint answered to the end of the transaction; 0: none.
  ConnectionId pinned = 0;
  // Position of the newest commit of this session.
  GroupPosition last_commit_position;
  std::optional<Request> request;
  Instant opened;
  Instant last_active;
};

enum class ConnectionState { kOpening, kIdle, kBusy, kPinned };
// Purpose of the statement in progress on a connection. Only kUser carries a
// caller's statement; the relay issues the others itself.
enum class Step {
  kNone,
  kDiscard,
  kSetOption,
  kPrepare,
  kVerify,  // asks for a status, to confirm that earlier steps have run
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
  // Host through whose shared pool this connection runs; empty if it goes
  // directly to the endpoint.
  HostId pool_host_id;
  ZoneId pool_zone;      // of that host
  int pool_version = 0;  // of that pool's protocol
  ConnectionState state = ConnectionState::kOpening;
  SessionId session_id = 0;  // session that occupies it; 0: none
  std::uint64_t admin = 0;   // administrative request it serves; 0: none
  // Options and prepared names that the endpoint has acknowledged, and the size
  // of the statements that were prepared.
  std::map<std::string, std::string> options;
  std::set<std::string> prepared;
  std::size_t prepared_bytes = 0;
  bool in_transaction = false;
  // The transaction was begun by a plain BEGIN, which only a primary accepts.
  bool plain_transaction = false;
  // An option was set inside the transaction, so a rollback may undo it.
  bool options_in_transaction = false;
  // The endpoint's options and prepared names are unknown: DISCARD must be sent
  // first.
  bool dirty = false;
  Step step = Step::kNone;
  // Statement of the current step, without the texts that are not needed once
  // it is sent; see RecordSent.
  Statement sent;
  std::size_t sent_shape_bytes = 0;  // of the statement that is being prepared
  std::optional<GroupPosition> sent_after;  // position that it requires
  AnswerHistory answers;
  // The last acknowledgement of an option, of DISCARD, BEGIN or ROLLBACK may be
  // the repetition of an earlier one, so that the endpoint may have refused it.
  bool setup_unconfirmed = false;
  Instant step_sent;
  Instant step_deadline;
  // The newest position of the group's log that was known when the statement
  // was sent.
  GroupPosition log_before;
  Instant idle_since;
  metering::OperationMark operation;
};

// False if a shared pool may have answered in place of the endpoint: it keeps
// options and prepared statements, and refuses what it does not forward. It
// reports no log position then.
inline bool IsFromEndpoint(const Connection& connection,
                           const StatementResult& result) {
  return connection.pool_host_id.empty() || result.position.has_value();
}

// Other hosts may replace a primary that has been silent for this long.
inline constexpr Milliseconds kReplaceableAfter{600};
// A promotion has taken effect this long after it was called.
inline constexpr Milliseconds kPromotionTime{1'500};

// What this host has observed of a group.
struct GroupState {
  // The newest hold of commits; see HoldCommits.
  struct Hold {
    std::uint64_t token = 0;
    EndpointId target;
    bool active = false;
    bool released = false;
    Instant since{};
    // Commits that were sent before are answered, or no longer passed on.
    bool reported = false;
    // The hold before it was reported and had not ended.
    bool continued = false;
  };

  PositionWatermarks watermarks;
  Term newest_term = 0;
  // The newest position that an endpoint has reported. Its entry may not be
  // acknowledged.
  GroupPosition newest_position;
  // All entries up to here are acknowledged: a commit above `log_before` was
  // answered, or a replica has received them.
  GroupPosition acknowledged;
  GroupPosition reported_acknowledged;  // as in the last PrimaryHealth report
  // An endpoint that answered that it is not the primary. It is not used as the
  // primary until `deposed_until`; cleared when the directory names another.
  EndpointId deposed;
  Instant deposed_until{};
  // Nothing is sent to the primary until then, because a shared pool reported
  // that it does not answer.
  Instant held_until{};
  Hold hold;
  // The primary that the directory names, and the last one that it named.
  EndpointId listed_primary;
  EndpointId last_primary;
  std::string_view logged_risk;  // of its commits
  // The primary has answered again after a silence in which another host may
  // have replaced it. A promotion has taken effect by then.
  Instant primary_uncertain_until{};
  Instant probe_after{};
  // When a caller last read from the group, and the least staleness that one of
  // its routes allows; 0 if there is no such route.
  Instant last_read{};
  Milliseconds staleness{0};
  Instant last_write_answer{};
  Instant last_report{};  // last PrimaryHealth report
  bool reported_silent = false;
  std::optional<Instant> without_primary_since;
  // How long the primary had not answered at the last timer tick.
  Duration silent_for{};
  // The same without the time before this host's ticks were on time. A host
  // that is late itself neither refuses statements nor asks for another primary
  // because of what it has not read yet.
  Duration evident_silence{};
};

}  // namespace tiller::relay
