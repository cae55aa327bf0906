// Distribution of the whole units of a fleet-wide limit, such as an endpoint's
// slots. Each unit belongs to a seat. The holder of the seat owns the unit and
// may lend it to another host for a bounded time.
//
// Invariant, over all hosts: each unit is used by at most one host. The owner
// uses a lent unit again only after the borrower has returned it or the loan
// has expired. The owner counts the loan's lifetime, lengthened by the maximum
// clock drift, from the grant; the borrower counts the same lifetime, without
// the drift, from the moment it sent the request.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Common/counters.h"
#include "Limits/seat_view.h"
#include "Limits/share_messages.h"

namespace tiller::limits {

// A fleet-wide limit of whole units.
struct UnitLimit {
  std::string resource;
  int units = 0;
  ZoneId zone;  // zone of the resource; its seats come first in the assignment
};

// One statement's use of a unit. Returned by TryAcquire, passed to Release.
struct UnitUse {
  std::string resource;
  HostId owner;  // lender of the unit; empty if this host owns it
  std::uint64_t loan_id = 0;
  std::uint64_t use_id = 0;
};

// The units that this host owns, lends and borrows. The caller calls Tick
// regularly and delivers the messages of TakeMessages.
class UnitLease {
 public:
  UnitLease(HostId self, Counters* counters);

  // Applies new limits and seats.
  void Update(const std::vector<UnitLimit>& limits, const SeatView& seats,
              Instant now);

  // Takes a unit for one statement. If none is available, requests units from
  // the other owners and returns nullopt.
  std::optional<UnitUse> TryAcquire(const std::string& resource, Instant now);
  // Ends a use. Ignored if the loan that it used has ended already.
  void Release(const UnitUse& use, Instant now);

  void Handle(const HostId& from, const UnitRequest& message, Instant now);
  void Handle(const HostId& from, const UnitGrant& message, Instant now);
  void Handle(const HostId& from, const UnitReturn& message, Instant now);
  void Handle(const HostId& from, const UnitRecall& message, Instant now);

  // Renews, returns and expires loans. Returns the uses whose loan has expired;
  // the caller must abort their statements.
  std::vector<UnitUse> Tick(Instant now);

  // Returns and clears the resources of which a unit may have become available
  // since the last call.
  std::vector<std::string> TakeResourcesToRetry();
  // Returns and clears the messages to be sent.
  std::vector<AddressedShareMessage> TakeMessages();

  // For tests: units in use on this host, owned and borrowed.
  int InUse(const std::string& resource) const;
  // For tests: units of the seats that this host holds.
  int OwnedUnits(const std::string& resource) const;

 private:
  // A unit of this host that another host may use until `expires_at`.
  struct LentUnit {
    HostId to;
    std::uint64_t request_id = 0;
    Instant expires_at;
    bool recalled = false;
  };
  // Owner and loan id. Loan ids are unique for one owner only.
  using LoanKey = std::pair<HostId, std::uint64_t>;
  // A unit of another host that this host may use until `expires_at`.
  struct BorrowedUnit {
    Instant expires_at;
    Instant idle_since;
    bool in_use = false;
    bool recalled = false;
    bool renewal_pending = false;
    std::uint64_t use_id = 0;
  };
  // A request by this host for a new or renewed loan, not answered yet.
  struct PendingRequest {
    HostId owner;
    Instant sent;
    std::uint64_t renews = 0;
  };
  // A request by another host that waits for a unit of this host.
  struct QueuedRequest {
    HostId borrower;
    std::uint64_t request_id = 0;
    Instant since;
  };
  struct Resource {
    UnitLimit limit;
    std::vector<int> owners;  // seat of each unit
    int owned = 0;            // units of seats held by this host
    // Units of newly acquired seats may still be lent by the seats' previous
    // holder: until `all_usable_from`, this host uses and lends only
    // `usable_owned` of the owned units.
    int usable_owned = 0;
    Instant all_usable_from{};
    int owned_in_use = 0;
    // owned_in_use + lent.size() <= owned, except just after a seat was lost.
    std::map<std::uint64_t, LentUnit> lent;
    std::map<LoanKey, BorrowedUnit> borrowed;
    std::map<std::uint64_t, PendingRequest> pending_requests;
    std::deque<QueuedRequest> queued_requests;
    // Since when a local statement has been waiting for a unit.
    std::optional<Instant> local_waiting_since;
    std::map<HostId, Instant> next_request;
  };

  bool SeatLeaseValid(Instant now) const { return now < m_seats.valid_until; }
  // Owned units that may be used now and are neither in use nor lent.
  int FreeOwned(const Resource& resource, Instant now) const;
  // Requests a unit from each other owner, at most once per interval.
  void RequestUnits(Resource* resource, Instant now);
  // Lends free units to the queued requests, oldest first.
  void ServeQueuedRequests(Resource* resource, Instant now);
  // Recalls one lent unit that has not been recalled yet.
  void RecallOneUnit(Resource* resource);
  void ReturnUnit(Resource* resource, const LoanKey& key);
  void TickBorrowed(Resource* resource, Instant now,
                    std::vector<UnitUse>* expired);
  void TickLent(Resource* resource, Instant now);

  const HostId m_self;
  Counters* const m_counters;
  SeatView m_seats;
  std::uint64_t m_next_id = 1;
  std::unordered_map<std::string, Resource> m_resources;
  std::vector<std::string> m_resources_to_retry;
  std::vector<AddressedShareMessage> m_outgoing;
};

}  // namespace tiller::limits
