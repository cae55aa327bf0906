// This host's share of every workspace's rate and burst.
//
// Each workspace's rate R and burst B are divided over its home seats. A seat
// refills a bucket of B/M at R/M. Hosts move tokens between buckets on demand;
// the sender debits first. At every instant, over all hosts:
//   sum(levels) + sum(tokens in flight) <= B + A,
// so in any window of length W at most B + R*W + A tokens are spent, where A
// is the allowance of the seats that changed hands in the window. A lost
// message loses tokens; nothing else creates them.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/counters.h"
#include "Common/error.h"
#include "Common/random.h"
#include "Limits/seat_view.h"
#include "Limits/share_messages.h"

namespace tiller::limits {

struct RateLimit {
  WorkspaceId workspace;
  double rate = 0;   // tokens a second over all hosts
  double burst = 0;  // tokens
  // Tokens that hosts may spend beyond the burst, if all of them restart, so
  // that a restarted host need not refuse until its share has refilled.
  double restart_allowance = 0;
};

enum class TokenUse {
  kAny,
  // Only what the bucket holds beyond half of its capacity, which it does
  // while the workspace asks for less than its rate.
  kSurplus
};

class TokenShare {
 public:
  TokenShare(HostId self, Random* random, Counters* counters);

  // Adopts limits and seats. A seat that is new to this host starts with its
  // part of the restart allowance only, as far as the view says that it may be
  // used: its last holder may have spent its burst a moment ago.
  void Update(const std::vector<RateLimit>& limits, const SeatView& seats,
              Instant now);

  // Takes one token; false when none is there.
  bool TrySpend(const WorkspaceId& workspace, Instant now,
                TokenUse use = TokenUse::kAny);
  // Asks other hosts for tokens that `waiting` requests need.
  void Demand(const WorkspaceId& workspace, std::size_t waiting, Instant now);
  // Time until this host's own share refills by one token.
  Milliseconds RefillTime(const WorkspaceId& workspace) const;

  void Handle(const HostId& from, const TokenRequest& message, Instant now);
  // Returns the workspace whose level rose, if it did.
  std::optional<WorkspaceId> Handle(const HostId& from,
                                    const TokenGrant& message, Instant now);

  std::vector<AddressedShareMessage> TakeMessages();

  // For checks: what this host could spend now, and what it has in flight.
  MicroTokens Level(const WorkspaceId& workspace, Instant now);
  MicroTokens InFlight(const WorkspaceId& workspace, Instant now);
  // Tokens the whole fleet may hold: the sum of the caps of all home seats.
  MicroTokens Capacity(const WorkspaceId& workspace) const;

 private:
  // A grant whose arrival is not known yet.
  struct Reservation {
    HostId to;
    std::uint64_t request_id = 0;
    MicroTokens amount = 0;
    Instant until;
  };
  struct Asked {
    HostId host;
    Instant sent;
  };
  // Tokens beyond the bucket's capacity: borrowed ones that the lender still
  // has reserved, or earned before the limit was lowered.
  struct Loan {
    MicroTokens amount = 0;
    Instant until;
  };
  struct Peer {
    Instant next_ask{};
    Duration backoff{};
    std::vector<std::uint64_t> settled;
  };
  struct Bucket {
    RateLimit limit;
    std::vector<int> home;  // all home seats of the workspace
    std::vector<int> held;  // those held by this host
    MicroTokens level = 0;  // 0 <= level, level + reserved <= cap
    MicroTokens cap = 0;
    // Part of the cap that came with new seats and can't be used yet.
    MicroTokens new_cap = 0;
    Instant new_cap_until{};
    double refill_per_ns = 0;
    double remainder = 0;  // fraction of a micro token, in [0, 1)
    Instant refilled{};
    Instant last_spend{};
    std::vector<Reservation> reserved;
    std::vector<Loan> loans;
    std::map<std::uint64_t, Asked> asked;
    std::map<HostId, Peer> peers;
  };

  Bucket* Find(const WorkspaceId& workspace);
  void SetSeats(Bucket* bucket, const SeatView& seats,
                double restart_share_before, Instant now);
  void Refill(Bucket* bucket, Instant now) const;
  static MicroTokens Reserved(Bucket* bucket, Instant now);
  static MicroTokens Room(Bucket* bucket, Instant now);
  static MicroTokens Borrowed(Bucket* bucket, Instant now);
  void Shuffle(std::vector<HostId>* hosts);
  bool Usable(Instant now) const { return now < m_seats.valid_until; }

  const HostId m_self;
  Random* const m_random;
  Counters* const m_counters;
  SeatView m_seats;
  std::uint64_t m_next_request = 1;
  std::unordered_map<WorkspaceId, Bucket> m_buckets;
  std::vector<AddressedShareMessage> m_out;
};

}  // namespace tiller::limits
