// Implementation of the seat table.
#include "Fleet/seat_table.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "Common/json.h"
#include "Common/log.h"

namespace tiller::fleet {
namespace {

// Longer than the store outages that hosts should survive. The share of a lost
// host stays unused for this long.
constexpr Milliseconds kLease{68'000};
// The holder stops this long before other hosts may take the seat, to allow for
// clock drift.
constexpr Milliseconds kLeaseMargin{2'000};
constexpr Milliseconds kRenewInterval{20'000};
// Within this time all hosts that reach the store have a new row: readers poll
// the table, and other hosts ask their readers.
constexpr Milliseconds kSeatVisibilityDelay{6'000};
// A seat is no longer counted when its lease expired this long ago. During the
// first half of this time its host may take the seat back together with its
// share.
constexpr Milliseconds kCountedPastLease{2 * kSeatVisibilityDelay};
// A second restart within this window gets no restart allowance. The window is
// twice as long as the usual rate window.
constexpr Milliseconds kRestartWindow{10'000};
// Fraction of the restart allowance that a process may use before its start is
// recorded in the seat row.
constexpr double kUnconfirmedRestartShare = 0.5;
// The delay doubles with each failure, and hosts wait for different times, so
// that they do not all write at once when the store is back.
constexpr Milliseconds kRetryDelay{400};
constexpr int kMaxDoublings = 3;
// The same while the lease still has more than kUrgentLeaseLeft to run.
constexpr Milliseconds kUnhurriedRetryDelay{4'000};
constexpr Milliseconds kUrgentLeaseLeft{25'000};
// When a fleet starts for the first time, hosts write their first rows within
// this time.
constexpr Milliseconds kFirstStartSpread{2'500};
// Time that the store needs for one write, with a margin. Hosts of a known
// fleet spread their writes over this time for each row of the table.
constexpr Milliseconds kWriteTime{7};
// A new host chooses among this many free seats.
constexpr std::size_t kSeatChoices = 16;
constexpr std::size_t kMaxSeats = 8192;
constexpr int kMaxPoolVersion = 1'000;
constexpr int kKeyDigits = 4;

std::string SeatKey(std::size_t seat) {
  std::string digits = std::to_string(seat);
  const auto missing = kKeyDigits - static_cast<int>(digits.size());
  if (missing > 0) digits.insert(0, static_cast<std::size_t>(missing), '0');
  return digits;
}

// The seat whose row has this key; nullopt if no host writes such a key.
std::optional<std::size_t> SeatOfKey(const std::string& key) {
  std::size_t seat = 0;
  const auto* end = key.data() + key.size();
  const auto parsed = std::from_chars(key.data(), end, seat);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end;
  if (!valid) return std::nullopt;
  if (seat >= kMaxSeats) return std::nullopt;
  return seat;
}

}  // namespace

std::string SeatTable::Encode(const Seat& seat) const {
  Json::Value out;
  out["host"] = seat.host;
  out["address"] = seat.address;
  out["pool"] = seat.pool_address;
  out["pool_version"] = seat.pool_version;
  out["zone"] = seat.zone;
  out["renewed"] = Json::Int64(seat.renewed_at.count());
  out["counts_from"] = Json::Int64(seat.counts_from.count());
  out["adopted"] = Json::Int64(seat.adopted_at.count());
  return ToText(out);
}

// Estimates the store's current time. The estimate is not behind the store's
// clock, since it counts from before the request was sent.
StoreTime SeatTable::StoreNow() const {
  return m_store_time + std::chrono::duration_cast<Milliseconds>(
                            m_clock->Now() - m_store_time_requested_at);
}

std::optional<StoreTime> SeatTable::EstimatedStoreTime() const {
  if (m_store_time == StoreTime{0}) return std::nullopt;
  return StoreNow();
}

// Returns the row by which this host takes or renews `seat`.
SeatTable::Seat SeatTable::RenewedRow(std::size_t seat) const {
  Seat row;
  row.host = m_self.host;
  row.address = m_self.address;
  row.pool_address = m_self.pool_address;
  row.pool_version = limits::kPoolVersion;
  row.zone = m_self.zone;
  row.renewed_at = StoreNow();
  row.adopted_at = m_held_seat ? m_adopted_at : row.renewed_at;
  row.counts_from = row.renewed_at + kSeatVisibilityDelay;
  row.version.era = m_era;
  if (seat >= m_seats.size()) return row;
  const auto& previous = m_seats[seat];
  if (!previous.NeverUsed()) row.version = previous.version;
  const bool still_counted =
      row.renewed_at < previous.renewed_at + kLease + kSeatVisibilityDelay;
  if (still_counted) row.counts_from = previous.counts_from;
  return row;
}

std::optional<Action> SeatTable::NextCall(CallId* next_call) {
  const auto now = m_clock->Now();
  if (!m_loaded || m_call != 0 || now < m_next_renew_at) return std::nullopt;
  if (NeedsCurrentRows()) return std::nullopt;
  m_call = (*next_call)++;
  m_call_seat = m_held_seat ? *m_held_seat : ChooseSeat();
  m_call_row = RenewedRow(m_call_seat);
  m_call_sent_at = now;
  return WriteRow{m_call, kSeatTable, SeatKey(m_call_seat), Encode(m_call_row),
                  m_call_row.version};
}

bool SeatTable::NeedsCurrentRows() const {
  if (m_held_seat || !m_loaded || m_call != 0) return false;
  return m_clock->Now() >= m_next_renew_at &&
         m_store_time_requested_at < m_next_renew_at;
}

// Returns the seat of an earlier process of this host, otherwise one of the
// seats that are free or whose lease has expired.
std::size_t SeatTable::ChooseSeat() const {
  std::vector<std::size_t> free;
  for (std::size_t i = 0; i < m_seats.size(); ++i) {
    const auto& seat = m_seats[i];
    if (seat.host == m_self.host) return i;
    if (seat.NeverUsed() || seat.renewed_at + kLease < m_store_time) {
      free.push_back(i);
    }
  }
  for (auto i = m_seats.size(); free.size() < kSeatChoices; ++i) {
    free.push_back(i);
  }
  return free[m_random->UniformBelow(kSeatChoices)];
}

void SeatTable::ObserveStoreTime(StoreTime now, Instant requested_at) {
  if (requested_at < m_store_time_requested_at) return;
  m_store_time = now;
  m_store_time_requested_at = requested_at;
}

void SeatTable::Confirm(StoreTime complete_at) {
  m_complete_at = std::max(m_complete_at, complete_at);
}

void SeatTable::BeginEra(const std::map<std::string, Row>& rows, StoreEra era) {
  if (era == m_era) return;
  m_era = era;
  for (std::size_t i = 0; i < m_seats.size(); ++i) {
    if (rows.count(SeatKey(i)) == 0) m_seats[i].version = {era, 0};
  }
  if (!m_held_seat) return;
  const auto spread = kWriteTime * static_cast<int>(m_seats.size());
  m_next_renew_at =
      m_clock->Now() + Milliseconds(m_random->UniformBelow(
                           static_cast<std::uint64_t>(spread.count())));
}

void SeatTable::Update(const std::map<std::string, Row>& rows, StoreEra era) {
  const auto now = m_clock->Now();
  m_peers_until.reset();
  BeginEra(rows, era);
  // Rows are never removed, so a seat keeps its number. Numbers without a row
  // were never used.
  for (const auto& [key, row] : rows) {
    const auto number = SeatOfKey(key);
    if (number && *number < m_seats.size() &&
        row.version <= m_seats[*number].version) {
      continue;
    }
    const auto json = ParseJson(row.value);
    if (!number || !json) {
      log::Event(log::Channel::kMembership, log::Level::kWarn,
                 "seat_unreadable", {{"seat", key}});
      if (!number) continue;
    }
    if (*number >= m_seats.size()) m_seats.resize(*number + 1);
    auto& seat = m_seats[*number];
    seat = {};
    seat.version = row.version;
    if (!json) continue;
    seat.host = StringOr(json.value(), "host");
    seat.address = StringOr(json.value(), "address");
    seat.pool_address = StringOr(json.value(), "pool");
    seat.pool_version = static_cast<int>(std::clamp<std::int64_t>(
        IntOr(json.value(), "pool_version", 1), 1, kMaxPoolVersion));
    seat.zone = StringOr(json.value(), "zone");
    const auto store_time = [&](const char* name) {
      return StoreTime(static_cast<StoreTime::rep>(UintOr(json.value(), name)));
    };
    seat.renewed_at = store_time("renewed");
    seat.counts_from = store_time("counts_from");
    seat.adopted_at = store_time("adopted");
  }
  if (!m_loaded) {
    const auto spread = rows.empty()
                            ? kFirstStartSpread
                            : kWriteTime * static_cast<int>(rows.size());
    m_next_renew_at = now + Milliseconds(m_random->UniformBelow(
                                static_cast<std::uint64_t>(spread.count())));
    m_loaded = true;
  }
  if (!m_held_seat) AdoptOwnSeat();
  if (m_held_seat && m_seats[*m_held_seat].host != m_self.host) {
    log::Event(log::Channel::kMembership, log::Level::kWarn, "seat_lost",
               {{"seat", std::to_string(*m_held_seat)}});
    m_held_seat.reset();
    m_next_renew_at = now;
  }
}

// A row with this host's name was written by its earlier process, or by a write
// whose answer was lost. Other hosts may take the seat only after the lease in
// the row has expired.
void SeatTable::AdoptOwnSeat() {
  // Without the store's time it is unknown how long the lease still runs.
  if (m_store_time_requested_at == Instant{}) return;
  for (std::size_t i = 0; i < m_seats.size(); ++i) {
    const auto& seat = m_seats[i];
    if (seat.host != m_self.host) continue;
    const auto lease_left =
        seat.renewed_at + kLease - kLeaseMargin - m_store_time;
    if (lease_left.count() <= 0) continue;
    m_held_seat = i;
    m_valid_until = m_store_time_requested_at + lease_left;
    const bool repeated_restart =
        m_store_time - seat.adopted_at < kRestartWindow;
    m_restart_share = repeated_restart ? 0 : kUnconfirmedRestartShare;
    m_adopted_at = StoreNow();
    log::Event(log::Channel::kMembership, log::Level::kInfo, "seat_adopted",
               {{"seat", std::to_string(i)},
                {"left_ms", std::to_string(lease_left.count())},
                {"restart_share", std::to_string(m_restart_share)}});
    return;
  }
}

bool SeatTable::Handle(const RowWritten& event) {
  m_call = 0;
  const auto now = m_clock->Now();
  if (event.status == StoreStatus::kDone) {
    m_failures = 0;
    ObserveStoreTime(event.now, m_call_sent_at);
    if (m_call_seat >= m_seats.size()) m_seats.resize(m_call_seat + 1);
    m_peers_until.reset();
    auto& seat = m_seats[m_call_seat];
    seat = m_call_row;
    seat.version = event.version;
    m_valid_until = m_call_sent_at + kLease - kLeaseMargin;
    m_next_renew_at = now + kRenewInterval;
    if (m_held_seat) {
      if (m_restart_share > 0) m_restart_share = 1;
      return true;
    }
    m_held_seat = m_call_seat;
    m_adopted_at = seat.adopted_at;
    m_restart_share = kUnconfirmedRestartShare;
    log::Event(log::Channel::kMembership, log::Level::kInfo, "seat_taken",
               {{"seat", std::to_string(m_call_seat)},
                {"counts_in_ms",
                 std::to_string((seat.counts_from - StoreNow()).count())}});
    return true;
  }
  // After a conflict or a lost answer, the next read shows who holds the seat.
  const bool lease_is_long =
      m_held_seat && m_valid_until - now > kUrgentLeaseLeft;
  const auto delay = (lease_is_long ? kUnhurriedRetryDelay : kRetryDelay) *
                     (1 << std::min(m_failures, kMaxDoublings));
  ++m_failures;
  m_next_renew_at = now + delay +
                    Milliseconds(m_random->UniformBelow(
                        static_cast<std::uint64_t>(delay.count() / 2)));
  return false;
}

std::vector<int> SeatTable::CountedSeats() const {
  std::vector<int> counted;
  for (std::size_t i = 0; i < m_seats.size(); ++i) {
    const auto& seat = m_seats[i];
    if (seat.counts_from > StoreNow()) continue;
    if (seat.NeverUsed()) continue;
    // Uses the time at which the rows were complete: no host can renew its
    // lease while the store is unavailable.
    if (seat.renewed_at + kLease + kCountedPastLease <= m_complete_at) continue;
    counted.push_back(static_cast<int>(i));
  }
  return counted;
}

bool SeatTable::CountedSeatsChanged() const {
  return CountedSeats() != m_counted_seats;
}

limits::SeatView SeatTable::View() {
  limits::SeatView view;
  for (const auto& seat : m_seats) {
    view.holders.push_back(seat.host);
    view.zones.push_back(seat.zone);
    view.pool_addresses.push_back(seat.pool_address);
    view.pool_versions.push_back(seat.pool_version);
  }
  m_counted_seats = CountedSeats();
  view.counted = m_counted_seats;
  const auto held = m_held_seat ? static_cast<int>(*m_held_seat) : -1;
  if (std::count(m_counted_seats.begin(), m_counted_seats.end(), held) > 0) {
    view.held.push_back(held);
  }
  view.valid_until = m_valid_until;
  view.restart_share = m_restart_share;
  return view;
}

bool SeatTable::IsPeer(const Seat& seat) const {
  return !seat.host.empty() && seat.host != m_self.host &&
         seat.renewed_at + kLease >= m_complete_at;
}

const std::vector<FleetHost>& SeatTable::Peers() const {
  if (m_peers_until && m_complete_at <= *m_peers_until) return m_peers;
  m_peers.clear();
  m_peers_until = StoreTime::max();
  for (const auto& seat : m_seats) {
    if (!IsPeer(seat)) continue;
    m_peers.push_back({seat.host, seat.address, seat.zone});
    m_peers_until = std::min(*m_peers_until, seat.renewed_at + kLease);
  }
  return m_peers;
}

std::optional<std::string> SeatTable::AddressOf(const HostId& host) const {
  for (const auto& seat : m_seats) {
    if (seat.host == host && IsPeer(seat)) return seat.address;
  }
  return std::nullopt;
}

std::size_t SeatTable::HostRank(const std::string& name) const {
  const auto weight = [&](const std::string& host) {
    return StableHash(name + "/" + host);
  };
  const auto own_weight = weight(m_self.host);
  std::size_t rank = 0;
  for (const auto& seat : m_seats) {
    if (seat.host.empty() || seat.host == m_self.host) continue;
    if (weight(seat.host) > own_weight) ++rank;
  }
  return rank;
}

}  // namespace tiller::fleet
