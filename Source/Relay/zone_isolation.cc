// Relay: what a host does while it hears nothing from other availability zones.
#include <algorithm>
#include <set>
#include <utility>

#include "Common/log.h"
#include "Relay/relay_core.h"

namespace tiller::relay {
namespace {

// Without an answer from another zone for this long, the next statement to one
// of its endpoints is a probe, so that a loss of contact is noticed although
// callers need no endpoint there.
constexpr Milliseconds kContactProbeAfter{80};
constexpr Milliseconds kContactProbeInterval{80};
constexpr Milliseconds kContactProbeTimeout{350};
constexpr std::size_t kContactProbes = 3;
// The zone is taken to be cut off after this time without contact, or after
// several response times of the quickest endpoint outside. Well below the time
// in which other hosts replace a silent primary.
constexpr Milliseconds kMinIsolationTimeout{200};
constexpr Milliseconds kMaxIsolationTimeout{600};
constexpr int kIsolationResponses = 4;
// Ticks come every few milliseconds. After a longer gap the process was
// suspended, and answers are still to be read.
constexpr Milliseconds kMaxTickGap{100};

}  // namespace

bool RelayCore::InOtherZone(const EndpointId& id) const {
  const auto* endpoint = FindEndpoint(id);
  return endpoint != nullptr && endpoint->zone != m_settings.zone;
}

void RelayCore::RecordContact(const Connection& connection, bool confirmed) {
  if (!InOtherZone(connection.endpoint)) return;
  m_zone_contact.RecordAnswer(Now());
  if (confirmed) ConfirmCommits(connection.step_sent);
}

Duration RelayCore::IsolationTimeout() const {
  Duration quickest = kMaxIsolationTimeout;
  for (const auto& [id, health] : m_health) {
    if (!InOtherZone(id)) continue;
    quickest = std::min(quickest, health.ResponseTime());
  }
  return std::clamp<Duration>(quickest * kIsolationResponses,
                              kMinIsolationTimeout, kMaxIsolationTimeout);
}

void RelayCore::CheckIsolation() {
  const auto now = Now();
  const bool suspended = now - std::exchange(m_last_tick, now) > kMaxTickGap;
  const bool isolated = m_zone_contact.SilentFor(now) >= IsolationTimeout();
  if (isolated != m_isolated && !(isolated && suspended)) {
    m_isolated = isolated;
    if (isolated) m_counters->Add("zone_isolations");
    if (!isolated) m_primary_uncertain_until = now + kPromotionTime;
    log::Event(
        log::Channel::kTraffic, log::Level::kWarn,
        isolated ? "zone_isolated" : "zone_connected",
        {{"zone", m_settings.zone},
         {"silent_ms", log::MillisecondsText(m_zone_contact.SilentFor(now))}});
  }
  const bool unanswered =
      m_zone_contact.SilentFor(now) >= kContactProbeInterval;
  const bool writes_unchecked =
      m_last_write_sent > m_zone_contact.LastAnswer() &&
      now - m_zone_contact.LastAnswer() >= kContactProbeAfter;
  if (unanswered || writes_unchecked) RequestContact(kContactProbeInterval);
}

void RelayCore::RequestContact(Milliseconds interval) {
  if (Now() - m_last_contact_probe < interval) return;
  m_last_contact_probe = Now();
  ProbeOtherZones();
}

void RelayCore::ProbeOtherZones() {
  std::set<EndpointId> probed;
  std::set<EndpointId> opening;
  for (const auto& [id, connection] : m_connections) {
    if (!InOtherZone(connection.endpoint)) continue;
    const bool is_probe = connection.state == ConnectionState::kBusy &&
                          connection.step == Step::kAdmin &&
                          connection.admin == 0;
    if (is_probe) probed.insert(connection.endpoint);
    if (connection.state == ConnectionState::kOpening) {
      opening.insert(connection.endpoint);
    }
  }
  for (auto& [id, connection] : m_connections) {
    if (probed.size() >= kContactProbes) break;
    if (connection.state != ConnectionState::kIdle) continue;
    if (!InOtherZone(connection.endpoint)) continue;
    if (!probed.insert(connection.endpoint).second) continue;
    connection.state = ConnectionState::kBusy;
    m_counters->Add("contact_probes");
    Send(&connection, Step::kAdmin, {Verb::kStatus, "", "", ""},
         kContactProbeTimeout);
  }
  if (!probed.empty() || m_directory->workspaces.empty()) return;
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (!InOtherZone(id) || opening.count(id) > 0) continue;
    if (!CanOpenConnection(endpoint)) continue;
    Open(endpoint, m_directory->workspaces.begin()->first);
    return;
  }
}

}  // namespace tiller::relay
