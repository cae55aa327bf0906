// Failover: detects the failure of a primary, starts a job, and advances it.
#include "Fleet/primary_failover.h"

#include <algorithm>
#include <utility>

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

constexpr char kReasonNoPrimary[] = "no_primary";
constexpr char kReasonSilent[] = "silent";

}  // namespace

Duration PrimaryFailover::RankDelay(std::size_t host_rank) {
  const auto near = std::min(host_rank, kNearHosts);
  const auto far = std::min(host_rank - near, kMaxFarHosts);
  return kHostRankDelay * near + kFarHostRankDelay * far;
}

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

}  // namespace tiller::fleet
