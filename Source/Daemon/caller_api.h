// The callers' HTTP interface: requests in, answers out. docs/API.md lists the
// routes.
#pragma once

#include <string>

#include "Net/http_types.h"
#include "Traffic/traffic_messages.h"

namespace tiller::daemon {

inline constexpr char kSessionHeader[] = "Tiller-Session";
inline constexpr char kIdempotencyHeader[] = "Idempotency-Key";

// Fails with kBadRequest or kRouteUnknown; nothing of such a request ran.
Result<traffic::CallerRequest> ParseCallerRequest(
    const net::HttpRequest& request);
net::HttpResponse MakeCallerResponse(const traffic::Reply& reply);

}  // namespace tiller::daemon
