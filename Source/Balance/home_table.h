// Homes of the workspaces among the endpoints of a group.
//
// Load pattern: a connection serves one workspace, and an endpoint accepts
// fewer connections than there are workspaces. If the reads of each workspace
// go to all endpoints, each needs a connection everywhere. So all hosts send a
// workspace's reads to the same endpoint first, its home. Homes are chosen by
// rendezvous hashing, so that few move when an endpoint comes or goes, with a
// bound on the load of each endpoint, since a few workspaces are large.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "Common/types.h"

namespace tiller::balance {

struct GroupMember {
  EndpointId endpoint;
  std::size_t slots = 1;
  bool primary = false;
};

// The members in the order in which they are preferred, for each workspace. The
// primary is last, since only it can run writes.
using HomeOrders = std::map<WorkspaceId, std::vector<EndpointId>>;

// `rates`: expected load of the workspaces. All hosts with the same members and
// rates get the same orders. The homes at one replica have at most 1.15 times
// its part of the load, as far as the sizes of the workspaces allow.
HomeOrders ComputeHomes(const GroupId& group,
                        const std::vector<GroupMember>& members,
                        const std::map<WorkspaceId, double>& rates);

// The order of a workspace that has no expected load.
std::vector<EndpointId> RankMembers(const GroupId& group,
                                    const std::vector<GroupMember>& members,
                                    const WorkspaceId& workspace);

}  // namespace tiller::balance
