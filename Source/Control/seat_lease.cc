// Implementation of the seat leases.
#include "Control/seat_lease.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"

namespace tiller::control {
namespace {

constexpr std::string_view kTable = "seats";
// Rows are read more often while this host has no seat.
constexpr Milliseconds kListIntervalWithoutSeat{1'000};
constexpr Milliseconds kListIntervalWithSeat{5'000};
constexpr Milliseconds kReleaseTimeout{3'000};
constexpr std::size_t kSeatsPerListStep = 40;
constexpr Milliseconds kWriteRetryDelay{1'000};
constexpr Milliseconds kCandidateTimeout{1'000};
constexpr Milliseconds kVouchRequestDelay{5'000};
constexpr std::size_t kMaxGuardRequests = 64;

std::string KeyOf(int seat) { return "seat-" + std::to_string(seat); }

std::optional<int> SeatOf(const std::string& key) {
  if (!key.starts_with("seat-")) return std::nullopt;
  return static_cast<int>(std::strtol(key.c_str() + 5, nullptr, 10));
}

}  // namespace

void SeatLease::Configure(const std::vector<ZoneId>& zones) { m_zones = zones; }

void SeatLease::Tick() {
  if (m_zones.empty()) return;
  const auto now = m_context->Now();
  std::erase_if(m_held, [&](const auto& item) {
    // After this time, vouches cannot extend the lease any more.
    const bool expired = now >= item.second.renewed +
                                    m_context->Options().outage_grace +
                                    m_context->Options().seat_lease;
    if (expired) m_context->Stats()->Add("seats_lapsed");
    return expired;
  });
  auto votes = View().held;
  std::erase_if(votes, [&](int seat) {
    return now - m_held[seat].acquired < SeatQuorum::kNewSeatVotingDelay;
  });
  m_quorum.Update(m_zones.size(), std::move(votes));
  const bool renewals_fail =
      std::any_of(m_held.begin(), m_held.end(), [&](const auto& item) {
        return now - item.second.renewed >
               m_context->Options().seat_renew + kVouchRequestDelay;
      });
  if (renewals_fail) m_quorum.RequestVouches();
  for (auto& [seat, held] : m_held) ExtendByVouches(&held);
  if (now >= m_next_read && !m_list_call) RefreshRows();
  if (m_releasing) {
    if (now >= m_release_deadline) m_held.clear();
    return;
  }
  // An unused seat lowers every limit of the fleet. So hosts that have a seat
  // take an expired one too, and release it when a host without a seat joins.
  const bool any_expired =
      std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& item) {
        return !item.second.holder.empty() && HasExpired(item.second);
      });
  const bool is_guard =
      std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& item) {
        return item.second.guard == m_context->Options().host;
      });
  if (m_held.empty() || any_expired || is_guard) TryAcquire();
  Renew();
  RenewGuards();
}

void SeatLease::RefreshRows() {
  const auto now = m_context->Now();
  // Each read returns the whole table, so a large table is read less often.
  const auto scale = static_cast<int>(m_zones.size() / kSeatsPerListStep + 1);
  m_next_read = now + (m_held.empty() ? kListIntervalWithoutSeat
                                      : kListIntervalWithSeat * scale);
  m_list_sent = now;
  m_list_call = m_context->Call(platform::ListRows{std::string(kTable)});
}

bool SeatLease::Handle(const PlatformAnswered& answered) {
  if (m_list_call && answered.id == *m_list_call) {
    m_list_call.reset();
    if (answered.answer) OnRows(answered.answer.value(), m_list_sent);
    return true;
  }
  const auto write = m_writes.find(answered.id);
  if (write == m_writes.end()) return false;
  const auto pending = write->second;
  m_writes.erase(write);
  OnWritten(pending, answered.answer);
  return true;
}

void SeatLease::OnRows(const platform::Answer& answer, Instant sent) {
  const auto now = m_context->Now();
  std::set<int> present;
  for (const auto& row : answer.rows) {
    const auto seat = SeatOf(row.key);
    if (!seat) continue;
    present.insert(*seat);
    auto& stored = m_rows[*seat];
    // Ignore a stale read: it must not replace a newer row.
    if (row.version < stored.version) continue;
    if (row.version != stored.version) stored.unchanged_since = now;
    stored.version = row.version;
    stored.holder = StringOr(row.value, "host");
    stored.address = StringOr(row.value, "address");
    stored.guard = StringOr(row.value, "guard");
    stored.last_read = sent;
    ReconcileSeat(*seat, stored);
  }
  for (int seat = 0; seat < static_cast<int>(m_zones.size()); ++seat) {
    if (present.count(seat) == 0) m_rows[seat].last_read = sent;
  }
  if (m_held.empty() && !m_releasing) TryAcquire();
}

void SeatLease::ReconcileSeat(int seat, const SeatRow& row) {
  if (HasPendingWrite(seat)) return;
  const auto held = m_held.find(seat);
  const bool held_by_self = row.holder == m_context->Options().host;
  if (held == m_held.end()) {
    // An acquisition took effect although its response was lost. The row may be
    // older than the lease, so the seat is renewed before it is used.
    if (held_by_self && !m_releasing) {
      m_held[seat] = {row.version, row.guard, m_context->Now(),
                      Instant{},   Instant{}, std::nullopt};
      Write(WriteKind::kRenew, seat, row.version, row.guard);
    }
    return;
  }
  if (!held_by_self) {
    m_held.erase(held);
    m_context->Stats()->Add("seats_taken_by_others");
    return;
  }
  held->second.version = row.version;
  held->second.guard = row.guard;
  held->second.unconfirmed_new_guard.reset();
}

bool SeatLease::HasPendingWrite(int seat) const {
  return std::any_of(m_writes.begin(), m_writes.end(), [&](const auto& item) {
    return item.second.seat == seat;
  });
}

bool SeatLease::HasExpired(const SeatRow& row) const {
  const auto unchanged = row.last_read - row.unchanged_since;
  return unchanged > WithDrift(m_context->Options().seat_lease);
}

bool SeatLease::MayTake(int seat, const SeatRow& row) {
  const auto now = m_context->Now();
  if (HasPendingWrite(seat) || row.last_read == Instant{}) return false;
  if (row.holder.empty()) return true;
  const auto& options = m_context->Options();
  const auto hard_limit = options.seat_lease + options.outage_grace;
  if (row.last_read - row.unchanged_since > WithDrift(hard_limit)) return true;
  if (HasExpired(row) && !m_members->IsLive(row.holder) &&
      m_quorum.ObtainConsent(row.holder)) {
    return true;
  }
  if (row.guard != options.host) return false;
  const auto promised = m_promised_until.find(row.holder);
  const auto promise_end =
      promised == m_promised_until.end()
          ? row.unchanged_since + WithDrift(options.guard_lease)
          : promised->second;
  // The holder renews with its guard every second (guard_renew), so the end of
  // the promise is sufficient for the guard to take the seat.
  return now > promise_end;
}

void SeatLease::TryAcquire() {
  std::vector<int> order;
  if (!m_writes.empty() || m_context->Now() < m_next_write_time) return;
  for (int seat = 0; seat < static_cast<int>(m_zones.size()); ++seat) {
    auto& row = m_rows[seat];
    // Free seats are left to hosts that have none.
    if (row.holder.empty() && !m_held.empty()) continue;
    if (row.holder == m_context->Options().host) continue;
    if (MayTake(seat, row)) order.push_back(seat);
  }
  if (order.empty()) return;
  const auto is_local = [&](int seat) {
    return m_zones[static_cast<std::size_t>(seat)] == m_context->Options().zone;
  };
  std::stable_partition(order.begin(), order.end(), is_local);
  // A random choice, so that hosts that start together do not all compete for
  // the first seat.
  auto candidates = static_cast<std::size_t>(
      std::count_if(order.begin(), order.end(), is_local));
  if (candidates == 0) candidates = order.size();
  const int seat = order[m_context->Rng()->UniformBelow(candidates)];
  Write(WriteKind::kAcquire, seat, m_rows[seat].version, ChooseGuard());
}

void SeatLease::Write(WriteKind kind, int seat, platform::RowVersion expected,
                      const HostId& guard) {
  const auto& options = m_context->Options();
  Json::Value value;
  const bool clears_holder =
      kind == WriteKind::kRelease || kind == WriteKind::kClear;
  value["host"] = clears_holder ? HostId() : options.host;
  value["address"] = options.address;
  value["guard"] = guard;
  platform::CommitRows commit;
  commit.writes.push_back({std::string(kTable), KeyOf(seat), expected, value});
  const auto id = m_context->Call(std::move(commit));
  m_writes[id] = {kind,     seat,  m_rows[seat].holder,
                  expected, guard, m_context->Now()};
  m_context->Stats()->Add("seat_writes");
}

void SeatLease::OnWritten(const PendingWrite& write,
                          const Result<platform::Answer>& answer) {
  if (write.kind == WriteKind::kClear) {
    Result<Json::Value> result = Json::Value(Json::objectValue);
    if (!answer) result = answer.error();
    m_next_read = Instant{};
    m_context->Emit(OperatorReply{write.ticket, std::move(result)});
    return;
  }
  if (!answer) {
    m_next_write_time = m_context->Now() + kWriteRetryDelay;
    const bool refused = answer.error().code == ErrorCode::kConflict ||
                         answer.error().outcome == RunOutcome::kNotRun;
    if (answer.error().code == ErrorCode::kConflict) m_next_read = Instant{};
    if (!refused) OnUncertainWrite(write);
    return;
  }
  const auto version = answer.value().versions.empty()
                           ? platform::RowVersion{0}
                           : answer.value().versions.front();
  auto& row = m_rows[write.seat];
  row.version = version;
  row.unchanged_since = m_context->Now();
  row.guard = write.guard;
  row.address = m_context->Options().address;
  if (write.kind == WriteKind::kRelease) {
    row.holder.clear();
    m_held.erase(write.seat);
    return;
  }
  row.holder = m_context->Options().host;
  if (!write.previous.empty() && write.previous != row.holder) {
    m_taken_from[write.previous] = version;
  }
  auto& held = m_held[write.seat];
  if (write.kind == WriteKind::kAcquire) {
    held.acquired = m_context->Now();
    m_context->Log(
        log::Channel::kLimits, log::Level::kInfo, "seat_acquired",
        {{"seat", std::to_string(write.seat)}, {"guard", write.guard}});
  }
  held.version = version;
  held.guard = write.guard;
  held.renewed = write.sent;
  held.unconfirmed_new_guard.reset();
  // The new guard may not have given a promise yet, so ask it now.
  m_next_guard_renewal = Instant{};
}

void SeatLease::OnUncertainWrite(const PendingWrite& write) {
  m_next_read = Instant{};
  if (write.kind == WriteKind::kAcquire) {
    m_uncertain_acquires[write.seat] = write.expected;
  }
  const auto held = m_held.find(write.seat);
  if (held != m_held.end() && held->second.guard != write.guard) {
    held->second.unconfirmed_new_guard = write.guard;
  }
}

HostId SeatLease::ChooseGuard() const {
  const auto live = m_members->Live();
  std::vector<HostId> same_zone_hosts;
  std::vector<HostId> all;
  for (const auto& row : live) {
    if (row.record.leaving || row.record.seats == 0) continue;
    all.push_back(row.record.host);
    if (row.record.zone == m_context->Options().zone) {
      same_zone_hosts.push_back(row.record.host);
    }
  }
  // Choose the next host in the ring of host ids, which spreads the guards
  // evenly. Skip guards that have recently failed to answer.
  const auto unresponsive = [&](const HostId& host) {
    const auto held = std::find_if(
        m_held.begin(), m_held.end(),
        [&](const auto& item) { return item.second.guard == host; });
    return held != m_held.end() && !GuardAnswers(held->second);
  };
  std::erase_if(same_zone_hosts, unresponsive);
  std::erase_if(all, unresponsive);
  const auto next = [&](const std::vector<HostId>& hosts) -> HostId {
    if (hosts.empty()) return {};
    const auto it =
        std::upper_bound(hosts.begin(), hosts.end(), m_context->Options().host);
    return it == hosts.end() ? hosts.front() : *it;
  };
  return same_zone_hosts.empty() ? next(all) : next(same_zone_hosts);
}

bool SeatLease::GuardIsLiveMember(const HostId& guard) const {
  const auto* row = m_members->Find(guard);
  return row != nullptr && m_members->IsLive(guard) && !row->record.leaving;
}

// A guard that is live but does not answer has to be replaced too.
bool SeatLease::GuardAnswers(const HeldSeat& seat) const {
  if (!GuardIsLiveMember(seat.guard)) return false;
  const auto now = m_context->Now();
  const auto answer_timeout = m_context->Options().guard_lease / 2;
  const auto it = m_acknowledged.find(seat.guard);
  const auto last = it == m_acknowledged.end() ? Instant{} : it->second;
  return now - std::max(last, seat.renewed) < answer_timeout;
}

void SeatLease::Renew() {
  const auto now = m_context->Now();
  if (now < m_next_write_time) return ReleaseExtraSeat();
  const auto& options = m_context->Options();
  for (const auto& [seat, held] : m_held) {
    if (HasPendingWrite(seat)) continue;
    const auto& row = m_rows[seat];
    // The row's version is unknown until the row has been read again.
    if (held.unconfirmed_new_guard) continue;
    const bool guard_gone = !held.guard.empty() && !GuardAnswers(held);
    const bool guard_available = held.guard.empty() && !ChooseGuard().empty();
    const bool due = now - held.renewed >= options.seat_renew;
    if (!due && !guard_gone && !guard_available) continue;
    // While reads of the table fail, write only renewals that are due, so that
    // a failing platform gets no additional writes.
    if (now - row.last_read > 2 * kListIntervalWithSeat && !due) continue;
    // A guard in another zone is only temporary: a network partition between
    // the zones would cost the seat.
    const auto* current = m_members->Find(held.guard);
    const bool same_zone =
        current != nullptr && current->record.zone == m_context->Options().zone;
    const bool keep = same_zone && GuardAnswers(held);
    const auto guard = keep ? held.guard : ChooseGuard();
    const bool guard_changes = guard != held.guard && !guard.empty();
    if (guard_changes && !IsCandidateReady(guard)) continue;
    Write(WriteKind::kRenew, seat, held.version, guard);
  }
  ReleaseExtraSeat();
}

// Releases the seat with the highest number if this host holds more than one
// and a live host has none. A host acquires a second seat only when the seat's
// holder has failed.
void SeatLease::ReleaseExtraSeat() {
  if (m_held.size() < 2) return;
  const auto live = m_members->Live();
  const bool host_without_seat =
      std::any_of(live.begin(), live.end(), [](const auto& row) {
        return row.record.seats == 0 && !row.record.leaving;
      });
  if (!host_without_seat) return;
  const auto seat = m_held.rbegin()->first;
  if (HasPendingWrite(seat) || m_held.rbegin()->second.unconfirmed_new_guard)
    return;
  const auto version = m_held.rbegin()->second.version;
  // Stop using the seat before the row is written.
  m_held.erase(seat);
  Write(WriteKind::kRelease, seat, version, {});
}

void SeatLease::Clear(CallId ticket, int seat) {
  const auto row = m_rows.find(seat);
  if (row == m_rows.end() || row->second.holder.empty()) {
    m_context->Emit(OperatorReply{
        ticket, MakeError(ErrorCode::kNotFound, "nobody holds this seat")});
    return;
  }
  if (m_members->IsLive(row->second.holder)) {
    m_context->Emit(OperatorReply{
        ticket, MakeError(ErrorCode::kConflict,
                          "its holder is alive: " + row->second.holder)});
    return;
  }
  Write(WriteKind::kClear, seat, row->second.version, {});
  m_writes.rbegin()->second.ticket = ticket;
}

void SeatLease::Release() {
  if (m_releasing) return;
  m_releasing = true;
  m_release_deadline = m_context->Now() + kReleaseTimeout;
  for (const auto& [seat, held] : m_held) {
    Write(WriteKind::kRelease, seat, held.version, {});
  }
}

bool SeatLease::IsCandidateReady(const HostId& candidate) {
  const auto now = m_context->Now();
  if (m_guard_candidate != candidate) {
    m_guard_candidate = candidate;
    m_guard_candidate_since = now;
    m_next_guard_renewal = Instant{};
  }
  return GuardedUntil(candidate) > now + m_context->Options().guard_renew ||
         now - m_guard_candidate_since > kCandidateTimeout;
}

void SeatLease::RenewGuards() {
  const auto now = m_context->Now();
  if (now < m_next_guard_renewal) return;
  m_next_guard_renewal = now + m_context->Options().guard_renew;
  std::set<HostId> guards;
  if (!m_guard_candidate.empty()) guards.insert(m_guard_candidate);
  for (const auto& [seat, held] : m_held) {
    if (!held.guard.empty()) guards.insert(held.guard);
    if (held.unconfirmed_new_guard && !held.unconfirmed_new_guard->empty()) {
      guards.insert(*held.unconfirmed_new_guard);
    }
  }
  for (const auto& guard : guards) {
    const auto address = m_members->AddressOf(guard);
    if (address.empty()) continue;
    while (m_guard_requests.size() >= kMaxGuardRequests) {
      m_guard_requests.erase(m_guard_requests.begin());
    }
    const auto nonce = m_context->NextId();
    m_guard_requests[nonce] = {guard, now};
    m_context->Send(address, peer::GuardRequest{nonce});
  }
}

bool SeatLease::SeatTakenFrom(const HostId& holder) {
  const auto taken = m_taken_from.find(holder);
  if (taken == m_taken_from.end()) return false;
  const bool holds_again =
      std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& item) {
        return item.second.holder == holder &&
               item.second.version > taken->second;
      });
  if (holds_again) m_taken_from.erase(taken);
  return !holds_again;
}

void SeatLease::Handle(const HostId& from, const peer::GuardRequest& message) {
  const auto address = m_members->AddressOf(from);
  if (address.empty() || SeatTakenFrom(from)) return;
  // Give no promise while a write that would take the seat may be in flight.
  for (const auto& [id, write] : m_writes) {
    if (write.kind == WriteKind::kAcquire &&
        m_rows[write.seat].holder == from) {
      return;
    }
  }
  for (const auto& [seat, version] : m_uncertain_acquires) {
    const auto& row = m_rows[seat];
    if (row.holder == from && row.version == version) return;
  }
  m_promised_until[from] =
      m_context->Now() + WithDrift(m_context->Options().guard_lease);
  m_context->Send(address, peer::GuardAck{message.nonce});
}

void SeatLease::Handle(const HostId& from, const peer::GuardAck& message) {
  const auto request = m_guard_requests.find(message.nonce);
  if (request == m_guard_requests.end() || request->second.first != from) {
    return;
  }
  auto& acknowledged = m_acknowledged[from];
  acknowledged = std::max(acknowledged, request->second.second);
  m_guard_requests.erase(request);
}

Instant SeatLease::GuardedUntil(const HostId& guard) const {
  if (guard.empty()) return Instant::max();
  const auto it = m_acknowledged.find(guard);
  if (it == m_acknowledged.end()) return Instant{};
  return it->second + m_context->Options().guard_lease;
}

void SeatLease::ExtendByVouches(HeldSeat* seat) {
  if (m_context->Now() >= LeasedUntil(*seat)) return;
  const auto limit = seat->renewed + m_context->Options().outage_grace;
  seat->extended_until =
      std::max(seat->extended_until, std::min(m_quorum.VouchedUntil(), limit));
}

Instant SeatLease::LeasedUntil(const HeldSeat& seat) const {
  if (seat.renewed == Instant{}) return Instant{};
  return std::max(seat.renewed + m_context->Options().seat_lease,
                  seat.extended_until);
}

Instant SeatLease::ValidUntil(const HeldSeat& seat) const {
  auto until = LeasedUntil(seat);
  until = std::min(until, GuardedUntil(seat.guard));
  if (seat.unconfirmed_new_guard) {
    until = std::min(until, GuardedUntil(*seat.unconfirmed_new_guard));
  }
  return until;
}

limits::SeatView SeatLease::View() const {
  limits::SeatView view;
  view.zones = m_zones;
  view.holders.resize(m_zones.size());
  for (std::size_t seat = 0; seat < m_zones.size(); ++seat) {
    const auto row = m_rows.find(static_cast<int>(seat));
    if (row != m_rows.end()) view.holders[seat] = row->second.holder;
  }
  const auto now = m_context->Now();
  for (const auto& [seat, held] : m_held) {
    const auto until = ValidUntil(held);
    if (until <= now || seat >= static_cast<int>(m_zones.size())) continue;
    view.valid_until =
        view.held.empty() ? until : std::min(view.valid_until, until);
    view.held.push_back(seat);
  }
  return view;
}

std::vector<std::string> SeatLease::HolderAddresses() const {
  std::vector<std::string> out;
  for (const auto& [seat, row] : m_rows) {
    if (!row.holder.empty()) out.push_back(row.address);
  }
  return out;
}

}  // namespace tiller::control
