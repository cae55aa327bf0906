// Lists and describes the cells of the fault matrix.
#include "UnitTests/Matrix/fault_matrix.h"

#include "Common/names.h"
#include "Common/random.h"

namespace tiller::test {

std::string Describe(const Cell& cell) {
  std::string out(NameOf(kFaultNames, cell.first));
  out += " at " + std::string(NameOf(kStageNames, cell.stage)) + " of " +
         std::string(cell.exchange);
  if (cell.second != Fault::kNone) {
    out += ", then " + std::string(NameOf(kFaultNames, cell.second)) +
           " after " +
           std::to_string(
               std::chrono::duration_cast<Milliseconds>(cell.second_delay)
                   .count()) +
           " ms";
  }
  return out + ", seed " + std::to_string(cell.seed);
}

std::vector<Cell> SingleFaultCells(std::uint64_t seed) {
  std::vector<Cell> out;
  for (std::size_t fault = 1; fault < kFaultNames.size(); ++fault) {
    for (std::size_t stage = 0; stage < kStageNames.size(); ++stage) {
      for (const auto exchange : kExchanges) {
        Cell cell;
        cell.first = static_cast<Fault>(fault);
        cell.stage = static_cast<Stage>(stage);
        cell.exchange = exchange;
        cell.seed = seed;
        out.push_back(cell);
      }
    }
  }
  return out;
}

std::vector<Cell> FaultPairCells(std::uint64_t seed) {
  SeededRandom random(seed);
  std::vector<Cell> out;
  for (std::size_t first = 1; first < kFaultNames.size(); ++first) {
    for (std::size_t second = 1; second < kFaultNames.size(); ++second) {
      Cell cell;
      cell.first = static_cast<Fault>(first);
      cell.second = static_cast<Fault>(second);
      cell.stage = static_cast<Stage>(random.UniformBelow(kStageNames.size()));
      cell.exchange = kExchanges[random.UniformBelow(kExchanges.size())];
      cell.second_delay = Milliseconds(5 + random.UniformBelow(1500));
      cell.seed = seed + out.size();
      out.push_back(cell);
    }
  }
  return out;
}

}  // namespace tiller::test
