// Relay: whether this host is cut off, so that callers are better served by
// other hosts.
#include <string>

#include "Common/log.h"
#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

// A group counts as unreachable after its primary has not answered for this
// long. Longer than a promotion takes, so that a failover does not make the
// balancer send callers elsewhere.
constexpr Milliseconds kUnreachableAfter{700};
// The host is cut off once most groups have been unreachable for this long.
constexpr Milliseconds kCutOffAfter{300};
// A group without a primary counts as unreachable after this time. A former
// primary has a successor by then, and a host that is not cut off knows it.
constexpr Milliseconds kFailoverTimeout{2000};
// By then the load balancer has noticed that the host is cut off, so closed
// sessions reconnect to other hosts.
constexpr Milliseconds kCutOffCloseAfter{2300};

}  // namespace

// A host that cannot reach most primaries can serve few requests, so the load
// balancer should send callers to another zone.
void RelayCore::CheckReachability() {
  const auto now = Now();
  std::size_t unreachable = 0;
  for (const auto& [name, group] : m_directory->groups) {
    auto& state = m_groups[name];
    if (PrimaryOf(name) != nullptr) {
      state.without_primary_since.reset();
      if (state.silent_for > kUnreachableAfter) ++unreachable;
      continue;
    }
    // Usually the primary is being replaced.
    if (!state.without_primary_since) state.without_primary_since = now;
    if (now - *state.without_primary_since > kFailoverTimeout) ++unreachable;
  }
  if (unreachable * 2 <= m_directory->groups.size()) {
    m_unreachable_since.reset();
  } else if (!m_unreachable_since) {
    m_unreachable_since = now;
  }
  const bool cut_off =
      m_unreachable_since && now - *m_unreachable_since >= kCutOffAfter;
  if (cut_off != m_cut_off) {
    m_cut_off = cut_off;
    log::Event(log::Channel::kTraffic, log::Level::kWarn,
               cut_off ? "cut_off" : "reachable_again",
               {{"unreachable_groups", std::to_string(unreachable)},
                {"groups", std::to_string(m_directory->groups.size())}});
    m_actions.push_back(Reachability{cut_off});
  }
  if (cut_off && now - *m_unreachable_since >= kCutOffCloseAfter)
    CloseIdleSessions();
}

}  // namespace tiller::relay
