// Simulation of hosts that report usage, with the store, the receiver and the
// network between them, on one fake clock and driven by a seed. Hosts can be
// killed, frozen and cut off, their time of day can jump, the store can be down
// or come back from an older copy, and answers can be lost.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/counters.h"
#include "Common/random.h"
#include "Metering/usage_reporter.h"

namespace tiller::metering {

class UsageSimulation {
 public:
  static constexpr Milliseconds kWindow{5'000};
  static constexpr Milliseconds kDeadline{10'000};

  UsageSimulation(std::size_t hosts, std::uint64_t seed);
  ~UsageSimulation();
  UsageSimulation(const UsageSimulation&) = delete;
  UsageSimulation& operator=(const UsageSimulation&) = delete;

  void Run(Duration time);
  void Start(std::size_t host);
  void Kill(std::size_t host);
  // The process gets no processor time until it is thawed.
  void SetFrozen(std::size_t host, bool frozen);
  void SetCutFromPeers(std::size_t host, bool cut);
  void SetCutFromPlatform(std::size_t host, bool cut);
  void SetClockError(std::size_t host, Milliseconds error);
  void Drain(std::size_t host);
  void SetStoreDown(bool down) { m_store_down = down; }
  // The store loses what was written since `age` ago.
  void RestoreStore(Duration age);
  // Shares of calls whose answer is lost, and of reports that are refused.
  void SetLoss(double answers, double refusals) {
    m_lost_answers = answers;
    m_refused_reports = refusals;
  }
  // Reports get no answer and are executed this much later.
  void SetReportDelay(Duration delay) { m_report_delay = delay; }
  // Operations a second on each host.
  void SetLoad(double operations) { m_load = operations; }

  std::size_t Hosts() const { return m_hosts.size(); }
  bool Running(std::size_t host) const;
  // The host whose report was accepted last.
  std::optional<std::size_t> Holder() const;
  WindowNumber CurrentWindow() const;
  // Windows that were accepted, and how long after their end.
  const std::map<WindowNumber, Milliseconds>& Accepted() const {
    return m_accepted;
  }
  // The largest relative error of the counts of a window, over all workspaces.
  double ErrorOf(WindowNumber window) const;
  // Violations of the rules; empty if there were none.
  const std::vector<std::string>& Violations() const { return m_violations; }
  std::uint64_t Writes() const { return m_writes; }
  std::uint64_t Messages() const { return m_messages; }

 private:
  struct Host;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  Host& Of(std::size_t host) { return *m_hosts[host]; }
  Instant Now() const { return m_clock.Now(); }
  void After(Duration delay, std::function<void()> task);
  // Passes an event to the process that is running then, if it still is.
  void Deliver(std::size_t host, std::uint64_t process,
               std::function<void(UsageReporter*)> event);
  void Step(std::size_t host);
  void Perform(std::size_t host, const fleet::Action& action);
  void Read(std::size_t host);
  void Write(std::size_t host, const fleet::WriteRow& action);
  void Report(std::size_t host, const fleet::ReportUsage& action);
  int Execute(std::size_t host, std::uint64_t process,
              const fleet::ReportUsage& action);
  void Send(std::size_t host, const fleet::SendPeer& action);
  void Operate(std::size_t host);
  bool Happens(double share) {
    return static_cast<double>(m_random.UniformBelow(10'000)) < share * 10'000;
  }
  Duration Latency() {
    return std::chrono::microseconds(300 + m_random.UniformBelow(4'000));
  }

  ManualClock m_clock;
  SeededRandom m_random;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::multimap<Instant, std::function<void()>> m_tasks;
  std::uint64_t m_next_process = 1;
  // The store.
  std::optional<Row> m_row;
  std::uint64_t m_version = 1;
  fleet::StoreEra m_era = 1;
  bool m_store_down = false;
  std::vector<std::pair<Instant, std::optional<Row>>> m_copies;
  double m_lost_answers = 0;
  double m_refused_reports = 0;
  Duration m_report_delay{};
  double m_load = 20;
  // The receiver.
  std::uint64_t m_highest_token = 0;
  std::map<std::uint64_t, std::uint64_t> m_token_processes;
  std::map<WindowNumber, std::string> m_texts;
  std::map<WindowNumber, Milliseconds> m_accepted;
  std::vector<std::pair<Instant, std::uint64_t>> m_acts;
  std::map<std::uint64_t, std::size_t> m_process_hosts;
  std::map<WindowNumber, Counts> m_truth;
  std::vector<std::string> m_violations;
  std::uint64_t m_writes = 0;
  std::uint64_t m_messages = 0;
};

}  // namespace tiller::metering
