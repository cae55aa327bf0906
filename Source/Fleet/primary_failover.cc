// Implementation of failover.
#include "Fleet/primary_failover.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"
#include "Common/log.h"

namespace tiller::fleet {
namespace {

// Several times the slowest statement and a few repeated probes: a slow
// primary is not replaced.
constexpr Milliseconds kSuspectAfter{600};
// Hosts act in turn, so that usually one of them claims.
constexpr Milliseconds kTurn{70};
constexpr std::size_t kMaxTurns = 8;
// A group without any primary is given time for its reports to arrive.
constexpr Milliseconds kNoPrimaryGrace{500};
// At the first start, endpoints report within a few heartbeats.
constexpr Milliseconds kFirstPrimaryGrace{4'000};
constexpr Milliseconds kProbeTimeout{500};
constexpr Milliseconds kPauseTimeout{900};
constexpr Milliseconds kStepDownTimeout{400};
// An exchange with another host, and one of that host with the primary.
constexpr Milliseconds kSilentStepDownTimeout{50};
// What the primary sent before it stepped down has arrived by then.
constexpr Milliseconds kShippingTime{15};
// After this many changes taken back, the best replica is promoted anyway.
constexpr int kMaxReverted = 2;
constexpr int kMaxPauseRefusals = 8;
constexpr Milliseconds kPromoteRetry{600};
constexpr Milliseconds kPromoteGiveUp{12'000};
// A replica whose row vanished may be alive behind a partition and hold commits
// that nobody else has; longer than partitions usually last. Then it counts as
// gone, as the platform says of missing rows.
constexpr Milliseconds kVanishedFor{10'000};
// A primary that is well has sent its log to the other replicas by then.
constexpr Milliseconds kCaughtUpAfter{2'000};
constexpr char kLeaving[] = "leaving";
constexpr char kNoPrimary[] = "no_primary";
constexpr char kSilent[] = "silent";

}  // namespace

void PrimaryFailover::SetDirectory(relay::DirectoryPtr directory) {
  const auto old = std::exchange(m_directory, std::move(directory));
  NoteVanished(old);
  // A group that the operator removed has nothing left to change.
  std::erase_if(m_jobs, [&](const auto& item) {
    return m_directory->groups.count(item.first) == 0;
  });
  for (auto& [group, job] : m_jobs) PauseNewcomers(group, &job);
}

// Rows of replicas that were not leaving and are not there any more.
void PrimaryFailover::NoteVanished(const relay::DirectoryPtr& old) {
  if (old != nullptr) {
    for (const auto& [id, endpoint] : old->endpoints) {
      if (endpoint.primary || endpoint.leaving) continue;
      if (m_directory->endpoints.count(id) > 0) continue;
      m_vanished[endpoint.group][id] = m_clock->Now();
    }
  }
  for (auto& [group, vanished] : m_vanished) {
    std::erase_if(vanished, [&](const auto& item) {
      return m_directory->endpoints.count(item.first) > 0;
    });
  }
}

// A replica is missing that may have acknowledged commits which no other
// replica has: it vanished while the primary was not well any more.
bool PrimaryFailover::MissesReplica(const GroupId& group) {
  auto& vanished = m_vanished[group];
  std::erase_if(vanished, [&](const auto& item) {
    return m_clock->Now() - item.second > kVanishedFor;
  });
  return !vanished.empty();
}

// A replica that appears meanwhile must not acknowledge for the old primary.
void PrimaryFailover::PauseNewcomers(const GroupId& group, Job* job) {
  const bool choosing =
      job->stage == Stage::kPausing || job->stage == Stage::kPromoting;
  const bool awaiting = job->stage == Stage::kResuming && !job->target.empty();
  const auto row = m_directory->groups.find(group);
  if ((!choosing && !awaiting) || row == m_directory->groups.end()) return;
  if (awaiting && row->second.primary == job->target) return;
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (endpoint.group != group || job->seen.count(id) > 0) continue;
    job->seen.insert(id);
    if (job->stage == Stage::kPausing) job->paused[id] = std::nullopt;
    job->to_resume.insert(id);
    SendPause(group, id, job);
  }
}

void PrimaryFailover::Handle(const relay::PrimaryHealth& event) {
  auto& job = m_jobs[event.group];
  job.newest_term = std::max(job.newest_term, event.term);
  if (event.deposed || event.endpoint.empty()) return;
  job.silent_for = event.silent_for;
  job.silent_endpoint = event.endpoint;
}

std::string PrimaryFailover::Trigger(const GroupId& group,
                                     const Job& job) const {
  const auto& row = m_directory->groups.at(group);
  const auto primary = m_directory->endpoints.find(row.primary);
  if (primary == m_directory->endpoints.end()) return kNoPrimary;
  if (primary->second.leaving) return kLeaving;
  if (job.silent_endpoint == row.primary && job.silent_for >= kSuspectAfter) {
    return kSilent;
  }
  return {};
}

void PrimaryFailover::Tick(const std::map<GroupId, std::size_t>& turns) {
  if (!m_directory) return;
  for (const auto& [group, row] : m_directory->groups) {
    auto& job = m_jobs[group];
    const auto turn = turns.find(group);
    const std::size_t place =
        std::min(turn == turns.end() ? kMaxTurns : turn->second, kMaxTurns);
    if (job.stage != Stage::kPromoting) NotePrimary(group, &job, place);
    if (job.stage == Stage::kIdle) {
      Watch(group, &job, place);
    } else {
      Advance(group, &job);
    }
  }
}

void PrimaryFailover::Advance(const GroupId& group, Job* job) {
  const auto now = m_clock->Now();
  const bool overdue = now >= job->stage_until;
  switch (job->stage) {
    case Stage::kIdle:
      return;
    case Stage::kReading:
    case Stage::kClaiming:
      if (overdue) GiveUp(group, job, "store did not answer");
      return;
    case Stage::kProbing:
    case Stage::kPausing:
      if (overdue) GiveUp(group, job, "a replica did not answer");
      return;
    case Stage::kSteppingDown: {
      const bool shipped = job->stepped_down_at && now >= job->pause_from;
      if (shipped || overdue) StartPause(group, job);
      return;
    }
    case Stage::kPromoting:
      if (overdue) return GiveUp(group, job, "promotion got no answer");
      if (now < job->promote_again || job->promote_outstanding) return;
      if (ClaimIsFresh(group, job)) SendPromote(group, job);
      return;
    case Stage::kResuming:
      return Resume(group, job);
  }
}

void PrimaryFailover::Watch(const GroupId& group, Job* job, std::size_t place) {
  const auto now = m_clock->Now();
  const auto trigger = Trigger(group, *job);
  if (trigger.empty()) {
    job->suspected_since = {};
    std::erase_if(m_vanished[group], [&](const auto& item) {
      return now - item.second > kCaughtUpAfter;
    });
    if (!job->check_claim_at || now < *job->check_claim_at || m_reading) return;
    job->check_claim_at.reset();
    job->reason = kUnfinished;
    return StartRead(group, job);
  }
  if (job->suspected_since == Instant{}) {
    job->suspected_since = now;
    log::Event(log::Channel::kFailover, log::Level::kInfo, "primary_suspected",
               {{"group", group},
                {"endpoint", m_directory->groups.at(group).primary},
                {"reason", trigger},
                {"silent_ms", log::MillisecondsText(job->silent_for)}});
  }
  Duration grace{};
  if (trigger == kNoPrimary) {
    grace = job->known_primary.empty() ? kFirstPrimaryGrace : kNoPrimaryGrace;
  }
  const auto start = job->suspected_since + grace + kTurn * place;
  if (now < start || now < job->not_before || m_reading || !m_informed) return;
  job->reason = trigger;
  StartRead(group, job);
}

void PrimaryFailover::Handle(const RowWritten& event) {
  for (auto& [group, job] : m_jobs) {
    if (job.call != event.call) continue;
    job.call = 0;
    if (job.renewing) return OnRenewed(group, &job, event);
    if (job.stage != Stage::kClaiming) return;
    if (event.status != StoreStatus::kDone) {
      // A lost answer may have made the claim; the next read tells, and a new
      // claim has a new token either way.
      return GiveUp(group, &job, "claim was not confirmed");
    }
    job.claim.version = event.version;
    job.claim.claimed = event.now;
    m_counters->Add("failover_claims");
    log::Event(log::Channel::kFailover, log::Level::kInfo, "failover_claimed",
               {{"group", group},
                {"reason", job.reason},
                {"token", std::to_string(job.claim.token)}});
    // The directory may have changed since the suspicion.
    if (job.reason == kUnfinished || Trigger(group, job).empty()) {
      job.target = m_directory->groups.at(group).primary;
      return StartResume(group, &job);
    }
    return StartProbe(group, &job);
  }
}

// Nothing is changed before all replicas have answered: a host that reaches
// only some of them could not complete the change.
void PrimaryFailover::StartProbe(const GroupId& group, Job* job) {
  job->stage = Stage::kProbing;
  job->stage_until = m_clock->Now() + kProbeTimeout;
  job->pause_term = 0;
  job->unanswered.clear();
  job->seen.clear();
  job->old_primary = m_directory->groups.at(group).primary;
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (endpoint.group != group) continue;
    job->seen.insert(id);
    if (id != job->old_primary) job->unanswered.insert(id);
  }
  job->replicas = job->unanswered;
  if (job->unanswered.empty()) {
    return GiveUp(group, job, "no replica is listed");
  }
  for (const auto& id : job->unanswered) {
    SendOrder(group, id, relay::Verb::kStatus, 0);
  }
}

void PrimaryFailover::OnProbed(const GroupId& group, Job* job,
                               const relay::AdminDone& event) {
  if (!event.answered) {
    return GiveUp(group, job, event.endpoint + " did not answer");
  }
  job->unanswered.erase(event.endpoint);
  if (!job->unanswered.empty()) return;
  job->stepped_down_at.reset();
  return job->old_primary.empty() ? StartPause(group, job)
                                  : StartStepDown(group, job);
}

// Other hosts are asked too: this one may be the only one that has lost the
// primary, and a replica that is not listed yet may acknowledge for it.
void PrimaryFailover::StartStepDown(const GroupId& group, Job* job) {
  const auto& primary = job->old_primary;
  job->stage = Stage::kSteppingDown;
  job->stage_until =
      m_clock->Now() +
      (job->reason == kLeaving ? kStepDownTimeout : kSilentStepDownTimeout);
  job->stepped_down_at.reset();
  job->pause_term = std::max(job->pause_term, job->newest_term + 1);
  SendOrder(group, primary, relay::Verb::kStepDown, job->pause_term);
  m_for_peers.push_back({group, primary, job->pause_term});
}

void PrimaryFailover::Handle(const peer::StepDownRequest& request) {
  SendOrder(request.group, request.endpoint, relay::Verb::kStepDown,
            request.term);
}

std::vector<peer::StepDownRequest> PrimaryFailover::TakeForPeers() {
  return std::exchange(m_for_peers, {});
}

void PrimaryFailover::StartPause(const GroupId& group, Job* job) {
  // A primary that stepped down told how far its log goes.
  if (!job->stepped_down_at && MissesReplica(group)) {
    return GiveUp(group, job, "a replica that may hold commits is missing");
  }
  if (job->reason != kLeaving) job->stepped_down_at.reset();
  job->stage = Stage::kPausing;
  job->stage_until = m_clock->Now() + kPauseTimeout;
  job->paused.clear();
  job->to_resume.clear();
  job->pause_refusals = 0;
  for (const auto& id : job->replicas) job->paused[id] = std::nullopt;
  for (const auto& id : job->replicas) SendPause(group, id, job);
}

// A pause counts only above the newest term in the group: a replica that
// missed a change of primary would go on to receive from the present one.
void PrimaryFailover::SendPause(const GroupId& group,
                                const EndpointId& endpoint, Job* job) {
  job->pause_term = std::max(job->pause_term, job->newest_term + 1);
  SendOrder(group, endpoint, relay::Verb::kPause, job->pause_term);
}

void PrimaryFailover::Handle(const relay::AdminDone& event) {
  const auto it = m_admin.find(event.id);
  if (it == m_admin.end()) return;
  const auto order = it->second;
  const auto& group = order.group;
  m_admin.erase(it);
  auto& job = m_jobs[group];
  if (order.verb == relay::Verb::kContinue) {
    if (event.answered && event.result.Ok()) {
      job.to_resume.erase(event.endpoint);
    }
    return;
  }
  if (event.result.status) {
    job.newest_term = std::max({job.newest_term, event.result.status->term,
                                event.result.status->received.term});
  }
  if (order.verb == relay::Verb::kStatus) {
    if (job.stage == Stage::kProbing) OnProbed(group, &job, event);
    return;
  }
  if (job.stage == Stage::kSteppingDown &&
      order.verb == relay::Verb::kStepDown) {
    const auto& answer = event.result.status;
    if (answer && !answer->primary) {
      job.stepped_down_at = answer->received;
      job.pause_from = m_clock->Now() + kShippingTime;
      return;
    }
    if (job.reason != kLeaving && !event.answered) return;
    if (event.answered && answer && job.pause_term <= job.newest_term) {
      // The term was too low; the answer tells the newest.
      return StartStepDown(group, &job);
    }
    // It is gone or out of reach: the replicas alone decide.
    return StartPause(group, &job);
  }
  if (job.stage != Stage::kPausing) return;
  const auto replica = job.paused.find(event.endpoint);
  if (replica == job.paused.end()) return;
  const auto& status = event.result.status;
  if (event.answered && event.result.Ok() && status &&
      status->paused_below > status->term) {
    replica->second = status;
    for (auto& [id, answer] : job.paused) {
      if (!answer || answer->paused_below > job.newest_term) continue;
      answer.reset();
      SendPause(group, id, &job);
    }
    return Choose(group, &job);
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
  // Some endpoint of the group is in a newer term than this one tells.
  if (event.answered) {
    job.newest_term = std::max(job.newest_term, job.pause_term);
  }
  if (++job.pause_refusals >= kMaxPauseRefusals) {
    return GiveUp(group, &job, "a replica did not pause");
  }
  SendPause(group, event.endpoint, &job);
}

// The highest position wins. Among equals, one that stays, in neither this
// zone nor the primary's: a third zone reaches both sides when only two zones
// have lost each other.
void PrimaryFailover::Choose(const GroupId& group, Job* job) {
  for (const auto& [id, answer] : job->paused) {
    if (!answer) return;
  }
  const auto primary = m_directory->endpoints.find(job->old_primary);
  const ZoneId old_zone =
      primary == m_directory->endpoints.end() ? ZoneId() : primary->second.zone;
  const auto rank = [&](const EndpointId& id) {
    const auto& answer = *job->paused.at(id);
    const auto endpoint = m_directory->endpoints.find(id);
    const bool known = endpoint != m_directory->endpoints.end();
    const bool stays = known && !endpoint->second.leaving;
    const bool third = known && endpoint->second.zone != m_zone &&
                       endpoint->second.zone != old_zone;
    return std::make_tuple(answer.received, stays, third);
  };
  const auto best = std::max_element(job->paused.begin(), job->paused.end(),
                                     [&](const auto& a, const auto& b) {
                                       return rank(a.first) < rank(b.first);
                                     });
  job->target = best->first;
  const bool complete = job->reason != kLeaving || !job->stepped_down_at ||
                        best->second->received >= *job->stepped_down_at;
  if (!complete && primary != m_directory->endpoints.end() &&
      job->reverted < kMaxReverted) {
    ++job->reverted;
    job->target = primary->first;
    m_counters->Add("failover_reverted");
  }
  job->stage = Stage::kPromoting;
  job->stage_until = m_clock->Now() + kPromoteGiveUp;
  job->promote_outstanding = false;
  log::Event(log::Channel::kFailover, log::Level::kInfo, "failover_chosen",
             {{"group", group},
              {"target", job->target},
              {"position", std::to_string(best->second->received.term) + "." +
                               std::to_string(best->second->received.position)},
              {"replicas", std::to_string(job->paused.size())},
              {"token", std::to_string(job->claim.token)}});
  SendPromote(group, job);
}

void PrimaryFailover::SendPromote(const GroupId& group, Job* job) {
  job->promote_outstanding = true;
  job->promote_again = m_clock->Now() + kPromoteRetry;
  job->pending.push_back(
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
        m_promoted.emplace_back(group, job.target);
        job.pause_term = 0;
        return StartResume(group, &job);
      case PromoteStatus::kFenced:
        return GiveUp(group, &job, "fenced, or the target does not run");
      case PromoteStatus::kNotRun:
      case PromoteStatus::kUnknown:
        // Repeated unchanged by the tick.
        m_counters->Add("failover_promote_repeated");
        return;
    }
  }
}

void PrimaryFailover::SendOrder(const GroupId& group,
                                const EndpointId& endpoint, relay::Verb verb,
                                Term term) {
  const auto id = m_next_admin++;
  m_admin[id] = {group, verb};
  m_out.push_back(relay::AdminRequest{id, endpoint, verb, term});
}

bool PrimaryFailover::OwnsCall(CallId call) const {
  return std::any_of(m_jobs.begin(), m_jobs.end(), [&](const auto& item) {
    return item.second.call == call;
  });
}

std::vector<Action> PrimaryFailover::TakeActions(CallId* next_call) {
  auto out = std::exchange(m_out, {});
  for (auto& [group, job] : m_jobs) {
    for (auto& action : std::exchange(job.pending, {})) {
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

std::vector<std::pair<GroupId, EndpointId>> PrimaryFailover::TakePromoted() {
  return std::exchange(m_promoted, {});
}

}  // namespace tiller::fleet
