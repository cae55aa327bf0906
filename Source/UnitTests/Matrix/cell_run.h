// One run of a cell of the fault matrix: its workload, its faults and its
// checks.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/random.h"
#include "UnitTests/Matrix/fault_matrix.h"

namespace tiller::test {

// Writes of one row as known to the caller's session. The row's version has to
// be between `acknowledged` and `acknowledged + unknown`.
struct RowModel {
  std::uint64_t acknowledged = 0;
  std::uint64_t unknown = 0;  // may or may not have run
};

// One caller, which reads and writes a row of its own.
struct CallerSession {
  std::string workspace;
  std::string row;
  std::string token;
  RowModel model;
  bool uses_idempotency_keys = false;
  bool uses_transactions = false;
  std::uint64_t write_count = 0;
  bool request_pending = false;
  int host = -1;  // handles the pending request or open transaction
  // Id of the open transaction and its number of writes so far; after two
  // writes it is committed.
  std::string transaction;
  int transaction_writes = 0;
};

class CellRun {
 public:
  explicit CellRun(const Cell& cell)
      : m_cell(cell), m_random(cell.seed), m_simulation(MakeOptions(cell)) {}

  CellResult Run();

 private:
  // Rate limit of each workspace. One of them sends more than that.
  static constexpr double kFloodRate = 40;  // requests per second
  static constexpr double kFloodBurst = 20;

  static SimulationOptions MakeOptions(const Cell& cell);
  // Sets a hook that injects the first fault when its stage of its exchange
  // occurs.
  void InstallFirstFault();
  void InjectFault(Fault fault);
  // Injects the second fault and sends the requests that are due.
  void AdvanceWorkload();
  void AdvanceSession(CallerSession* session);
  void SendWrite(CallerSession* session);
  void SendRead(CallerSession* session);
  void AdvanceTransaction(CallerSession* session);
  void HandleWriteReply(CallerSession* session, const traffic::Reply& reply,
                        int writes);
  void HandleReadReply(CallerSession* session, const traffic::Reply& reply);
  void SendFloodRequest();
  void CountReply(const traffic::Reply& reply);
  // Ends the faults whose time is over.
  void EndFaults();
  // Checks what has to hold at any time.
  void CheckRunningState();
  // Checks what has to hold after the recovery.
  void CheckFinalState();
  void ChangeConfig(control::OperatorVerb verb, const std::string& name,
                    std::function<void()> on_accepted);
  void CheckFinalRow(CallerSession* session);
  // Picks a running host that is not drained; one that is not ready is picked
  // less often. Returns host 0 if 20 attempts find none.
  int PickHost();
  void AddBreach(Guarantee guarantee, std::string detail);
  Instant Now() const { return m_simulation.Now(); }

  const Cell m_cell;
  SeededRandom m_random;
  ServiceSimulation m_simulation;
  CellResult m_result;
  std::vector<CallerSession> m_sessions;
  bool m_first_fault_pending = true;
  std::optional<Instant> m_second_fault_at;
  std::optional<Instant> m_heal_at;
  std::optional<Instant> m_zone_in_at;
  bool m_promotion_requested = false;
  Instant m_workload_start;
  Instant m_next_flood_at;
  // Flood requests that were answered successfully, and all that were sent.
  std::uint64_t m_flood_answered = 0;
  std::uint64_t m_flood_sent = 0;
  std::optional<Instant> m_key_withdrawn_at;
  // Endpoint that has to get no new work from kOutOfServiceLimit after `since`.
  // `baseline` is the number of its pipelines by then.
  struct OutOfServiceEndpoint {
    Guarantee guarantee;
    std::string endpoint;
    Instant since;
    std::optional<std::uint64_t> baseline;
  };
  std::vector<OutOfServiceEndpoint> m_out_of_service;
  std::vector<config::ConfigVersion> m_config_versions;
  config::ConfigVersion m_accepted_version = 1;
  Instant m_version_accepted_at;
  int m_drained_host = -1;
  std::uint64_t m_drained_open = 0;
  std::optional<EndpointId> m_killed_endpoint;
};

}  // namespace tiller::test
