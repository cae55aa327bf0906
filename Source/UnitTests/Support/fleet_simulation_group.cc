// The simulated endpoints, and the platform that promotes them.
#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "Common/names.h"
#include "UnitTests/Support/fleet_simulation.h"

namespace tiller::fleet {
namespace {

constexpr Milliseconds kPromotionTime{600};

}  // namespace

void FleetSimulation::WriteEndpointRow(const EndpointId& id) {
  auto& endpoint = m_endpoints.at(id);
  if (!endpoint.alive || !endpoint.listed) {
    if (m_store.tables["endpoints"].erase(id) > 0) {
      m_store.history["endpoints"].push_back({id, "", NextVersion(), true});
    }
    return;
  }
  Json::Value value;
  value["primary"] = id == m_primary_id && !endpoint.stepped_down;
  value["leaving"] = endpoint.leaving;
  value["process_start_ms"] = Json::UInt64(endpoint.process_start_ms);
  value["report"] = Json::UInt64(++endpoint.report_number);
  PutRow("endpoints", id, ToText(value));
}

void FleetSimulation::WriteEndpointRows() {
  for (const auto& [id, endpoint] : m_endpoints) WriteEndpointRow(id);
}

void FleetSimulation::RestartEndpoint(const EndpointId& id) {
  auto& endpoint = m_endpoints.at(id);
  endpoint.paused_below = 0;
  ++endpoint.process_start_ms;
  endpoint.report_number = 0;
  AddTrace(id + " restarts");
  WriteEndpointRow(id);
}

void FleetSimulation::WriteStrayEndpointRow(const EndpointId& id, bool primary,
                                            bool leaving) {
  Json::Value value;
  value["primary"] = primary;
  value["leaving"] = leaving;
  PutRow("endpoints", id, ToText(value));
}

bool FleetSimulation::AllReplicasResumed() const {
  const auto primary_endpoint = m_endpoints.find(m_primary_id);
  return std::all_of(
      m_endpoints.begin(), m_endpoints.end(), [&](const auto& item) {
        return !item.second.alive || item.first == m_primary_id ||
               item.second.paused_below <= primary_endpoint->second.term;
      });
}

// If the primary is partly unreachable, every second host cannot reach it.
bool FleetSimulation::CannotReachPrimary(int host) const {
  return !m_endpoints.at(m_primary_id).alive ||
         IsCut(ZoneOf(host), ZoneOf(m_primary_id)) ||
         cut_off_from_primary.count(host) > 0 ||
         (primary_partly_unreachable && host % 2 == 1);
}

// Simulates commits, replication, and a pending promotion that is due.
void FleetSimulation::AdvanceGroup() {
  for (const auto& [due, call] : std::exchange(m_late_promotions, {})) {
    if (clock.Now() >= due) {
      HandlePromote(call);
    } else {
      m_late_promotions.emplace_back(due, call);
    }
  }
  if (m_pending_promotion && clock.Now() >= m_pending_promotion->first) {
    const auto target =
        std::exchange(m_pending_promotion, std::nullopt)->second;
    if (m_endpoints.at(target).alive) MakePrimary(target);
  }
  const auto receive = [&](SimulatedEndpoint* endpoint) {
    if (!endpoint->alive || endpoint->replication_cut) return false;
    if (endpoint->sent_across_cut) return false;
    if (endpoint->paused_below > endpoint->sent_term) return false;
    if (endpoint->sent_term < endpoint->term) return false;
    endpoint->term = endpoint->sent_term;
    endpoint->position = std::max(endpoint->position, endpoint->sent_position);
    return true;
  };
  const auto& primary_term = m_endpoints.at(m_primary_id).term;
  for (auto& [id, endpoint] : m_endpoints) {
    if (id == m_primary_id || !receive(&endpoint)) continue;
    if (endpoint.term != primary_term) continue;
    m_acknowledged_position =
        std::max(m_acknowledged_position, endpoint.position);
  }
  auto& primary_endpoint = m_endpoints.at(m_primary_id);
  if (!primary_endpoint.alive || primary_endpoint.stepped_down) return;
  ++primary_endpoint.position;
  for (auto& [id, endpoint] : m_endpoints) {
    if (id == m_primary_id || !endpoint.alive) continue;
    endpoint.sent_across_cut = IsCut(ZoneOf(id), ZoneOf(m_primary_id));
    if (endpoint.sent_across_cut) continue;
    endpoint.sent_term = primary_endpoint.term;
    endpoint.sent_position = primary_endpoint.position;
    // Some entries arrive immediately, others stay in flight.
    if (random.UniformBelow(4) == 0 || !receive(&endpoint)) continue;
    m_acknowledged_position =
        std::max(m_acknowledged_position, primary_endpoint.position);
  }
}

void FleetSimulation::MakePrimary(const EndpointId& target) {
  auto& promoted = m_endpoints.at(target);
  AddTrace(target + " leads with " + std::to_string(promoted.position) +
           ", acknowledged " + std::to_string(m_acknowledged_position));
  if (promoted.position < m_acknowledged_position) {
    violations.push_back("lost: " + target + " holds " +
                         std::to_string(promoted.position) + " of " +
                         std::to_string(m_acknowledged_position));
    m_acknowledged_position = promoted.position;
  }
  if (promoted.position < m_passed_on.position) {
    lost_commits.push_back(target + " holds " +
                           std::to_string(promoted.position) + " of " +
                           std::to_string(m_passed_on.position));
    m_passed_on.position = promoted.position;
  }
  const auto old = std::exchange(m_primary_id, target);
  Term newest = 0;
  for (const auto& [id, endpoint] : m_endpoints) {
    newest = std::max(newest, endpoint.term);
  }
  promoted.term = newest + 1;
  promoted.paused_below = 0;
  // A primary that stepped down becomes an ordinary replica.
  m_endpoints.at(old).stepped_down = false;
  for (auto& [id, endpoint] : m_endpoints) {
    endpoint.position = std::min(endpoint.position, promoted.position);
    endpoint.sent_term = 0;
  }
  WriteEndpointRow(old);
  WriteEndpointRow(target);
}

relay::AdminDone FleetSimulation::HandleAdmin(
    int host, const relay::AdminRequest& request) {
  relay::AdminDone done{request.id, request.endpoint, false, {}};
  const auto it = m_endpoints.find(request.endpoint);
  done.ever_answered =
      it != m_endpoints.end() && never_answered.count(request.endpoint) == 0;
  if (it == m_endpoints.end() || !it->second.alive) return done;
  auto& endpoint = it->second;
  const bool leads = request.endpoint == m_primary_id && !endpoint.stepped_down;
  AddTrace("host " + std::to_string(host) + " orders " +
           std::string(NameOf(relay::kVerbNames, request.verb)) + " " +
           std::to_string(request.term) + " at " + request.endpoint +
           " (term " + std::to_string(endpoint.term) + ", position " +
           std::to_string(endpoint.position) + ")");
  if (request.endpoint == m_primary_id && CannotReachPrimary(host)) return done;
  if (IsCut(ZoneOf(host), ZoneOf(request.endpoint))) return done;
  if (request.verb == relay::Verb::kPause &&
      unanswered_pauses.count(request.endpoint) > 0) {
    return done;
  }
  done.answered = true;
  if (busy_answers[request.endpoint] > 0) {
    --busy_answers[request.endpoint];
    done.result.refusal = relay::Refusal::kBusy;
    return done;
  }
  if (request.verb == relay::Verb::kContinue) endpoint.paused_below = 0;
  if (request.verb == relay::Verb::kPause && !leads &&
      request.term > endpoint.term) {
    endpoint.paused_below = request.term;
  }
  if (request.verb == relay::Verb::kStepDown && leads &&
      request.term > endpoint.term) {
    // The endpoint stops acting as primary. The group has no active primary
    // until a promotion.
    endpoint.stepped_down = true;
    WriteEndpointRow(request.endpoint);
  }
  done.result.status = relay::EndpointStatus{leads && !endpoint.stepped_down,
                                             endpoint.term,
                                             {endpoint.term, endpoint.position},
                                             endpoint.paused_below};
  return done;
}

PromoteStatus FleetSimulation::HandlePromote(const Promote& call) {
  AddTrace(call.holder + " promotes " + call.endpoint + " with token " +
           std::to_string(call.fencing_token));
  const auto inserted =
      m_token_holders.emplace(call.fencing_token, call.holder);
  if (inserted.first->second != call.holder) {
    violations.push_back("two holders promote with one token");
  }
  if (call.fencing_token < m_newest_token) return PromoteStatus::kFenced;
  m_newest_token = call.fencing_token;
  const auto it = m_endpoints.find(call.endpoint);
  const bool in_cut_zone =
      m_zone_is_cut && ZoneOf(call.endpoint) == *m_cut_zone;
  if (it == m_endpoints.end() || !it->second.alive || in_cut_zone) {
    return PromoteStatus::kFenced;
  }
  if (call.endpoint == m_primary_id && !it->second.stepped_down)
    return PromoteStatus::kDone;
  ++promotions;
  m_pending_promotion = {clock.Now() + kPromotionTime, call.endpoint};
  return PromoteStatus::kDone;
}

}  // namespace tiller::fleet
