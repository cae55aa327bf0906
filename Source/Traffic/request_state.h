// State of a request from its arrival until its reply.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "Limits/unit_lease.h"
#include "Session/session_token.h"
#include "Traffic/statement_plan.h"
#include "Traffic/traffic_messages.h"

namespace tiller::traffic {

// kAwaitRoute covers both waiting for a usable endpoint and retry delays.
enum class RequestStage { kAwaitRateToken, kAwaitRoute, kQueued, kRunning };

struct Request {
  CallerRequest call;
  RequestStage stage = RequestStage::kAwaitRateToken;
  Instant arrived_at;
  Instant deadline;
  // Workspace settings, copied so that a configuration change does not affect
  // a request in flight.
  WorkspaceId workspace;
  GroupId group;
  int weight = 1;
  std::string key_id;  // empty for open routes, which need no key

  bool writes = false;        // must run on the primary
  bool leaves_state = false;  // the connection must be reset afterwards
  Duration max_age{};         // of the data that a read returns
  session::SessionState session;
  // SHA-256 of the statements; set only with an idempotency key.
  std::string digest;

  EndpointId endpoint;
  ConnectionId connection = 0;
  PlanKind plan = PlanKind::kReplicaRead;
  PlanLayout layout;
  Instant queued_at;
  Instant dispatched_at;
  Term term = 0;  // term that the current attempt relies on
  int attempts = 0;
  Instant not_before{};  // earliest time of the next routing attempt
  // Endpoints that the read skips because an attempt there had no success.
  std::set<EndpointId> excluded;
  // Endpoint slot that the running attempt occupies.
  std::optional<limits::UnitUse> slot;
  // An attempt may have been committed. Never cleared: only the stored answer
  // of an idempotency key can show what happened.
  bool effect_possible = false;
  // Reply body, kept until a majority has confirmed the commit.
  std::string pending_body;
};

}  // namespace tiller::traffic
