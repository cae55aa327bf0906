// Seats of hosts. A seat is the right to one share of every fleet-wide limit
// and is kept as a row in the store. Only the store decides who holds a seat,
// so no host can take a seat while the store is unavailable.
//
// Only one host uses a seat at a time. The holder stops using it when its lease
// expires on the holder's clock, counted from before the row was written. Other
// hosts may take the seat only later, on the store's clock. A restarted host
// takes its own seat back at once, since its earlier process is gone.
//
// All hosts divide limits among the counted seats. A new seat is counted from a
// time, on the store's clock, by which all hosts have read its row. A seat
// whose lease expired stays counted for longer than its host may take it back
// unchanged.
//
// If the store comes back from an older copy of itself, some rows are gone. A
// seat stays with its host until another host has written a row of it.
//
// Hosts that start at the same time write their first rows at different moments
// and to different seats: the store executes these writes one after another and
// refuses them when too many wait.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/random.h"
#include "Fleet/fleet_messages.h"
#include "Fleet/reader_choice.h"

namespace tiller::fleet {

inline constexpr char kSeatTable[] = "seats";

struct SeatIdentity {
  std::string host;  // stable name of the machine
  std::string address;
  std::string pool_address;
  ZoneId zone;
};

class SeatTable {
 public:
  SeatTable(SeatIdentity self, const Clock* clock, Random* random)
      : m_self(std::move(self)), m_clock(clock), m_random(random) {}

  // Returns the next write that is due. At most one is outstanding.
  std::optional<Action> NextCall(CallId* next_call);
  // Applies the rows of the seat table in this era of the store. In a new era,
  // the rows are written again.
  void Update(const std::map<std::string, Row>& rows, StoreEra era);
  // Records that the rows were complete at this time.
  void Confirm(StoreTime complete_at);
  // The time on the store's clock, never earlier than the true time; nullopt if
  // the store has not answered yet.
  std::optional<StoreTime> EstimatedStoreTime() const;
  // Records the store's time in an answer to a request that was sent at
  // `requested_at`.
  void ObserveStoreTime(StoreTime now, Instant requested_at);
  // Returns true if the view changed.
  bool Handle(const RowWritten& event);
  // True if the table has to be read before a seat is taken, so that the host
  // does not choose one that another host has just taken.
  bool NeedsCurrentRows() const;
  bool OwnsCall(CallId call) const { return m_call == call && call != 0; }
  // True if the set of counted seats has changed since the last call of View.
  bool CountedSeatsChanged() const;

  limits::SeatView View();
  // True once the rows have been read.
  bool Loaded() const { return m_loaded; }
  // Returns the other hosts that hold a seat with a lease that has not expired.
  // The list stays valid until the seats change.
  const std::vector<FleetHost>& Peers() const;
  // The address of one of these hosts; nullopt if it holds no seat.
  std::optional<std::string> AddressOf(const HostId& host) const;
  // Returns the rank of this host in an order of all hosts that depends only on
  // `name`. The rank is in [0, number of hosts).
  std::size_t HostRank(const std::string& name) const;

 private:
  struct Seat {
    std::string host;
    std::string address;
    std::string pool_address;
    int pool_version = 1;
    ZoneId zone;
    StoreTime renewed_at{0};
    StoreTime counts_from{0};
    // When the current process of the holder took the seat or took it over from
    // an earlier process.
    StoreTime adopted_at{0};
    RowVersion version;  // number 0: the store has no row of it
    bool NeverUsed() const { return version.number == 0 && host.empty(); }
  };
  std::size_t ChooseSeat() const;
  bool IsPeer(const Seat& seat) const;
  std::string Encode(const Seat& seat) const;
  Seat RenewedRow(std::size_t seat) const;
  void AdoptOwnSeat();
  // Rows of before the new era may be gone from the store, or older than those
  // that this host has read.
  void BeginEra(const std::map<std::string, Row>& rows, StoreEra era);
  StoreTime StoreNow() const;
  std::vector<int> CountedSeats() const;

  const SeatIdentity m_self;
  const Clock* const m_clock;
  Random* const m_random;
  std::vector<Seat> m_seats;
  std::optional<std::size_t> m_held_seat;
  Instant m_valid_until{};  // end of the lease, on this host's clock
  // Counted seats in the last view.
  std::vector<int> m_counted_seats;
  // See SeatView. The full share may be used only after the start of this
  // process is recorded in the seat row, so that the next process knows about
  // it.
  double m_restart_share = 0;
  StoreTime m_adopted_at{0};
  // The store's time at which the rows were complete.
  StoreTime m_complete_at{0};
  // Result of Peers. It is used by most events, so hundreds of hosts would be
  // copied a hundred times a second.
  mutable std::vector<FleetHost> m_peers;
  // When the first of their leases ends, in terms of m_complete_at; nullopt if
  // the seats have changed since.
  mutable std::optional<StoreTime> m_peers_until;
  // The store's time in the last answer to this host, and the local time before
  // that request.
  StoreTime m_store_time{0};
  Instant m_store_time_requested_at{};
  bool m_loaded = false;
  StoreEra m_era = 0;  // of the rows
  Instant m_next_renew_at{};
  // Consecutive writes that failed.
  int m_failures = 0;
  // The write in progress.
  CallId m_call = 0;
  std::size_t m_call_seat = 0;
  Seat m_call_row;
  Instant m_call_sent_at{};
};

}  // namespace tiller::fleet
