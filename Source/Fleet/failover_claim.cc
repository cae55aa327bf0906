// Failover: claims in the store, resuming of replicas, and the ends of a job.
#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "Common/log.h"
#include "Fleet/primary_failover.h"

namespace tiller::fleet {
namespace {

// Another host's unfinished claim is respected for this long.
constexpr StoreTime kClaimLease{2'500};
// Orders are given under a claim no older than this: what is on its way then
// arrives before another host may claim.
constexpr Milliseconds kClaimFresh{1'500};
constexpr Milliseconds kClaimTimeout{1'500};
// Promotion takes some hundred milliseconds, and its report one exchange more.
constexpr Milliseconds kSettle{1'500};
constexpr Milliseconds kBackoff{500};
// After giving up, the others try first.
constexpr Milliseconds kGiveWay{1'200};
// The promoted endpoint reports itself within a second of the order.
constexpr Milliseconds kLeadTimeout{2'000};
constexpr Milliseconds kResumeTimeout{6'000};
constexpr Milliseconds kResumeRetry{400};
// By then the host that changed a primary has resumed the replicas.
constexpr Milliseconds kCheckClaimAfter{3'000};
constexpr Milliseconds kCheckClaimTurn{500};
constexpr std::size_t kCheckingHosts = 3;

std::string EncodeClaim(const HostId& holder, std::uint64_t token,
                        StoreTime now, bool finished,
                        const EndpointId& target) {
  Json::Value out;
  out["holder"] = holder;
  out["token"] = Json::UInt64(token);
  out["claimed"] = Json::Int64(now.count());
  out["finished"] = finished;
  out["target"] = target;
  return ToText(out);
}

}  // namespace

void PrimaryFailover::StartRead(const GroupId&, Job* job) {
  job->stage = Stage::kReading;
  job->stage_until = m_clock->Now() + kClaimTimeout;
  m_reading = true;
  m_out.push_back(ReadTable{kPrimaryTable});
}

void PrimaryFailover::Handle(const TableRead& event) {
  m_reading = false;
  std::map<std::string, Claim> claims;
  for (const auto& row : event.rows) {
    const auto json = ParseJson(row.value);
    if (!json) {
      log::Event(log::Channel::kFailover, log::Level::kWarn, "claim_unreadable",
                 {{"group", row.key}});
      claims[row.key].version = row.version;
      continue;
    }
    const auto& value = json.value();
    claims[row.key] = {
        StringOr(value, "holder"),
        UintOr(value, "token"),
        StoreTime(static_cast<StoreTime::rep>(UintOr(value, "claimed"))),
        BoolOr(value, "finished"),
        !StringOr(value, "target").empty(),
        row.version};
  }
  for (auto& [group, job] : m_jobs) {
    if (job.stage != Stage::kReading) continue;
    if (event.status != StoreStatus::kDone) {
      GiveUp(group, &job, "store did not answer");
      continue;
    }
    OnClaimRead(group, &job, claims[group], event.now);
  }
}

void PrimaryFailover::OnClaimRead(const GroupId& group, Job* job,
                                  const Claim& claim, StoreTime now) {
  const bool others = claim.holder != m_self && !claim.holder.empty();
  const bool nothing_left = claim.finished || claim.holder.empty();
  if (job->reason == kUnfinished && nothing_left && !job->left_paused) {
    job->stage = Stage::kIdle;
    return;
  }
  if (others && !claim.finished && now - claim.claimed < kClaimLease) {
    job->stage = Stage::kIdle;
    job->not_before = m_clock->Now() + kBackoff;
    return;
  }
  if (others && claim.finished && claim.promoted &&
      now - claim.claimed < kSettle) {
    // Another host has just replaced it; its reports are on their way.
    job->stage = Stage::kIdle;
    job->not_before = m_clock->Now() + kBackoff;
    return;
  }
  job->claim = {m_self, claim.token + 1, now, false, false, claim.version};
  job->claim_sent = m_clock->Now();
  job->stage = Stage::kClaiming;
  job->stage_until = m_clock->Now() + kClaimTimeout;
  WriteClaim(group, job, false, {});
}

// Writes the claim as it stands; the row must not have changed since.
void PrimaryFailover::WriteClaim(const GroupId& group, Job* job, bool finished,
                                 const EndpointId& target) {
  job->pending.push_back(
      WriteRow{0, kPrimaryTable, group,
               EncodeClaim(m_self, job->claim.token, job->claim.claimed,
                           finished, target),
               job->claim.version});
}

bool PrimaryFailover::ClaimIsFresh(const GroupId& group, Job* job) {
  const auto now = m_clock->Now();
  if (job->renewing) return false;
  if (now - job->claim_sent < kClaimFresh) return true;
  job->renewing = true;
  job->claim.claimed +=
      std::chrono::duration_cast<StoreTime>(now - job->claim_sent);
  job->claim_sent = now;
  WriteClaim(group, job, false, job->target);
  return false;
}

void PrimaryFailover::OnRenewed(const GroupId& group, Job* job,
                                const RowWritten& event) {
  job->renewing = false;
  if (event.status == StoreStatus::kDone) {
    job->claim.version = event.version;
    job->claim.claimed = event.now;
    return;
  }
  if (event.status == StoreStatus::kNotRun) {
    // Still the holder, as far as is known; the next order renews again.
    job->claim_sent -= kClaimFresh;
    return;
  }
  Abandon(group, job, "claim could not be renewed");
}

// Another host may act for the group now, so no order is given any more.
void PrimaryFailover::Abandon(const GroupId& group, Job* job,
                              const std::string& reason) {
  m_counters->Add("failover_abandoned");
  log::Event(log::Channel::kFailover, log::Level::kWarn, "failover_abandoned",
             {{"group", group},
              {"reason", reason},
              {"token", std::to_string(job->claim.token)}});
  job->left_paused |= !job->paused.empty() || !job->to_resume.empty();
  job->paused.clear();
  job->to_resume.clear();
  job->stage = Stage::kIdle;
  job->renewing = false;
  job->promote_outstanding = false;
  job->not_before = m_clock->Now() + kBackoff;
  job->check_claim_at = m_clock->Now() + kCheckClaimAfter;
}

void PrimaryFailover::GiveUp(const GroupId& group, Job* job,
                             const std::string& reason) {
  m_counters->Add("failover_given_up");
  log::Event(log::Channel::kFailover, log::Level::kWarn, "failover_given_up",
             {{"group", group},
              {"reason", reason},
              {"token", std::to_string(job->claim.token)}});
  if (!job->paused.empty() && m_clock->Now() - job->claim_sent > kClaimFresh) {
    return Abandon(group, job, reason);
  }
  for (const auto& [id, answer] : job->paused) {
    if (m_directory->endpoints.count(id) == 0) continue;
    SendOrder(group, id, relay::Verb::kContinue, 0);
  }
  const bool holds_claim = job->stage == Stage::kProbing ||
                           job->stage == Stage::kSteppingDown ||
                           job->stage == Stage::kPausing;
  job->paused.clear();
  job->stage = Stage::kIdle;
  job->call = 0;
  job->promote_outstanding = false;
  job->not_before = m_clock->Now() + kBackoff;
  if (!holds_claim) return;
  // Another host may reach what this one does not.
  job->not_before = m_clock->Now() + kGiveWay;
  WriteClaim(group, job, true, {});
}

void PrimaryFailover::Finish(const GroupId& group, Job* job) {
  m_counters->Add("failover_finished");
  log::Event(log::Channel::kFailover, log::Level::kInfo, "failover_finished",
             {{"group", group},
              {"target", job->target},
              {"token", std::to_string(job->claim.token)}});
  WriteClaim(group, job, true, job->target);
  job->stage = Stage::kIdle;
  job->not_before = m_clock->Now() + kSettle;
  job->left_paused = false;
  job->check_claim_at.reset();
}

// Another host may have changed the primary and died before its replicas went
// on; a few hosts look for that.
void PrimaryFailover::NotePrimary(const GroupId& group, Job* job,
                                  std::size_t turn) {
  const auto& primary = m_directory->groups.at(group).primary;
  if (primary.empty() || primary == job->known_primary) return;
  const bool changed = !job->known_primary.empty();
  job->known_primary = primary;
  if (!changed || job->stage == Stage::kResuming) return;
  if (turn >= kCheckingHosts) return;
  job->check_claim_at = m_clock->Now() + kCheckClaimAfter +
                        kCheckClaimTurn * static_cast<int>(turn);
}

// The promotion was ordered, or an unfinished one is taken over.
void PrimaryFailover::StartResume(const GroupId& group, Job* job) {
  job->stage = Stage::kResuming;
  job->stage_until = m_clock->Now() + kResumeTimeout;
  job->lead_until = m_clock->Now() + kLeadTimeout;
  job->resume_again = m_clock->Now();
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    const bool may_be_paused = job->paused.empty() || job->paused.count(id) > 0;
    if (endpoint.group != group || id == job->target) continue;
    if (may_be_paused) job->to_resume.insert(id);
  }
  job->paused.clear();
  job->suspected_since = {};
  job->silent_for = {};
}

void PrimaryFailover::Resume(const GroupId& group, Job* job) {
  const auto now = m_clock->Now();
  const bool leads = m_directory->groups.at(group).primary == job->target;
  std::erase_if(job->to_resume, [&](const EndpointId& id) {
    return m_directory->endpoints.count(id) == 0;
  });
  if (leads && job->to_resume.empty()) return Finish(group, job);
  const bool failed = !leads && now >= job->lead_until;
  if (now >= job->stage_until || failed) {
    // Left unfinished: the next claim, here or elsewhere, goes on with it.
    log::Event(log::Channel::kFailover, log::Level::kWarn,
               "failover_unfinished",
               {{"group", group},
                {"target", job->target},
                {"leads", leads ? "yes" : "no"},
                {"paused", std::to_string(job->to_resume.size())}});
    job->stage = Stage::kIdle;
    job->check_claim_at = now + kCheckClaimAfter;
    return;
  }
  if (!leads || now < job->resume_again) return;
  if (!ClaimIsFresh(group, job)) return;
  job->resume_again = now + kResumeRetry;
  for (const auto& id : job->to_resume) {
    SendOrder(group, id, relay::Verb::kContinue, 0);
  }
}

}  // namespace tiller::fleet
