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
// Another host's unfinished claim is respected for this long.
constexpr StoreTime kClaimLease{2'500};
constexpr Milliseconds kClaimTimeout{1'500};
constexpr Milliseconds kPauseTimeout{900};
constexpr int kMaxPauseAttempts = 4;
constexpr Milliseconds kPromoteRetry{600};
constexpr Milliseconds kPromoteGiveUp{12'000};
// Promotion takes some hundred milliseconds, and its report one exchange more.
constexpr Milliseconds kSettle{1'500};
constexpr Milliseconds kBackoff{500};

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

void PrimaryFailover::SetDirectory(relay::DirectoryPtr directory) {
  m_directory = std::move(directory);
}

void PrimaryFailover::Handle(const relay::PrimaryHealth& event) {
  auto& job = m_jobs[event.group];
  job.newest_term = std::max(job.newest_term, event.term);
  if (event.deposed) return;
  job.silent_for = event.silent_for;
  job.silent_endpoint = event.endpoint;
}

std::string PrimaryFailover::Trigger(const GroupId& group,
                                     const Job& job) const {
  const auto& row = m_directory->groups.at(group);
  const auto primary = m_directory->endpoints.find(row.primary);
  if (primary == m_directory->endpoints.end()) return "no_primary";
  if (primary->second.leaving) return "leaving";
  if (job.silent_endpoint == row.primary && job.silent_for >= kSuspectAfter) {
    return "silent";
  }
  return {};
}

void PrimaryFailover::Tick(const std::map<GroupId, std::size_t>& turns) {
  if (!m_directory) return;
  const auto now = m_clock->Now();
  for (const auto& [group, row] : m_directory->groups) {
    auto& job = m_jobs[group];
    if (job.stage == Stage::kPromoting) {
      if (now >= job.stage_until) {
        GiveUp(group, &job, "promotion got no answer");
      } else if (now >= job.promote_again && !job.promote_outstanding) {
        SendPromote(group, &job);
      }
      continue;
    }
    if (job.stage == Stage::kPausing && now >= job.stage_until) {
      GiveUp(group, &job, "a replica did not answer");
      continue;
    }
    if (job.stage != Stage::kIdle) {
      if (now >= job.stage_until) GiveUp(group, &job, "store did not answer");
      continue;
    }
    const auto trigger = Trigger(group, job);
    if (trigger.empty()) {
      job.suspected_since = {};
      continue;
    }
    if (job.suspected_since == Instant{}) {
      job.suspected_since = now;
      log::Event(log::Channel::kFailover, log::Level::kInfo,
                 "primary_suspected",
                 {{"group", group},
                  {"endpoint", row.primary},
                  {"reason", trigger},
                  {"silent_ms",
                   std::to_string(std::chrono::duration_cast<Milliseconds>(
                                      job.silent_for)
                                      .count())}});
    }
    const auto turn = turns.find(group);
    const std::size_t place =
        std::min(turn == turns.end() ? kMaxTurns : turn->second, kMaxTurns);
    const Duration grace =
        trigger == "no_primary" ? Duration(kNoPrimaryGrace) : Duration{};
    const auto start = job.suspected_since + grace + kTurn * place;
    if (now < start || now < job.not_before || m_reading) continue;
    job.reason = trigger;
    StartRead(group, &job);
  }
}

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
    claims[row.key] = {StringOr(value, "holder"), UintOr(value, "token"),
                       StoreTime(static_cast<StoreTime::rep>(
                           UintOr(value, "claimed"))),
                       BoolOr(value, "finished"), row.version};
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
  if (others && !claim.finished && now - claim.claimed < kClaimLease) {
    job->stage = Stage::kIdle;
    job->not_before = m_clock->Now() + kBackoff;
    return;
  }
  if (others && claim.finished && now - claim.claimed < kSettle) {
    // Another host has just replaced it; its reports are on their way.
    job->stage = Stage::kIdle;
    job->not_before = m_clock->Now() + kBackoff;
    return;
  }
  job->claim = {m_self, claim.token + 1, now, false, claim.version};
  job->stage = Stage::kClaiming;
  job->stage_until = m_clock->Now() + kClaimTimeout;
  job->pending.push_back(
      WriteRow{0, kPrimaryTable, group,
               EncodeClaim(m_self, job->claim.token, now, false, {}),
               claim.version});
}

void PrimaryFailover::Handle(const RowWritten& event) {
  for (auto& [group, job] : m_jobs) {
    if (job.call != event.call) continue;
    job.call = 0;
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
    job.pause_attempts = 0;
    return StartPause(group, &job);
  }
}

void PrimaryFailover::StartPause(const GroupId& group, Job* job) {
  job->stage = Stage::kPausing;
  if (job->pause_attempts == 0) {
    job->stage_until = m_clock->Now() + kPauseTimeout;
    job->paused.clear();
  }
  ++job->pause_attempts;
  job->pause_term = std::max(job->pause_term, job->newest_term) + 1;
  const auto& primary = m_directory->groups.at(group).primary;
  for (const auto& [id, endpoint] : m_directory->endpoints) {
    if (endpoint.group != group || id == primary) continue;
    auto& answer = job->paused[id];
    if (answer && answer->paused_below >= job->newest_term &&
        answer->paused_below > 0) {
      continue;
    }
    const auto admin = m_next_admin++;
    m_admin[admin] = group;
    m_out.push_back(relay::AdminRequest{admin, id, relay::Verb::kPause,
                                        job->pause_term});
  }
  if (job->paused.empty()) GiveUp(group, job, "no replica is listed");
}

void PrimaryFailover::Handle(const relay::AdminDone& event) {
  const auto it = m_admin.find(event.id);
  if (it == m_admin.end()) return;
  const auto group = it->second;
  m_admin.erase(it);
  auto& job = m_jobs[group];
  if (job.stage != Stage::kPausing) return;
  const auto replica = job.paused.find(event.endpoint);
  if (replica == job.paused.end()) return;
  const auto& status = event.result.status;
  if (event.answered && event.result.Ok() && status) {
    job.newest_term = std::max({job.newest_term, status->term,
                                status->received.term});
    if (status->paused_below > status->term) {
      replica->second = status;
      return Choose(group, &job);
    }
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
  if (job.pause_attempts >= kMaxPauseAttempts || !m_directory) {
    return GiveUp(group, &job, "a replica did not pause");
  }
  StartPause(group, &job);
}

// The highest position wins. Among equals, one that stays, in neither this
// zone nor the primary's: a third zone reaches both sides when only two zones
// have lost each other.
void PrimaryFailover::Choose(const GroupId& group, Job* job) {
  for (const auto& [id, answer] : job->paused) {
    if (!answer) return;
  }
  const auto primary =
      m_directory->endpoints.find(m_directory->groups.at(group).primary);
  const ZoneId old_zone = primary == m_directory->endpoints.end()
                              ? ZoneId()
                              : primary->second.zone;
  const auto rank = [&](const EndpointId& id) {
    const auto& answer = *job->paused.at(id);
    const auto endpoint = m_directory->endpoints.find(id);
    const bool known = endpoint != m_directory->endpoints.end();
    const bool stays = known && !endpoint->second.leaving;
    const bool third = known && endpoint->second.zone != m_zone &&
                       endpoint->second.zone != old_zone;
    return std::make_tuple(answer.received, stays, third);
  };
  const auto best = std::max_element(
      job->paused.begin(), job->paused.end(),
      [&](const auto& a, const auto& b) { return rank(a.first) < rank(b.first); });
  job->target = best->first;
  job->stage = Stage::kPromoting;
  job->stage_until = m_clock->Now() + kPromoteGiveUp;
  job->promote_outstanding = false;
  log::Event(log::Channel::kFailover, log::Level::kInfo, "failover_chosen",
             {{"group", group},
              {"target", job->target},
              {"position",
               std::to_string(best->second->received.term) + "." +
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
        return Finish(group, &job);
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

void PrimaryFailover::Finish(const GroupId& group, Job* job) {
  m_counters->Add("failover_done");
  log::Event(log::Channel::kFailover, log::Level::kInfo, "failover_done",
             {{"group", group},
              {"target", job->target},
              {"token", std::to_string(job->claim.token)},
              {"reason", job->reason}});
  m_promoted.emplace_back(group, job->target);
  job->pending.push_back(
      WriteRow{0, kPrimaryTable, group,
               EncodeClaim(m_self, job->claim.token, job->claim.claimed, true,
                           job->target),
               job->claim.version});
  job->stage = Stage::kIdle;
  job->suspected_since = {};
  job->silent_for = {};
  job->pause_term = 0;
  job->not_before = m_clock->Now() + kSettle;
  job->paused.clear();
}

void PrimaryFailover::GiveUp(const GroupId& group, Job* job,
                             const std::string& reason) {
  m_counters->Add("failover_given_up");
  log::Event(log::Channel::kFailover, log::Level::kWarn, "failover_given_up",
             {{"group", group},
              {"reason", reason},
              {"token", std::to_string(job->claim.token)}});
  for (const auto& [id, answer] : job->paused) {
    if (m_directory->endpoints.count(id) == 0) continue;
    const auto admin = m_next_admin++;
    m_out.push_back(
        relay::AdminRequest{admin, id, relay::Verb::kContinue, 0});
  }
  job->paused.clear();
  job->stage = Stage::kIdle;
  job->call = 0;
  job->promote_outstanding = false;
  job->not_before = m_clock->Now() + kBackoff;
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
