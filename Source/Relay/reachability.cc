// Relay: whether this host is cut off, so that callers are better served by
// other hosts. Only its own trouble counts. Where all hosts lack the primaries,
// a host that takes itself out only takes away the reads it could serve.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
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
// By then a former primary usually has a successor, and a host that is not cut
// off knows it.
constexpr Milliseconds kFailoverTimeout{2000};
// A host that no endpoint answers asks one of them this often.
constexpr Milliseconds kEndpointProbeInterval{400};
constexpr Milliseconds kEndpointProbeTimeout{350};
// While most groups have no primary, a host without an answer from other zones
// for this long asks for one.
constexpr Milliseconds kContactCheckInterval{500};
// Callers that are refused for want of a primary retry after a time between
// these. It is spread, so that they do not all return at once.
constexpr Milliseconds kMinRetryDelay{500};
constexpr Milliseconds kMaxRetryDelay{1000};
// By then the load balancer has noticed that the host is cut off, so closed
// sessions reconnect to other hosts.
constexpr Milliseconds kCutOffCloseAfter{2300};
// Callers send the next statement of an operation right after an answer. It
// must not cross with a close, or it would get none.
constexpr Milliseconds kMinIdle{250};

}  // namespace

// A listed primary that does not answer counts against this host, since other
// hosts may reach it. A group without a primary does so only if the directory
// may be out of date or others may know a primary: this host hears nothing from
// other zones, or from any endpoint.
void RelayCore::CheckReachability() {
  const auto now = Now();
  const bool unheard = NoEndpointAnswers();
  if (unheard) ProbeAnyEndpoint();
  std::size_t unreachable = 0;
  std::size_t without_primary = 0;
  for (const auto& [name, group] : m_directory->groups) {
    auto& state = m_groups[name];
    if (PrimaryOf(name) != nullptr) {
      state.without_primary_since.reset();
      if (state.silent_for > kUnreachableAfter) ++unreachable;
      continue;
    }
    // Usually the primary is being replaced.
    if (!state.without_primary_since) state.without_primary_since = now;
    if (now - *state.without_primary_since <= kFailoverTimeout) continue;
    ++without_primary;
    if (unheard || m_isolated) ++unreachable;
  }
  const auto last_contact =
      std::max(m_zone_contact.LastAnswer(), m_last_contact_probe);
  if (without_primary * 2 > m_directory->groups.size() &&
      now - last_contact >= kContactCheckInterval) {
    // Writes, which show a loss of contact otherwise, are not sent now.
    m_last_contact_probe = now;
    ProbeOtherZones();
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
                {"groups_without_primary", std::to_string(without_primary)},
                {"groups", std::to_string(m_directory->groups.size())}});
    m_actions.push_back(Reachability{cut_off});
  }
  if (!cut_off || now - *m_unreachable_since < kCutOffCloseAfter) return;
  // The balancer sent later sessions here for want of a better host.
  CloseIdleSessions(*m_unreachable_since + kCutOffCloseAfter, kMinIdle);
}

// True if an endpoint does not answer this host and no other one does. An
// endpoint that was never asked says nothing.
bool RelayCore::NoEndpointAnswers() {
  const auto pending = FindAllPending(m_connections);
  bool any_silent = false;
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    const auto& health = HealthOf(id);
    const auto silent =
        health.Failures() > 0
            ? Now() - health.LastAnswer()
            : SilenceOf(endpoint.group, id, PendingAt(pending, id),
                        m_ticks.OnTimeSince(Now()));
    if (silent > kUnreachableAfter) {
      any_silent = true;
    } else if (health.LastAnswer() != Instant{}) {
      return false;
    }
  }
  return any_silent;
}

// Without a primary there may be no request that asks an endpoint again.
void RelayCore::ProbeAnyEndpoint() {
  if (Now() - m_last_endpoint_probe < kEndpointProbeInterval) return;
  if (m_directory->workspaces.empty()) return;
  m_last_endpoint_probe = Now();
  const auto& endpoints = m_directory->endpoints;
  const auto chosen = std::next(
      endpoints.begin(),
      static_cast<std::ptrdiff_t>(m_random->UniformBelow(endpoints.size())));
  const auto& [id, endpoint] = *chosen;
  for (auto& [connection_id, connection] : m_connections) {
    if (connection.endpoint != id) continue;
    if (connection.state != ConnectionState::kIdle) continue;
    connection.state = ConnectionState::kBusy;
    return Send(&connection, Step::kAdmin, {Verb::kStatus, "", "", ""},
                kEndpointProbeTimeout);
  }
  if (ConnectionsAt(id) > 0 || !CanOpenConnection(endpoint)) return;
  Open(endpoint, m_directory->workspaces.begin()->first);
}

bool RelayCore::LacksPrimary(const Session& session) const {
  const auto& group = session.route.group;
  const auto& since = m_groups[group].without_primary_since;
  if (session.pinned != 0 || PrimaryOf(group) != nullptr) return false;
  if (!since || Now() - *since <= kFailoverTimeout) return false;
  if (NeedsPrimary(session)) return true;
  if (session.request->statement.verb == Verb::kBegin) return true;
  // No replica can prove that it holds what the read needs.
  return !NeededPosition(session);
}

void RelayCore::RefuseWithoutPrimary(Session* session) {
  m_counters->Add(m_cut_off ? "refused_cut_off" : "refused_no_primary");
  const auto spread =
      static_cast<std::uint64_t>((kMaxRetryDelay - kMinRetryDelay).count());
  const auto delay =
      kMinRetryDelay + Milliseconds(m_random->UniformBelow(spread + 1));
  const auto reason =
      m_cut_off
          ? std::string("most primaries are out of reach, use another host")
          : "no primary, retry after " + std::to_string(delay.count()) + " ms";
  if (session->state == TxState::kOpen) {
    return RefuseInTransaction(session, Refusal::kBusy, reason);
  }
  Refuse(session, Refusal::kBusy, reason);
}

}  // namespace tiller::relay
