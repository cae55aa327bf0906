// Implementation of the seat leases.
#include "Control/seat_lease.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"

namespace tiller::control {
namespace {

constexpr std::string_view kTable = "seats";
// Rows are read often while a seat is wanted, seldom otherwise.
constexpr Milliseconds kListWhenSeatless{1'000};
constexpr Milliseconds kListWhenSeated{5'000};
constexpr Milliseconds kReleaseTimeout{3'000};
constexpr std::size_t kSeatsPerListStep = 40;
constexpr Milliseconds kWriteRetry{1'000};
constexpr Milliseconds kCandidatePatience{1'000};
constexpr Milliseconds kVouchAfter{5'000};
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
    // Past this no vouch can bring it back.
    const bool lapsed = now >= item.second.renewed +
                                   m_context->Options().outage_grace +
                                   m_context->Options().seat_lease;
    if (lapsed) m_context->Stats()->Add("seats_lapsed");
    return lapsed;
  });
  auto votes = View().held;
  std::erase_if(votes, [&](int seat) {
    return now - m_held[seat].acquired < SeatQuorum::kNewSeatSilence;
  });
  m_quorum.Update(m_zones.size(), std::move(votes));
  const bool renewals_fail =
      std::any_of(m_held.begin(), m_held.end(), [&](const auto& item) {
        return now - item.second.renewed >
               m_context->Options().seat_renew + kVouchAfter;
      });
  if (renewals_fail) m_quorum.AskForVouches();
  for (auto& [seat, held] : m_held) Stretch(&held);
  if (now >= m_next_list && !m_listing) RefreshRows();
  if (m_releasing) {
    if (now >= m_release_deadline) m_held.clear();
    return;
  }
  // A seat without a holder is everybody's loss, so one that lapsed is taken
  // by hosts with a seat too, and passed on when a host without one comes.
  const bool lapsed =
      std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& item) {
        return !item.second.holder.empty() && HasLapsed(item.second);
      });
  const bool guarded =
      std::any_of(m_rows.begin(), m_rows.end(), [&](const auto& item) {
        return item.second.guard == m_context->Options().host;
      });
  if (m_held.empty() || lapsed || guarded) TryAcquire();
  Renew();
  RenewGuards();
}

void SeatLease::RefreshRows() {
  const auto now = m_context->Now();
  // The table is read as a whole, so a large one is read less often.
  const auto scale = static_cast<int>(m_zones.size() / kSeatsPerListStep + 1);
  m_next_list =
      now + (m_held.empty() ? kListWhenSeatless : kListWhenSeated * scale);
  m_list_sent = now;
  m_listing = m_context->Call(platform::ListRows{std::string(kTable)});
}

bool SeatLease::Handle(const PlatformAnswered& answered) {
  if (m_listing && answered.id == *m_listing) {
    m_listing.reset();
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
    auto& known = m_rows[*seat];
    // A stale read must not turn a row back.
    if (row.version < known.version) continue;
    if (row.version != known.version) known.unchanged_since = now;
    known.version = row.version;
    known.holder = StringOr(row.value, "host");
    known.address = StringOr(row.value, "address");
    known.guard = StringOr(row.value, "guard");
    known.last_seen = sent;
    ResolveDoubt(*seat, known);
  }
  for (int seat = 0; seat < static_cast<int>(m_zones.size()); ++seat) {
    if (present.count(seat) == 0) m_rows[seat].last_seen = sent;
  }
  if (m_held.empty() && !m_releasing) TryAcquire();
}

void SeatLease::ResolveDoubt(int seat, const SeatRow& row) {
  if (HasPendingWrite(seat)) return;
  const auto held = m_held.find(seat);
  const bool mine = row.holder == m_context->Options().host;
  if (held == m_held.end()) {
    // An acquisition took effect although its answer was lost. The row may be
    // older than this host's lease allows, so it is renewed before use.
    if (mine && !m_releasing) {
      m_held[seat] = {row.version, row.guard, m_context->Now(),
                      Instant{},   Instant{}, std::nullopt};
      Write(WriteKind::kRenew, seat, row.version, row.guard);
    }
    return;
  }
  if (!mine) {
    m_held.erase(held);
    m_context->Stats()->Add("seats_taken_by_others");
    return;
  }
  held->second.version = row.version;
  held->second.guard = row.guard;
  held->second.doubtful_guard.reset();
}

bool SeatLease::HasPendingWrite(int seat) const {
  return std::any_of(m_writes.begin(), m_writes.end(), [&](const auto& item) {
    return item.second.seat == seat;
  });
}

bool SeatLease::HasLapsed(const SeatRow& row) const {
  const auto unchanged = row.last_seen - row.unchanged_since;
  return unchanged > WithDrift(m_context->Options().seat_lease);
}

bool SeatLease::MayTake(int seat, const SeatRow& row) {
  const auto now = m_context->Now();
  if (HasPendingWrite(seat) || row.last_seen == Instant{}) return false;
  if (row.holder.empty()) return true;
  const auto& options = m_context->Options();
  const auto hard_limit = options.seat_lease + options.outage_grace;
  if (row.last_seen - row.unchanged_since > WithDrift(hard_limit)) return true;
  if (HasLapsed(row) && !m_members->IsLive(row.holder) &&
      m_quorum.AskForConsent(row.holder)) {
    return true;
  }
  if (row.guard != options.host) return false;
  const auto promised = m_promised.find(row.holder);
  const auto since = promised == m_promised.end()
                         ? row.unchanged_since + WithDrift(options.guard_lease)
                         : promised->second;
  // The holder speaks to its guard every second; its silence here is enough.
  return now > since;
}

void SeatLease::TryAcquire() {
  std::vector<int> order;
  if (!m_writes.empty() || m_context->Now() < m_write_after) return;
  for (int seat = 0; seat < static_cast<int>(m_zones.size()); ++seat) {
    auto& row = m_rows[seat];
    // Free seats are left to hosts without one.
    if (row.holder.empty() && !m_held.empty()) continue;
    if (row.holder == m_context->Options().host) continue;
    if (MayTake(seat, row)) order.push_back(seat);
  }
  if (order.empty()) return;
  const auto is_local = [&](int seat) {
    return m_zones[static_cast<std::size_t>(seat)] == m_context->Options().zone;
  };
  std::stable_partition(order.begin(), order.end(), is_local);
  // Hosts that start together should not all race for the first seat.
  auto candidates = static_cast<std::size_t>(
      std::count_if(order.begin(), order.end(), is_local));
  if (candidates == 0) candidates = order.size();
  const int seat = order[m_context->Rng()->Below(candidates)];
  Write(WriteKind::kAcquire, seat, m_rows[seat].version, ChooseGuard());
}

void SeatLease::Write(WriteKind kind, int seat, platform::RowVersion expected,
                      const HostId& guard) {
  const auto& options = m_context->Options();
  Json::Value value;
  const bool frees = kind == WriteKind::kRelease || kind == WriteKind::kClear;
  value["host"] = frees ? HostId() : options.host;
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
    m_next_list = Instant{};
    m_context->Emit(OperatorReply{write.ticket, std::move(result)});
    return;
  }
  if (!answer) {
    m_write_after = m_context->Now() + kWriteRetry;
    const bool refused = answer.error().code == ErrorCode::kConflict ||
                         answer.error().outcome == RunOutcome::kNotRun;
    if (answer.error().code == ErrorCode::kConflict) m_next_list = Instant{};
    if (!refused) OnDoubtfulWrite(write);
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
  held.doubtful_guard.reset();
  // The new guard may not have promised anything yet.
  m_next_guard = Instant{};
}

void SeatLease::OnDoubtfulWrite(const PendingWrite& write) {
  m_next_list = Instant{};
  if (write.kind == WriteKind::kAcquire) {
    m_doubtful_takes[write.seat] = write.expected;
  }
  const auto held = m_held.find(write.seat);
  if (held != m_held.end() && held->second.guard != write.guard) {
    held->second.doubtful_guard = write.guard;
  }
}

HostId SeatLease::ChooseGuard() const {
  const auto live = m_members->Live();
  std::vector<HostId> near;
  std::vector<HostId> all;
  for (const auto& row : live) {
    if (row.record.leaving || row.record.seats == 0) continue;
    all.push_back(row.record.host);
    if (row.record.zone == m_context->Options().zone) {
      near.push_back(row.record.host);
    }
  }
  // The host that follows in the circle of ids: guards are spread evenly.
  // One that was just found not to answer is passed over.
  const auto silent = [&](const HostId& host) {
    const auto held = std::find_if(
        m_held.begin(), m_held.end(),
        [&](const auto& item) { return item.second.guard == host; });
    return held != m_held.end() && !GuardAnswers(held->second);
  };
  std::erase_if(near, silent);
  std::erase_if(all, silent);
  const auto next = [&](const std::vector<HostId>& hosts) -> HostId {
    if (hosts.empty()) return {};
    const auto it =
        std::upper_bound(hosts.begin(), hosts.end(), m_context->Options().host);
    return it == hosts.end() ? hosts.front() : *it;
  };
  return near.empty() ? next(all) : next(near);
}

bool SeatLease::GuardAlive(const HostId& guard) const {
  const auto* row = m_members->Find(guard);
  return row != nullptr && m_members->IsLive(guard) && !row->record.leaving;
}

// A guard that is there but does not answer has to be replaced too.
bool SeatLease::GuardAnswers(const HeldSeat& seat) const {
  if (!GuardAlive(seat.guard)) return false;
  const auto now = m_context->Now();
  const auto patience = m_context->Options().guard_lease / 2;
  const auto it = m_acknowledged.find(seat.guard);
  const auto last = it == m_acknowledged.end() ? Instant{} : it->second;
  return now - std::max(last, seat.renewed) < patience;
}

void SeatLease::Renew() {
  const auto now = m_context->Now();
  if (now < m_write_after) return ReleaseExtra();
  const auto& options = m_context->Options();
  for (const auto& [seat, held] : m_held) {
    if (HasPendingWrite(seat)) continue;
    const auto& row = m_rows[seat];
    // Until the row has been read again, its version is not known.
    if (held.doubtful_guard) continue;
    const bool guard_gone = !held.guard.empty() && !GuardAnswers(held);
    const bool unguarded = held.guard.empty() && !ChooseGuard().empty();
    const bool due = now - held.renewed >= options.seat_renew;
    if (!due && !guard_gone && !unguarded) continue;
    // A failing platform is asked again at the pace of its list.
    if (now - row.last_seen > 2 * kListWhenSeated && !due) continue;
    // A guard in another zone is a makeshift from the start: a cut between the
    // zones would cost the seat.
    const auto* current = m_members->Find(held.guard);
    const bool near =
        current != nullptr && current->record.zone == m_context->Options().zone;
    const bool keep = near && GuardAnswers(held);
    const auto guard = keep ? held.guard : ChooseGuard();
    const bool changes = guard != held.guard && !guard.empty();
    if (changes && !IsAsked(guard)) continue;
    Write(WriteKind::kRenew, seat, held.version, guard);
  }
  ReleaseExtra();
}

// A host that took over a lost host's seat passes it on when a host without a
// seat has come.
void SeatLease::ReleaseExtra() {
  if (m_held.size() < 2) return;
  const auto live = m_members->Live();
  const bool wanted =
      std::any_of(live.begin(), live.end(), [](const auto& row) {
        return row.record.seats == 0 && !row.record.leaving;
      });
  if (!wanted) return;
  const auto seat = m_held.rbegin()->first;
  if (HasPendingWrite(seat) || m_held.rbegin()->second.doubtful_guard) return;
  const auto version = m_held.rbegin()->second.version;
  // The right ends before the row says so.
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

// True once the next guard has promised, or was asked for long enough.
bool SeatLease::IsAsked(const HostId& candidate) {
  const auto now = m_context->Now();
  if (m_candidate != candidate) {
    m_candidate = candidate;
    m_candidate_since = now;
    m_next_guard = Instant{};
  }
  return GuardedUntil(candidate) > now + m_context->Options().guard_renew ||
         now - m_candidate_since > kCandidatePatience;
}

void SeatLease::RenewGuards() {
  const auto now = m_context->Now();
  if (now < m_next_guard) return;
  m_next_guard = now + m_context->Options().guard_renew;
  std::set<HostId> guards;
  if (!m_candidate.empty()) guards.insert(m_candidate);
  for (const auto& [seat, held] : m_held) {
    if (!held.guard.empty()) guards.insert(held.guard);
    if (held.doubtful_guard && !held.doubtful_guard->empty()) {
      guards.insert(*held.doubtful_guard);
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

bool SeatLease::WasTaken(const HostId& holder) {
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
  if (address.empty() || WasTaken(from)) return;
  // No promise while a write that would take the seat may be on its way.
  for (const auto& [id, write] : m_writes) {
    if (write.kind == WriteKind::kAcquire &&
        m_rows[write.seat].holder == from) {
      return;
    }
  }
  for (const auto& [seat, version] : m_doubtful_takes) {
    const auto& row = m_rows[seat];
    if (row.holder == from && row.version == version) return;
  }
  m_promised[from] =
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

void SeatLease::Stretch(HeldSeat* seat) {
  if (m_context->Now() >= LeasedUntil(*seat)) return;
  const auto limit = seat->renewed + m_context->Options().outage_grace;
  seat->stretched =
      std::max(seat->stretched, std::min(m_quorum.VouchedUntil(), limit));
}

Instant SeatLease::LeasedUntil(const HeldSeat& seat) const {
  if (seat.renewed == Instant{}) return Instant{};
  return std::max(seat.renewed + m_context->Options().seat_lease,
                  seat.stretched);
}

Instant SeatLease::ValidUntil(const HeldSeat& seat) const {
  auto until = LeasedUntil(seat);
  until = std::min(until, GuardedUntil(seat.guard));
  if (seat.doubtful_guard) {
    until = std::min(until, GuardedUntil(*seat.doubtful_guard));
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
