// Runs the fault matrix on all processors and prints its table; exits non-zero
// on any breach.
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

struct Totals {
  std::uint64_t cells = 0;
  std::uint64_t struck = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::map<test::Promise, std::uint64_t> breaches;
};

constexpr std::size_t kMaxThreads = 8;
constexpr std::size_t kMaxPrinted = 40;

}  // namespace

int main(int argc, const char** argv) {
  int seed = 1;
  int seeds = 1;
  bool singles_only = false;
  bool pairs_only = false;
  bool first_only = false;
  int threads = 0;
  settings::CommandLine line("tiller-fault-matrix", "");
  line.Add("seed", &seed, "first seed");
  line.Add("seeds", &seeds, "number of seeds");
  line.AddFlag("singles", &singles_only, "only single faults");
  line.AddFlag("pairs", &pairs_only, "only pairs of faults");
  line.Add("threads", &threads, "cells run at once; 0: one per processor");
  line.AddFlag("first", &first_only, "stop at the first breach");
  line.Parse(argc, argv);

  std::vector<test::Cell> cells;
  for (int i = 0; i < seeds; ++i) {
    const auto base =
        static_cast<std::uint64_t>(seed) + static_cast<std::uint64_t>(i) * 1000;
    if (!pairs_only) {
      const auto singles = test::SingleCells(base);
      cells.insert(cells.end(), singles.begin(), singles.end());
    }
    if (!singles_only) {
      const auto pairs = test::PairCells(base);
      cells.insert(cells.end(), pairs.begin(), pairs.end());
    }
  }
  std::atomic<std::size_t> next{0};
  std::atomic<bool> found{false};
  std::mutex mutex;
  std::map<test::Fault, Totals> rows;
  std::vector<std::string> broken;
  const auto work = [&] {
    for (auto i = next++; i < cells.size(); i = next++) {
      if (first_only && found) return;
      const auto result = test::RunCell(cells[i]);
      const std::scoped_lock lock(mutex);
      auto& row = rows[cells[i].first];
      ++row.cells;
      row.struck += result.struck ? 1 : 0;
      row.answered += result.answered;
      row.refused += result.refused;
      row.unknown += result.unknown;
      for (const auto& breach : result.breaches) {
        ++row.breaches[breach.promise];
        found = true;
        broken.push_back(
            std::string(NameOf(test::kPromiseNames, breach.promise)) + ": " +
            Describe(cells[i]) + ": " + breach.detail);
      }
    }
  };
  std::vector<std::thread> workers;
  const auto processors =
      std::max<std::size_t>(1, std::thread::hardware_concurrency());
  const auto count = threads > 0 ? static_cast<std::size_t>(threads)
                                 : std::min(kMaxThreads, processors);
  for (std::size_t i = 0; i < count; ++i) workers.emplace_back(work);
  for (auto& worker : workers) worker.join();

  std::printf("%-24s %6s %7s %9s %8s %8s  %s\n", "FAULT", "CELLS", "STRUCK",
              "ANSWERED", "REFUSED", "UNKNOWN", "BREACHES OF 12 PROMISES");
  for (const auto& [fault, row] : rows) {
    std::uint64_t sum = 0;
    for (const auto& [promise, breaches] : row.breaches) sum += breaches;
    std::printf("%-24s %6lu %7lu %9lu %8lu %8lu  %lu\n",
                std::string(NameOf(test::kFaultNames, fault)).c_str(),
                row.cells, row.struck, row.answered, row.refused, row.unknown,
                sum);
  }
  std::sort(broken.begin(), broken.end());
  for (std::size_t i = 0; i < std::min(broken.size(), kMaxPrinted); ++i) {
    std::printf("BREACH %s\n", broken[i].c_str());
  }
  std::printf("%zu cells, %zu breaches, first seed %d\n", cells.size(),
              broken.size(), seed);
  return broken.empty() ? settings::kExitSuccess : settings::kExitFailure;
}
