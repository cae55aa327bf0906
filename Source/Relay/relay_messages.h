// Events that the relay core takes and actions that it returns.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Limits/seat_view.h"
#include "Limits/share_messages.h"
#include "Relay/relay_types.h"

namespace tiller::relay {

// ---- events
struct SessionOpened {
  SessionId session = 0;
  std::string database;
  std::string key;
};
struct StatementReceived {
  SessionId session = 0;
  std::string request_id;
  Statement statement;
  // Only from other hosts: the position that a read needs, and the term of an
  // order to the endpoint.
  std::optional<GroupPosition> after;
  Term term = 0;
};
// Another host uses this one's connections to an endpoint.
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
struct StatementDone {
  ConnectionId connection = 0;
  StatementResult result;
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
// A statement of the control part: kStatus, kPause, kContinue or kStepDown.
struct AdminRequest {
  std::uint64_t id = 0;
  EndpointId endpoint;
  Verb verb = Verb::kStatus;
  Term term = 0;
};
// How long an endpoint has not answered the shared pool; zero when it does.
struct EndpointSilence {
  EndpointId endpoint;
  Duration silent_for{};
};
struct DrainStarted {};
struct TimerFired {};

using Event =
    std::variant<SessionOpened, StatementReceived, SessionClosed,
                 ConnectionOpened, ConnectionRefused, ConnectionLost,
                 StatementDone, DirectoryChanged, SeatsChanged, ShareReceived,
                 AdminRequest, EndpointSilence, DrainStarted, TimerFired>;
// What the shared pool takes.
using PoolEvent =
    std::variant<PoolSessionOpened, StatementReceived, SessionClosed,
                 ConnectionOpened, ConnectionRefused, ConnectionLost,
                 StatementDone, DirectoryChanged, SeatsChanged, DrainStarted,
                 TimerFired>;

// ---- actions
struct AcceptSession {
  SessionId session = 0;
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
// Closes a session that has no request outstanding.
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
// What is sent to an endpoint. `id` is empty for the relay's own statements.
struct SendStatement {
  ConnectionId connection = 0;
  std::string id;
  Statement statement;
  std::optional<GroupPosition> after;
  Term term = 0;  // of kPause and kStepDown
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
};
// News of a primary for the control part; `silent_for` is zero when it answers.
struct PrimaryHealth {
  GroupId group;
  EndpointId endpoint;  // empty: only the term is news
  Duration silent_for{};
  // It refused to lead: another endpoint may have been promoted.
  bool deposed = false;
  Term term = 0;  // newest term seen in the group
};

// Whether this host can reach most primaries; while it can't, callers are
// better served elsewhere.
struct Reachability {
  bool cut_off = false;
};

using Action = std::variant<AcceptSession, RejectSession, Reply, CloseSession,
                            OpenConnection, CloseConnection, SendStatement,
                            SendShare, AdminDone, PrimaryHealth, Reachability>;
using PoolAction = std::variant<AcceptSession, RejectSession, Reply,
                                CloseSession, OpenConnection, CloseConnection,
                                SendStatement, EndpointSilence>;

}  // namespace tiller::relay
