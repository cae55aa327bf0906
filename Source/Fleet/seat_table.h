// Seats: rights of hosts to one share of every fleet-wide limit, kept as rows
// of the store. The store is the only arbiter, so nobody can take a seat while
// it is away.
//
// A seat has one user at a time: its holder stops when its lease has run out
// by its own clock, counted from before it wrote the row; others may take it
// only later, by the store's clock. A restarted host takes its own seat back
// at once, since its earlier process is gone.
//
// All hosts divide limits by the seats that count. A new seat counts from a
// moment, on the store's clock, by which all have read its row; a seat whose
// lease ran out stops counting later than its host may take it back as it was.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/random.h"
#include "Fleet/fleet_messages.h"

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

  // Calls that are due; at most one is outstanding.
  std::optional<Action> NextCall(CallId* next_call);
  // All return true if the view changed.
  bool Handle(const TableRead& event);
  bool Handle(const RowWritten& event);
  bool OwnsCall(CallId call) const { return m_call == call && call != 0; }
  // True if seats began or ceased to count since the last view.
  bool CountChanged() const;

  limits::SeatView View();
  struct Peer {
    std::string host;
    std::string address;
  };
  // All other holders.
  std::vector<Peer> Peers() const;
  // Place of this host in an order drawn from `name`, in [0, hosts).
  std::size_t TurnFor(const std::string& name) const;

 private:
  struct Seat {
    std::string host;
    std::string address;
    std::string pool_address;
    ZoneId zone;
    StoreTime renewed{0};
    StoreTime counts_from{0};
    // When the holder's process took the seat over from an earlier one.
    StoreTime adopted{0};
    RowVersion version = 0;
  };
  std::optional<std::size_t> ChooseSeat() const;
  std::string Encode(const Seat& seat) const;
  Seat Renewed(std::size_t seat) const;
  void AdoptOwnSeat();
  StoreTime StoreNow() const;
  std::vector<int> CountedSeats() const;

  const SeatIdentity m_self;
  const Clock* const m_clock;
  Random* const m_random;
  std::vector<Seat> m_seats;
  std::optional<std::size_t> m_held;
  Instant m_valid_until{};  // end of the lease on the own clock
  // Seats that counted in the last view.
  std::vector<int> m_counted;
  // See SeatView. All may be used only once a row says that this process has
  // begun, so that the next one knows.
  double m_restart_share = 0;
  StoreTime m_adopted{0};
  // Store's clock at the last answer, and own clock before that call.
  StoreTime m_store_now{0};
  Instant m_store_asked{};
  bool m_loaded = false;
  bool m_reading = false;
  int m_reads = 0;
  Instant m_read_asked{};
  Instant m_read_at{};
  Instant m_renew_at{};
  // The write in progress.
  CallId m_call = 0;
  std::size_t m_call_seat = 0;
  Seat m_call_row;
  Instant m_call_sent{};
};

}  // namespace tiller::fleet
