// Implementation of failover.
#include "Fleet/primary_failover.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "Common/log.h"

namespace tiller::fleet {
namespace {

// Several times the duration of the slowest statement plus a few repeated
// probes, so that a primary that is only slow is not replaced.
constexpr Milliseconds kSuspectTimeout{600};
// Hosts wait for this time multiplied by their rank, so that usually only one
// of them claims the group.
constexpr Milliseconds kHostRankDelay{70};
constexpr std::size_t kNearHosts = 8;
// Hosts that come after these wait longer for each rank. In a large fleet all
// of them would otherwise read the claims at the same moment, although one of
// the first almost always acts.
constexpr Milliseconds kFarHostRankDelay{250};
constexpr std::size_t kMaxFarHosts = 32;
// Time for reports to arrive before a primary is promoted in a group that has
// none.
constexpr Milliseconds kNoPrimaryGracePeriod{500};
// The same at the first start: endpoints report within a few heartbeats.
constexpr Milliseconds kFirstPrimaryGracePeriod{4'000};
constexpr Milliseconds kPauseTimeout{900};
constexpr Milliseconds kStepDownTimeout{400};
// Covers one exchange with another host and one exchange of that host with the
// primary.
constexpr Milliseconds kSilentStepDownTimeout{50};
// Log entries that the primary sent before it stepped down have arrived after
// this time.
constexpr Milliseconds kLogDeliveryTime{15};
// After this many reverted failovers, the best replica is promoted even if it
// lacks entries of the old primary, unless they may be acknowledged.
constexpr int kMaxReverts = 2;
// Longer than a commit lease, with time for the answers.
constexpr Milliseconds kHoldTimeout{2'500};
constexpr int kMaxPauseRefusals = 8;
constexpr Milliseconds kPromoteRetryInterval{600};
constexpr Milliseconds kPromoteTimeout{12'000};
// A promotion that was accepted has taken effect after this time.
constexpr Milliseconds kPromotionTime{1'500};

// A primary that crashed or a replica behind a partition is back within this
// time. If it is not, the commits that only it has are lost.
constexpr Milliseconds kMissingCommitsTimeout{30'000};

Duration RankDelay(std::size_t host_rank) {
  const auto near = std::min(host_rank, kNearHosts);
  const auto far = std::min(host_rank - near, kMaxFarHosts);
  return kHostRankDelay * near + kFarHostRankDelay * far;
}

constexpr char kReasonLeaving[] = "leaving";
constexpr char kReasonNoPrimary[] = "no_primary";
constexpr char kReasonSilent[] = "silent";

}  // namespace

void PrimaryFailover::SetDirectory(relay::DirectoryPtr directory) {
  const auto old = std::exchange(m_directory, std::move(directory));
  m_history.Update(old, m_directory);
  // A group that the operator removed needs no failover.
  std::erase_if(m_jobs, [&](const auto& item) {
    return m_directory->groups.count(item.first) == 0;
  });
  for (auto& [group, job] : m_jobs) PauseNewReplicas(group, &job);
  AskReturnedReplicas(old);
}

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

void PrimaryFailover::Handle(const relay::PrimaryHealth& event) {
  auto& job = m_jobs[event.group];
  job.newest_term = std::max(job.newest_term, event.term);
  job.reported_term = std::max(job.reported_term, event.term);
  job.acknowledged = std::max(job.acknowledged, event.acknowledged);
  if (event.deposed || event.endpoint.empty()) return;
  job.silent_for = event.silent_for;
  job.silent_endpoint = event.endpoint;
}

std::string PrimaryFailover::FindTrigger(const GroupId& group,
                                         const Job& job) const {
  const auto& row = m_directory->groups.at(group);
  const auto primary = m_directory->endpoints.find(row.primary);
  if (primary == m_directory->endpoints.end()) return kReasonNoPrimary;
  if (primary->second.leaving) return kReasonLeaving;
  if (job.silent_endpoint == row.primary && job.silent_for >= kSuspectTimeout) {
    return kReasonSilent;
  }
  return {};
}

void PrimaryFailover::Tick(const std::map<GroupId, std::size_t>& host_ranks) {
  if (!m_directory) return;
  for (const auto& [group, row] : m_directory->groups) {
    auto& job = m_jobs[group];
    const auto found_rank = host_ranks.find(group);
    const std::size_t host_rank =
        found_rank == host_ranks.end() ? kNearHosts : found_rank->second;
    job.host_rank = host_rank;
    if (job.stage != Stage::kPromoting) TrackPrimary(group, &job, host_rank);
    if (job.stage == Stage::kIdle) {
      MaybeStartFailover(group, &job, host_rank);
    } else {
      Advance(group, &job);
    }
  }
}

void PrimaryFailover::Advance(const GroupId& group, Job* job) {
  const auto now = m_clock->Now();
  const bool overdue = now >= job->stage_deadline;
  switch (job->stage) {
    case Stage::kIdle:
      return;
    case Stage::kAskingOthers:
      if (overdue) OnOthersAnswered(group, job);
      return;
    case Stage::kAskingReplicas:
      if (overdue) AwaitReplicas(job);
      return;
    case Stage::kReadingClaim:
    case Stage::kClaiming:
      if (overdue) GiveUp(group, job, GiveUpReason::kNoStore);
      return;
    case Stage::kProbing:
      if (!overdue || EndIfLed(group, job)) return;
      NoteUnanswered(job, job->unanswered_probes);
      return GiveUp(group, job, GiveUpReason::kReplicaSilent);
    case Stage::kPausing: {
      if (!overdue) return;
      std::set<EndpointId> silent;
      for (const auto& [id, answer] : job->pause_answers) {
        if (!answer) silent.insert(id);
      }
      NoteUnanswered(job, silent);
      return GiveUp(group, job, GiveUpReason::kReplicaSilent);
    }
    case Stage::kSteppingDown: {
      const bool log_delivered =
          job->stepped_down_at && now >= job->pause_not_before;
      if (log_delivered || overdue) StartPause(group, job);
      return;
    }
    case Stage::kAwaitingHold:
      if (overdue) return GiveUp(group, job, GiveUpReason::kCommitsNotHeld);
      return MaybeChooseTarget(group, job);
    case Stage::kPromoting:
      if (overdue)
        return GiveUp(group, job, GiveUpReason::kPromotionUnanswered);
      if (now < job->next_promote_at || job->promote_outstanding) return;
      if (EnsureClaimFresh(group, job)) SendPromote(group, job);
      return;
    case Stage::kResuming:
      return Resume(group, job);
  }
}

void PrimaryFailover::MaybeStartFailover(const GroupId& group, Job* job,
                                         std::size_t host_rank) {
  const auto now = m_clock->Now();
  const auto trigger = FindTrigger(group, *job);
  if (trigger.empty()) {
    job->suspected_since = {};
    job->others_asked = false;
    job->unanswered_before.clear();
    job->replicas_awaited = false;
    job->replicas_awaited_until = {};
    job->commits_missing_since.reset();
    m_history.PrimaryAnswers(group);
    if (!job->check_claim_at && host_rank < kClaimCheckHosts &&
        m_guard->IsOverdue(group)) {
      job->check_claim_at = now + kClaimCheckRankDelay * host_rank;
    }
    if (!job->check_claim_at || now < *job->check_claim_at || m_reading_claims)
      return;
    job->check_claim_at.reset();
    job->reason = kReasonUnfinished;
    return StartClaimRead(group, job);
  }
  if (job->suspected_since == Instant{}) {
    job->suspected_since = now;
    log::Event(log::Channel::kFailover, log::Level::kInfo, "primary_suspected",
               {{"group", group},
                {"endpoint", m_directory->groups.at(group).primary},
                {"reason", trigger},
                {"silent_ms", log::MillisecondsText(job->silent_for)}});
  }
  const auto& row = m_directory->groups.at(group);
  if (!job->others_asked && !row.other_primaries.empty()) {
    return StartAskingOthers(job, row);
  }
  Duration grace{};
  if (trigger == kReasonNoPrimary) {
    grace = job->known_primary.empty() ? kFirstPrimaryGracePeriod
                                       : kNoPrimaryGracePeriod;
  }
  auto start = job->suspected_since + grace + RankDelay(host_rank);
  if (const auto free = m_guard->FreeFrom(group)) {
    start = std::max(start, *free + RankDelay(host_rank));
  }
  // Hosts that could not act before take turns from when they can.
  for (const auto since :
       {m_tables_current_since, job->replicas_awaited_until}) {
    if (since == Instant{}) continue;
    start = std::max(start, since + RankDelay(host_rank));
  }
  // Without a primary that could step down, the attempt would fail.
  if (trigger == kReasonNoPrimary && m_history.HasGone(group)) return;
  if (now < start || now < job->next_attempt_at || m_reading_claims ||
      !m_tables_current)
    return;
  job->reason = trigger;
  if (AskUnanswered(group, job)) return;
  StartClaimRead(group, job);
}

void PrimaryFailover::SetTablesCurrent(bool current) {
  if (current && !m_tables_current) m_tables_current_since = m_clock->Now();
  m_tables_current = current;
}

void PrimaryFailover::Handle(const RowWritten& event) {
  for (auto& [group, job] : m_jobs) {
    if (job.call != event.call) continue;
    job.call = 0;
    if (job.renewing_claim) return OnClaimRenewed(group, &job, event);
    if (job.stage != Stage::kClaiming) return;
    if (event.status != StoreStatus::kDone) {
      // The claim may have been written although the answer was lost. The next
      // read shows this. A new claim has a new token in either case.
      return GiveUp(group, &job, GiveUpReason::kClaimRefused);
    }
    job.claim.version = event.version;
    job.claim.claimed_at = event.now;
    m_counters->Add("failover_claims");
    log::Event(log::Channel::kFailover, log::Level::kInfo, "failover_claimed",
               {{"group", group},
                {"reason", job.reason},
                {"token", std::to_string(job.claim.token)},
                {"failed_before", std::to_string(job.claim.failed_before)}});
    // The directory may have changed since the primary was suspected.
    job.target = m_directory->groups.at(group).primary;
    const bool primary_serves =
        job.reason == kReasonUnfinished || FindTrigger(group, job).empty();
    if (primary_serves && !job.fences_older_promotion) {
      return StartResume(group, &job);
    }
    job.keeps_primary = primary_serves && !job.target.empty();
    return StartProbe(group, &job);
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

void PrimaryFailover::Handle(const peer::CommitReport& report) {
  const auto job = m_jobs.find(report.group);
  if (job == m_jobs.end()) return;  // the group is unknown here
  auto& acknowledged = job->second.acknowledged;
  acknowledged = std::max(acknowledged, report.acknowledged);
  if (job->second.stage == Stage::kAwaitingHold) {
    MaybeChooseTarget(report.group, &job->second);
  }
}

std::vector<peer::Message> PrimaryFailover::TakePeerMessages() {
  return std::exchange(m_peer_messages, {});
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

void PrimaryFailover::MaybeChooseTarget(const GroupId& group, Job* job) {
  for (const auto& [id, answer] : job->pause_answers) {
    if (!answer) return;
  }
  if (m_guard->AllHold(group)) {
    if (EnsureClaimFresh(group, job)) ChooseTarget(group, job);
    return;
  }
  if (job->stage == Stage::kAwaitingHold) return;
  job->stage = Stage::kAwaitingHold;
  job->stage_deadline = m_clock->Now() + kHoldTimeout;
}

// Selects the endpoint with the highest position. Ties go to an endpoint that
// is not leaving, then to one that is neither in this host's zone nor in the
// old primary's zone: if only these two zones are partitioned from each other,
// a third zone reaches both.
void PrimaryFailover::ChooseTarget(const GroupId& group, Job* job) {
  const auto primary = m_directory->endpoints.find(job->old_primary);
  const ZoneId old_zone =
      primary == m_directory->endpoints.end() ? ZoneId() : primary->second.zone;
  const auto preference = [&](const EndpointId& id) {
    const auto& answer = *job->pause_answers.at(id);
    const auto endpoint = m_directory->endpoints.find(id);
    const bool listed = endpoint != m_directory->endpoints.end();
    const bool stays = listed && !endpoint->second.leaving;
    const bool third_zone = listed && endpoint->second.zone != m_zone &&
                            endpoint->second.zone != old_zone;
    return std::make_tuple(answer.received, stays, third_zone);
  };
  const auto best =
      std::max_element(job->pause_answers.begin(), job->pause_answers.end(),
                       [&](const auto& a, const auto& b) {
                         return preference(a.first) < preference(b.first);
                       });
  job->target = job->keeps_primary ? job->old_primary : best->first;
  const bool has_all_commits =
      !job->stepped_down_at || best->second->received >= *job->stepped_down_at;
  const bool may_revert =
      job->reverts < kMaxReverts || m_history.MayLackCommits(group);
  if (job->keeps_primary) {
    m_counters->Add("failover_primary_kept");
  } else if (!has_all_commits && primary != m_directory->endpoints.end() &&
             may_revert) {
    ++job->reverts;
    job->target = primary->first;
    m_counters->Add("failover_reverted");
  } else if (AwaitsCommits(group, job, best->second->received)) {
    return GiveUp(group, job, GiveUpReason::kCommitsMissing);
  }
  StartPromoting(group, job);
  std::string compared;
  for (const auto& [id, answer] : job->pause_answers) {
    if (!compared.empty()) compared += ",";
    compared += id + ":" + TextOf(answer->received);
  }
  log::Event(
      log::Channel::kFailover, log::Level::kInfo, "failover_chosen",
      {{"group", group},
       {"target", job->target},
       {"position", TextOf(best->second->received)},
       {"acknowledged", TextOf(job->acknowledged)},
       {"replicas", std::to_string(job->pause_answers.size())},
       {"compared", compared},
       {"old_primary",
        job->stepped_down_at ? TextOf(*job->stepped_down_at) : "unknown"},
       {"gone", std::to_string(m_history.GoneCount(group))},
       {"token", std::to_string(job->claim.token)}});
}

void PrimaryFailover::StartPromoting(const GroupId& group, Job* job) {
  job->stage = Stage::kPromoting;
  job->stage_deadline = m_clock->Now() + kPromoteTimeout;
  job->primary_stepped_down = false;
  SendPromote(group, job);
}

bool PrimaryFailover::AwaitsCommits(const GroupId& group, Job* job,
                                    const GroupPosition& received) {
  if (received >= job->acknowledged) {
    job->commits_missing_since.reset();
    return false;
  }
  const auto now = m_clock->Now();
  if (!job->commits_missing_since) job->commits_missing_since = now;
  const bool waits = now - *job->commits_missing_since < kMissingCommitsTimeout;
  m_counters->Add(waits ? "failover_awaits_commits" : "commits_given_up");
  log::Event(log::Channel::kFailover, log::Level::kWarn,
             waits ? "commits_awaited" : "commits_given_up",
             {{"group", group},
              {"position", TextOf(received)},
              {"acknowledged", TextOf(job->acknowledged)},
              {"token", std::to_string(job->claim.token)}});
  return waits;
}

void PrimaryFailover::SendPromote(const GroupId& group, Job* job) {
  job->promote_outstanding = true;
  job->next_promote_at = m_clock->Now() + kPromoteRetryInterval;
  job->pending_calls.push_back(
      Promote{0, group, job->target, m_self, job->claim.token});
}

void PrimaryFailover::Handle(const PromoteAnswered& event) {
  for (auto& [group, job] : m_jobs) {
    if (job.call != event.call) continue;
    job.call = 0;
    job.promote_outstanding = false;
    if (job.stage != Stage::kPromoting) return;
    switch (event.status) {
      case PromoteStatus::kDone:
        m_counters->Add("failover_done");
        log::Event(log::Channel::kFailover, log::Level::kInfo, "failover_done",
                   {{"group", group},
                    {"target", job.target},
                    {"token", std::to_string(job.claim.token)},
                    {"reason", job.reason}});
        m_promotions.emplace_back(group, job.target);
        job.pause_term = 0;
        job.promotion_pending = false;
        job.claim.settled = true;
        StartResume(group, &job);
        if (job.fences_older_promotion) {
          job.next_resume_at += kPromotionTime;
        } else {
          AllowTarget(group, &job);
        }
        return;
      case PromoteStatus::kFenced:
        return GiveUp(group, &job, GiveUpReason::kPromotionRefused);
      case PromoteStatus::kUnknown:
        job.promotion_pending = true;
        [[fallthrough]];
      case PromoteStatus::kNotRun:
        // The next tick repeats the request unchanged.
        m_counters->Add("failover_promote_repeated");
        return;
    }
  }
}

std::vector<std::pair<GroupId, EndpointId>>
PrimaryFailover::TakeConfirmedPrimaries() {
  return std::exchange(m_confirmed_primaries, {});
}

void PrimaryFailover::SendAdminRequest(const GroupId& group,
                                       const EndpointId& endpoint,
                                       relay::Verb verb, Term term,
                                       const std::string& for_address) {
  const auto id = m_next_admin_id++;
  m_admin_requests[id] = {group, verb, term, for_address};
  m_actions.push_back(relay::AdminRequest{id, endpoint, verb, term});
}

bool PrimaryFailover::OwnsCall(CallId call) const {
  return std::any_of(m_jobs.begin(), m_jobs.end(), [&](const auto& item) {
    return item.second.call == call;
  });
}

std::vector<Action> PrimaryFailover::TakeActions(CallId* next_call) {
  auto out = std::exchange(m_actions, {});
  for (auto& [group, job] : m_jobs) {
    for (auto& action : std::exchange(job.pending_calls, {})) {
      job.call = (*next_call)++;
      if (auto* write = std::get_if<WriteRow>(&action)) write->call = job.call;
      if (auto* promote = std::get_if<Promote>(&action)) {
        promote->call = job.call;
      }
      out.push_back(std::move(action));
    }
  }
  return out;
}

std::vector<std::pair<GroupId, EndpointId>> PrimaryFailover::TakePromotions() {
  return std::exchange(m_promotions, {});
}

}  // namespace tiller::fleet
