// The lease under which this host passes commits on to callers, and the leases
// that it has granted to other hosts.
//
// A host that replaces a primary first has all hosts hold the group's commits;
// see commit_guard.h. A host that this request does not reach learns of the
// hold with its next lease, or its lease ends. The replacing host waits until
// then.
//
// - Any host may grant a lease, unless it has started and has had no grant
// itself:
//   it may not know of holds that were asked for before. Hosts of other zones
//   are asked first, so that those of a zone that is cut off do not only ask
//   each other.
// - A lease needs recent grants of two hosts and of another zone, so that
//   neither two hosts nor a zone renew their leases among themselves. In a
//   fleet of up to three, one other host is enough.
// - A host that gets no answer from others takes a lease from the store: it
//   writes a row that says so, and then reads the claims. Either it finds the
//   claim of a host that replaces a primary, or that host, which reads the rows
//   after it has made its claim, finds the row.
// - A lease counts from when it was requested, on the clock of its holder.
// - A host that knows of no other host needs no lease.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Fleet/fleet_messages.h"
#include "Fleet/seat_table.h"

namespace tiller::fleet {

inline constexpr char kLeaseTable[] = "commit_leases";
// Each grant counts this long for the host that asked.
inline constexpr Milliseconds kCommitLease{1'200};
inline constexpr Milliseconds kLeaseQueryInterval{400};
// A lease ends this long after the query that the second last host granted.
inline constexpr Milliseconds kGrantorLimit =
    kCommitLease + kLeaseQueryInterval;
// From so many other hosts on, a lease needs grants of two.
inline constexpr std::size_t kPeersForTwoGrants = 3;

class CommitLease {
 public:
  CommitLease(FleetHost self, const SeatTable* seats, const Clock* clock,
              Random* random, Counters* counters)
      : m_self(std::move(self)),
        m_seats(seats),
        m_clock(clock),
        m_random(random),
        m_counters(counters),
        m_next_nonce(random->Next()) {}

  // Commits may be passed on until then.
  Instant ValidUntil() const;
  // Requests a lease if one is due.
  void Tick();
  // Grants a lease. The caller adds the holds that it knows.
  // Returns nullopt if this host may not know all holds yet.
  std::optional<peer::LeaseGrant> Grant(const HostId& to,
                                        const peer::LeaseQuery& query);
  void Handle(const peer::LeaseGrant& grant);
  // The leases granted to other hosts that have not ended, or so recently that
  // their holders may have granted others that have not.
  std::vector<peer::GrantedLease> Granted() const;

  // Answers of the store to the calls of TakeActions.
  bool OwnsCall(CallId call) const { return call != 0 && call == m_call; }
  void Handle(const RowWritten& event);
  // Returns true if the rows are those of the claims, which now are known to
  // this host.
  bool Handle(const TableRead& event);
  std::vector<Action> TakeActions(CallId* next_call);
  // The lease in a row of the lease table, from `now` on the store's clock;
  // nullopt if the row is unreadable.
  static std::optional<peer::GrantedLease> ReadRow(const Row& row,
                                                   StoreTime now);

 private:
  enum class StoreStep { kNone, kReadingRow, kWritingRow, kReadingClaims };
  struct SentQuery {
    FleetHost host;
    Instant sent_at{};
  };
  // Asks one of the hosts, and removes it. Those asked before come last.
  void QueryOne(std::vector<FleetHost>* hosts, std::set<HostId>* asked);
  void Query(const FleetHost& host);
  // The end of the lease that rests on the grants of other hosts.
  Instant EndOfGrants() const;
  void StartStoreLease();
  void WriteLeaseRow();

  const FleetHost m_self;
  const SeatTable* const m_seats;
  const Clock* const m_clock;
  Random* const m_random;
  Counters* const m_counters;
  Instant m_valid_until{};
  // Has had a grant or a lease since its start, or was the first host of the
  // fleet.
  bool m_informed = false;
  std::uint64_t m_next_nonce;
  // Queries that may still be answered.
  std::map<std::uint64_t, SentQuery> m_queries;
  // The last query that each host has granted.
  std::map<HostId, SentQuery> m_grants;
  std::set<HostId> m_last_asked;
  Instant m_queried_at{};
  // The first query since the lease was renewed.
  std::optional<Instant> m_asked_since;
  std::map<HostId, Instant> m_granted_until;
  // The call to the store in progress; 0: none.
  StoreStep m_step = StoreStep::kNone;
  CallId m_call = 0;
  RowVersion m_row_version;
  // This host's last write of its row was executed, as far as it knows.
  bool m_row_known = false;
  Instant m_row_read_sent_at{};
  // The store's clock in its last answer, and when that was asked for.
  StoreTime m_store_time{0};
  Instant m_store_time_requested_at{};
  // Time before the row was written, from which the lease counts.
  Instant m_row_sent_at{};
  Instant m_next_store_call_at{};
  // Differs among hosts, so that some take a lease from the store and grant the
  // others theirs.
  Milliseconds m_store_after{0};
  std::vector<Action> m_actions;
  // A call to the store that has no call id yet.
  std::optional<Action> m_store_call;
};

}  // namespace tiller::fleet
