// Leases on seats, kept as rows of the platform's table service.
//
// A seat entitles its holder to one share of every fleet-wide limit. Two
// leases protect it:
// - The long lease (seat_lease) is renewed in the table. Once it has expired,
//   other hosts may take the seat of a failed host with the consent of a
//   majority of the seats. During an outage of the platform, the vouches of a
//   majority extend it (seat_quorum.h).
// - The short lease (guard_lease) is renewed with one other host, the guard
//   named in the row. Only the guard may take the seat before the long lease
//   has expired, so the share of a crashed host is in use again within seconds.
//
// Invariant: at most one host uses a seat at a time. The holder uses the seat
// only while both leases are valid on its own clock, counted from the moment
// it sent the renewal. A host that takes the seat first waits for the same
// time, lengthened by the maximum clock drift, counted from the moment it
// answered the renewal or read the row, and takes the seat by a conditional
// write.
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

  // Sets the number of seats and the zone of each.
  void Configure(const std::vector<ZoneId>& zones);
  // Renews the leases, reads the table and takes seats when due. To be called
  // regularly.
  void Tick();
  // Starts to release all seats. Released() is true once the releases have been
  // written or have timed out.
  void Release();
  bool Released() const { return m_releasing && m_held.empty(); }

  // Returns false if the answer is for another component's call.
  bool Handle(const PlatformAnswered& answered);
  // As a guard: promises not to take the sender's seats for guard_lease.
  void Handle(const HostId& from, const peer::GuardRequest& message);
  // As a holder: records the guard's promise.
  void Handle(const HostId& from, const peer::GuardAck& message);
  SeatQuorum& Quorum() { return m_quorum; }
  // Frees a seat at an operator's command, if its holder has failed
  // permanently. Emits an OperatorReply for `ticket`: kNotFound if the seat has
  // no holder, kConflict if the holder is alive.
  void Clear(CallId ticket, int seat);

  // The seats that this host may use now, and the last known holders of all.
  limits::SeatView View() const;
  std::vector<std::string> HolderAddresses() const;
  int HeldCount() const { return static_cast<int>(m_held.size()); }

 private:
  // A seat's row as last read or written, and when its version last changed.
  struct SeatRow {
    platform::RowVersion version = 0;
    HostId holder;
    std::string address;
    HostId guard;
    Instant unchanged_since{};
    // When the last read that returned the row was sent.
    Instant last_read{};
  };
  struct HeldSeat {
    platform::RowVersion version = 0;
    HostId guard;
    // When the confirmation that this host holds the seat arrived.
    Instant acquired{};
    // When the last renewal that is known to have succeeded was sent.
    Instant renewed{};
    // End of the lease as extended by vouches. Only a valid lease is extended:
    // once it has expired, another host may have taken the seat.
    Instant extended_until{};
    // New guard, named by a write whose outcome is unknown.
    std::optional<HostId> unconfirmed_new_guard;
  };
  enum class WriteKind { kAcquire, kRenew, kRelease, kClear };
  struct PendingWrite {
    WriteKind kind = WriteKind::kRenew;
    int seat = 0;
    HostId previous;  // holder before the write
    platform::RowVersion expected = 0;
    HostId guard;
    Instant sent;
    CallId ticket = 0;  // id of the operator's command, for kClear
  };

  void RefreshRows();
  void OnRows(const platform::Answer& answer, Instant sent);
  void OnWritten(const PendingWrite& write,
                 const Result<platform::Answer>& answer);
  // Handles a write that may or may not have taken effect.
  void OnUncertainWrite(const PendingWrite& write);
  // Compares a row that was just read with the seats that this host holds.
  void ReconcileSeat(int seat, const SeatRow& row);
  void TryAcquire();
  bool MayTake(int seat, const SeatRow& row);
  bool HasExpired(const SeatRow& row) const;
  void Renew();
  void ReleaseExtraSeat();
  void Write(WriteKind kind, int seat, platform::RowVersion expected,
             const HostId& guard);
  HostId ChooseGuard() const;
  // True if the guard is a live member that is not leaving. It may still fail
  // to answer; see GuardAnswers().
  bool GuardIsLiveMember(const HostId& guard) const;
  // True if the guard is live and has answered recently.
  bool GuardAnswers(const HeldSeat& seat) const;
  void RenewGuards();
  // True once the next guard has given its promise or has had enough time to.
  bool IsCandidateReady(const HostId& candidate);
  Instant GuardedUntil(const HostId& guard) const;
  void ExtendByVouches(HeldSeat* seat);
  Instant LeasedUntil(const HeldSeat& seat) const;
  Instant ValidUntil(const HeldSeat& seat) const;
  bool HasPendingWrite(int seat) const;
  // True if this host took a seat from `holder`, and no row with a later
  // version names `holder` again.
  bool SeatTakenFrom(const HostId& holder);

  ControlContext* const m_context;
  const MemberTable* const m_members;
  SeatQuorum m_quorum;
  std::vector<ZoneId> m_zones;
  std::map<int, SeatRow> m_rows;
  std::map<int, HeldSeat> m_held;
  std::map<CallId, PendingWrite> m_writes;
  std::optional<CallId> m_list_call;
  Instant m_list_sent{};
  Instant m_next_read{};
  Instant m_next_guard_renewal{};
  // The guard to be named next, and since when it has been the candidate. It is
  // asked for its promise before the change, so that the guard lease has no
  // gap.
  HostId m_guard_candidate;
  Instant m_guard_candidate_since{};
  bool m_releasing = false;
  Instant m_release_deadline{};
  // Attempts to acquire a seat whose outcome is unknown, with the row version
  // that the write expected. The write may still take effect while the row has
  // that version.
  std::map<int, platform::RowVersion> m_uncertain_acquires;
  // Earliest time of the next write, after one has failed.
  Instant m_next_write_time{};
  // Hosts from which this host took a seat, with the row version of that write.
  // They get no promises until a later row names them as holders again: they
  // may have been paused or disconnected and not know yet that they lost the
  // seat.
  std::map<HostId, platform::RowVersion> m_taken_from;
  // As a guard: until when each holder has a promise that this host will not
  // take its seats.
  std::map<HostId, Instant> m_promised_until;
  // As a holder: when the last renewal that each guard acknowledged was sent.
  std::map<HostId, Instant> m_acknowledged;
  // As a holder: unanswered requests by nonce, with the guard and the time
  // sent.
  std::map<std::uint64_t, std::pair<HostId, Instant>> m_guard_requests;
};

}  // namespace tiller::control
