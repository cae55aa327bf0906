// Events that enter the traffic part and actions that leave it.
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
// Counts the exchanges on one connection; an answer carries the number of the
// exchange it belongs to.
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

struct CallerRequest {
  RequestId id = 0;
  RequestKind kind = RequestKind::kExecute;
  std::string key;    // bearer key; empty: none
  std::string token;  // session token; empty: a new session
  std::optional<std::string> idempotency_key;
  std::vector<Statement> statements;
  std::string transaction;  // id, for calls within a transaction
  std::string open_route;   // name, for kOpenRoute
  // Accepted age of the data; absent: the default.
  std::optional<Milliseconds> max_staleness;
  Milliseconds deadline{0};  // from arrival; 0: the default
};

enum class PipelineFailure { kNone, kNotSent, kLost, kTimeout };

struct PipelineDone {
  ConnectionId connection = 0;
  Generation generation = 0;
  PipelineFailure failure = PipelineFailure::kNone;
  // One result a step when failure is kNone.
  std::vector<endpoint::StepResult> results;
};

struct ConnectionOpened {
  ConnectionId connection = 0;
  bool ok = false;
};
// An idle connection ended.
struct ConnectionClosed {
  ConnectionId connection = 0;
};
struct ViewChanged {
  TrafficViewPtr view;
};
struct ShareMessageArrived {
  HostId from;
  limits::ShareMessage message;
};
// Time passed; sent every few milliseconds.
struct TimerFired {};

using Event = std::variant<CallerRequest, PipelineDone, ConnectionOpened,
                           ConnectionClosed, ViewChanged, ShareMessageArrived,
                           TimerFired>;

// --- Actions ---

struct Reply {
  RequestId id = 0;
  std::string body;   // JSON of a successful answer
  std::string token;  // session token to hand back
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
// Runs all steps in order on one connection and answers with PipelineDone.
struct RunPipeline {
  ConnectionId connection = 0;
  Generation generation = 0;
  std::vector<endpoint::Step> steps;
  Milliseconds timeout{0};
};
// What the control part learns from traffic.
struct EndpointHeard {
  EndpointId endpoint;
  endpoint::EndpointStatus status;
};
struct EndpointSilent {
  EndpointId endpoint;
};
struct SendShareMessage {
  HostId to;
  limits::ShareMessage message;
};

using Action = std::variant<Reply, OpenConnection, CloseConnection, RunPipeline,
                            EndpointHeard, EndpointSilent, SendShareMessage>;

}  // namespace tiller::traffic
