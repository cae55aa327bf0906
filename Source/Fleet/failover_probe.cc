// Failover: what the endpoints answer before anything is changed. It shows
// whether another endpoint leads the group, and whether this host reaches all
// replicas.
#include <utility>

#include "Common/log.h"
#include "Fleet/primary_failover.h"

namespace tiller::fleet {
namespace {

constexpr Milliseconds kProbeTimeout{500};

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
