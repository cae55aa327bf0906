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
constexpr Milliseconds kLease{60'000};
// The holder stops earlier than others may take over, for drift of clocks.
constexpr Milliseconds kLeaseMargin{2'000};
constexpr Milliseconds kRenewEvery{10'000};
constexpr Milliseconds kReadEvery{5'000};
// Hosts start together and learn of each other quickly.
constexpr Milliseconds kFirstReadEvery{900};
constexpr int kFirstReads = 5;
// By then all hosts that reach the store have read a row, see kReadEvery.
constexpr Milliseconds kKnownAfter{6'000};
// A seat ceases to count this long after its lease; until half of it its host
// may take it back with its share.
constexpr Milliseconds kForgottenAfter{2 * kKnownAfter};
// A second start within this time, twice the usual window of rates, gets no
// allowance.
constexpr Milliseconds kRestartWindow{10'000};
// What a process may use of the allowance before its start is on record.
constexpr double kUnrecordedShare = 0.5;
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

std::string SeatTable::Encode(const Seat& seat) const {
  Json::Value out;
  out["host"] = seat.host;
  out["address"] = seat.address;
  out["pool"] = seat.pool_address;
  out["zone"] = seat.zone;
  out["renewed"] = Json::Int64(seat.renewed.count());
  out["counts_from"] = Json::Int64(seat.counts_from.count());
  out["adopted"] = Json::Int64(seat.adopted.count());
  return ToText(out);
}

// Not before the store's own time.
StoreTime SeatTable::StoreNow() const {
  return m_store_now + std::chrono::duration_cast<Milliseconds>(m_clock->Now() -
                                                                m_store_asked);
}

// The row that makes `seat` this host's, or keeps it.
SeatTable::Seat SeatTable::Renewed(std::size_t seat) const {
  Seat row;
  row.host = m_self.host;
  row.address = m_self.address;
  row.pool_address = m_self.pool_address;
  row.zone = m_self.zone;
  row.renewed = StoreNow();
  row.adopted = m_held ? m_adopted : row.renewed;
  row.counts_from = row.renewed + kKnownAfter;
  if (seat >= m_seats.size()) return row;
  const auto& before = m_seats[seat];
  row.version = before.version;
  const bool counted = row.renewed < before.renewed + kLease + kKnownAfter;
  if (counted) row.counts_from = before.counts_from;
  return row;
}

std::optional<Action> SeatTable::NextCall(CallId* next_call) {
  const auto now = m_clock->Now();
  if (m_reading || m_call != 0) return std::nullopt;
  if (!m_loaded || now >= m_read_at) {
    m_reading = true;
    m_read_asked = now;
    return ReadTable{kSeatTable};
  }
  if (now < m_renew_at) return std::nullopt;
  const auto seat = m_held ? m_held : ChooseSeat();
  m_call = (*next_call)++;
  m_call_seat = seat.value_or(m_seats.size());
  m_call_row = Renewed(m_call_seat);
  m_call_sent = now;
  return WriteRow{m_call, kSeatTable, SeatKey(m_call_seat), Encode(m_call_row),
                  m_call_row.version};
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
  m_store_asked = m_read_asked;
  std::vector<Seat> seats;
  for (const auto& row : event.rows) {
    const auto json = ParseJson(row.value);
    Seat seat;
    seat.version = row.version;
    if (json) {
      seat.host = StringOr(json.value(), "host");
      seat.address = StringOr(json.value(), "address");
      seat.pool_address = StringOr(json.value(), "pool");
      seat.zone = StringOr(json.value(), "zone");
      const auto time = [&](const char* name) {
        return StoreTime(
            static_cast<StoreTime::rep>(UintOr(json.value(), name)));
      };
      seat.renewed = time("renewed");
      seat.counts_from = time("counts_from");
      seat.adopted = time("adopted");
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
    const auto& seat = m_seats[i];
    if (seat.host != m_self.host) continue;
    const auto left = seat.renewed + kLease - kLeaseMargin - m_store_now;
    if (left.count() <= 0) continue;
    m_held = i;
    m_valid_until = m_store_asked + left;
    const bool again = m_store_now - seat.adopted < kRestartWindow;
    m_restart_share = again ? 0 : kUnrecordedShare;
    m_adopted = StoreNow();
    m_renew_at = m_clock->Now();
    log::Event(log::Channel::kMembership, log::Level::kInfo, "seat_adopted",
               {{"seat", std::to_string(i)},
                {"left_ms", std::to_string(left.count())},
                {"restart_share", std::to_string(m_restart_share)}});
    return;
  }
}

bool SeatTable::Handle(const RowWritten& event) {
  m_call = 0;
  const auto now = m_clock->Now();
  if (event.status == StoreStatus::kDone) {
    if (m_call_seat >= m_seats.size()) m_seats.resize(m_call_seat + 1);
    auto& seat = m_seats[m_call_seat];
    seat = m_call_row;
    seat.version = event.version;
    m_valid_until = m_call_sent + kLease - kLeaseMargin;
    m_renew_at = now + kRenewEvery;
    if (m_held) {
      if (m_restart_share > 0) m_restart_share = 1;
      return true;
    }
    m_held = m_call_seat;
    m_adopted = seat.adopted;
    m_restart_share = kUnrecordedShare;
    m_read_at = now;
    log::Event(log::Channel::kMembership, log::Level::kInfo, "seat_taken",
               {{"seat", std::to_string(m_call_seat)},
                {"counts_in_ms",
                 std::to_string((seat.counts_from - StoreNow()).count())}});
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

std::vector<int> SeatTable::CountedSeats() const {
  std::vector<int> counted;
  for (std::size_t i = 0; i < m_seats.size(); ++i) {
    const auto& seat = m_seats[i];
    if (seat.counts_from > StoreNow()) continue;
    // Judged by the store's time of the last read: while the store is away,
    // leases are not renewed by anybody.
    if (seat.renewed + kLease + kForgottenAfter <= m_store_now) continue;
    counted.push_back(static_cast<int>(i));
  }
  return counted;
}

bool SeatTable::CountChanged() const { return CountedSeats() != m_counted; }

limits::SeatView SeatTable::View() {
  limits::SeatView view;
  for (const auto& seat : m_seats) {
    view.holders.push_back(seat.host);
    view.zones.push_back(seat.zone);
    view.pool_addresses.push_back(seat.pool_address);
  }
  m_counted = CountedSeats();
  view.counted = m_counted;
  const auto held = m_held ? static_cast<int>(*m_held) : -1;
  if (std::count(m_counted.begin(), m_counted.end(), held) > 0) {
    view.held.push_back(held);
  }
  view.valid_until = m_valid_until;
  view.restart_share = m_restart_share;
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
