// Implementation of the text of schedules and load reports.
#include "Balance/wire_text.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <initializer_list>

namespace tiller::balance {
namespace {

// Bounds of what another host may state; an hour in milliseconds.
constexpr std::int64_t kMaxNumber = 3'600'000;

std::string Join(std::initializer_list<std::int64_t> numbers) {
  std::string text;
  for (const auto number : numbers) {
    if (!text.empty()) text += ',';
    text += std::to_string(number);
  }
  return text;
}

// Returns nothing unless `text` consists of exactly that many numbers.
template <std::size_t Count>
std::optional<std::array<std::int64_t, Count>> Split(std::string_view text) {
  std::array<std::int64_t, Count> numbers{};
  const char* next = text.data();
  const char* const end = next + text.size();
  for (std::size_t i = 0; i < Count; ++i) {
    if (i > 0 && (next == end || *next++ != ',')) return std::nullopt;
    const auto parsed = std::from_chars(next, end, numbers[i]);
    if (parsed.ec != std::errc()) return std::nullopt;
    if (numbers[i] > kMaxNumber || numbers[i] < -kMaxNumber) {
      return std::nullopt;
    }
    next = parsed.ptr;
  }
  if (next != end) return std::nullopt;
  return numbers;
}

}  // namespace

std::string TextOf(const Schedule& schedule) {
  return Join({schedule.priority, schedule.until_target.count(),
               schedule.until_limit.count(),
               schedule.begins_transaction ? 1 : 0});
}

std::optional<Schedule> ParseSchedule(std::string_view text) {
  const auto numbers = Split<4>(text);
  if (!numbers) return std::nullopt;
  const auto& [priority, target, limit, begins] = *numbers;
  return Schedule{static_cast<int>(priority), Milliseconds(target),
                  Milliseconds(limit), begins != 0};
}

std::string TextOf(const LoadReport& load) {
  const auto wait =
      std::chrono::duration_cast<Milliseconds>(load.expected_wait);
  return Join({static_cast<std::int64_t>(load.in_progress),
               static_cast<std::int64_t>(load.waiting),
               static_cast<std::int64_t>(load.connections),
               load.at_limit ? 1 : 0, wait.count()});
}

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  const auto numbers = Split<5>(text);
  if (!numbers) return std::nullopt;
  const auto& [in_progress, waiting, connections, at_limit, wait] = *numbers;
  if (in_progress < 0 || waiting < 0 || connections < 0) return std::nullopt;
  return LoadReport{
      static_cast<std::size_t>(in_progress), static_cast<std::size_t>(waiting),
      static_cast<std::size_t>(connections), at_limit != 0, Milliseconds(wait)};
}

}  // namespace tiller::balance
