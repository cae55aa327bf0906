// Queries on a table of endpoint connections, for the relay and the shared
// pool.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Relay/relay_state.h"

namespace tiller::relay {

using ConnectionTable = std::map<ConnectionId, Connection>;

// Returns the workspace's most recently used idle connection, or null.
Connection* FindIdle(ConnectionTable* connections, const EndpointId& endpoint,
                     const WorkspaceId& workspace);

// Returns the most recently used idle connection of any workspace, or null.
Connection* FindIdleOfAny(ConnectionTable* connections,
                          const EndpointId& endpoint);

// Returns the connection that has been idle longest, of any workspace.
std::optional<ConnectionId> LongestIdle(const ConnectionTable& connections,
                                        const EndpointId& endpoint);

// Returns the idle connections, most recently used first.
std::vector<const Connection*> IdleNewestFirst(
    const ConnectionTable& connections);

// Returns idle connections to endpoints that are no longer listed, that are
// leaving and not primary, or that restarted between the directories `before`
// (may be null) and `now`.
std::vector<ConnectionId> ObsoleteIdleConnections(
    const ConnectionTable& connections, const Directory* before,
    const Directory& now);

// Returns connections whose statement or opening has passed its deadline.
std::vector<ConnectionId> OverdueConnections(const ConnectionTable& connections,
                                             Instant now);

}  // namespace tiller::relay
