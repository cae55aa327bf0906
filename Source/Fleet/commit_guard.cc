// Implementation of the commit guard.
#include "Fleet/commit_guard.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"

namespace tiller::fleet {
namespace {

// A hold that was not answered is sent again after this time.
constexpr Milliseconds kResendInterval{150};
// A host that has not answered by then, and to which no host that has answered
// has granted a lease, has none.
constexpr Milliseconds kAnswerTime{30};
constexpr Milliseconds kLeaseReadLimit{600};
// A change of primary is finished within this time if its host lives.
constexpr Milliseconds kOverdueAfter{3'000};
// While another host replaces the primary, this host does not. The host has
// failed if its hold does not change for this long.
constexpr Milliseconds kHolderTimeout{2'500};
// The same once its promotion was accepted. The reports of the endpoints
// arrive within this time.
constexpr Milliseconds kPromotedTimeout{1'500};
// Longer than a promotion without an answer is repeated. By then it has been
// executed, or another host has taken over the claim.
constexpr Milliseconds kHoldTimeout{20'000};
// So long, other hosts are told of holds, and how they ended. They are
// remembered longer, so that no host learns of one again that it has forgotten.
constexpr Milliseconds kHoldShared{30'000};
constexpr Milliseconds kHoldMemory{60'000};

}  // namespace

// ---- the host that replaces a primary

void CommitGuard::Hold(const GroupId& group, std::uint64_t token) {
  Round round;
  round.token = token;
  round.started = m_clock->Now();
  for (const auto& peer : m_seats->Peers()) {
    round.unanswered.emplace(peer.host, peer);
  }
  for (const auto& lease : m_lease.Granted()) AddLease(&round.leases, lease);
  round.next_send_at = round.started + kResendInterval;
  m_rounds[group] = std::move(round);
  Apply({group, token, m_self.host, {}, false}, m_self.address);
  Notify(group);
}

void CommitGuard::Notify(const GroupId& group) {
  const auto& hold = m_holds.at(group).hold;
  for (const auto& peer : m_seats->Peers()) {
    m_actions.push_back(SendPeer{peer.address, hold});
  }
}

void CommitGuard::AddLease(std::map<HostId, Instant>* leases,
                           const peer::GrantedLease& lease) const {
  const auto until =
      m_clock->Now() + std::clamp(lease.left, -kGrantorLimit, kCommitLease);
  auto& known = (*leases)[lease.host];
  known = std::max(known, until);
}

// Silent hosts may have granted each other leases that nobody here knows.
// - Those of one zone needed grants of others, which are known.
// - In two zones, such a lease ends at most an interval after the last known
//   one of its holder (kGrantorLimit). A host without a known one has none.
// - In a small fleet, a lease rests on one grant. A connected host granted it
//   at most two intervals after it had asked one that has answered here, since
//   it asks others in between.
Instant CommitGuard::EndOfLeases(const Round& round) const {
  Instant last{};
  Instant second_last{};
  Instant last_of_store{};
  std::set<ZoneId> zones;
  const auto is_silent = [&](const HostId& host) {
    return host != m_self.host && round.answered.count(host) == 0;
  };
  for (const auto& [host, until] : round.leases) {
    if (!is_silent(host)) continue;
    second_last = std::max(second_last, std::min(last, until));
    last = std::max(last, until);
    const auto seat = round.unanswered.find(host);
    zones.insert(seat == round.unanswered.end() ? ZoneId() : seat->second.zone);
  }
  for (const auto& [host, until] : round.store_leases) {
    if (is_silent(host)) last_of_store = std::max(last_of_store, until);
  }
  const auto end = std::max(last, last_of_store);
  if (m_seats->Peers().size() < kPeersForTwoGrants) {
    return round.unanswered.size() < 2
               ? end
               : std::max(end, last + 2 * kLeaseQueryInterval);
  }
  const bool one_zone = zones.size() == 1 && zones.count(m_self.zone) == 0 &&
                        zones.count(ZoneId()) == 0;
  if (one_zone) return end;
  return std::max(
      end, std::min(last + kLeaseQueryInterval, second_last + kGrantorLimit));
}

bool CommitGuard::AllHold(const GroupId& group) {
  const auto found = m_rounds.find(group);
  if (found == m_rounds.end()) return false;
  auto& round = found->second;
  if (round.complete) return true;
  const auto known = m_holds.find(group);
  const bool own_report = known != m_holds.end() &&
                          known->second.hold.token == round.token &&
                          known->second.reported;
  if (!own_report) return false;
  const auto now = m_clock->Now();
  // Includes hosts that hold a lease but no seat, as far as this host knows.
  bool may_pass_on = now < EndOfLeases(round);
  if (!round.unanswered.empty()) {
    const bool in_time = now < round.started + kAnswerTime;
    // Without an answer of the store, the hosts may have leases from it.
    const bool store_lease =
        !round.leases_read && now < round.started + kCommitLease;
    may_pass_on |= in_time || store_lease;
    round.lease_read_due |= !in_time && round.lease_read == 0;
  }
  if (may_pass_on) return false;
  round.complete = true;
  m_counters->Add("commit_holds_complete");
  log::Event(log::Channel::kFailover, log::Level::kInfo, "commits_held_by_all",
             {{"group", group},
              {"token", std::to_string(round.token)},
              {"unanswered", std::to_string(round.unanswered.size())},
              {"waited_ms", log::MillisecondsText(now - round.started)}});
  return true;
}

void CommitGuard::AllowTarget(const GroupId& group, std::uint64_t token,
                              const EndpointId& target) {
  m_rounds.erase(group);
  if (!Apply({group, token, m_self.host, target, false}, m_self.address)) {
    return;
  }
  Notify(group);
}

void CommitGuard::Release(const GroupId& group, std::uint64_t token) {
  m_rounds.erase(group);
  const auto known = m_holds.find(group);
  if (known != m_holds.end() && known->second.hold.token == token &&
      known->second.hold.released) {
    return;
  }
  if (Apply({group, token, m_self.host, {}, true}, m_self.address)) {
    Notify(group);
  }
}

// ---- holds that this host knows

bool CommitGuard::Apply(const peer::CommitHold& hold,
                        const std::string& holder_address) {
  auto& known = m_holds[hold.group];
  if (hold.token < known.hold.token) return false;
  const bool is_new = hold.token > known.hold.token;
  if (!is_new && known.hold.released) return hold.released;
  if (is_new) {
    known = {hold, holder_address, m_clock->Now(), false, {}};
  } else {
    const bool changed =
        known.hold.released != hold.released ||
        (!hold.target.empty() && known.hold.target != hold.target);
    if (!changed) return true;
    known.hold.released = hold.released;
    if (!hold.target.empty()) known.hold.target = hold.target;
    known.changed_at = m_clock->Now();
  }
  const auto& now_known = known.hold;
  m_counters->Add(now_known.released ? "commit_holds_released"
                                     : "commit_holds");
  log::Event(log::Channel::kFailover, log::Level::kInfo,
             now_known.released ? "commits_released" : "commits_held",
             {{"group", now_known.group},
              {"token", std::to_string(now_known.token)},
              {"holder", known.hold.holder},
              {"target", now_known.target}});
  m_actions.push_back(relay::HoldCommits{now_known.group, now_known.token,
                                         now_known.target, now_known.released});
  return true;
}

std::optional<Instant> CommitGuard::FreeFrom(const GroupId& group) const {
  const auto found = m_holds.find(group);
  if (found == m_holds.end()) return std::nullopt;
  const auto& known = found->second;
  if (known.hold.holder == m_self.host) return std::nullopt;
  if (known.hold.released) return known.changed_at;
  return known.changed_at +
         (known.hold.target.empty() ? kHolderTimeout : kPromotedTimeout);
}

bool CommitGuard::IsOverdue(const GroupId& group) const {
  const auto found = m_holds.find(group);
  if (found == m_holds.end()) return false;
  const auto& known = found->second;
  return !known.hold.released && !known.finished &&
         m_clock->Now() - known.changed_at > kOverdueAfter;
}

void CommitGuard::Observe(const GroupId& group, const ClaimRow& claim) {
  const auto found = m_holds.find(group);
  if (found == m_holds.end() || !claim.finished) return;
  const auto& hold = found->second.hold;
  if (hold.released || claim.token < hold.token) return;
  if (claim.target.empty()) return Release(group, claim.token);
  found->second.finished = true;
  if (hold.target.empty()) AllowTarget(group, claim.token, claim.target);
}

void CommitGuard::Handle(const peer::Envelope& envelope,
                         const peer::CommitHold& hold) {
  const bool newest = Apply(hold, envelope.from_address);
  if (!newest || hold.released) return;
  auto& known = m_holds.at(hold.group);
  known.holder_address = envelope.from_address;
  if (known.reported) SendReport(hold.group, known);
}

void CommitGuard::SendReport(const GroupId& group, const KnownHold& known) {
  m_actions.push_back(
      SendPeer{known.holder_address,
               peer::CommitReport{group, *known.reported, known.hold.token,
                                  m_lease.Granted()}});
}

void CommitGuard::Handle(const relay::CommitsHeld& event) {
  const auto found = m_holds.find(event.group);
  if (found == m_holds.end() || found->second.hold.token != event.token) return;
  auto& known = found->second;
  known.reported = event.acknowledged;
  if (known.hold.holder != m_self.host) SendReport(event.group, known);
}

void CommitGuard::Handle(const peer::Envelope& envelope,
                         const peer::CommitReport& report) {
  const auto found = m_rounds.find(report.group);
  if (found == m_rounds.end() || found->second.token != report.token) return;
  auto& round = found->second;
  round.unanswered.erase(envelope.from);
  round.answered.insert(envelope.from);
  for (const auto& lease : report.leases) AddLease(&round.leases, lease);
}

void CommitGuard::Handle(const peer::Envelope& envelope,
                         const peer::LeaseQuery& query) {
  auto grant = m_lease.Grant(envelope.from, query);
  if (!grant) return;
  for (const auto& [group, known] : m_holds) {
    if (m_clock->Now() - known.changed_at > kHoldShared) continue;
    grant->holds.push_back(known.hold);
  }
  m_actions.push_back(SendPeer{envelope.from_address, std::move(*grant)});
}

void CommitGuard::Handle(const peer::Envelope& envelope,
                         const peer::LeaseGrant& grant) {
  for (const auto& hold : grant.holds) {
    Apply(hold, envelope.from_address);
  }
  m_lease.Handle(grant);
}

void CommitGuard::Handle(const TableRead& event) {
  if (m_lease.OwnsCall(event.call)) {
    if (!m_lease.Handle(event)) return;
    for (const auto& row : event.rows) {
      const auto claim = DecodeClaim(row.value);
      if (!claim) continue;
      const bool promoted = claim->finished && !claim->target.empty();
      const bool released = claim->finished && claim->target.empty();
      Apply({row.key, claim->token, claim->holder,
             promoted ? claim->target : EndpointId(), released},
            m_seats->AddressOf(claim->holder).value_or(""));
    }
    return;
  }
  for (auto& [group, round] : m_rounds) {
    if (round.lease_read != event.call) continue;
    if (event.status != StoreStatus::kDone) return;
    round.leases_read = true;
    for (const auto& row : event.rows) {
      if (const auto lease = CommitLease::ReadRow(row, event.now)) {
        AddLease(&round.store_leases, *lease);
      }
    }
  }
}

void CommitGuard::Tick() {
  const auto now = m_clock->Now();
  m_lease.Tick();
  for (auto& [group, round] : m_rounds) {
    if (round.complete || now < round.next_send_at) continue;
    round.next_send_at = now + kResendInterval;
    for (const auto& [host, peer] : round.unanswered) {
      m_actions.push_back(SendPeer{peer.address, m_holds.at(group).hold});
    }
  }
  for (auto& [group, known] : m_holds) {
    const bool open = !known.hold.released && known.hold.target.empty();
    if (!open || now - known.changed_at < kHoldTimeout) continue;
    m_counters->Add("commit_holds_expired");
    known.hold.released = true;
    known.changed_at = now;
    log::Event(log::Channel::kFailover, log::Level::kWarn, "hold_expired",
               {{"group", group},
                {"token", std::to_string(known.hold.token)},
                {"holder", known.hold.holder}});
    m_actions.push_back(relay::HoldCommits{group, known.hold.token, {}, true});
  }
  std::erase_if(m_holds, [&](const auto& item) {
    return now - item.second.changed_at > kHoldMemory &&
           m_rounds.count(item.first) == 0;
  });
}

std::vector<Action> CommitGuard::TakeActions(CallId* next_call) {
  auto out = std::exchange(m_actions, {});
  for (auto& action : m_lease.TakeActions(next_call)) {
    out.push_back(std::move(action));
  }
  for (auto& [group, round] : m_rounds) {
    if (!std::exchange(round.lease_read_due, false)) continue;
    if (round.lease_read != 0) continue;
    round.lease_read = (*next_call)++;
    out.push_back(ReadTable{kLeaseTable, kLeaseReadLimit, round.lease_read});
  }
  const auto valid_until = m_lease.ValidUntil();
  if (valid_until != m_published_lease) {
    m_published_lease = valid_until;
    out.push_back(relay::CommitLeaseChanged{valid_until});
  }
  return out;
}

}  // namespace tiller::fleet
