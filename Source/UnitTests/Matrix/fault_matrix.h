// The fault matrix injects every fault at every stage of every exchange, singly
// and in pairs, and checks the guarantees of docs/PROMISES.md.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "UnitTests/Support/service_simulation.h"

namespace tiller::test {

// CellRun::InjectFault() implements the faults; kFaultNames are printed in the
// results.
enum class Fault {
  kNone,
  kPrimaryKilled,
  kPrimaryIsolated,
  kReplicasBehind,
  kHostKilled,
  kHostPaused,
  kHostDrained,
  kKeyWithdrawn,
  kPlatformDown,
  kPlatformLosesAnswers,
  kPlatformCutFromZone,
  kOperatorsRace,
  kConnectionsSilent,
  kZoneCut,
  kZoneCutFromAll,
  kZoneOutAndBack,
  kEndpointDrained,
  kAnswersDuplicated
};
inline constexpr std::array<std::string_view, 18> kFaultNames = {
    "none",
    "primary_killed",
    "primary_isolated",
    "replicas_behind",
    "host_killed",
    "host_paused",
    "host_drained",
    "key_withdrawn",
    "platform_down",
    "platform_loses_answers",
    "platform_cut_from_zone",
    "operators_race",
    "connections_silent",
    "zone_cut",
    "zone_cut_from_all",
    "zone_out_and_back",
    "endpoint_drained",
    "answers_duplicated"};

// The guarantees that have to hold under every fault. The enumerators are in
// the order of kGuaranteeNames, which are printed with breaches.
enum class Guarantee {
  // A session reads its own acknowledged writes.
  kReadYourWrites,
  // A former primary acknowledges no writes: no acknowledged write is lost.
  kNoAcknowledgementByOldPrimary,
  // Transactions do not mix: each takes effect completely or not at all.
  kTransactionsNeverMix,
  // A request sees its own workspace only. Withdrawn keys are rejected, and
  // endpoints never receive a key.
  kRightWorkspaceAndKeys,
  // A workspace does not exceed its rate and burst.
  kRateAndBurst,
  // Endpoints of a zone that is out of service receive no new work.
  kZoneOutGetsNoWork,
  // A caller receives the complete answer to its own request.
  kWholeOwnAnswer,
  // A request that is reported as not run did not run.
  kNotRunIsTrue,
  // A write with an idempotency key runs at most once.
  kAtMostOnce,
  // A drained endpoint receives no new work.
  kLeavingEndpointGetsNoWork,
  // A graceful shutdown completes the open requests.
  kGracefulShutdownCutsNothing,
  // Hosts never return to an older configuration, and all of them adopt an
  // accepted one.
  kConfigurationHolds
};
inline constexpr std::array<std::string_view, 12> kGuaranteeNames = {
    "read_your_writes",
    "no_acknowledgement_by_old_primary",
    "transactions_never_mix",
    "right_workspace_and_keys",
    "rate_and_burst",
    "zone_out_gets_no_work",
    "whole_own_answer",
    "not_run_is_true",
    "at_most_once",
    "leaving_endpoint_gets_no_work",
    "graceful_shutdown_cuts_nothing",
    "configuration_holds"};

// Exchanges at whose stages faults are injected; see
// ServiceSimulation::StageHook.
inline constexpr std::array<std::string_view, 9> kExchanges = {
    "claim",  "finish",     "write",         "read", "statement",
    "commit", "group_call", "platform_call", "probe"};

// One cell of the matrix: the first fault is injected at a stage of an
// exchange, the second one `second_delay` later.
struct Cell {
  Fault first = Fault::kNone;
  Stage stage = Stage::kBeforeSend;
  std::string_view exchange = "claim";
  Fault second = Fault::kNone;
  Duration second_delay = Milliseconds(300);
  std::uint64_t seed = 1;
};
// Describes the cell in one line for the list of breaches.
std::string Describe(const Cell& cell);

// A guarantee that did not hold.
struct Breach {
  Guarantee guarantee = Guarantee::kReadYourWrites;
  std::string detail;
};

struct CellResult {
  std::vector<Breach> breaches;
  bool fault_injected = false;  // false if the stage did not occur
  // Number of replies by result: successful, errors with a known outcome, and
  // errors with an unknown outcome.
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
};

// Runs the workload of one cell in a simulation of its own.
CellResult RunCell(const Cell& cell);

// Every fault at every stage of every exchange.
std::vector<Cell> SingleFaultCells(std::uint64_t seed);
// Every ordered pair of faults, each at one stage of one exchange that is
// chosen by the seed.
std::vector<Cell> FaultPairCells(std::uint64_t seed);

}  // namespace tiller::test
