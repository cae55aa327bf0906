// Recent demand of each workspace at each endpoint.
//
// Load pattern: there are more workspaces than an endpoint accepts connections,
// and few workspaces send most of the statements. By the time of its last use
// alone, the connection of a busy workspace looks like that of a quiet one that
// was used a moment ago.
#pragma once

#include <map>

#include "Common/types.h"

namespace tiller::balance {

class WorkspaceDemand {
 public:
  // A statement or transaction needs a connection.
  void Record(const EndpointId& endpoint, const WorkspaceId& workspace,
              Instant now);
  // Returns the recent statements and transactions per second.
  double Rate(const EndpointId& endpoint, const WorkspaceId& workspace,
              Instant now) const;
  // Removes the workspaces without recent demand.
  void ForgetIdle(Instant now);

 private:
  struct Average {
    double rate = 0;
    Instant updated;
  };
  static double Decayed(const Average& average, Instant now);

  std::map<EndpointId, std::map<WorkspaceId, Average>> m_averages;
};

}  // namespace tiller::balance
