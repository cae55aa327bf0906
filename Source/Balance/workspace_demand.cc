// Implementation of the workspaces' demand.
#include "Balance/workspace_demand.h"

#include <chrono>
#include <cmath>
#include <utility>

namespace tiller::balance {
namespace {

// Long enough to tell apart workspaces that send a statement every few seconds.
// A workspace whose demand rises to many statements a second passes the quiet
// ones within a second all the same. A replay with 4 s opened a tenth more
// connections than with 15 s; 30 s gained nothing.
constexpr double kAveragingSeconds = 15;
// A workspace with less demand than one statement in several minutes is
// forgotten.
constexpr double kForgottenRate = 0.005;

}  // namespace

double WorkspaceDemand::Decayed(const Average& average, Instant now) {
  const double age =
      std::chrono::duration<double>(now - average.updated).count();
  return average.rate * std::exp(-age / kAveragingSeconds);
}

void WorkspaceDemand::Record(const EndpointId& endpoint,
                             const WorkspaceId& workspace, Instant now) {
  auto& average = m_averages[endpoint][workspace];
  average.rate = Decayed(average, now) + 1 / kAveragingSeconds;
  average.updated = now;
}

double WorkspaceDemand::Rate(const EndpointId& endpoint,
                             const WorkspaceId& workspace, Instant now) const {
  const auto workspaces = m_averages.find(endpoint);
  if (workspaces == m_averages.end()) return 0;
  const auto average = workspaces->second.find(workspace);
  return average == workspaces->second.end() ? 0
                                             : Decayed(average->second, now);
}

void WorkspaceDemand::ForgetIdle(Instant now) {
  for (auto& [endpoint, workspaces] : m_averages) {
    std::erase_if(workspaces, [&](const auto& item) {
      return Decayed(item.second, now) < kForgottenRate;
    });
  }
  std::erase_if(m_averages,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace tiller::balance
