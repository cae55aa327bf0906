// State of one accepted request, from admission to its answer.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "Limits/unit_lease.h"
#include "Session/session_token.h"
#include "Traffic/statement_plan.h"
#include "Traffic/traffic_messages.h"

namespace tiller::traffic {

enum class RequestStage { kAwaitTokens, kAwaitRoute, kQueued, kRunning };

struct Request {
  CallerRequest call;
  RequestStage stage = RequestStage::kAwaitTokens;
  Instant arrived;
  Instant deadline;
  // Workspace facts, copied so that a new configuration does not change a
  // request in flight.
  WorkspaceId workspace;
  GroupId group;
  int weight = 1;
  std::string key_id;  // empty on routes open to all

  bool writes = false;        // has to run on the primary
  bool leaves_state = false;  // its connection is reset afterwards
  Duration max_age{};
  session::SessionState session;
  std::string digest;  // of a request with an idempotency key

  EndpointId endpoint;
  ConnectionId connection = 0;
  PlanKind plan = PlanKind::kReplicaRead;
  PlanLayout layout;
  Instant queued;
  Instant dispatched;
  Term term = 0;  // expected by the current attempt
  int attempts = 0;
  Instant not_before{};  // retry delay
  std::set<EndpointId> excluded;
  std::optional<limits::UnitUse> unit;
  // An attempt may have taken effect. Once set it stays set: only a recorded
  // answer can settle what happened.
  bool effect_possible = false;
  // Body of a committed but not yet confirmed answer.
  std::string pending_body;
};

}  // namespace tiller::traffic
