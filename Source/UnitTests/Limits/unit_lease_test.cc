// Tests of the unit leases: each unit has at most one user at a time, even if
// messages are lost, delayed or duplicated.
#include "Limits/unit_lease.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <deque>
#include <memory>

#include "Common/clock.h"

namespace tiller::limits {
namespace {

constexpr int kHosts = 3;
constexpr int kUnits = 3;
constexpr char kResource[] = "e";

// Three hosts with one seat each, and a simulated network whose deliveries,
// losses and duplicates the test controls.
class UnitLeaseCluster {
 public:
  UnitLeaseCluster() {
    for (int i = 0; i < kHosts; ++i) {
      m_hosts.push_back(std::make_unique<UnitLease>(Name(i), &m_counters));
      SeatView view;
      for (int j = 0; j < kHosts; ++j) {
        view.holders.push_back(Name(j));
        view.zones.push_back("z" + std::to_string(j));
      }
      view.held = {i};
      view.valid_until = m_clock.Now() + std::chrono::hours(10);
      m_hosts.back()->Update({{kResource, kUnits, "z0"}}, view, m_clock.Now());
    }
    // The units of new seats become usable once loans by their previous holder
    // would have expired.
    m_clock.Advance(std::chrono::seconds(3));
  }
  static HostId Name(int i) { return "h" + std::to_string(i); }
  ManualClock& Clock() { return m_clock; }
  UnitLease& Host(int i) { return *m_hosts[static_cast<std::size_t>(i)]; }

  // Moves the messages that the hosts have sent to the network.
  void Collect() {
    for (int i = 0; i < kHosts; ++i) {
      for (auto& message : Host(i).TakeMessages()) {
        m_network.push_back({Name(i), std::move(message)});
      }
    }
  }
  // Delivers one message; with `keep`, it stays in the network as well, and
  // with `drop`, it is lost.
  void Deliver(std::size_t index, bool keep, bool drop) {
    Collect();
    if (m_network.empty()) return;
    const auto at = m_network.begin() +
                    static_cast<std::ptrdiff_t>(index % m_network.size());
    const auto from = at->first;
    const auto message = at->second;
    if (!keep) m_network.erase(at);
    if (drop) return;
    const int to = std::stoi(message.to.substr(1));
    std::visit(
        [&](const auto& kind) {
          using Kind = std::decay_t<decltype(kind)>;
          if constexpr (!std::is_same_v<Kind, TokenRequest> &&
                        !std::is_same_v<Kind, TokenGrant>) {
            Host(to).Handle(from, kind, m_clock.Now());
          }
        },
        message.message);
  }
  void DeliverAll() {
    for (int i = 0; i < 100; ++i) {
      Collect();
      if (m_network.empty()) return;
      Deliver(0, false, false);
    }
  }

 private:
  ManualClock m_clock;
  Counters m_counters;
  std::vector<std::unique_ptr<UnitLease>> m_hosts;
  std::deque<std::pair<HostId, AddressedShareMessage>> m_network;
};

TEST(UnitLease, NeverMoreUsesThanUnits) {
  const bool held = rc::check("uses over all hosts <= units", [] {
    UnitLeaseCluster leases;
    std::vector<std::vector<UnitUse>> uses(kHosts);
    const auto steps = *rc::gen::container<std::vector<int>>(
        150, rc::gen::inRange(0, 100'000));
    for (const int step : steps) {
      const int host = step % kHosts;
      auto& host_uses = uses[static_cast<std::size_t>(host)];
      const auto index = static_cast<std::size_t>(step / 100);
      switch (step / kHosts % 7) {
        case 0:
        case 1:
          if (auto use = leases.Host(host).TryAcquire(kResource,
                                                      leases.Clock().Now())) {
            host_uses.push_back(*use);
          }
          break;
        case 2:
          if (!host_uses.empty()) {
            leases.Host(host).Release(host_uses.back(), leases.Clock().Now());
            host_uses.pop_back();
          }
          break;
        case 3:
          leases.Deliver(index, false, false);
          break;
        case 4:
          leases.Deliver(index, true, false);
          break;
        case 5:
          leases.Deliver(index, false, true);
          break;
        case 6:
          leases.Clock().Advance(Milliseconds(step % 700));
          break;
      }
      // A statement whose loan has expired is aborted at the next Tick, which
      // each host runs before any other operation.
      for (int i = 0; i < kHosts; ++i) {
        auto& tick_uses = uses[static_cast<std::size_t>(i)];
        for (const auto& expired : leases.Host(i).Tick(leases.Clock().Now())) {
          std::erase_if(tick_uses, [&](const auto& use) {
            return use.use_id == expired.use_id;
          });
        }
      }
      std::size_t total = 0;
      for (const auto& active : uses) total += active.size();
      RC_ASSERT(total <= static_cast<std::size_t>(kUnits));
    }
  });
  EXPECT_TRUE(held);
}

TEST(UnitLease, OneHostCanUseAllUnitsWhenOthersAreIdle) {
  UnitLeaseCluster leases;
  std::vector<UnitUse> uses;
  for (int i = 0; i < 20 && uses.size() < kUnits; ++i) {
    if (auto use = leases.Host(1).TryAcquire(kResource, leases.Clock().Now())) {
      uses.push_back(*use);
    }
    leases.DeliverAll();
    leases.Clock().Advance(Milliseconds(5));
  }
  EXPECT_EQ(uses.size(), static_cast<std::size_t>(kUnits));
}

TEST(UnitLease, OwnerRegainsAnIdleUnitSoon) {
  UnitLeaseCluster leases;
  int owner = -1;
  for (int i = 0; i < kHosts; ++i) {
    if (leases.Host(i).OwnedUnits(kResource) > 0) owner = i;
  }
  ASSERT_GE(owner, 0);
  const int borrower = (owner + 1) % kHosts;
  std::vector<UnitUse> taken;
  for (int i = 0; i < 20; ++i) {
    if (auto use =
            leases.Host(borrower).TryAcquire(kResource, leases.Clock().Now())) {
      taken.push_back(*use);
    }
    leases.DeliverAll();
    leases.Clock().Advance(Milliseconds(5));
  }
  for (const auto& use : taken) {
    leases.Host(borrower).Release(use, leases.Clock().Now());
  }
  std::optional<UnitUse> owner_use;
  int rounds = 0;
  for (; rounds < 20 && !owner_use; ++rounds) {
    owner_use = leases.Host(owner).TryAcquire(kResource, leases.Clock().Now());
    leases.DeliverAll();
    leases.Clock().Advance(Milliseconds(5));
  }
  EXPECT_TRUE(owner_use.has_value());
}

}  // namespace
}  // namespace tiller::limits
