// Leases on seats, kept as rows of the platform's table service.
//
// A seat entitles its holder to one share of every fleet-wide limit. Two
// leases protect it. The long one (seat_lease) is renewed in the table: it
// lets others take the seat of a host that is gone, with the consent of a
// majority of the seats, and it is stretched by a majority's vouch during an
// outage of the platform (seat_quorum.h). The short one (guard_lease) is
// renewed with one other host, the guard named in the row: only the guard may
// take the seat early, so a crashed host's share comes back within seconds.
//
// Invariant: at most one host uses a seat at a time. The holder uses it only
// while both leases run on its own clock, counted from before it asked; takers
// wait for the same time, lengthened by the clocks' drift, from after they
// answered or saw the row; and they take by a conditional write.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Control/control_context.h"
#include "Control/member_table.h"
#include "Control/seat_quorum.h"
#include "Limits/seat_view.h"

namespace tiller::control {

class SeatLease {
 public:
  SeatLease(ControlContext* context, const MemberTable* members)
      : m_context(context), m_members(members), m_quorum(context, members) {}

  // Adopts the number of seats and their zones.
  void Configure(const std::vector<ZoneId>& zones);
  void Tick();
  // Gives all seats back; Released() once it is written or given up.
  void Release();
  bool Released() const { return m_releasing && m_held.empty(); }

  // Returns false if the answer is for another system's call.
  bool Handle(const PlatformAnswered& answered);
  void Handle(const HostId& from, const peer::GuardRequest& message);
  void Handle(const HostId& from, const peer::GuardAck& message);
  SeatQuorum& Quorum() { return m_quorum; }
  // Frees a seat whose holder an operator knows to be gone for good.
  void Clear(CallId ticket, int seat);

  limits::SeatView View() const;
  std::vector<std::string> HolderAddresses() const;
  int HeldCount() const { return static_cast<int>(m_held.size()); }

 private:
  // A seat's row as last read, and since when it has been unchanged.
  struct SeatRow {
    platform::RowVersion version = 0;
    HostId holder;
    std::string address;
    HostId guard;
    Instant unchanged_since{};
    Instant last_seen{};
  };
  struct HeldSeat {
    platform::RowVersion version = 0;
    HostId guard;
    // When this host learned that the seat had become its own.
    Instant acquired{};
    // Start of the last renewal that is known to have taken effect.
    Instant renewed{};
    // The lease as stretched by vouches. It is only ever stretched while it is
    // whole: once lapsed, others may have taken the seat.
    Instant stretched{};
    // A write whose effect is unknown may have named this guard.
    std::optional<HostId> doubtful_guard;
  };
  enum class WriteKind { kAcquire, kRenew, kRelease, kClear };
  struct PendingWrite {
    WriteKind kind = WriteKind::kRenew;
    int seat = 0;
    HostId previous;  // holder before the write
    platform::RowVersion expected = 0;
    HostId guard;
    Instant sent;
    CallId ticket = 0;  // of an operator's command
  };

  void RefreshRows();
  void OnRows(const platform::Answer& answer, Instant sent);
  void OnWritten(const PendingWrite& write,
                 const Result<platform::Answer>& answer);
  void OnDoubtfulWrite(const PendingWrite& write);
  void ResolveDoubt(int seat, const SeatRow& row);
  void TryAcquire();
  bool MayTake(int seat, const SeatRow& row);
  bool HasLapsed(const SeatRow& row) const;
  void Renew();
  void ReleaseExtra();
  void Write(WriteKind kind, int seat, platform::RowVersion expected,
             const HostId& guard);
  HostId ChooseGuard() const;
  bool GuardAlive(const HostId& guard) const;
  bool GuardAnswers(const HeldSeat& seat) const;
  void RenewGuards();
  bool IsAsked(const HostId& candidate);
  Instant GuardedUntil(const HostId& guard) const;
  void Stretch(HeldSeat* seat);
  Instant LeasedUntil(const HeldSeat& seat) const;
  Instant ValidUntil(const HeldSeat& seat) const;
  bool HasPendingWrite(int seat) const;
  bool WasTaken(const HostId& holder);

  ControlContext* const m_context;
  const MemberTable* const m_members;
  SeatQuorum m_quorum;
  std::vector<ZoneId> m_zones;
  std::map<int, SeatRow> m_rows;
  std::map<int, HeldSeat> m_held;
  std::map<CallId, PendingWrite> m_writes;
  std::optional<CallId> m_listing;
  Instant m_list_sent{};
  Instant m_next_list{};
  Instant m_next_guard{};
  // The guard that is to be named next, asked for its promise beforehand so
  // that the change leaves no gap; and since when.
  HostId m_candidate;
  Instant m_candidate_since{};
  bool m_releasing = false;
  Instant m_release_deadline{};
  // Seats this host tried to take without learning the outcome, with the
  // version the write expected: it may still take effect while the row has
  // that version.
  std::map<int, platform::RowVersion> m_doubtful_takes;
  // No writes before then: the last one failed.
  Instant m_write_after{};
  // Hosts whose seat this one took, with the version that did it. They get no
  // more promises until a later row names them as holders again: they may not
  // know yet, having been paused or cut off.
  std::map<HostId, platform::RowVersion> m_taken_from;
  // As a guard: until when each holder was promised that its seats stay.
  std::map<HostId, Instant> m_promised;
  // As a holder: start of the last renewal that each guard acknowledged.
  std::map<HostId, Instant> m_acknowledged;
  std::map<std::uint64_t, std::pair<HostId, Instant>> m_guard_requests;
};

}  // namespace tiller::control
