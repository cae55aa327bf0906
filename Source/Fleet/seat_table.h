// Seats: rights of hosts to one share of every fleet-wide limit, kept as rows
// of the store. The store is the only arbiter, so nobody can take a seat while
// it is away.
//
// A seat has one user at a time: its holder stops when its lease has run out
// by its own clock, counted from before it wrote the row; others may take it
// only later, by the store's clock. A restarted host takes its own seat back
// at once, since its earlier process is gone.
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
  // True once, when a seat that was waiting became usable.
  bool Activated();

  limits::SeatView View() const;
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
    ZoneId zone;
    StoreTime renewed{0};
    RowVersion version = 0;
  };
  std::optional<std::size_t> ChooseSeat() const;
  std::string Encode(StoreTime now) const;
  void AdoptOwnSeat();

  const SeatIdentity m_self;
  const Clock* const m_clock;
  Random* const m_random;
  std::vector<Seat> m_seats;
  std::optional<std::size_t> m_held;
  // Own clock: the lease ends, and the seat may be used from.
  Instant m_valid_until{};
  Instant m_usable_from{};
  bool m_activation_told = false;
  // Store's clock at the last answer, and own clock before that call.
  StoreTime m_store_now{0};
  Instant m_store_asked{};
  bool m_loaded = false;
  bool m_reading = false;
  int m_reads = 0;
  Instant m_read_at{};
  Instant m_renew_at{};
  // The write in progress.
  CallId m_call = 0;
  std::size_t m_call_seat = 0;
  bool m_call_is_new = false;
  Instant m_call_sent{};
  // The seat that this process tried to add, which may have taken effect.
  std::optional<std::size_t> m_appended;
  Instant m_appended_at{};
};

}  // namespace tiller::fleet
