// Events that the relay core and the shared pool handle, and actions that they
// return.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Balance/schedule.h"
#include "Limits/seat_view.h"
#include "Limits/share_messages.h"
#include "Metering/operation_counts.h"
#include "Relay/relay_types.h"

namespace tiller::relay {

// ---- events
struct SessionOpened {
  SessionId session = 0;
  std::string database;
  std::string key;
  // Only set by other hosts, instead of a key: whose connections to which
  // endpoint the session uses.
  WorkspaceId workspace;
  EndpointId endpoint;
};
struct StatementReceived {
  SessionId session = 0;
  std::string request_id;
  Statement statement;
  // Only set by other hosts: the position that a read requires, and the term of
  // an administrative statement (kPause, kStepDown).
  std::optional<GroupPosition> after;
  Term term = 0;
  // Only set by hosts that use load reports.
  std::optional<balance::Schedule> schedule;
};
// Another host opened a session to use this host's connections to an endpoint.
struct PoolSessionOpened {
  SessionId session = 0;
  EndpointId endpoint;
  WorkspaceId workspace;
};
struct SessionClosed {
  SessionId session = 0;
};
struct ConnectionOpened {
  ConnectionId connection = 0;
  std::optional<GroupPosition> position;
};
// The endpoint refused the connection, or could not be reached (kNone).
struct ConnectionRefused {
  ConnectionId connection = 0;
  Refusal refusal = Refusal::kNone;
  std::string detail;
};
struct ConnectionLost {
  ConnectionId connection = 0;
  std::string detail;
};
// An answer arrived, not necessarily to the statement in progress.
struct StatementDone {
  ConnectionId connection = 0;
  StatementResult result;
  // It began to arrive before the statement in progress was sent.
  bool early = false;
  // The statement in progress could not be sent. It has been refused without
  // the endpoint.
  bool unsent = false;
};
struct DirectoryChanged {
  DirectoryPtr directory;
};
struct SeatsChanged {
  limits::SeatView seats;
};
struct ShareReceived {
  HostId from;
  limits::ShareMessage message;
};
// A statement that the control thread sends to an endpoint: kStatus, kPause,
// kContinue or kStepDown.
struct AdminRequest {
  std::uint64_t id = 0;
  EndpointId endpoint;
  Verb verb = Verb::kStatus;
  Term term = 0;
};
// How long an endpoint has not answered the shared pool; zero while it answers.
struct EndpointSilence {
  EndpointId endpoint;
  Duration silent_for{};
};
// The primary of the group is being replaced under the claim with this token.
// Commits are passed on again when `released` is set, or when the directory
// names `target` as the primary.
struct HoldCommits {
  GroupId group;
  std::uint64_t token = 0;
  EndpointId target;
  bool released = false;
};
// Commits are passed on until then.
struct CommitLeaseChanged {
  Instant valid_until;
};
// The process is being stopped.
struct DrainStarted {
  // Open transactions may go on for this long.
  Duration transaction_time{};
  // The process exits after this time at the latest.
  Duration exit_time{};
};
struct TimerFired {};

using Event =
    std::variant<SessionOpened, StatementReceived, SessionClosed,
                 ConnectionOpened, ConnectionRefused, ConnectionLost,
                 StatementDone, DirectoryChanged, SeatsChanged, ShareReceived,
                 AdminRequest, EndpointSilence, HoldCommits, CommitLeaseChanged,
                 DrainStarted, TimerFired>;
// Events that the shared pool handles.
using PoolEvent =
    std::variant<PoolSessionOpened, StatementReceived, SessionClosed,
                 ConnectionOpened, ConnectionRefused, ConnectionLost,
                 StatementDone, DirectoryChanged, SeatsChanged, DrainStarted,
                 TimerFired>;

// ---- actions
struct AcceptSession {
  SessionId session = 0;
  WorkspaceId workspace;
};
struct RejectSession {
  SessionId session = 0;
  Refusal refusal = Refusal::kNone;
  std::string text;
};
struct Reply {
  SessionId session = 0;
  StatementResult result;
};
// Closes a session. A request that is still in progress gets no reply.
struct CloseSession {
  SessionId session = 0;
};
struct OpenConnection {
  ConnectionId connection = 0;
  EndpointId endpoint;
  std::string address;
  GroupId group;
  WorkspaceId workspace;
};
struct CloseConnection {
  ConnectionId connection = 0;
};
// Sends a statement to an endpoint. `id` is the caller's request id; it is
// empty for statements that the relay issues itself.
struct SendStatement {
  ConnectionId connection = 0;
  std::string id;
  Statement statement;
  std::optional<GroupPosition> after;
  Term term = 0;  // of kPause and kStepDown
  // Only to shared pools that know it, and only with statements that may wait
  // for a connection.
  std::optional<balance::Schedule> schedule;
};
struct SendShare {
  HostId to;
  limits::ShareMessage message;
};
struct AdminDone {
  std::uint64_t id = 0;
  EndpointId endpoint;
  bool answered = false;
  StatementResult result;
  // The endpoint has answered this host at some time, if not now.
  bool ever_answered = false;
};
// Health of a primary, reported to the control thread. `silent_for` is zero
// while the primary answers.
struct PrimaryHealth {
  GroupId group;
  EndpointId endpoint;  // empty: the report only carries positions
  Duration silent_for{};
  // The endpoint answered that it is not the primary: another endpoint may have
  // been promoted.
  bool deposed = false;
  Term term = 0;  // highest term seen in the group
  // All entries up to this position are acknowledged, as far as this host has
  // seen. Only of groups whose commits are replicated before that.
  GroupPosition acknowledged;
};

// No commit of the group is passed on from now on. All entries up to
// `acknowledged` are acknowledged, as far as this host has seen.
struct CommitsHeld {
  GroupId group;
  std::uint64_t token = 0;  // as in HoldCommits
  GroupPosition acknowledged;
};

// Whether this host is cut off from most primaries. While it is, the load
// balancer should send callers to other hosts.
struct Reachability {
  bool cut_off = false;
};

// Actions that the relay core returns.
using Action = std::variant<AcceptSession, RejectSession, Reply, CloseSession,
                            OpenConnection, CloseConnection, SendStatement,
                            SendShare, AdminDone, PrimaryHealth, CommitsHeld,
                            Reachability, metering::OperationsCounted>;
// Actions that the shared pool returns.
using PoolAction = std::variant<AcceptSession, RejectSession, Reply,
                                CloseSession, OpenConnection, CloseConnection,
                                SendStatement, EndpointSilence>;

}  // namespace tiller::relay
