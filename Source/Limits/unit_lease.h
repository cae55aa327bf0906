// Whole units of a fleet-wide limit, such as an endpoint's slots: each unit
// belongs to a seat, and its holder may lend it for a bounded time.
//
// Invariant, over all hosts: each unit is used by at most one host. The owner
// does not use a lent unit before its return, or before the loan's lifetime,
// counted from the grant and lengthened by the clocks' drift, has passed; the
// borrower counts the same lifetime from before its request.
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

struct UnitLimit {
  std::string resource;
  int units = 0;
  ZoneId zone;  // seats of this zone own the units, if there are any
};

// Where the unit came from that one statement uses.
struct UnitUse {
  std::string resource;
  HostId owner;  // of a borrowed unit; empty: an own one
  std::uint64_t loan_id = 0;
  std::uint64_t use_id = 0;
};

class UnitLease {
 public:
  UnitLease(HostId self, Counters* counters);

  void Update(const std::vector<UnitLimit>& limits, const SeatView& seats,
              Instant now);

  // Takes a unit for one statement; asks the owners when none is at hand.
  std::optional<UnitUse> TryAcquire(const std::string& resource, Instant now);
  void Release(const UnitUse& use, Instant now);

  void Handle(const HostId& from, const UnitRequest& message, Instant now);
  void Handle(const HostId& from, const UnitGrant& message, Instant now);
  void Handle(const HostId& from, const UnitReturn& message, Instant now);
  void Handle(const HostId& from, const UnitRecall& message, Instant now);

  // Renews, returns and expires loans. Reports uses whose loan has lapsed:
  // their statements have to be cut off.
  std::vector<UnitUse> Tick(Instant now);

  // Resources that may have a unit at hand since the last call.
  std::vector<std::string> TakeWoken();
  std::vector<AddressedShareMessage> TakeMessages();

  // For checks: units in use here, own and borrowed.
  int InUse(const std::string& resource) const;
  int OwnedUnits(const std::string& resource) const;

 private:
  struct Lent {
    HostId to;
    std::uint64_t request_id = 0;
    Instant until;
    bool recalled = false;
  };
  // Loan numbers are the owner's own: two owners may use the same one.
  using LoanKey = std::pair<HostId, std::uint64_t>;
  struct Borrowed {
    Instant until;
    Instant idle_since;
    bool in_use = false;
    bool recalled = false;
    bool renewing = false;
    std::uint64_t use_id = 0;
  };
  struct Asked {
    HostId owner;
    Instant sent;
    std::uint64_t renews = 0;
  };
  struct Waiting {
    HostId borrower;
    std::uint64_t request_id = 0;
    Instant since;
  };
  struct Resource {
    UnitLimit limit;
    std::vector<int> owners;  // seat of each unit
    int owned = 0;            // units of seats held by this host
    // Units of newly held seats may still be lent by their last holder: until
    // `owned_from` only `ready` of the owned ones count.
    int ready = 0;
    Instant owned_from{};
    int own_in_use = 0;
    // own_in_use + lent.size() <= owned, but for seats that were just lost.
    std::map<std::uint64_t, Lent> lent;
    std::map<LoanKey, Borrowed> borrowed;
    std::map<std::uint64_t, Asked> asked;
    std::deque<Waiting> waiting;
    std::optional<Instant> local_demand;
    std::map<HostId, Instant> next_ask;
  };

  bool Usable(Instant now) const { return now < m_seats.valid_until; }
  int FreeOwned(const Resource& resource, Instant now) const;
  void Ask(Resource* resource, Instant now);
  void ServeWaiting(Resource* resource, Instant now);
  void Recall(Resource* resource);
  void GiveBack(Resource* resource, const LoanKey& key);
  void TickBorrowed(Resource* resource, Instant now,
                    std::vector<UnitUse>* lapsed);
  void TickLent(Resource* resource, Instant now);

  const HostId m_self;
  Counters* const m_counters;
  SeatView m_seats;
  std::uint64_t m_next_id = 1;
  std::unordered_map<std::string, Resource> m_resources;
  std::vector<std::string> m_woken;
  std::vector<AddressedShareMessage> m_out;
};

}  // namespace tiller::limits
