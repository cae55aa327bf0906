// Failover: chooses the endpoint to be promoted, and promotes it.
#include <algorithm>
#include <string>
#include <tuple>
#include <utility>

#include "Common/log.h"
#include "Fleet/primary_failover.h"

namespace tiller::fleet {
namespace {

// After this many reverted failovers, the best replica is promoted even if it
// lacks entries of the old primary, unless they may be acknowledged.
constexpr int kMaxReverts = 2;
// Longer than a commit lease, with time for the answers.
constexpr Milliseconds kHoldTimeout{2'500};
constexpr Milliseconds kPromoteRetryInterval{600};
constexpr Milliseconds kPromoteTimeout{12'000};
// A promotion that was accepted has taken effect after this time.
constexpr Milliseconds kPromotionTime{1'500};
// A primary that crashed or a replica behind a partition is back within this
// time. If it is not, the commits that only it has are lost.
constexpr Milliseconds kMissingCommitsTimeout{30'000};

}  // namespace

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

std::vector<std::pair<GroupId, EndpointId>> PrimaryFailover::TakePromotions() {
  return std::exchange(m_promotions, {});
}

}  // namespace tiller::fleet
