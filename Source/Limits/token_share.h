// This host's share of every workspace's rate and burst.
//
// Each workspace's rate R and burst B are divided over its M home seats. Each
// home seat refills a token bucket of capacity B/M at rate R/M. Hosts transfer
// tokens between buckets on demand; the sender debits its bucket before it
// sends the grant. At every instant, over all hosts:
//   sum(levels) + sum(tokens in flight) <= B + A,
// so in any window of length W at most B + R*W + A tokens are spent, where A
// is the restart allowance of the seats that changed holders in the window. A
// lost message loses its tokens; tokens are created only by refills and by the
// allowance.
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
#include "Limits/event_rate.h"
#include "Limits/seat_view.h"
#include "Limits/share_messages.h"

namespace tiller::limits {

struct RateLimit {
  WorkspaceId workspace;
  double rate = 0;   // tokens per second over all hosts
  double burst = 0;  // tokens over all hosts
  // Tokens that may be spent beyond the burst, over all hosts, if all of them
  // restart. With it, a restarted host need not refuse requests until its share
  // has refilled.
  double restart_allowance = 0;
};

// Which tokens TrySpend may take.
enum class TokenUse {
  kAny,
  // Only tokens above half of the bucket's capacity. The bucket holds as many
  // while the workspace requests less than its rate.
  kSurplus
};

// The buckets of all workspaces on this host, and the exchange of tokens with
// other hosts. The caller delivers the messages of TakeMessages.
class TokenShare {
 public:
  TokenShare(HostId self, Random* random, Counters* counters);

  // Applies new limits and seats. A seat that is new to this host starts with
  // its part of the restart allowance only, scaled by the view's
  // `restart_share`: its previous holder may just have spent the burst.
  void Update(const std::vector<RateLimit>& limits, const SeatView& seats,
              Instant now);

  // Takes one token; returns false if none is available or the lease on the
  // seats has expired.
  bool TrySpend(const WorkspaceId& workspace, Instant now,
                TokenUse use = TokenUse::kAny);
  // Requests the tokens that `waiting` queued requests still need from other
  // hosts, and those that this host will need in the lifetime of a grant by its
  // recent spending. To be called again while requests wait: hosts that have no
  // tokens or do not answer are skipped then.
  void RequestFromPeers(const WorkspaceId& workspace, std::size_t waiting,
                        Instant now);
  // Time in which the workspace's rate over all hosts yields one token, rounded
  // up to whole milliseconds; 1 s if the workspace or its rate is not known.
  Milliseconds TokenInterval(const WorkspaceId& workspace) const;

  // Lends tokens to another host, or refuses with a grant of 0.
  void Handle(const HostId& from, const TokenRequest& message, Instant now);
  // Credits tokens that were lent to this host. Returns the workspace if it has
  // more tokens now.
  std::optional<WorkspaceId> Handle(const HostId& from,
                                    const TokenGrant& message, Instant now);

  // Returns and clears the messages to be sent.
  std::vector<AddressedShareMessage> TakeMessages();

  // For tests: the bucket's level on this host, and the tokens that it has lent
  // and still reserves.
  MicroTokens Level(const WorkspaceId& workspace, Instant now);
  MicroTokens InFlight(const WorkspaceId& workspace, Instant now);
  // Tokens that all hosts together may hold: the sum of the capacities of all
  // home seats.
  MicroTokens Capacity(const WorkspaceId& workspace) const;
  // The seats that share the workspace's limit, which must be known.
  const std::vector<int>& HomeSeats(const WorkspaceId& workspace) const {
    return m_buckets.at(workspace).home_seats;
  }

 private:
  // A grant by this host that the borrower has not listed as settled yet. It
  // reduces the level that the bucket may reach until it expires.
  struct Reservation {
    HostId to;
    std::uint64_t request_id = 0;
    MicroTokens amount = 0;
    Instant expires_at;
  };
  // A token request by this host that has not been answered yet.
  struct PendingRequest {
    HostId host;
    Instant sent;
    MicroTokens wanted = 0;
  };
  // Tokens beyond the bucket's capacity: either borrowed while the lender still
  // reserves them, or earned before the limit was lowered.
  struct ExtraTokens {
    MicroTokens amount = 0;
    Instant expires_at;
    // The lender and its grant; empty if the tokens were not borrowed.
    HostId lender;
    std::uint64_t request_id = 0;
  };
  // State of the requests to another host for tokens of one workspace.
  struct Peer {
    Instant next_request{};
    Duration backoff{};
    // Grants that the next request to the host reports: their tokens are in
    // this host's bucket or spent.
    std::vector<std::uint64_t> settled;
  };
  struct Bucket {
    RateLimit limit;
    std::vector<int> home_seats;  // all seats that share the limit
    // Value of m_counted_version when the home seats were ranked.
    std::uint64_t ranked_from = 0;
    std::vector<int> held;  // home seats held by this host
    MicroTokens level = 0;  // 0 <= level, level + reserved <= cap
    MicroTokens cap = 0;
    // Part of the cap that new seats added and that is withheld until
    // `withheld_until`: tokens lent by the seats' previous holder may still be
    // in flight.
    MicroTokens withheld_cap = 0;
    Instant withheld_until{};
    double refill_per_ns = 0;
    double remainder = 0;  // fraction of a micro-token, in [0, 1)
    Instant last_refill{};
    Instant last_spend{};
    std::vector<Reservation> reserved;
    std::vector<ExtraTokens> extra_tokens;
    std::map<std::uint64_t, PendingRequest> pending_requests;
    EventRate spends;
    EventRate requests;  // of other hosts
    std::map<HostId, Peer> peers;
  };

  Bucket* Find(const WorkspaceId& workspace);
  void SetCounted(std::vector<int> counted);
  // Returns the first `count` counted seats of the bucket's ranking.
  std::vector<int> RankHomes(const Bucket& bucket, std::size_t count) const;
  void SetSeats(Bucket* bucket, const SeatView& seats,
                double restart_share_before, Instant now);
  void Refill(Bucket* bucket, Instant now) const;
  // Drops expired reservations and returns the sum of the others.
  static MicroTokens ReservedTotal(Bucket* bucket, Instant now);
  // Highest level that the bucket may have now.
  static MicroTokens MaxLevel(Bucket* bucket, Instant now);
  // Drops expired and spent extra tokens and returns the sum of the others.
  static MicroTokens ExtraTotal(Bucket* bucket, Instant now);
  static void ReportSettled(Peer* peer, std::uint64_t request_id);
  void Shuffle(std::vector<HostId>* hosts);
  bool SeatLeaseValid(Instant now) const { return now < m_seats.valid_until; }

  const HostId m_self;
  Random* const m_random;
  Counters* const m_counters;
  SeatView m_seats;
  // The counted seats in ascending order, and the number of times they have
  // changed.
  std::vector<int> m_counted;
  std::uint64_t m_counted_version = 0;
  // Seats that the last change added and removed.
  std::vector<int> m_counted_added;
  std::vector<int> m_counted_removed;
  std::uint64_t m_next_request_id = 1;
  std::unordered_map<WorkspaceId, Bucket> m_buckets;
  // Hosts that left a request of any workspace unanswered; bounded by the
  // number of holders of seats.
  std::map<HostId, Instant> m_unanswered_until;
  std::vector<AddressedShareMessage> m_outgoing;
};

}  // namespace tiller::limits
