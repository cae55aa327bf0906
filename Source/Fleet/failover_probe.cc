// Failover: what the endpoints answer before anything is changed. It shows
// whether another endpoint leads the group, and whether this host reaches all
// replicas.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Fleet/primary_failover.h"

namespace tiller::fleet {
namespace {

constexpr Milliseconds kProbeTimeout{500};
// Replicas that did not answer are asked again after this time.
constexpr Milliseconds kAskInterval{500};
// That a replica did not answer an attempt is taken into account for this long.
// Longer than partitions usually last.
constexpr Milliseconds kUnansweredMemory{30'000};

}  // namespace

void PrimaryFailover::StartAskingOthers(Job *job, const relay::Group &row) {
  job->stage = Stage::kAskingOthers;
  job->stage_deadline = m_clock->Now() + kProbeTimeout;
  job->others_asked = true;
  job->leader.clear();
  job->old_primary = row.primary;
  job->unanswered_probes.clear();
  for (const auto &id : row.other_primaries) {
    job->unanswered_probes.insert(id);
    SendAdminRequest(row.name, id, relay::Verb::kStatus, 0);
  }
}

void PrimaryFailover::OnOthersAnswered(const GroupId &group, Job *job) {
  if (EndIfLed(group, job)) return;
  job->stage = Stage::kIdle;
}

void PrimaryFailover::RecordLeader(const relay::AdminDone &event,
                                   const EndpointId &primary, Job *job) {
  const auto &status = event.result.status;
  if (!status || !status->primary || event.endpoint == primary) return;
  if (!job->leader.empty() && status->term <= job->leader_term) return;
  job->leader = event.endpoint;
  job->leader_term = status->term;
}

// An endpoint that answers as the primary in the newest term leads the group,
// whatever the rows say: a promotion deposes the primary of the term before.
bool PrimaryFailover::EndIfLed(const GroupId &group, Job *job) {
  if (job->leader.empty() || job->leader_term < job->reported_term) {
    return false;
  }
  m_counters->Add("primary_confirmed");
  log::Event(log::Channel::kFailover, log::Level::kWarn, "primary_confirmed",
             {{"group", group},
              {"endpoint", job->leader},
              {"term", std::to_string(job->leader_term)},
              {"listed", job->old_primary}});
  m_confirmed_primaries.emplace_back(group, std::exchange(job->leader, {}));
  job->primary_stepped_down = false;
  if (job->stage != Stage::kAskingOthers) {
    GiveUp(group, job, GiveUpReason::kOtherLeads);
  }
  job->stage = Stage::kIdle;
  job->suspected_since = {};
  return true;
}

void PrimaryFailover::NoteUnanswered(Job *job,
                                     const std::set<EndpointId> &replicas) {
  const auto now = m_clock->Now();
  const auto claim_age =
      std::chrono::duration_cast<StoreTime>(now - job->claim_sent_at);
  job->claim.unanswered.clear();
  for (const auto &id : replicas) {
    if (job->claim.unanswered.size() == kMaxUnanswered) break;
    job->claim.unanswered[id] = job->claim.claimed_at + claim_age;
    job->unanswered_before[id] = now + kUnansweredMemory;
  }
  job->unanswered_token = job->claim.token;
  // This host has just asked them.
  job->replicas_awaited = true;
}

void PrimaryFailover::RecordUnanswered(const ClaimRow &claim, StoreTime now,
                                       Job *job) {
  if (claim.token <= job->unanswered_token) return;
  job->unanswered_token = claim.token;
  job->unanswered_before.clear();
  for (const auto &[id, at] : claim.unanswered) {
    const auto age = std::max(StoreTime{0}, now - at);
    if (age >= kUnansweredMemory) continue;
    job->unanswered_before[id] = m_clock->Now() + kUnansweredMemory - age;
  }
}

bool PrimaryFailover::AskUnanswered(const GroupId &group, Job *job) {
  const auto &primary = m_directory->groups.at(group).primary;
  std::erase_if(job->unanswered_before, [&](const auto &item) {
    return item.first == primary || item.second <= m_clock->Now() ||
           m_directory->endpoints.count(item.first) == 0;
  });
  if (job->unanswered_before.empty()) {
    if (!job->replicas_awaited) return false;
    StopAwaitingReplicas(job);
    return true;
  }
  job->stage = Stage::kAskingReplicas;
  job->stage_deadline = m_clock->Now() + kProbeTimeout;
  for (const auto &[id, until] : job->unanswered_before) {
    SendAdminRequest(group, id, relay::Verb::kStatus, 0);
  }
  return true;
}

void PrimaryFailover::OnReplicaAnswered(const GroupId &group, Job *job,
                                        const relay::AdminDone &event) {
  if (job->unanswered_before.count(event.endpoint) == 0) return;
  // A busy endpoint is asked again until the stage ends.
  if (event.answered && !event.result.status) {
    return SendAdminRequest(group, event.endpoint, relay::Verb::kStatus, 0);
  }
  if (!event.answered && !m_history.NeverAnswers(event.endpoint)) {
    return AwaitReplicas(job);
  }
  job->unanswered_before.erase(event.endpoint);
  if (!job->unanswered_before.empty()) return;
  if (!job->replicas_awaited) return StartClaimRead(group, job);
  StopAwaitingReplicas(job);
}

// The other hosts do the same at about this time, so they take turns.
void PrimaryFailover::StopAwaitingReplicas(Job *job) {
  job->stage = Stage::kIdle;
  job->replicas_awaited = false;
  job->replicas_awaited_until = m_clock->Now();
}

void PrimaryFailover::AwaitReplicas(Job *job) {
  m_counters->Add("failover_replicas_awaited");
  job->stage = Stage::kIdle;
  job->replicas_awaited = true;
  job->next_attempt_at = m_clock->Now() + kAskInterval;
}

// Probes all replicas before anything is changed: a host that reaches only some
// of them could not complete the failover.
void PrimaryFailover::StartProbe(const GroupId &group, Job *job) {
  job->stage = Stage::kProbing;
  job->stage_deadline = m_clock->Now() + kProbeTimeout;
  job->pause_term = 0;
  job->leader.clear();
  job->unanswered_probes.clear();
  job->seen_endpoints.clear();
  job->old_primary = m_directory->groups.at(group).primary;
  for (const auto &[id, endpoint] : m_directory->endpoints) {
    if (endpoint.group != group) continue;
    job->seen_endpoints[id] = endpoint.process_start_ms;
    if (id != job->old_primary) job->unanswered_probes.insert(id);
  }
  job->probed_replicas = job->unanswered_probes;
  if (job->unanswered_probes.empty()) {
    return GiveUp(group, job, GiveUpReason::kNoReplica);
  }
  for (const auto &id : job->unanswered_probes) {
    SendAdminRequest(group, id, relay::Verb::kStatus, 0);
  }
}

void PrimaryFailover::OnProbeAnswered(const GroupId &group, Job *job,
                                      const relay::AdminDone &event) {
  // A busy endpoint is asked again until the stage ends.
  if (event.answered && !event.result.status) {
    return SendAdminRequest(group, event.endpoint, relay::Verb::kStatus, 0);
  }
  if (!event.answered) {
    if (EndIfLed(group, job)) return;
    if (!m_history.NeverAnswers(event.endpoint) ||
        job->probed_replicas.size() == 1) {
      NoteUnanswered(job, {event.endpoint});
      return GiveUp(group, job, GiveUpReason::kReplicaSilent, event.endpoint);
    }
    job->probed_replicas.erase(event.endpoint);
    m_counters->Add("failover_replica_left_out");
    log::Event(log::Channel::kFailover, log::Level::kWarn, "replica_left_out",
               {{"group", group},
                {"endpoint", event.endpoint},
                {"reason", "it has never answered"}});
  }
  job->unanswered_probes.erase(event.endpoint);
  if (!job->unanswered_probes.empty() || EndIfLed(group, job)) return;
  job->stepped_down_at.reset();
  const bool step_down = !job->old_primary.empty() && !job->keeps_primary;
  return step_down ? StartStepDown(group, job) : StartPause(group, job);
}

}  // namespace tiller::fleet
