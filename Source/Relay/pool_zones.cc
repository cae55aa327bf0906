// Implementation of the judgement of zones by their pools.
#include "Relay/pool_zones.h"

#include <algorithm>
#include <utility>

namespace tiller::relay {
namespace {

// Without any answer from a zone for this long while requests are pending
// there, pools are probed. Longer than a round trip between zones and most
// statements.
constexpr Milliseconds kProbeAfter{80};
// By then a pool has answered what needs no endpoint. A host that is starved of
// processor time pauses for up to about 90 ms.
constexpr Milliseconds kAnswerTimeout{100};
// More than the slow hosts of a zone, of which there are 2 to 4: openings to
// slow pools are pending more often than to others.
constexpr std::size_t kPoolsForEvidence = 6;
// One pool is no evidence about its zone.
constexpr std::size_t kMinPools = 2;

}  // namespace

bool PoolZones::RecordAnswer(const ZoneId& zone, Instant now) {
  m_last_answer[zone] = now;
  return m_silent.erase(zone) > 0;
}

PoolZones::Decision PoolZones::Update(
    const std::vector<Unanswered>& requests,
    const std::map<ZoneId, std::size_t>& pools, Instant on_time_since,
    Instant now) {
  struct Zone {
    Duration quiet{};             // since the zone should have answered
    std::set<HostId> asked;       // pools with a local request
    std::set<HostId> unanswered;  // of them, those whose answer is overdue
  };
  std::map<ZoneId, Zone> zones;
  for (const auto& request : requests) {
    auto& zone = zones[request.zone];
    auto since = std::max(request.sent, on_time_since);
    const auto answer = m_last_answer.find(request.zone);
    if (answer != m_last_answer.end()) since = std::max(since, answer->second);
    zone.quiet = std::max(zone.quiet, now - since);
    if (!request.local) continue;
    zone.asked.insert(request.host);
    if (now - since >= kAnswerTimeout) zone.unanswered.insert(request.host);
  }
  Decision decision;
  std::set<ZoneId> unconfirmed;
  for (const auto& [name, zone] : zones) {
    if (m_silent.count(name) > 0 || zone.quiet < kProbeAfter) continue;
    const auto known = pools.find(name);
    if (known == pools.end() || known->second < kMinPools) continue;
    const auto needed = std::min(kPoolsForEvidence, known->second);
    if (zone.asked.size() < needed) {
      decision.probes[name] = needed - zone.asked.size();
    }
    if (zone.unanswered.size() < needed) continue;
    if (m_unconfirmed.count(name) == 0) {
      unconfirmed.insert(name);
      continue;
    }
    m_silent.insert(name);
    decision.silent.push_back(name);
  }
  m_unconfirmed = std::move(unconfirmed);
  std::erase_if(m_silent,
                [&](const auto& name) { return pools.count(name) == 0; });
  for (const auto& name : m_silent) {
    const auto zone = zones.find(name);
    if (zone == zones.end() || zone->second.asked.empty()) {
      decision.probes[name] = 1;
    }
  }
  return decision;
}

}  // namespace tiller::relay
