// Majority votes of the seats on whether a lease is still valid that could not
// be renewed in the table.
//
// While the platform is down, no lease can be renewed and no seat can be taken.
// A holder may keep using its seat while holders of a majority of the seats
// vouch for it. A host that wants to take a seat with an expired lease first
// needs the consent of a majority. A host does not consent while its own vouch
// for the holder is valid, and does not vouch for a while after it has
// consented. Two majorities have at least one seat in common, and a seat has
// one holder, so a majority cannot vouch and another consent at the same time.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Control/control_context.h"
#include "Control/member_table.h"

namespace tiller::control {

// A vouch promises the holder not to help another host to take its seats for a
// limited time. A consent allows the requester to take the seats of a holder.
class SeatQuorum {
 public:
  SeatQuorum(ControlContext* context, const MemberTable* members)
      : m_context(context), m_members(members) {}

  // A newly acquired seat does not vote for this long, since its previous
  // holder may have voted with it.
  static constexpr Milliseconds kNewSeatVotingDelay{5'000};

  // Sets the number of seats, and the seats that this host votes for now.
  void Update(std::size_t seat_count, std::vector<int> voting_seats) {
    m_seat_count = seat_count;
    m_voting_seats = std::move(voting_seats);
  }
  const std::vector<int>& VotingSeats() const { return m_voting_seats; }
  // True for more than half of all seats.
  bool IsMajority(const std::set<int>& seats) const {
    return seats.size() * 2 > m_seat_count;
  }

  // As a holder: requests vouches from the other holders when due.
  void RequestVouches();
  // Until when a majority vouches for this host; Instant{} without a majority.
  Instant VouchedUntil() const;

  // As a host that wants to take the holder's seat: requests consents when due,
  // counts those received and this host's own, and returns whether a majority
  // has consented.
  bool ObtainConsent(const HostId& holder);

  void Handle(const HostId& from, const peer::SeatVouchRequest& message);
  void Handle(const HostId& from, const peer::SeatVouch& message);
  void Handle(const HostId& from, const peer::SeatTakeRequest& message);
  void Handle(const HostId& from, const peer::SeatTakeConsent& message);

 private:
  // The seats of one host's answer, and when the request for it was sent.
  struct Vote {
    Instant request_sent;
    std::vector<int> seats;
  };
  struct PendingRequest {
    HostId host;
    HostId holder;  // whose seat is to be taken; empty in a vouch request
    Instant sent;
  };
  // Adds a pending request, sets its nonce and returns the address of `host`.
  std::string RegisterRequest(const HostId& host, const HostId& holder,
                              std::uint64_t* nonce);

  ControlContext* const m_context;
  const MemberTable* const m_members;
  std::size_t m_seat_count = 0;
  std::vector<int> m_voting_seats;
  Instant m_next_vouch{};
  std::map<HostId, Instant> m_next_consent;
  std::map<std::uint64_t, PendingRequest> m_pending;
  // Answers received.
  std::map<HostId, Vote> m_vouches;
  std::map<HostId, std::map<HostId, Vote>> m_consents;  // by holder
  // Votes given: until when this host vouches for a holder, and until when it
  // does not vouch for a holder because it has consented to taking its seats.
  std::map<HostId, Instant> m_vouched_until;
  std::map<HostId, Instant> m_consented_until;
};

}  // namespace tiller::control
