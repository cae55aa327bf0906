// Keeps hosts from passing on commits that a change of primary discards.
//
// A promotion discards what its target has not received, when it takes effect
// and not when the target was chosen. Until then the old primary, and a replica
// that was not compared with the others, may still acknowledge commits. They
// are lost only if a host passes them on to a caller.
//
// - The host that replaces a primary has all hosts hold the group's commits
//   before it chooses the target. It waits until each of them has answered or
//   has no commit lease; see commit_lease.h.
// - A hold ends when the host that asked for it releases it, when the directory
//   names the endpoint whose promotion the platform has accepted, or by a hold
//   with a newer token. It does not end because the old primary is listed again
//   or answers again.
// - Hosts tell each other of the holds that they know with each commit lease,
//   so a host that starts or returns learns of them before it passes on a
//   commit.
// - If the host that asked for a hold is gone, another one takes over its
//   claim. If none does, the hold expires.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Fleet/claim_row.h"
#include "Fleet/commit_lease.h"
#include "Fleet/fleet_messages.h"
#include "Fleet/seat_table.h"

namespace tiller::fleet {

class CommitGuard {
 public:
  CommitGuard(const FleetHost& self, const SeatTable* seats, const Clock* clock,
              Random* random, Counters* counters)
      : m_self(self),
        m_seats(seats),
        m_clock(clock),
        m_counters(counters),
        m_lease(self, seats, clock, random, counters) {}

  // ---- for the host that replaces a primary, under the claim with `token`
  // Asks all hosts to hold the commits of the group.
  void Hold(const GroupId& group, std::uint64_t token);
  // True once no host passes on a commit of the group any more.
  bool AllHold(const GroupId& group);
  // The platform has accepted the promotion of `target`: its commits are passed
  // on once the directory names it.
  void AllowTarget(const GroupId& group, std::uint64_t token,
                   const EndpointId& target);
  // The claim ended without a promotion. The next host may replace the primary.
  void Release(const GroupId& group, std::uint64_t token);

  // The claim may be lost; the hold goes on, and other hosts end it.
  void Leave(const GroupId& group) { m_rounds.erase(group); }

  // ---- holds that this host knows
  // When another host stopped replacing the primary, or will be taken to have
  // failed. Until then this host leaves the group alone, and the hosts take
  // turns from then on. nullopt: no other host has done so lately.
  std::optional<Instant> FreeFrom(const GroupId& group) const;
  // True if a hold has lasted so long that its claim should be checked.
  bool IsOverdue(const GroupId& group) const;
  // Takes over what the store says of a claim.
  void Observe(const GroupId& group, const ClaimRow& claim);

  void Handle(const peer::Envelope& envelope, const peer::CommitHold& hold);
  void Handle(const peer::Envelope& envelope, const peer::CommitReport& report);
  void Handle(const peer::Envelope& envelope, const peer::LeaseQuery& query);
  void Handle(const peer::Envelope& envelope, const peer::LeaseGrant& grant);
  void Handle(const relay::CommitsHeld& event);
  // Answers to reads of the lease table, and of the claims with a call id.
  void Handle(const TableRead& event);
  bool OwnsCall(CallId call) const { return m_lease.OwnsCall(call); }
  void Handle(const RowWritten& event) { m_lease.Handle(event); }
  void Tick();
  std::vector<Action> TakeActions(CallId* next_call);

 private:
  struct KnownHold {
    peer::CommitHold hold;
    std::string holder_address;
    Instant changed_at{};
    // The claim was finished with a promotion.
    bool finished = false;
    // What this host's traffic thread has reported since it holds.
    std::optional<GroupPosition> reported;
  };
  // The answers to a hold that this host has asked for.
  struct Round {
    std::uint64_t token = 0;
    Instant started{};
    Instant next_send_at{};
    std::map<HostId, FleetHost> unanswered;
    std::set<HostId> answered;
    // Leases that this host and those that answered have granted, and the
    // store's, with their ends.
    std::map<HostId, Instant> leases;
    std::map<HostId, Instant> store_leases;
    // The store's leases have been read since the round started.
    CallId lease_read = 0;
    bool lease_read_due = false;
    bool leases_read = false;
    bool complete = false;
  };
  // Applies a hold unless a newer one is known. Returns false if it is not the
  // newest.
  bool Apply(const peer::CommitHold& hold, const std::string& holder_address);
  void SendReport(const GroupId& group, const KnownHold& known);
  void AddLease(std::map<HostId, Instant>* leases,
                const peer::GrantedLease& lease) const;
  // When the leases of hosts that have not answered have ended.
  Instant EndOfLeases(const Round& round) const;
  // Sends the newest state of the group's hold to all other hosts.
  void Notify(const GroupId& group);

  const FleetHost m_self;
  const SeatTable* const m_seats;
  const Clock* const m_clock;
  Counters* const m_counters;
  CommitLease m_lease;
  std::map<GroupId, KnownHold> m_holds;
  std::map<GroupId, Round> m_rounds;
  std::optional<Instant> m_published_lease;
  std::vector<Action> m_actions;
};

}  // namespace tiller::fleet
