// Tests of the token share. The property test checks its invariant: whichever
// messages are lost, delayed or duplicated, and whichever seats move, all hosts
// together never hold more than the burst, nor spend more than the burst plus
// the rate times the elapsed time.
#include "Limits/token_share.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "Common/clock.h"

namespace tiller::limits {
namespace {

constexpr double kRate = 50;
constexpr double kBurst = 20;
constexpr char kWorkspace[] = "w";
constexpr int kSkewedSeconds = 10;

// A message in flight.
struct SentMessage {
  HostId from;
  AddressedShareMessage message;
};

// Hosts with one seat each, and a simulated network whose deliveries, losses
// and duplicates the test controls.
class TokenShareCluster {
 public:
  explicit TokenShareCluster(int hosts, std::uint64_t seed = 7)
      : m_random(seed) {
    for (int i = 0; i < hosts; ++i) {
      m_hosts.push_back(
          std::make_unique<TokenShare>(Name(i), &m_random, &m_counters));
      m_held.push_back({i});
    }
    m_holders.resize(static_cast<std::size_t>(hosts));
    for (int i = 0; i < hosts; ++i) {
      m_holders[static_cast<std::size_t>(i)] = Name(i);
    }
    for (int i = 0; i < hosts; ++i) Update(i, std::chrono::hours(1));
  }
  static HostId Name(int i) { return "h" + std::to_string(i); }
  Instant Now() const { return m_clock.Now(); }
  ManualClock& Clock() { return m_clock; }
  TokenShare& Host(int i) { return *m_hosts[static_cast<std::size_t>(i)]; }
  int Count() const { return static_cast<int>(m_hosts.size()); }

  void Update(int i, Duration lease) {
    SeatView view;
    view.holders = m_holders;
    view.zones.resize(m_holders.size(), "z");
    view.held = m_held[static_cast<std::size_t>(i)];
    view.valid_until = Now() + lease;
    Host(i).Update({{kWorkspace, kRate, kBurst}}, view, Now());
  }
  // Moves the seats of one host to another.
  void MoveSeats(int from, int to) {
    auto& source = m_held[static_cast<std::size_t>(from)];
    auto& target = m_held[static_cast<std::size_t>(to)];
    for (const int seat : source) {
      m_holders[static_cast<std::size_t>(seat)] = Name(to);
    }
    target.insert(target.end(), source.begin(), source.end());
    source.clear();
    Update(from, std::chrono::hours(1));
    Update(to, std::chrono::hours(1));
  }
  // Moves the messages that the hosts have sent to the network.
  void Collect() {
    for (int i = 0; i < Count(); ++i) {
      for (auto& message : Host(i).TakeMessages()) {
        m_network.push_back({Name(i), std::move(message)});
      }
    }
  }
  // Delivers one message; with `keep`, it stays in the network as well.
  void Deliver(std::size_t index, bool keep) {
    Collect();
    if (m_network.empty()) return;
    const auto at = m_network.begin() +
                    static_cast<std::ptrdiff_t>(index % m_network.size());
    const SentMessage sent = *at;
    if (!keep) m_network.erase(at);
    const int to = std::stoi(sent.message.to.substr(1));
    if (const auto* request =
            std::get_if<TokenRequest>(&sent.message.message)) {
      Host(to).Handle(sent.from, *request, Now());
    } else if (const auto* grant =
                   std::get_if<TokenGrant>(&sent.message.message)) {
      Host(to).Handle(sent.from, *grant, Now());
    }
  }
  void DeliverAll() {
    for (int i = 0; i < 200; ++i) {
      Collect();
      if (m_network.empty()) return;
      Deliver(0, false);
    }
  }
  void Drop(std::size_t index) {
    Collect();
    if (m_network.empty()) return;
    m_network.erase(m_network.begin() +
                    static_cast<std::ptrdiff_t>(index % m_network.size()));
  }
  MicroTokens Total() {
    MicroTokens sum = 0;
    for (int i = 0; i < Count(); ++i) {
      sum += Host(i).Level(kWorkspace, Now()) +
             Host(i).InFlight(kWorkspace, Now());
    }
    return sum;
  }

 private:
  ManualClock m_clock;
  SeededRandom m_random;
  Counters m_counters;
  std::vector<std::unique_ptr<TokenShare>> m_hosts;
  std::vector<std::vector<int>> m_held;
  std::vector<HostId> m_holders;
  std::deque<SentMessage> m_network;
};

// Runs the operations that `steps` encode on four hosts. Returns the first
// violation of the invariant, or an empty string.
std::string RunSteps(const std::vector<int>& steps) {
  TokenShareCluster shares(4);
  const auto start = shares.Now();
  double spent = 0;
  for (const int step : steps) {
    const int host = step % 4;
    const auto index = static_cast<std::size_t>(step / 100);
    switch (step / 4 % 8) {
      case 0:
      case 1:
        if (shares.Host(host).TrySpend(kWorkspace, shares.Now())) ++spent;
        break;
      case 2:
        shares.Host(host).RequestFromPeers(kWorkspace, 10, shares.Now());
        break;
      case 3:
        shares.Deliver(index, false);
        break;
      case 4:
        shares.Deliver(index, true);  // a duplicate arrives later
        break;
      case 5:
        shares.Drop(index);
        break;
      case 6:
        shares.Clock().Advance(Milliseconds(step % 150));
        break;
      case 7:
        if (step % 5 == 0) shares.MoveSeats(host, (host + 1) % 4);
        break;
    }
    const double elapsed =
        std::chrono::duration<double>(shares.Now() - start).count();
    const auto total = shares.Total();
    if (total > static_cast<MicroTokens>(kBurst * kMicroPerToken)) {
      return "held " + std::to_string(total);
    }
    if (spent > kBurst + kRate * elapsed + 1e-6) {
      return "spent " + std::to_string(spent);
    }
  }
  return {};
}

TEST(TokenShare, NeverHoldsOrSpendsMoreThanBurstAndRate) {
  const bool held = rc::check(
      "sum of levels and flights <= burst; spent <= burst + rate * time", [] {
        const auto steps = *rc::gen::container<std::vector<int>>(
            200, rc::gen::inRange(0, 100'000));
        RC_ASSERT(RunSteps(steps) == "");
      });
  EXPECT_TRUE(held);
}

// A seat changes holders while tokens that it lent are in flight. If the new
// holder refilled the seat's bucket at once, the hosts would hold more than the
// burst. Shrunk case of the property test above, seed 14439297372636104179.
TEST(TokenShare, MovedSeatAddsNoTokensWhileItsLoansAreInFlight) {
  std::vector<int> steps(76, 0);
  const auto add = [&](std::size_t zeros, int step) {
    steps.insert(steps.end(), zeros, 0);
    steps.push_back(step);
  };
  add(0, 17820);
  add(13, 4777);
  add(11, 440);
  add(4, 3401);
  add(4, 19820);
  add(0, 830);
  add(20, 1451);
  add(9, 652);
  add(7, 1164);
  add(1, 5420);
  add(17, 140);
  add(5, 10552);
  add(3, 1356);
  add(16, 1708);
  EXPECT_EQ(RunSteps(steps), "");
}

// Returns the number of operations that one host admits in ten seconds, if all
// callers of the workspace use that host and request 0.9 of the rate.
int SpentUnderSkewedDemand(TokenShareCluster* shares, int host) {
  constexpr Milliseconds kStep{5};
  int spent = 0;
  for (int i = 0; i < kSkewedSeconds * 200; ++i) {
    shares->Clock().Advance(kStep);
    const double due = 0.9 * kRate * (i + 1) * 0.005;
    int waiting = 0;
    while (spent + waiting < static_cast<int>(due)) {
      if (!shares->Host(host).TrySpend(kWorkspace, shares->Now())) {
        ++waiting;
        continue;
      }
      ++spent;
    }
    shares->Host(host).RequestFromPeers(
        kWorkspace, static_cast<std::size_t>(waiting), shares->Now());
    shares->DeliverAll();
  }
  return spent;
}

TEST(TokenShare, SkewedDemandGetsTheWholeRate) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    TokenShareCluster shares(9, seed);
    EXPECT_GE(SpentUnderSkewedDemand(&shares, 0),
              static_cast<int>(0.9 * kRate * kSkewedSeconds) - 2)
        << "seed " << seed;
  }
}

// With more hosts than the burst can be divided among, most hold no home seat
// of the workspace and admit requests with borrowed tokens only.
TEST(TokenShare, HostWithoutASeatOfTheWorkspaceBorrows) {
  constexpr int kHosts = 30;
  for (int host = 0; host < kHosts; ++host) {
    TokenShareCluster shares(kHosts, 7);
    EXPECT_GE(SpentUnderSkewedDemand(&shares, host),
              static_cast<int>(0.9 * kRate * kSkewedSeconds) - 2)
        << "host " << host;
  }
}

TEST(TokenShare, ExpiredSeatLeaseSpendsNothing) {
  TokenShareCluster shares(2);
  shares.Update(0, Milliseconds(100));
  EXPECT_TRUE(shares.Clock().Now() < Instant::max());
  shares.Clock().Advance(std::chrono::seconds(5));
  EXPECT_FALSE(shares.Host(0).TrySpend(kWorkspace, shares.Now()));
  EXPECT_TRUE(shares.Host(1).TrySpend(kWorkspace, shares.Now()));
}

TEST(TokenShare, NewSeatStartsEmpty) {
  TokenShareCluster shares(2);
  shares.Clock().Advance(std::chrono::seconds(5));
  const auto before = shares.Host(1).Level(kWorkspace, shares.Now());
  shares.MoveSeats(0, 1);
  EXPECT_EQ(shares.Host(1).Level(kWorkspace, shares.Now()), before);
  EXPECT_EQ(shares.Host(0).Level(kWorkspace, shares.Now()), 0);
}

// Load pattern: all hosts restart under continuous load. Each host may spend
// its part of the restart allowance at once, and no more.
TEST(TokenShare, RestartedHostsStartWithTheirPartOfTheAllowance) {
  constexpr int kHosts = 5;
  constexpr double kAllowance = 30;
  ManualClock clock;
  SeededRandom random(1);
  Counters counters;
  double spent = 0;
  for (int i = 0; i < kHosts; ++i) {
    TokenShare share("h" + std::to_string(i), &random, &counters);
    SeatView view;
    view.holders.resize(kHosts);
    view.zones.resize(kHosts, "z");
    view.held = {i};
    view.valid_until = clock.Now() + std::chrono::hours(1);
    share.Update({{"w", 10, 100, kAllowance}}, view, clock.Now());
    while (share.TrySpend("w", clock.Now())) ++spent;
    // An update with the same seat adds no further allowance.
    share.Update({{"w", 10, 100, kAllowance}}, view, clock.Now());
    EXPECT_FALSE(share.TrySpend("w", clock.Now()));
  }
  EXPECT_GE(spent, kAllowance - kHosts);
  EXPECT_LE(spent, kAllowance);
}

// Load pattern: a limit is lowered below the workspace's load. Tokens earned
// before the change stay usable during the grace period, but not for later
// bursts.
TEST(TokenShare, TokensEarnedBeforeALimitWasLoweredStayUsableInGracePeriod) {
  ManualClock clock;
  SeededRandom random(1);
  Counters counters;
  TokenShare share("h0", &random, &counters);
  SeatView view;
  view.holders = {"h0"};
  view.zones = {"z"};
  view.held = {0};
  view.valid_until = clock.Now() + std::chrono::hours(1);
  const auto spend_all = [&] {
    int spent = 0;
    while (share.TrySpend("w", clock.Now())) ++spent;
    return spent;
  };
  for (const bool within_grace : {true, false}) {
    share.Update({{"w", 50, 50}}, view, clock.Now());
    clock.Advance(std::chrono::seconds(5));
    share.Update({{"w", 10, 10}}, view, clock.Now());
    clock.Advance(within_grace ? Milliseconds(10) : Milliseconds(2'600));
    EXPECT_EQ(spend_all(), within_grace ? 50 : 10);
  }
}

TEST(TokenShare, RemainingAllowanceIsGrantedOnce) {
  constexpr double kAllowance = 40;
  ManualClock clock;
  SeededRandom random(1);
  Counters counters;
  TokenShare share("h0", &random, &counters);
  SeatView view;
  view.holders = {"h0", "h1"};
  view.zones = {"z", "z"};
  view.held = {0};
  view.valid_until = clock.Now() + std::chrono::hours(1);
  int spent = 0;
  for (const double part : {0.5, 1.0, 1.0}) {
    view.restart_share = part;
    share.Update({{"w", 10, 100, kAllowance}}, view, clock.Now());
    while (share.TrySpend("w", clock.Now())) ++spent;
    EXPECT_EQ(spent, static_cast<int>(part * kAllowance / 2));
  }
}

}  // namespace
}  // namespace tiller::limits
