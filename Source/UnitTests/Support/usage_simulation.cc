// Implementation of the usage simulation.
#include "UnitTests/Support/usage_simulation.h"

#include <algorithm>
#include <cmath>

#include "Common/json.h"
#include "Common/overloaded.h"

namespace tiller::metering {
namespace {

constexpr Milliseconds kStep{50};
// The store's clock started at some time of its own, and the fake clock's zero
// is this time of day.
constexpr Milliseconds kStoreClockStart{777'000};
constexpr Milliseconds kTimeOfDay{1'767'225'600'123};
constexpr Milliseconds kTurnTime{3'000};
constexpr std::size_t kWorkspaces = 5;
constexpr int kReadTimeoutMs = 1'200;
constexpr int kReportTimeoutMs = 500;

UsageSettings Settings() {
  UsageSettings settings;
  settings.duty = "report";
  settings.duties = "other,report";
  settings.window_s = 5;
  settings.deadline_s = 10;
  return settings;
}

}  // namespace

struct UsageSimulation::Host final : public Clock, public FleetView {
  Instant Now() const override { return owner->Now(); }
  WallTime WallNow() const override {
    const auto true_time = std::chrono::duration_cast<Milliseconds>(
                               owner->Now().time_since_epoch()) +
                           kTimeOfDay;
    return WallTime(true_time + clock_error);
  }
  std::vector<fleet::FleetHost> Peers() const override {
    std::vector<fleet::FleetHost> peers;
    for (std::size_t i = 0; i < owner->m_hosts.size(); ++i) {
      if (i == index) continue;
      peers.push_back({"h" + std::to_string(i), std::to_string(i), "z"});
    }
    return peers;
  }
  std::optional<Milliseconds> StoreTime() const override {
    if (!knows_store) return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(
               owner->Now().time_since_epoch()) +
           kStoreClockStart + Milliseconds(3);
  }

  UsageSimulation* owner = nullptr;
  std::size_t index = 0;
  bool frozen = false;
  bool cut_peers = false;
  bool cut_platform = false;
  bool draining = false;
  bool knows_store = false;
  Milliseconds clock_error{0};
  std::uint64_t process = 0;
  std::unique_ptr<SeededRandom> random;
  Counters counters;
  std::unique_ptr<UsageReporter> reporter;
  OperationCounts operations;
  fleet::CallId next_call = 1;
  fleet::StoreEra era = 0;
  double due = 0;
  std::vector<std::function<void(UsageReporter*)>> inbox;
};

UsageSimulation::UsageSimulation(std::size_t hosts, std::uint64_t seed)
    : m_random(seed) {
  for (std::size_t i = 0; i < hosts; ++i) {
    m_hosts.push_back(std::make_unique<Host>());
    Of(i).owner = this;
    Of(i).index = i;
  }
}

UsageSimulation::~UsageSimulation() = default;

bool UsageSimulation::Running(std::size_t host) const {
  return m_hosts[host]->reporter != nullptr;
}

void UsageSimulation::SetFrozen(std::size_t host, bool frozen) {
  Of(host).frozen = frozen;
}

void UsageSimulation::SetCutFromPeers(std::size_t host, bool cut) {
  Of(host).cut_peers = cut;
}

void UsageSimulation::SetCutFromPlatform(std::size_t host, bool cut) {
  Of(host).cut_platform = cut;
}

void UsageSimulation::SetClockError(std::size_t host, Milliseconds error) {
  Of(host).clock_error = error;
}

void UsageSimulation::Start(std::size_t host) {
  auto& self = Of(host);
  self.process = m_next_process++;
  m_process_hosts[self.process] = host;
  self.random = std::make_unique<SeededRandom>(m_random.Next());
  self.draining = false;
  self.frozen = false;
  self.era = 0;
  self.inbox.clear();
  self.operations.Take();
  self.reporter = std::make_unique<UsageReporter>(
      "h" + std::to_string(host), Settings(), &self, &self, self.random.get(),
      &self.counters);
}

void UsageSimulation::Kill(std::size_t host) {
  Of(host).reporter.reset();
  Of(host).knows_store = false;
}

void UsageSimulation::Drain(std::size_t host) {
  auto& self = Of(host);
  if (!self.reporter || self.draining) return;
  self.draining = true;
  self.reporter->Handle(fleet::Stopping{false});
  After(Milliseconds(3'500), [this, host, process = self.process] {
    auto& stopping = Of(host);
    if (stopping.process != process || !stopping.reporter) return;
    stopping.reporter->Handle(stopping.operations.Take());
    stopping.reporter->Handle(fleet::Stopping{true});
    for (const auto& action :
         stopping.reporter->TakeActions(&stopping.next_call)) {
      Perform(host, action);
    }
    Kill(host);
  });
}

void UsageSimulation::After(Duration delay, std::function<void()> task) {
  m_tasks.emplace(Now() + delay, std::move(task));
}

void UsageSimulation::Deliver(std::size_t host, std::uint64_t process,
                              std::function<void(UsageReporter*)> event) {
  auto& self = Of(host);
  if (self.process != process || !self.reporter) return;
  if (self.frozen) {
    self.inbox.push_back(std::move(event));
    return;
  }
  event(self.reporter.get());
}

void UsageSimulation::Run(Duration time) {
  const auto end = Now() + time;
  while (Now() < end) {
    m_copies.emplace_back(Now(), m_row);
    if (m_copies.size() > 1'200) m_copies.erase(m_copies.begin());
    for (std::size_t i = 0; i < m_hosts.size(); ++i) Step(i);
    const auto next = Now() + kStep;
    while (!m_tasks.empty() && m_tasks.begin()->first <= next) {
      const auto at = m_tasks.begin()->first;
      const auto task = std::move(m_tasks.begin()->second);
      m_tasks.erase(m_tasks.begin());
      if (at > Now()) m_clock.Advance(at - Now());
      task();
    }
    if (next > Now()) m_clock.Advance(next - Now());
  }
}

void UsageSimulation::Step(std::size_t host) {
  auto& self = Of(host);
  if (!self.reporter || self.frozen) return;
  for (auto& event : std::exchange(self.inbox, {})) event(self.reporter.get());
  const bool reaches_store = !m_store_down && !self.cut_platform;
  if (reaches_store) {
    self.knows_store = true;
    if (self.era != m_era) {
      self.era = m_era;
      self.reporter->ObserveEra(m_era);
    }
  }
  Operate(host);
  self.reporter->Handle(self.operations.Take());
  self.reporter->Tick();
  for (const auto& action : self.reporter->TakeActions(&self.next_call)) {
    Perform(host, action);
  }
}

void UsageSimulation::Operate(std::size_t host) {
  auto& self = Of(host);
  self.due += m_load * std::chrono::duration<double>(kStep).count() *
              static_cast<double>(m_random.UniformBelow(200)) / 100;
  const auto time =
      std::chrono::duration_cast<Milliseconds>(Now().time_since_epoch()) +
      kTimeOfDay;
  const auto window = static_cast<WindowNumber>(time / kWindow);
  for (; self.due >= 1; self.due -= 1) {
    // Workspaces of different size.
    const auto workspace =
        "w" + std::to_string(std::min(m_random.UniformBelow(kWorkspaces),
                                      m_random.UniformBelow(kWorkspaces)));
    OperationMark mark;
    self.operations.Begin(workspace, Now(), false, &mark);
    const bool refused = Happens(0.05);
    if (!refused) ++m_truth[window][workspace];
    self.operations.End(workspace, !refused, &mark);
  }
}

void UsageSimulation::Perform(std::size_t host, const fleet::Action& action) {
  std::visit(
      Overloaded{
          [&](const fleet::ReadTable&) { Read(host); },
          [&](const fleet::WriteRow& write) { Write(host, write); },
          [&](const fleet::ReportUsage& report) { Report(host, report); },
          [&](const fleet::SendPeer& message) { Send(host, message); },
          [](const auto&) {}},
      action);
}

void UsageSimulation::Read(std::size_t host) {
  const auto process = Of(host).process;
  After(Latency(), [this, host, process] {
    fleet::TableRead answer;
    answer.table = kUsageTable;
    const bool lost = Happens(m_lost_answers);
    if (!m_store_down && !Of(host).cut_platform && !lost) {
      answer.status = fleet::StoreStatus::kDone;
      answer.era = m_era;
      answer.version = {m_era, m_version};
      answer.now =
          std::chrono::duration_cast<Milliseconds>(Now().time_since_epoch()) +
          kStoreClockStart;
      if (m_row) {
        answer.rows.push_back(
            {kUsageKey, m_row->value, {m_era, m_row->version}, false});
      }
    }
    const bool answered = answer.status == fleet::StoreStatus::kDone;
    After(answered ? Latency() : Milliseconds(kReadTimeoutMs),
          [this, host, process, answer] {
            Deliver(host, process, [this, host, answer](UsageReporter* to) {
              auto event = answer;
              if (event.era != Of(host).era) {
                event.status = fleet::StoreStatus::kUnknown;
              }
              to->Handle(event);
            });
          });
  });
}

void UsageSimulation::Write(std::size_t host, const fleet::WriteRow& action) {
  const auto process = Of(host).process;
  ++m_writes;
  // Some writes arrive late.
  const auto delay =
      Happens(m_lost_answers) ? Milliseconds(900) : Milliseconds{0};
  After(Latency() + delay, [this, host, process, action] {
    fleet::RowWritten answer;
    answer.call = action.call;
    answer.expected = action.expected;
    const bool reached = !m_store_down && !Of(host).cut_platform;
    if (reached) {
      answer.era = m_era;
      const auto version = m_row ? m_row->version : 0;
      if (version == action.expected.number) {
        m_row = Row{action.value, ++m_version};
        answer.status = fleet::StoreStatus::kDone;
        answer.version = {m_era, m_version};
        if (action.expected.era != m_era) {
          answer.status = fleet::StoreStatus::kUnknown;
        }
      } else {
        answer.status = fleet::StoreStatus::kConflict;
      }
      answer.now =
          std::chrono::duration_cast<Milliseconds>(Now().time_since_epoch()) +
          kStoreClockStart;
    }
    const bool lost = !reached || Happens(m_lost_answers);
    if (lost) answer.status = fleet::StoreStatus::kUnknown;
    After(lost ? Milliseconds(kReadTimeoutMs) : Latency(),
          [this, host, process, answer] {
            Deliver(host, process, [this, host, answer](UsageReporter* to) {
              auto event = answer;
              if (event.era != Of(host).era) {
                event.status = fleet::StoreStatus::kUnknown;
              }
              if (to->OwnsCall(event.call)) to->Handle(event);
            });
          });
  });
}

void UsageSimulation::Report(std::size_t host,
                             const fleet::ReportUsage& action) {
  const auto process = Of(host).process;
  After(Latency(), [this, host, process, action] {
    fleet::UsageAnswered answer{action.call, fleet::PromoteStatus::kUnknown};
    const bool reached = !Of(host).cut_platform;
    bool answered = false;
    if (reached && Happens(m_refused_reports)) {
      answer.status = fleet::PromoteStatus::kNotRun;
      answered = true;
    } else if (reached && m_report_delay > Duration{}) {
      After(m_report_delay,
            [this, host, process, action] { Execute(host, process, action); });
    } else if (reached) {
      const auto status = Execute(host, process, action);
      answered = !Happens(m_lost_answers);
      answer.status = status == 200 ? fleet::PromoteStatus::kDone
                                    : fleet::PromoteStatus::kFenced;
    }
    if (!answered) answer.status = fleet::PromoteStatus::kUnknown;
    After(answered ? Latency() : Milliseconds(kReportTimeoutMs),
          [this, host, process, answer] {
            Deliver(host, process,
                    [answer](UsageReporter* to) { to->Handle(answer); });
          });
  });
}

int UsageSimulation::Execute(std::size_t host, std::uint64_t process,
                             const fleet::ReportUsage& action) {
  const auto who = "h" + std::to_string(host) + "/" + std::to_string(process);
  const auto token = action.fencing_token;
  const auto owner = m_token_processes.try_emplace(token, process).first;
  if (owner->second != process) {
    m_violations.push_back(who + " uses token " + std::to_string(token) +
                           " of another process");
  }
  if (token < m_highest_token) return 409;
  m_highest_token = token;
  const auto [text, first] = m_texts.try_emplace(action.window, action.counts);
  if (text->second != action.counts) {
    m_violations.push_back(who + " reports window " +
                           std::to_string(action.window) + " as " +
                           action.counts + ", was " + text->second);
  }
  const auto time =
      std::chrono::duration_cast<Milliseconds>(Now().time_since_epoch()) +
      kTimeOfDay;
  if (first) {
    m_accepted[action.window] =
        time - kWindow * static_cast<int>(action.window + 1);
  }
  // Whether another process has acted since this one acted last.
  for (auto it = m_acts.rbegin(); it != m_acts.rend(); ++it) {
    if (it->second != process) continue;
    const bool in_turns =
        it != m_acts.rbegin() && Now() - it->first < kTurnTime;
    if (in_turns) m_violations.push_back(who + " takes turns with another");
    break;
  }
  m_acts.emplace_back(Now(), process);
  return 200;
}

void UsageSimulation::Send(std::size_t host, const fleet::SendPeer& action) {
  ++m_messages;
  const auto target = static_cast<std::size_t>(std::stoul(action.address));
  const peer::Envelope envelope{"h" + std::to_string(host),
                                std::to_string(host), action.message};
  const bool cut = Of(host).cut_peers || Of(target).cut_peers;
  if (cut || Happens(m_lost_answers)) return;
  // Messages overtake each other.
  const auto process = Of(target).process;
  After(Latency() + Milliseconds(m_random.UniformBelow(60)), [this, target,
                                                              process,
                                                              envelope] {
    Deliver(target, process, [envelope](UsageReporter* to) {
      if (const auto* counts = std::get_if<UsageCounts>(&envelope.message)) {
        to->Handle(envelope, *counts);
      }
      if (const auto* holder = std::get_if<UsageHolder>(&envelope.message)) {
        to->Handle(envelope, *holder);
      }
    });
  });
}

void UsageSimulation::RestoreStore(Duration age) {
  const auto since = Now() - age;
  const auto copy =
      std::find_if(m_copies.begin(), m_copies.end(),
                   [&](const auto& c) { return c.first >= since; });
  if (copy == m_copies.end()) return;
  m_row = copy->second;
  m_version = m_row ? m_row->version : 1;
  ++m_era;
}

std::optional<std::size_t> UsageSimulation::Holder() const {
  if (m_acts.empty()) return std::nullopt;
  return m_process_hosts.at(m_acts.back().second);
}

WindowNumber UsageSimulation::CurrentWindow() const {
  const auto time =
      std::chrono::duration_cast<Milliseconds>(Now().time_since_epoch()) +
      kTimeOfDay;
  return static_cast<WindowNumber>(time / kWindow);
}

double UsageSimulation::ErrorOf(WindowNumber window) const {
  const auto text = m_texts.find(window);
  if (text == m_texts.end()) return 1;
  const auto counts = ParseJson(text->second);
  double worst = 0;
  for (const auto& [workspace, count] : m_truth.at(window)) {
    const auto reported =
        static_cast<double>(UintOr(counts.value(), workspace.c_str()));
    const auto truth = static_cast<double>(count);
    worst = std::max(worst, std::abs(reported - truth) / truth);
  }
  return worst;
}

}  // namespace tiller::metering
