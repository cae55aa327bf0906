// Implementation of the seats.
#include "Fleet/seat_table.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "Common/json.h"
#include "Common/log.h"

namespace tiller::fleet {
namespace {

// Longer than the outages of the store that hosts should bridge; a lost host's
// share stays unused for as long.
constexpr Milliseconds kLease{30'000};
// The holder stops earlier than others may take over, for drift of clocks.
constexpr Milliseconds kLeaseMargin{2'000};
constexpr Milliseconds kRenewEvery{8'000};
constexpr Milliseconds kReadEvery{5'000};
// Hosts start together and learn of each other quickly.
constexpr Milliseconds kFirstReadEvery{900};
constexpr int kFirstReads = 5;
// A seat added to the table shrinks every share; others have read it by then.
constexpr Milliseconds kNewSeatDelay{6'000};
constexpr Milliseconds kRetryAfter{400};
constexpr Milliseconds kConflictSpread{300};
constexpr int kKeyDigits = 4;

std::string SeatKey(std::size_t seat) {
  std::string digits = std::to_string(seat);
  const auto missing = kKeyDigits - static_cast<int>(digits.size());
  if (missing > 0) digits.insert(0, static_cast<std::size_t>(missing), '0');
  return digits;
}

}  // namespace

std::string SeatTable::Encode(StoreTime now) const {
  Json::Value out;
  out["host"] = m_self.host;
  out["address"] = m_self.address;
  out["zone"] = m_self.zone;
  out["renewed"] = Json::Int64(now.count());
  return ToText(out);
}

std::optional<Action> SeatTable::NextCall(CallId* next_call) {
  const auto now = m_clock->Now();
  if (m_reading || m_call != 0) return std::nullopt;
  if (!m_loaded || now >= m_read_at) {
    m_reading = true;
    m_store_asked = now;
    return ReadTable{kSeatTable};
  }
  if (now < m_renew_at) return std::nullopt;
  const auto seat = m_held ? m_held : ChooseSeat();
  const auto target = seat.value_or(m_seats.size());
  const StoreTime estimated =
      m_store_now +
      std::chrono::duration_cast<Milliseconds>(now - m_store_asked);
  m_call = (*next_call)++;
  m_call_seat = target;
  m_call_is_new = target >= m_seats.size();
  if (m_call_is_new) {
    m_appended = target;
    m_appended_at = now;
  }
  m_call_sent = now;
  return WriteRow{m_call, kSeatTable, SeatKey(target), Encode(estimated),
                  m_call_is_new ? 0 : m_seats[target].version};
}

// The own seat of an earlier process, else one whose lease has run out.
std::optional<std::size_t> SeatTable::ChooseSeat() const {
  for (std::size_t i = 0; i < m_seats.size(); ++i) {
    if (m_seats[i].host == m_self.host) return i;
  }
  for (std::size_t i = 0; i < m_seats.size(); ++i) {
    if (m_seats[i].renewed + kLease < m_store_now) return i;
  }
  return std::nullopt;
}

bool SeatTable::Handle(const TableRead& event) {
  m_reading = false;
  const auto now = m_clock->Now();
  if (event.status != StoreStatus::kDone) {
    m_read_at = now + kRetryAfter;
    return false;
  }
  ++m_reads;
  m_read_at = now + (m_reads < kFirstReads ? kFirstReadEvery : kReadEvery);
  m_loaded = true;
  m_store_now = event.now;
  std::vector<Seat> seats;
  for (const auto& row : event.rows) {
    const auto json = ParseJson(row.value);
    Seat seat;
    seat.version = row.version;
    if (json) {
      seat.host = StringOr(json.value(), "host");
      seat.address = StringOr(json.value(), "address");
      seat.zone = StringOr(json.value(), "zone");
      seat.renewed = StoreTime(
          static_cast<StoreTime::rep>(UintOr(json.value(), "renewed")));
    } else {
      log::Event(log::Channel::kMembership, log::Level::kWarn,
                 "seat_unreadable", {{"seat", row.key}});
    }
    seats.push_back(std::move(seat));
  }
  // Rows are never removed, so positions in the table are stable.
  if (seats.size() < m_seats.size()) return false;
  m_seats = std::move(seats);
  if (!m_held) AdoptOwnSeat();
  if (m_held && m_seats[*m_held].host != m_self.host) {
    log::Event(log::Channel::kMembership, log::Level::kWarn, "seat_lost",
               {{"seat", std::to_string(*m_held)}});
    m_held.reset();
    m_renew_at = now;
  }
  return true;
}

// A row in this host's name is of its earlier process, or of a write whose
// answer was lost. Others may take it only after the lease in it.
void SeatTable::AdoptOwnSeat() {
  for (std::size_t i = 0; i < m_seats.size(); ++i) {
    if (m_seats[i].host != m_self.host) continue;
    const auto left = m_seats[i].renewed + kLease - kLeaseMargin - m_store_now;
    if (left.count() <= 0) continue;
    m_held = i;
    m_valid_until = m_store_asked + left;
    m_usable_from =
        m_appended == i ? m_appended_at + kNewSeatDelay : m_clock->Now();
    m_activation_told = false;
    log::Event(log::Channel::kMembership, log::Level::kInfo, "seat_adopted",
               {{"seat", std::to_string(i)},
                {"left_ms", std::to_string(left.count())}});
    return;
  }
}

bool SeatTable::Handle(const RowWritten& event) {
  m_call = 0;
  const auto now = m_clock->Now();
  if (event.status == StoreStatus::kDone) {
    if (m_call_is_new) m_seats.resize(m_call_seat + 1);
    auto& seat = m_seats[m_call_seat];
    const bool taken = !m_held;
    const bool own = seat.host == m_self.host;
    seat.host = m_self.host;
    seat.address = m_self.address;
    seat.zone = m_self.zone;
    seat.version = event.version;
    m_held = m_call_seat;
    m_valid_until = m_call_sent + kLease - kLeaseMargin;
    m_renew_at = now + kRenewEvery;
    if (taken) {
      m_usable_from = own || !m_call_is_new ? now : now + kNewSeatDelay;
      m_activation_told = false;
      m_read_at = now;
      log::Event(log::Channel::kMembership, log::Level::kInfo, "seat_taken",
                 {{"seat", std::to_string(m_call_seat)},
                  {"new", m_call_is_new ? "yes" : "no"}});
    }
    return true;
  }
  // A conflict or a lost answer: the table tells what holds now.
  m_renew_at = now + Milliseconds(m_random->Below(kConflictSpread.count()));
  m_read_at = m_renew_at;
  if (event.status != StoreStatus::kConflict) {
    m_renew_at = now + kRetryAfter;
    m_read_at = m_renew_at;
  }
  return false;
}

bool SeatTable::Activated() {
  if (m_activation_told || !m_held || m_clock->Now() < m_usable_from) {
    return false;
  }
  m_activation_told = true;
  return true;
}

limits::SeatView SeatTable::View() const {
  limits::SeatView view;
  for (const auto& seat : m_seats) {
    view.holders.push_back(seat.host);
    view.zones.push_back(seat.zone);
  }
  if (m_held && m_clock->Now() >= m_usable_from) {
    view.held.push_back(static_cast<int>(*m_held));
  }
  view.valid_until = m_valid_until;
  return view;
}

std::vector<SeatTable::Peer> SeatTable::Peers() const {
  std::vector<Peer> peers;
  for (const auto& seat : m_seats) {
    if (seat.host.empty() || seat.host == m_self.host) continue;
    if (seat.renewed + kLease < m_store_now) continue;
    peers.push_back({seat.host, seat.address});
  }
  return peers;
}

std::size_t SeatTable::TurnFor(const std::string& name) const {
  const auto weight = [&](const std::string& host) {
    return StableHash(name + "/" + host);
  };
  const auto own = weight(m_self.host);
  std::size_t turn = 0;
  for (const auto& seat : m_seats) {
    if (seat.host.empty() || seat.host == m_self.host) continue;
    if (weight(seat.host) > own) ++turn;
  }
  return turn;
}

}  // namespace tiller::fleet
