// Failover: has the primary step down and pauses the replicas. Handles what the
// endpoints answer.
#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Fleet/primary_failover.h"

namespace tiller::fleet {
namespace {

constexpr Milliseconds kPauseTimeout{900};
constexpr Milliseconds kStepDownTimeout{400};
// Covers one exchange with another host and one exchange of that host with the
// primary.
constexpr Milliseconds kSilentStepDownTimeout{50};
// Log entries that the primary sent before it stepped down have arrived after
// this time.
constexpr Milliseconds kLogDeliveryTime{15};
constexpr int kMaxPauseRefusals = 8;

}  // namespace

// A replica that appears or restarts during a failover must not acknowledge
// commits of the old primary.
void PrimaryFailover::PauseNewReplicas(const GroupId& group, Job* job) {
  const bool comparing =
      job->stage == Stage::kPausing || job->stage == Stage::kAwaitingHold;
  const bool choosing = comparing || job->stage == Stage::kPromoting;
  const bool awaiting_primary =
      job->stage == Stage::kResuming && !job->target.empty();
  const auto row = m_directory->groups.find(group);
  if ((!choosing && !awaiting_primary) || row == m_directory->groups.end())
    return;
  if (awaiting_primary && row->second.primary == job->target) return;
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (endpoint.group != group) continue;
    const auto seen =
        job->seen_endpoints.emplace(id, endpoint.process_start_ms);
    const bool known = !seen.second;
    if (known && seen.first->second == endpoint.process_start_ms) continue;
    seen.first->second = endpoint.process_start_ms;
    if (known && id == job->old_primary) continue;
    if (known) {
      log::Event(log::Channel::kFailover, log::Level::kWarn,
                 "paused_replica_restarted",
                 {{"group", group},
                  {"endpoint", id},
                  {"token", std::to_string(job->claim.token)}});
    }
    if (comparing) {
      job->pause_answers[id] = std::nullopt;
      job->stage = Stage::kPausing;
      job->stage_deadline = m_clock->Now() + kPauseTimeout;
    }
    job->to_resume.insert(id);
    SendPause(group, id, job);
  }
}

// Other hosts are asked to step down the primary as well. This host may be the
// only one that cannot reach it, and a replica that is not listed yet may
// acknowledge its commits.
void PrimaryFailover::StartStepDown(const GroupId& group, Job* job) {
  const auto& primary = job->old_primary;
  HoldCommits(group, job);
  job->stage = Stage::kSteppingDown;
  job->stage_deadline =
      m_clock->Now() +
      (job->reason == kReasonLeaving || m_history.MayLackCommits(group)
           ? kStepDownTimeout
           : kSilentStepDownTimeout);
  job->stepped_down_at.reset();
  job->pause_term = std::max(job->pause_term, job->newest_term + 1);
  job->step_down_term = job->pause_term;
  SendAdminRequest(group, primary, relay::Verb::kStepDown, job->pause_term);
  m_peer_messages.push_back(
      peer::StepDownRequest{group, primary, job->pause_term});
}

void PrimaryFailover::Handle(const peer::Envelope& envelope,
                             const peer::StepDownRequest& request) {
  SendAdminRequest(request.group, request.endpoint, relay::Verb::kStepDown,
                   request.term, envelope.from_address);
}

void PrimaryFailover::Handle(const peer::StepDownReport& report) {
  const auto found = m_jobs.find(report.group);
  if (found == m_jobs.end()) return;
  auto& job = found->second;
  const bool acting = job.stage == Stage::kSteppingDown ||
                      job.stage == Stage::kPausing ||
                      job.stage == Stage::kAwaitingHold;
  if (!acting || report.endpoint != job.old_primary) return;
  if (report.term != job.step_down_term) return;
  RecordStepDown(&job, report.received);
}

void PrimaryFailover::RecordStepDown(Job* job, const GroupPosition& received) {
  job->primary_stepped_down = true;
  if (job->stage != Stage::kSteppingDown || job->stepped_down_at) return;
  job->stepped_down_at = received;
  job->pause_not_before = m_clock->Now() + kLogDeliveryTime;
}

void PrimaryFailover::HoldCommits(const GroupId& group, Job* job) {
  if (!std::exchange(job->commits_held, true)) {
    m_guard->Hold(group, job->claim.token);
  }
}

void PrimaryFailover::StartPause(const GroupId& group, Job* job) {
  // A primary that stepped down has reported the end of its log, which the
  // other replicas are compared to.
  if (!job->keeps_primary && !job->stepped_down_at &&
      m_history.HasGone(group)) {
    return GiveUp(group, job, GiveUpReason::kReplicaGone);
  }
  // Otherwise the listed replicas together have all acknowledged commits, and
  // the end of the primary's log does not matter.
  const bool compare_to_primary =
      job->reason == kReasonLeaving || m_history.MayLackCommits(group);
  if (!compare_to_primary) job->stepped_down_at.reset();
  HoldCommits(group, job);
  job->stage = Stage::kPausing;
  job->stage_deadline = m_clock->Now() + kPauseTimeout;
  job->pause_answers.clear();
  job->to_resume.clear();
  job->pause_refusals = 0;
  for (const auto& id : job->probed_replicas)
    job->pause_answers[id] = std::nullopt;
  for (const auto& id : job->probed_replicas) SendPause(group, id, job);
}

// A pause is effective only with a term above the newest term in the group.
// Otherwise a replica that missed a change of primary would still accept
// entries from the current primary. If an older promotion may still be
// executed, the pause also covers the term that it would begin.
void PrimaryFailover::SendPause(const GroupId& group,
                                const EndpointId& endpoint, Job* job) {
  const Term margin = job->fences_older_promotion ? 2 : 1;
  job->pause_term = std::max(job->pause_term, job->newest_term + margin);
  SendAdminRequest(group, endpoint, relay::Verb::kPause, job->pause_term);
}

void PrimaryFailover::Handle(const relay::AdminDone& event) {
  const auto it = m_admin_requests.find(event.id);
  if (it == m_admin_requests.end()) return;
  const auto pending_request = it->second;
  const auto& group = pending_request.group;
  m_admin_requests.erase(it);
  if (!pending_request.for_address.empty()) {
    const auto& status = event.result.status;
    if (!event.answered || !status || status->primary) return;
    m_actions.push_back(
        SendPeer{pending_request.for_address,
                 peer::StepDownReport{group, event.endpoint,
                                      pending_request.term, status->received}});
    return;
  }
  m_history.RecordAnswer(event);
  auto& job = m_jobs[group];
  if (pending_request.verb == relay::Verb::kContinue) {
    if ((event.answered && event.result.Ok()) ||
        m_history.NeverAnswers(event.endpoint)) {
      job.to_resume.erase(event.endpoint);
    }
    return;
  }
  if (event.result.status) {
    job.reported_term = std::max({job.reported_term, event.result.status->term,
                                  event.result.status->received.term});
    job.newest_term = std::max(job.newest_term, job.reported_term);
  }
  if (pending_request.verb == relay::Verb::kStatus) {
    RecordLeader(event, job.old_primary, &job);
    if (job.stage == Stage::kAskingOthers) {
      job.unanswered_probes.erase(event.endpoint);
      if (job.unanswered_probes.empty()) OnOthersAnswered(group, &job);
    }
    if (job.stage == Stage::kProbing) OnProbeAnswered(group, &job, event);
    if (job.stage == Stage::kAskingReplicas) {
      return OnReplicaAnswered(group, &job, event);
    }
    const auto& status = event.result.status;
    if (job.stage == Stage::kIdle && status &&
        status->paused_below > status->term) {
      job.may_have_left_paused = true;
      CheckClaimAgain(&job);
    }
    return;
  }
  if (job.stage == Stage::kSteppingDown &&
      pending_request.verb == relay::Verb::kStepDown) {
    const auto& answer = event.result.status;
    if (answer && !answer->primary) {
      return RecordStepDown(&job, answer->received);
    }
    // Another host may reach it.
    if (!event.answered) return;
    if (answer && job.pause_term <= job.newest_term) {
      // The requested term was too low; the answer contains the newest one.
      return StartStepDown(group, &job);
    }
    // A busy primary is asked again until the stage ends.
    if (!answer) {
      return SendAdminRequest(group, event.endpoint, relay::Verb::kStepDown,
                              job.pause_term);
    }
    return StartPause(group, &job);
  }
  if (job.stage != Stage::kPausing) return;
  const auto replica = job.pause_answers.find(event.endpoint);
  if (replica == job.pause_answers.end()) return;
  const auto& status = event.result.status;
  if (event.answered && event.result.Ok() && status &&
      status->paused_below > status->term) {
    replica->second = status;
    for (auto& [id, answer] : job.pause_answers) {
      if (!answer || answer->paused_below > job.newest_term) continue;
      answer.reset();
      SendPause(group, id, &job);
    }
    return MaybeChooseTarget(group, &job);
  }
  log::Event(
      log::Channel::kFailover, log::Level::kInfo, "pause_refused",
      {{"group", group},
       {"endpoint", event.endpoint},
       {"answered", event.answered ? "yes" : "no"},
       {"detail", event.result.text},
       {"term", status ? std::to_string(status->term) : "unknown"},
       {"held", status ? std::to_string(status->paused_below) : "unknown"},
       {"asked", std::to_string(job.pause_term)}});
  // Some endpoint of the group is in a newer term than this endpoint reported.
  // A busy endpoint says nothing of that.
  if (event.answered && status) {
    job.newest_term = std::max(job.newest_term, job.pause_term);
  }
  if (status && status->primary) {
    // It was promoted meanwhile, or leads an older term.
    RecordLeader(event, job.old_primary, &job);
    if (EndIfLed(group, &job)) return;
  }
  if (++job.pause_refusals >= kMaxPauseRefusals) {
    if (!event.answered) NoteUnanswered(&job, {event.endpoint});
    return GiveUp(group, &job, GiveUpReason::kReplicaNotPaused);
  }
  if (status && status->primary) {
    job.pause_term = std::max(job.pause_term, job.newest_term + 1);
    return SendAdminRequest(group, event.endpoint, relay::Verb::kStepDown,
                            job.pause_term);
  }
  SendPause(group, event.endpoint, &job);
}

}  // namespace tiller::fleet
