// Exhaustive model check of the failover protocol on a small configuration: two
// hosts that run the production class Failover and three endpoints that run the
// group's production rules. It covers every order of deliveries, lost requests,
// lost answers, time-outs, writes, log shipping and restarts up to a limited
// depth.
#include <gtest/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "Common/clock.h"
#include "Common/names.h"
#include "Control/failover.h"
#include "StandIn/group_member.h"
#include "UnitTests/Support/fake_endpoint.h"

namespace tiller::control {
namespace {

constexpr int kHosts = 2;
constexpr int kEndpoints = 3;
// Number of choices for each call in flight, each host and each endpoint.
constexpr std::size_t kChoicesPerItem = 3;
constexpr std::size_t kHostChoices = std::size_t{kHosts} * kChoicesPerItem;
constexpr std::size_t kEndpointChoices =
    std::size_t{kEndpoints} * kChoicesPerItem;
constexpr int kMaxWrites = 2;
constexpr int kMaxAttemptsPerHost = 2;
constexpr int kMaxRestarts = 1;
constexpr std::size_t kMaxPullEntries = 16;

std::string EndpointName(int i) { return "e" + std::to_string(i); }

config::Config MakeConfig() {
  config::Config config;
  config.zones.push_back({"z", "r", false});
  config::Group group{"g", 1, 1, {}};
  for (int i = 0; i < kEndpoints; ++i) {
    group.endpoints.push_back(
        {EndpointName(i), "z", EndpointName(i) + ":1", false});
  }
  config.groups.push_back(group);
  return config;
}

struct HostModel {
  explicit HostModel(int index, const Clock* clock)
      : context(Options(index), clock, &random, &counters),
        members(&context),
        failover(&context, &members) {
    failover.Configure(MakeConfig());
  }
  static ControlOptions Options(int index) {
    ControlOptions options;
    options.host = "h" + std::to_string(index);
    return options;
  }
  SeededRandom random{1};
  Counters counters;
  ControlContext context;
  MemberTable members;
  Failover failover;
  int attempts = 0;
};

struct CallInFlight {
  int host = 0;
  CallGroup call;
};

// A write, acknowledged or not.
struct WriteRecord {
  Term term = 0;
  LogPosition position = 0;
  std::string payload;
};

// One state of the model, reached by a sequence of choices from the start.
class ModelState {
 public:
  ModelState() {
    for (int i = 0; i < kHosts; ++i) {
      m_hosts[static_cast<std::size_t>(i)] =
          std::make_unique<HostModel>(i, &m_clock);
    }
    for (int i = 0; i < kEndpoints; ++i) {
      m_endpoints.push_back(
          std::make_unique<standin::GroupMember>(EndpointName(i), kEndpoints));
    }
    m_pending_barrier.resize(kEndpoints, 0);
    // Term 1 with the first endpoint as primary, known to all endpoints and
    // hosts.
    for (int i = 0; i < kEndpoints; ++i) {
      EXPECT_TRUE(Endpoint(i).Fence(1, "boot"));
    }
    EXPECT_TRUE(Endpoint(0).Promote(1, "boot"));
    m_promoted[1].insert(0);
    for (int i = 1; i < kEndpoints; ++i) {
      EXPECT_TRUE(Endpoint(i).Follow(1, "boot", EndpointName(0) + ":1"));
      Pull(i);
    }
    for (int i = 0; i < kHosts; ++i) ReportStatuses(i);
  }

  // Number of choices in this state; Apply takes one of them.
  std::size_t Choices() const {
    return m_in_flight.size() * 3 + kHostChoices + kEndpointChoices;
  }
  // Returns false if the choice has no effect in this state.
  bool Apply(std::size_t choice);
  // Identifies equal states.
  std::string Fingerprint() const;
  const std::string& Violation() const { return m_violation; }

 private:
  standin::GroupMember& Endpoint(int i) {
    return *m_endpoints[static_cast<std::size_t>(i)];
  }
  HostModel& Host(int i) { return *m_hosts[static_cast<std::size_t>(i)]; }
  void CollectCalls(int host) {
    for (auto& action : Host(host).context.Take()) {
      if (auto* call = std::get_if<CallGroup>(&action)) {
        m_in_flight.push_back({host, std::move(*call)});
      }
    }
  }
  void ReportStatuses(int host) {
    for (int i = 0; i < kEndpoints; ++i) {
      Host(host).failover.Handle(
          traffic::EndpointStatusReport{EndpointName(i), StatusOf(i)});
    }
    CollectCalls(host);
  }
  endpoint::EndpointStatus StatusOf(int i) {
    const auto& state = Endpoint(i).State();
    endpoint::EndpointStatus status;
    status.role = Endpoint(i).Role();
    status.term = state.term;
    status.applied = status.received = Endpoint(i).Received();
    status.fence_term = state.fence_term;
    status.fence_owner = state.fence_owner;
    return status;
  }
  endpoint::StepResult Execute(int i, const endpoint::Step& step);
  bool Deliver(std::size_t index, bool lose_answer);
  // Returns false if the endpoint is not a primary or the limit of writes is
  // reached.
  bool Write(int i);
  // Pulls from the endpoint's primary and acknowledges the primary's writes
  // that a majority holds now. Returns false if there is no primary to pull
  // from, or if the pull failed and no write was acknowledged.
  bool Pull(int i);
  void CheckAcknowledged(int primary);
  // Records the promotion and checks that the term has no other primary and
  // that no acknowledged write is missing.
  void CheckPromotion(int i);

  ManualClock m_clock;
  std::array<std::unique_ptr<HostModel>, kHosts> m_hosts;
  std::vector<std::unique_ptr<standin::GroupMember>> m_endpoints;
  std::vector<CallInFlight> m_in_flight;
  // Writes appended and not yet acknowledged, by primary.
  std::map<int, std::vector<WriteRecord>> m_open_writes;
  std::vector<WriteRecord> m_acknowledged;
  std::map<Term, std::set<int>> m_promoted;
  // By primary: barrier of its newest write. An open write is acknowledged
  // once a majority has received it and the write.
  std::vector<std::uint64_t> m_pending_barrier;
  int m_writes = 0;
  int m_restarts = 0;
  std::string m_violation;
};

endpoint::StepResult ModelState::Execute(int i, const endpoint::Step& step) {
  const Term term = std::stoull(*step.parameters[0]);
  const auto& owner = *step.parameters[1];
  Result<void> changed = Success();
  if (step.sql == endpoint::kFenceSql) {
    changed = Endpoint(i).Fence(term, owner);
  } else if (step.sql == endpoint::kPromoteSql) {
    const bool was_primary = Endpoint(i).IsPrimary();
    changed = Endpoint(i).Promote(term, owner);
    if (changed && !was_primary) CheckPromotion(i);
  } else {
    changed = Endpoint(i).Follow(term, owner, *step.parameters[2]);
  }
  if (!changed) return {};
  const auto status = StatusOf(i);
  return test::MakeRowResult(
      {std::string(NameOf(endpoint::kRoleNames, status.role)),
       std::to_string(status.term), std::to_string(status.applied),
       std::to_string(status.received), std::to_string(status.fence_term),
       status.fence_owner, "0"});
}

void ModelState::CheckPromotion(int i) {
  const auto& state = Endpoint(i).State();
  auto& promoted = m_promoted[state.term];
  promoted.insert(i);
  if (promoted.size() > 1) m_violation = "two primaries in one term";
  CheckAcknowledged(i);
}

// Every acknowledged write is in the log of every primary of a later term.
void ModelState::CheckAcknowledged(int primary) {
  const auto& state = Endpoint(primary).State();
  for (const auto& write : m_acknowledged) {
    if (write.term >= state.term) continue;
    if (write.position > state.log.size() ||
        state.log[write.position - 1].payload != write.payload) {
      m_violation = "an acknowledged write is missing in a later term";
    }
  }
}

bool ModelState::Deliver(std::size_t index, bool lose_answer) {
  const auto item = m_in_flight[index];
  m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(index));
  const int target = item.call.endpoint[1] - '0';
  auto result = Execute(target, item.call.step);
  if (!lose_answer) {
    Host(item.host).failover.Handle(
        GroupCallDone{item.call.id, std::move(result)});
    CollectCalls(item.host);
  }
  return true;
}

bool ModelState::Write(int i) {
  if (!Endpoint(i).IsPrimary() || m_writes >= kMaxWrites) return false;
  const auto payload = "w" + std::to_string(++m_writes);
  const auto position = Endpoint(i).Append(payload);
  m_pending_barrier[static_cast<std::size_t>(i)] = Endpoint(i).StartBarrier();
  m_open_writes[i].push_back({Endpoint(i).State().term, position, payload});
  return true;
}

bool ModelState::Pull(int i) {
  auto& member = Endpoint(i);
  const auto& address = member.State().primary_address;
  if (member.IsPrimary() || address.empty()) return false;
  const int source = address[1] - '0';
  const auto before = member.State().log.size();
  const auto reply =
      Endpoint(source).HandlePull(member.MakePull(), kMaxPullEntries);
  if (reply) {
    const auto applied = member.ApplyPull(reply.value());
    if (!applied) return false;
    // The next pull request reports to the primary what has arrived.
    const auto progress_reply =
        Endpoint(source).HandlePull(member.MakePull(), kMaxPullEntries);
    if (!progress_reply) return false;
  }
  auto& open_writes = m_open_writes[source];
  const auto barrier = m_pending_barrier[static_cast<std::size_t>(source)];
  std::vector<WriteRecord> remaining;
  for (const auto& write : open_writes) {
    const bool same_term = Endpoint(source).State().term == write.term;
    if (!same_term || !Endpoint(source).IsConfirmed(write.position, barrier)) {
      remaining.push_back(write);
      continue;
    }
    m_acknowledged.push_back(write);
    for (int other = 0; other < kEndpoints; ++other) {
      if (Endpoint(other).IsPrimary()) CheckAcknowledged(other);
    }
  }
  const bool changed = remaining.size() != open_writes.size() ||
                       member.State().log.size() != before || reply.has_value();
  open_writes = std::move(remaining);
  return changed;
}

bool ModelState::Apply(std::size_t choice) {
  if (choice < m_in_flight.size() * 3) {
    const auto index = choice / 3;
    if (choice % 3 < 2) return Deliver(index, choice % 3 == 1);
    m_in_flight.erase(m_in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    return true;
  }
  choice -= m_in_flight.size() * 3;
  if (choice < kHostChoices) {
    const int host = static_cast<int>(choice / 3);
    if (choice % 3 == 0) {
      if (Host(host).attempts >= kMaxAttemptsPerHost) return false;
      ++Host(host).attempts;
      Host(host).failover.Promote(1, "g", std::nullopt);
      CollectCalls(host);
      return true;
    }
    if (choice % 3 == 1) {
      ReportStatuses(host);
      return true;
    }
    // Time passes, so that attempts time out or the extra wait for promises
    // ends.
    m_clock.Advance(Milliseconds(100));
    Host(host).failover.Tick();
    CollectCalls(host);
    return true;
  }
  choice -= kHostChoices;
  const int endpoint = static_cast<int>(choice / 3);
  if (choice % 3 == 0) return Write(endpoint);
  if (choice % 3 == 1) return Pull(endpoint);
  if (m_restarts >= kMaxRestarts) return false;
  ++m_restarts;
  Endpoint(endpoint).Restore(Endpoint(endpoint).State());
  m_open_writes.erase(endpoint);
  return true;
}

std::string ModelState::Fingerprint() const {
  std::string fingerprint;
  const auto add = [&fingerprint](const auto& value) {
    if constexpr (std::is_convertible_v<decltype(value), std::string>) {
      fingerprint += value;
    } else {
      fingerprint += std::to_string(value);
    }
    fingerprint += ',';
  };
  for (const auto& member : m_endpoints) {
    const auto& state = member->State();
    add(state.term);
    add(state.fence_term);
    add(state.fence_owner);
    add(state.followed_term);
    add(state.primary_address);
    add(state.primary ? 1 : 0);
    for (const auto& entry : state.log) add(entry.payload);
    add(static_cast<std::uint64_t>(member->MakePull().barrier));
  }
  for (const auto& host : m_hosts) {
    add(host->attempts);
    for (const auto& record : host->failover.Records()) {
      add(record.term);
      add(record.primary);
    }
    add(host->failover.Describe().toStyledString());
  }
  std::multiset<std::string> calls;
  for (const auto& item : m_in_flight) {
    calls.insert(std::to_string(item.host) + item.call.endpoint +
                 item.call.step.sql + *item.call.step.parameters[0]);
  }
  for (const auto& call : calls) add(call);
  for (const auto& write : m_acknowledged) add(write.payload);
  add(m_writes);
  add(m_restarts);
  add(static_cast<std::int64_t>(m_clock.Now().time_since_epoch().count()));
  return fingerprint;
}

// A state to start from, reached by named steps: "write0" and "pull1" name
// endpoints, "promote0" and "tick0" hosts, "deliver0" a call in flight.
struct StartState {
  const char* name;
  std::vector<std::string> steps;
  int depth;
};

std::size_t ChoiceOf(const ModelState& model, const std::string& step) {
  const auto index = static_cast<std::size_t>(step.back() - '0');
  const auto calls = model.Choices() - kHostChoices - kEndpointChoices;
  if (step.starts_with("deliver")) return index * 3;
  if (step.starts_with("promote")) return calls + index * 3;
  if (step.starts_with("tick")) return calls + index * 3 + 2;
  const auto endpoints = calls + kHostChoices;
  return endpoints + index * 3 + (step.starts_with("pull") ? 1 : 0);
}

ModelState ReplayPath(const StartState& start,
                      const std::vector<std::uint16_t>& path) {
  ModelState model;
  for (const auto& step : start.steps) model.Apply(ChoiceOf(model, step));
  for (const auto choice : path) model.Apply(choice);
  return model;
}

class FailoverModel : public testing::TestWithParam<StartState> {};

// Breadth-first search over the choices; each state is expanded once. Paths are
// replayed from the start state because the objects under test are not copied.
TEST_P(FailoverModel, InvariantsHoldInEveryStateUpToDepth) {
  std::vector<std::vector<std::uint16_t>> frontier = {{}};
  std::unordered_set<std::string> seen;
  for (int depth = 0; depth < GetParam().depth; ++depth) {
    std::vector<std::vector<std::uint16_t>> next;
    for (const auto& path : frontier) {
      const auto choices = ReplayPath(GetParam(), path).Choices();
      for (std::size_t choice = 0; choice < choices; ++choice) {
        auto model = ReplayPath(GetParam(), path);
        if (!model.Apply(choice)) continue;
        ASSERT_EQ(model.Violation(), "")
            << testing::PrintToString(path) << " then " << choice;
        if (!seen.insert(model.Fingerprint()).second) continue;
        auto extended_path = path;
        extended_path.push_back(static_cast<std::uint16_t>(choice));
        next.push_back(std::move(extended_path));
      }
    }
    frontier = std::move(next);
  }
  std::printf("%s: %zu states to depth %d\n", GetParam().name, seen.size(),
              GetParam().depth);
  EXPECT_GT(seen.size(), 500U);
}

INSTANTIATE_TEST_SUITE_P(
    StartStates, FailoverModel,
    testing::Values(
        StartState{"quiet", {}, 6},
        StartState{"write_held_by_one_replica", {"write0", "pull1"}, 5},
        StartState{"one_host_has_a_majority",
                   {"write0", "pull1", "promote0", "deliver1", "deliver1"},
                   5},
        StartState{"two_hosts_fence", {"write0", "promote0", "promote1"}, 4},
        StartState{"promoted_without_the_old_primary",
                   {"write0", "pull1", "promote0", "deliver1", "deliver1",
                    "tick0", "deliver1"},
                   5},
        StartState{"second_failover",
                   {"promote0", "deliver1", "deliver1", "tick0", "deliver1",
                    "write1", "promote1"},
                   4}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace tiller::control
