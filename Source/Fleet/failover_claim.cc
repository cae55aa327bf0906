// Failover: claims in the store, resuming of the replicas, and the ways in
// which a failover job ends.
#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "Common/log.h"
#include "Common/names.h"
#include "Fleet/primary_failover.h"

namespace tiller::fleet {
namespace {

// An unfinished claim of another host blocks new claims for this long.
constexpr StoreTime kClaimLease{2'500};
// Requests to endpoints are sent only under a claim that is no older than this.
// Requests in flight then arrive before another host may claim the group.
constexpr Milliseconds kMaxClaimAge{1'500};
constexpr Milliseconds kClaimTimeout{1'500};
// After a renewal that the store refused.
constexpr Milliseconds kRenewalRetryInterval{500};
// A promotion takes several hundred milliseconds, and its report takes one more
// exchange.
constexpr Milliseconds kPromotionSettleTime{1'500};
constexpr Milliseconds kRestoreTimeout{5'000};
constexpr Milliseconds kRetryBackoff{500};
// After this host gives up, other hosts get the next attempt.
constexpr Milliseconds kYieldBackoff{1'200};
// The promoted endpoint reports itself as primary within a second of the
// request.
constexpr Milliseconds kPrimaryReportTimeout{2'000};
constexpr Milliseconds kResumeTimeout{6'000};
constexpr Milliseconds kResumeRetryInterval{400};
// After this time, the host that replaced the primary has normally resumed the
// replicas.
constexpr Milliseconds kClaimCheckDelay{3'000};

}  // namespace

void PrimaryFailover::StartClaimRead(const GroupId&, Job* job) {
  job->stage = Stage::kReadingClaim;
  job->stage_deadline = m_clock->Now() + kClaimTimeout;
  m_reading_claims = true;
  m_actions.push_back(ReadTable{kClaimTable});
}

void PrimaryFailover::Handle(const TableRead& event) {
  m_reading_claims = false;
  std::map<std::string, Claim> claims;
  for (const auto& row : event.rows) {
    auto& claim = claims[row.key];
    if (auto decoded = DecodeClaim(row.value)) {
      static_cast<ClaimRow&>(claim) = std::move(*decoded);
    } else {
      log::Event(log::Channel::kFailover, log::Level::kWarn, "claim_unreadable",
                 {{"group", row.key}});
    }
    claim.version = row.version;
    if (claim.ignored_entries > 0) {
      m_counters->Add("claim_entries_ignored", claim.ignored_entries);
    }
  }
  for (auto& [group, job] : m_jobs) {
    if (job.stage != Stage::kReadingClaim) continue;
    if (event.status != StoreStatus::kDone) {
      GiveUp(group, &job, GiveUpReason::kNoStore);
      continue;
    }
    auto& claim = claims[group];
    if (claim.version.IsNone()) claim.version.era = event.version.era;
    OnClaimRead(group, &job, claim, event.now);
  }
}

void PrimaryFailover::ObserveEra(StoreEra era) {
  m_seen_earlier_era |= m_era > 0;
  m_era = era;
  m_era_since = m_clock->Now();
  if (!m_seen_earlier_era || !m_directory) return;
  for (auto& [group, job] : m_jobs) {
    const bool claimed = job.stage != Stage::kIdle &&
                         job.stage != Stage::kAskingOthers &&
                         job.stage != Stage::kAskingReplicas &&
                         job.stage != Stage::kReadingClaim;
    if (claimed) Abandon(group, &job, "the claim may be lost");
  }
  // The holder of a lost claim may have died and left replicas paused.
  for (const auto& [id, endpoint] : m_directory->endpoints)
    AskReplica(endpoint);
}

bool PrimaryFailover::MayHaveSuccessors(const Claim& claim) const {
  if (claim.era >= m_era) return false;
  const bool group_was_claimed = claim.version.number > 0;
  return group_was_claimed || m_seen_earlier_era;
}

bool PrimaryFailover::PostponeClaim(Job* job, Duration wait) {
  const auto turn = wait + RankDelay(job->host_rank);
  if (turn <= Duration{0}) return false;
  CheckClaimAgain(job);
  job->stage = Stage::kIdle;
  job->next_attempt_at =
      m_clock->Now() + std::min<Duration>(turn, kRetryBackoff);
  return true;
}

void PrimaryFailover::OnClaimRead(const GroupId& group, Job* job,
                                  const Claim& claim, StoreTime now) {
  job->acknowledged = std::max(job->acknowledged, claim.acknowledged);
  m_guard->Observe(group, claim);
  const bool held_by_other = claim.holder != m_self && !claim.holder.empty();
  const bool no_open_claim = claim.finished || claim.holder.empty();
  if (job->reason == kReasonUnfinished && no_open_claim &&
      !job->may_have_left_paused) {
    job->stage = Stage::kIdle;
    return;
  }
  const auto age = now - claim.claimed_at;
  // Hosts estimate the store's time; a claim far in the future is not a fresh
  // one.
  const bool plausible = age > -kClaimLease;
  const bool open = held_by_other && !claim.finished && plausible;
  if (open && PostponeClaim(job, kClaimLease - age)) return;
  // If another host has just replaced the primary, the reports of the endpoints
  // have not arrived yet.
  const bool replaced =
      held_by_other && claim.finished && !claim.target.empty() && plausible;
  if (replaced && PostponeClaim(job, kPromotionSettleTime - age)) return;
  // The holder of a lost claim may still act under it.
  const auto era_age = m_clock->Now() - m_era_since;
  if (MayHaveSuccessors(claim) && PostponeClaim(job, kClaimLease - era_age)) {
    return;
  }
  RecordUnanswered(claim, now, job);
  if (job->reason != kReasonUnfinished && AskUnanswered(group, job)) return;
  const auto token = NextToken(claim.token, m_era);
  const bool first =
      claim.holder.empty() || (claim.finished && !claim.target.empty());
  job->claim = {{m_self,
                 token,
                 now,
                 false,
                 {},
                 false,
                 {},
                 m_era,
                 first ? 0 : claim.failed_before + 1},
                claim.version};
  job->commits_held = false;
  job->target_allowed = false;
  job->primary_stepped_down = false;
  job->promotion_pending =
      (!no_open_claim && !claim.settled) || MayHaveSuccessors(claim);
  job->fences_older_promotion = job->promotion_pending;
  job->claim_sent_at = m_clock->Now();
  job->stage = Stage::kClaiming;
  job->stage_deadline = m_clock->Now() + kClaimTimeout;
  WriteClaim(group, job, false, {});
}

// Writes the current claim. The write fails if the row has changed since it was
// read or last written.
void PrimaryFailover::WriteClaim(const GroupId& group, Job* job, bool finished,
                                 const EndpointId& target) {
  ClaimRow row = job->claim;
  row.finished = finished;
  row.target = target;
  row.acknowledged = job->acknowledged;
  job->pending_calls.push_back(
      WriteRow{0, kClaimTable, group, Encode(row), job->claim.version});
}

bool PrimaryFailover::EnsureClaimFresh(const GroupId& group, Job* job) {
  const auto now = m_clock->Now();
  if (job->renewing_claim) return false;
  if (now - job->claim_sent_at < kMaxClaimAge) return true;
  if (now < job->next_renewal_at) return false;
  job->renewing_claim = true;
  job->claim.claimed_at +=
      std::chrono::duration_cast<StoreTime>(now - job->claim_sent_at);
  job->claim_sent_at = now;
  WriteClaim(group, job, false, job->target);
  return false;
}

void PrimaryFailover::OnClaimRenewed(const GroupId& group, Job* job,
                                     const RowWritten& event) {
  job->renewing_claim = false;
  if (event.status == StoreStatus::kDone) {
    job->claim.version = event.version;
    job->claim.claimed_at = event.now;
    return;
  }
  if (event.status == StoreStatus::kNotRun) {
    // As far as this host knows, it still holds the claim. The next request to
    // an endpoint renews it again.
    job->claim_sent_at -= kMaxClaimAge;
    job->claim.claimed_at -= kMaxClaimAge;
    job->next_renewal_at = m_clock->Now() + kRenewalRetryInterval;
    return;
  }
  Abandon(group, job, "claim could not be renewed");
}

// Ends the job without sending further requests, since another host may have
// taken over the group.
void PrimaryFailover::Abandon(const GroupId& group, Job* job,
                              const std::string& reason) {
  m_counters->Add("failover_abandoned");
  log::Event(log::Channel::kFailover, log::Level::kWarn, "failover_abandoned",
             {{"group", group},
              {"reason", reason},
              {"token", std::to_string(job->claim.token)}});
  job->promotion_pending |= job->promote_outstanding;
  // A promotion that was accepted may not have taken effect yet.
  if (job->promotion_pending || job->stage == Stage::kResuming) {
    m_guard->Leave(group);
  } else {
    m_guard->Release(group, job->claim.token);
  }
  job->may_have_left_paused |=
      !job->pause_answers.empty() || !job->to_resume.empty();
  job->pause_answers.clear();
  job->to_resume.clear();
  job->stage = Stage::kIdle;
  job->renewing_claim = false;
  job->promote_outstanding = false;
  job->next_attempt_at = m_clock->Now() + kRetryBackoff;
  job->check_claim_at = m_clock->Now() + kClaimCheckDelay;
}

bool PrimaryFailover::RestorePrimary(const GroupId& group, Job* job,
                                     const std::string& reason) {
  const bool stepped_down = std::exchange(job->primary_stepped_down, false);
  if (!stepped_down || job->promotion_pending) return false;
  if (m_directory->endpoints.count(job->old_primary) == 0) return false;
  m_counters->Add("failover_primary_restored");
  log::Event(log::Channel::kFailover, log::Level::kWarn, "primary_restored",
             {{"group", group},
              {"endpoint", job->old_primary},
              {"reason", reason},
              {"token", std::to_string(job->claim.token)}});
  job->target = job->old_primary;
  job->stage = Stage::kPromoting;
  job->stage_deadline = m_clock->Now() + kRestoreTimeout;
  job->next_promote_at = m_clock->Now();
  Advance(group, job);
  return true;
}

void PrimaryFailover::GiveUp(const GroupId& group, Job* job, GiveUpReason why,
                             const EndpointId& endpoint) {
  const std::string name(NameOf(kGiveUpNames, why));
  const std::string text(NameOf(kGiveUpTexts, why));
  const auto reason = endpoint.empty() ? text : endpoint + " did not answer";
  m_counters->Add("failover_given_up");
  m_counters->Add("failover_given_up_" + name);
  log::Event(log::Channel::kFailover, log::Level::kWarn, "failover_given_up",
             {{"group", group},
              {"reason", reason},
              {"token", std::to_string(job->claim.token)}});
  job->promotion_pending |= job->promote_outstanding;
  const bool acted =
      job->stage == Stage::kProbing || job->stage == Stage::kSteppingDown ||
      job->stage == Stage::kPausing || job->stage == Stage::kAwaitingHold ||
      job->stage == Stage::kPromoting;
  const bool claim_fresh =
      m_clock->Now() - job->claim_sent_at <= kMaxClaimAge &&
      !job->renewing_claim;
  if (acted && RestorePrimary(group, job, reason)) return;
  if (acted && job->promotion_pending) {
    Abandon(group, job, reason);
    job->next_attempt_at = m_clock->Now() + kYieldBackoff;
    if (!claim_fresh) return;
    // Lets another host take over at once what this one leaves unfinished.
    job->claim.claimed_at = StoreTime{0};
    return WriteClaim(group, job, false, {});
  }
  if (!job->pause_answers.empty() && !claim_fresh) {
    return Abandon(group, job, reason);
  }
  for (const auto& [id, answer] : job->pause_answers) {
    if (m_directory->endpoints.count(id) == 0) continue;
    SendAdminRequest(group, id, relay::Verb::kContinue, 0);
  }
  job->pause_answers.clear();
  CheckClaimAgain(job);
  job->stage = Stage::kIdle;
  job->call = 0;
  job->promote_outstanding = false;
  job->next_attempt_at = m_clock->Now() + kRetryBackoff;
  if (!acted) return;
  m_guard->Release(group, job->claim.token);
  // Another host may reach the endpoints that this host cannot reach.
  job->next_attempt_at = m_clock->Now() + kYieldBackoff;
  WriteClaim(group, job, true, {});
}

// Replicas that an attempt found no opportunity to resume must not stay paused.
void PrimaryFailover::CheckClaimAgain(Job* job) {
  if (job->reason != kReasonUnfinished && !job->may_have_left_paused) return;
  job->check_claim_at = m_clock->Now() + kClaimCheckDelay;
}

// From then on, hosts pass on the commits of the target as soon as they know it
// as the primary.
void PrimaryFailover::AllowTarget(const GroupId& group, Job* job) {
  if (std::exchange(job->target_allowed, true)) return;
  if (job->target.empty()) return m_guard->Release(group, job->claim.token);
  m_guard->AllowTarget(group, job->claim.token, job->target);
}

void PrimaryFailover::Finish(const GroupId& group, Job* job) {
  AllowTarget(group, job);
  m_counters->Add("failover_finished");
  log::Event(log::Channel::kFailover, log::Level::kInfo, "failover_finished",
             {{"group", group},
              {"target", job->target},
              {"token", std::to_string(job->claim.token)}});
  WriteClaim(group, job, true, job->target);
  job->stage = Stage::kIdle;
  job->next_attempt_at = m_clock->Now() + kPromotionSettleTime;
  job->may_have_left_paused = false;
  job->check_claim_at.reset();
}

// Another host may have replaced the primary and failed before it resumed the
// replicas. The first kClaimCheckHosts hosts in the group's order check for an
// unfinished claim.
void PrimaryFailover::TrackPrimary(const GroupId& group, Job* job,
                                   std::size_t host_rank) {
  const auto& primary = m_directory->groups.at(group).primary;
  if (primary.empty() || primary == job->known_primary) return;
  const bool changed = !job->known_primary.empty();
  job->known_primary = primary;
  if (!changed || job->stage == Stage::kResuming) return;
  if (host_rank >= kClaimCheckHosts) return;
  job->check_claim_at = m_clock->Now() + kClaimCheckDelay +
                        kClaimCheckRankDelay * static_cast<int>(host_rank);
}

void PrimaryFailover::AskReturnedReplicas(const relay::DirectoryPtr& old) {
  if (old == nullptr) return;
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (old->endpoints.count(id) == 0) AskReplica(endpoint);
  }
}

void PrimaryFailover::AskReplica(const relay::Endpoint& endpoint) {
  if (endpoint.primary) return;
  const auto job = m_jobs.find(endpoint.group);
  if (job == m_jobs.end() || job->second.stage != Stage::kIdle) return;
  if (job->second.host_rank >= kClaimCheckHosts) return;
  SendAdminRequest(endpoint.group, endpoint.id, relay::Verb::kStatus, 0);
}

// Called when the promotion of the target has been accepted, or to complete an
// unfinished failover.
void PrimaryFailover::StartResume(const GroupId& group, Job* job) {
  job->stage = Stage::kResuming;
  job->stage_deadline = m_clock->Now() + kResumeTimeout;
  job->primary_report_deadline = m_clock->Now() + kPrimaryReportTimeout;
  job->next_resume_at = m_clock->Now();
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    const bool may_be_paused =
        job->pause_answers.empty() || job->pause_answers.count(id) > 0;
    if (endpoint.group != group || id == job->target) continue;
    if (may_be_paused) job->to_resume.insert(id);
  }
  job->pause_answers.clear();
  job->suspected_since = {};
  job->silent_for = {};
}

void PrimaryFailover::Resume(const GroupId& group, Job* job) {
  const auto now = m_clock->Now();
  const bool target_is_primary =
      m_directory->groups.at(group).primary == job->target;
  std::erase_if(job->to_resume, [&](const EndpointId& id) {
    return m_directory->endpoints.count(id) == 0;
  });
  if (target_is_primary && job->to_resume.empty()) return Finish(group, job);
  const bool failed = !target_is_primary && now >= job->primary_report_deadline;
  if (now >= job->stage_deadline || failed) {
    // The claim stays unfinished. The next claim, by this host or another one,
    // continues the failover.
    log::Event(log::Channel::kFailover, log::Level::kWarn,
               "failover_unfinished",
               {{"group", group},
                {"target", job->target},
                {"leads", target_is_primary ? "yes" : "no"},
                {"paused", std::to_string(job->to_resume.size())}});
    job->stage = Stage::kIdle;
    job->check_claim_at = now + kClaimCheckDelay;
    return;
  }
  if (!target_is_primary || now < job->next_resume_at) return;
  if (!EnsureClaimFresh(group, job)) return;
  AllowTarget(group, job);
  job->next_resume_at = now + kResumeRetryInterval;
  for (const auto& id : job->to_resume) {
    SendAdminRequest(group, id, relay::Verb::kContinue, 0);
  }
}

}  // namespace tiller::fleet
