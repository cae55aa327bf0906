// Input events and output actions of the traffic core.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/error.h"
#include "Common/types.h"
#include "Endpoint/endpoint_protocol.h"
#include "Limits/share_messages.h"
#include "Traffic/traffic_view.h"

namespace tiller::traffic {

using RequestId = std::uint64_t;
using ConnectionId = std::uint64_t;
// Sequence number of an exchange (one pipeline and its results) on a
// connection. The results carry the number of their exchange.
using Generation = std::uint64_t;

struct Statement {
  std::string sql;
  std::vector<endpoint::Cell> parameters;
};

enum class RequestKind {
  kExecute,
  kBatch,
  kBegin,
  kTransactionExecute,
  kCommit,
  kRollback,
  kOpenRoute
};

// --- Events ---

// A request as received from a caller.
struct CallerRequest {
  RequestId id = 0;
  RequestKind kind = RequestKind::kExecute;
  std::string key;    // bearer key; empty if the request has none
  std::string token;  // session token; empty starts a new session
  std::optional<std::string> idempotency_key;
  std::vector<Statement> statements;
  std::string transaction;  // transaction id; empty outside a transaction
  std::string open_route;   // route name for kOpenRoute
  // Maximum age of the data that a read returns; the default if absent.
  std::optional<Milliseconds> max_staleness;
  Milliseconds deadline{0};  // relative to arrival; 0 selects the default
};

// Why a pipeline has no results: it was not sent, its connection was lost or
// closed after sending, the results did not arrive in time, are too large, or
// found no room beside others on this host. kNone: there are results.
enum class PipelineFailure {
  kNone,
  kNotSent,
  kConnectionLost,
  kTimeout,
  kAnswerTooLarge,
  kNoRoom
};

// Outcome of RunPipeline.
struct PipelineDone {
  ConnectionId connection = 0;
  Generation generation = 0;
  PipelineFailure failure = PipelineFailure::kNone;
  // One result per step if failure is kNone.
  std::vector<endpoint::StepResult> results;
};

// Outcome of OpenConnection.
struct ConnectionOpened {
  ConnectionId connection = 0;
  bool ok = false;
};
// An idle connection was closed by the endpoint or the network.
struct ConnectionClosed {
  ConnectionId connection = 0;
};
// The control core published a new view.
struct ViewChanged {
  TrafficViewPtr view;
};
// Another host sent a message about shared limits.
struct ShareMessageArrived {
  HostId from;
  limits::ShareMessage message;
};
// The process is being stopped and exits after `exit_time` at the latest.
struct DrainStarted {
  Duration exit_time{};
};
// Periodic timer, sent every few milliseconds.
struct TimerFired {};

using Event = std::variant<CallerRequest, PipelineDone, ConnectionOpened,
                           ConnectionClosed, ViewChanged, ShareMessageArrived,
                           DrainStarted, TimerFired>;

// --- Actions ---

// Answers a caller's request with a result or an error.
struct Reply {
  RequestId id = 0;
  std::string body;   // JSON result of a successful request
  std::string token;  // updated session token for the caller
  std::optional<Error> error;
};
struct OpenConnection {
  ConnectionId connection = 0;
  EndpointId endpoint;
  std::string address;
};
struct CloseConnection {
  ConnectionId connection = 0;
};
// Runs all steps in order on one connection. PipelineDone reports the outcome.
struct RunPipeline {
  ConnectionId connection = 0;
  Generation generation = 0;
  std::vector<endpoint::Step> steps;
  Milliseconds timeout{0};
};
// Reports an endpoint's status to the control core.
struct EndpointStatusReport {
  EndpointId endpoint;
  endpoint::EndpointStatus status;
};
// Reports to the control core that an endpoint could not be reached or did not
// answer.
struct EndpointUnresponsive {
  EndpointId endpoint;
};
struct SendShareMessage {
  HostId to;
  limits::ShareMessage message;
};

using Action =
    std::variant<Reply, OpenConnection, CloseConnection, RunPipeline,
                 EndpointStatusReport, EndpointUnresponsive, SendShareMessage>;

}  // namespace tiller::traffic
