// Agreement of a majority of the seats on whether a lapsed lease still counts.
//
// While the platform is down no lease can be renewed, and yet nobody can take
// a seat either. A holder goes on while holders of a majority of the seats
// vouch for it. Whoever wants to take a seat whose lease has lapsed needs the
// consent of a majority first. Nobody consents while its own vouch runs, or
// vouches after it has consented; two majorities share a seat, and a seat has
// one holder, so both cannot be had at once.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Control/control_context.h"
#include "Control/member_table.h"

namespace tiller::control {

class SeatQuorum {
 public:
  SeatQuorum(ControlContext* context, const MemberTable* members)
      : m_context(context), m_members(members) {}

  // The last holder of a new seat may have voted with it, so a seat votes
  // only once it has been held for this long.
  static constexpr Milliseconds kNewSeatSilence{5'000};

  // Seats that exist, and those that vote through this host now.
  void Update(std::size_t seat_count, std::vector<int> votes) {
    m_seat_count = seat_count;
    m_votes = std::move(votes);
  }
  const std::vector<int>& Votes() const { return m_votes; }
  // True for more than half of all seats.
  bool IsMajority(const std::set<int>& seats) const {
    return seats.size() * 2 > m_seat_count;
  }

  // As a holder: asks for vouches when due.
  void AskForVouches();
  // End of the time for which a majority vouches; the epoch when none does.
  Instant VouchedUntil() const;

  // As a taker: asks for consents when due; true once a majority has given it.
  bool AskForConsent(const HostId& holder);

  void Handle(const HostId& from, const peer::SeatVouchRequest& message);
  void Handle(const HostId& from, const peer::SeatVouch& message);
  void Handle(const HostId& from, const peer::SeatTakeRequest& message);
  void Handle(const HostId& from, const peer::SeatTakeConsent& message);

 private:
  struct Vote {
    Instant asked;
    std::vector<int> seats;
  };
  struct Asked {
    HostId host;
    HostId holder;  // empty: a vouch for this host
    Instant sent;
  };
  std::string Remember(const HostId& host, const HostId& holder,
                       std::uint64_t* nonce);

  ControlContext* const m_context;
  const MemberTable* const m_members;
  std::size_t m_seat_count = 0;
  std::vector<int> m_votes;
  Instant m_next_vouch{};
  std::map<HostId, Instant> m_next_consent;
  std::map<std::uint64_t, Asked> m_asked;
  // Answers received.
  std::map<HostId, Vote> m_vouches;
  std::map<HostId, std::map<HostId, Vote>> m_consents;  // by holder
  // Promises given: until when this host vouches for, or is against, a holder.
  std::map<HostId, Instant> m_vouched_for;
  std::map<HostId, Instant> m_consented_against;
};

}  // namespace tiller::control
