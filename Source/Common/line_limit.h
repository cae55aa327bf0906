// Limit on the log lines of one second, to bound the processor time for logging
// under load.
//
// - Warnings and errors always pass.
// - Lines about single requests and connections share one limit. Lines that say
//   what the process has decided or believes have another one, so that many
//   requests do not crowd out the decisions that explain them.
#pragma once

#include <cstdint>

namespace tiller::log {

enum class LineKind { kRequest, kDecision, kImportant };

class LineLimit {
 public:
  static constexpr std::uint64_t kMaxRequestLines = 150;
  static constexpr std::uint64_t kMaxDecisionLines = 50;

  // Returns whether a line may be written in this second. Seconds never
  // decrease.
  bool Allow(LineKind kind, std::int64_t second) {
    if (second != m_second) {
      m_second = second;
      m_request_lines = 0;
      m_decision_lines = 0;
    }
    const bool allowed =
        kind == LineKind::kImportant ||
        (kind == LineKind::kRequest ? m_request_lines++ < kMaxRequestLines
                                    : m_decision_lines++ < kMaxDecisionLines);
    if (!allowed) ++m_left_out;
    return allowed;
  }
  // Number of lines that were left out and not taken yet, in earlier seconds.
  std::uint64_t TakeLeftOut(std::int64_t second) {
    if (second == m_second) return 0;
    const auto left_out = m_left_out;
    m_left_out = 0;
    return left_out;
  }

 private:
  std::int64_t m_second = 0;
  std::uint64_t m_request_lines = 0;   // in the current second
  std::uint64_t m_decision_lines = 0;  // in the current second
  std::uint64_t m_left_out = 0;
};

}  // namespace tiller::log
