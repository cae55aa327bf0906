// HTTP API for callers: parses requests and builds responses. docs/API.md
// lists the routes.
#pragma once

#include <string>

#include "Net/http_types.h"
#include "Traffic/traffic_messages.h"

namespace tiller::daemon {

inline constexpr char kSessionHeader[] = "Tiller-Session";
inline constexpr char kIdempotencyHeader[] = "Idempotency-Key";

// Fails with kBadRequest or kRouteUnknown. No part of such a request has been
// executed.
Result<traffic::CallerRequest> ParseCallerRequest(
    const net::HttpRequest& request);
// Builds a 200 response with the reply's body and session token, or a problem
// response if the reply holds an error.
net::HttpResponse MakeCallerResponse(const traffic::Reply& reply);

}  // namespace tiller::daemon
