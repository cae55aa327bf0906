// Questions to a table of endpoint connections, for the relay and the pool.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Relay/relay_state.h"

namespace tiller::relay {

using ConnectionTable = std::map<ConnectionId, Connection>;

// The idle connection of the workspace that was used last; null: none.
Connection* FindIdle(ConnectionTable* connections, const EndpointId& endpoint,
                     const WorkspaceId& workspace);

// The idle connection that was not used for longest, of any workspace.
std::optional<ConnectionId> LongestIdle(const ConnectionTable& connections,
                                        const EndpointId& endpoint);

// Idle connections, those used last first.
std::vector<const Connection*> IdleNewestFirst(
    const ConnectionTable& connections);

// Idle connections to endpoints that are gone or leaving, or that started
// anew since `before`, which may be null.
std::vector<ConnectionId> IdleAndUseless(const ConnectionTable& connections,
                                         const Directory* before,
                                         const Directory& now);

// Connections whose statement or opening is overdue.
std::vector<ConnectionId> Overdue(const ConnectionTable& connections,
                                  Instant now);

}  // namespace tiller::relay
