// Runs the cells of the fault matrix in parallel threads, prints a table of the
// results and the first breaches, and exits non-zero on any breach.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include "Common/names.h"
#include "Settings/command_line.h"
#include "UnitTests/Matrix/fault_matrix.h"

namespace {

using tiller::NameOf;
namespace test = tiller::test;
namespace settings = tiller::settings;

// Sums over the cells with the same first fault.
struct FaultTotals {
  std::uint64_t cells = 0;
  std::uint64_t faults_injected = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::map<test::Guarantee, std::uint64_t> breaches;
};

constexpr std::size_t kMaxThreads = 8;  // default limit; --threads overrides it
constexpr std::size_t kMaxPrintedBreaches = 40;

}  // namespace

int main(int argc, const char** argv) {
  int seed = 1;
  int seeds = 1;
  bool singles_only = false;
  bool pairs_only = false;
  bool stop_at_first_breach = false;
  int threads = 0;
  settings::CommandLine command_line("tiller-fault-matrix", "");
  command_line.Add("seed", &seed, "first seed");
  command_line.Add("seeds", &seeds, "number of seeds");
  command_line.AddFlag("singles", &singles_only, "only single faults");
  command_line.AddFlag("pairs", &pairs_only, "only pairs of faults");
  command_line.Add("threads", &threads,
                   "cells run at once; 0: one per processor");
  command_line.AddFlag("first", &stop_at_first_breach,
                       "stop at the first breach");
  command_line.Parse(argc, argv);

  std::vector<test::Cell> cells;
  for (int i = 0; i < seeds; ++i) {
    const auto base_seed =
        static_cast<std::uint64_t>(seed) + static_cast<std::uint64_t>(i) * 1000;
    if (!pairs_only) {
      const auto singles = test::SingleFaultCells(base_seed);
      cells.insert(cells.end(), singles.begin(), singles.end());
    }
    if (!singles_only) {
      const auto pairs = test::FaultPairCells(base_seed);
      cells.insert(cells.end(), pairs.begin(), pairs.end());
    }
  }
  std::atomic<std::size_t> next_cell{0};
  std::atomic<bool> breach_found{false};
  std::mutex mutex;
  std::map<test::Fault, FaultTotals> rows;
  std::vector<std::string> breach_lines;
  const auto run_cells = [&] {
    for (auto i = next_cell++; i < cells.size(); i = next_cell++) {
      if (stop_at_first_breach && breach_found) return;
      const auto result = test::RunCell(cells[i]);
      const std::scoped_lock lock(mutex);
      auto& row = rows[cells[i].first];
      ++row.cells;
      row.faults_injected += result.fault_injected ? 1 : 0;
      row.answered += result.answered;
      row.refused += result.refused;
      row.unknown += result.unknown;
      for (const auto& breach : result.breaches) {
        ++row.breaches[breach.guarantee];
        breach_found = true;
        breach_lines.push_back(
            std::string(NameOf(test::kGuaranteeNames, breach.guarantee)) +
            ": " + Describe(cells[i]) + ": " + breach.detail);
      }
    }
  };
  std::vector<std::thread> workers;
  const auto processors =
      std::max<std::size_t>(1, std::thread::hardware_concurrency());
  const auto count = threads > 0 ? static_cast<std::size_t>(threads)
                                 : std::min(kMaxThreads, processors);
  for (std::size_t i = 0; i < count; ++i) workers.emplace_back(run_cells);
  for (auto& worker : workers) worker.join();

  std::printf("%-24s %6s %7s %9s %8s %8s  %s\n", "FAULT", "CELLS", "STRUCK",
              "ANSWERED", "REFUSED", "UNKNOWN", "BREACHES OF 12 PROMISES");
  for (const auto& [fault, row] : rows) {
    std::uint64_t sum = 0;
    for (const auto& [guarantee, breaches] : row.breaches) sum += breaches;
    std::printf("%-24s %6lu %7lu %9lu %8lu %8lu  %lu\n",
                std::string(NameOf(test::kFaultNames, fault)).c_str(),
                row.cells, row.faults_injected, row.answered, row.refused,
                row.unknown, sum);
  }
  std::sort(breach_lines.begin(), breach_lines.end());
  for (std::size_t i = 0;
       i < std::min(breach_lines.size(), kMaxPrintedBreaches); ++i) {
    std::printf("BREACH %s\n", breach_lines[i].c_str());
  }
  std::printf("%zu cells, %zu breaches, first seed %d\n", cells.size(),
              breach_lines.size(), seed);
  return breach_lines.empty() ? settings::kExitSuccess : settings::kExitFailure;
}
