// Conversion between enum values and their names, through tables that list one
// name per enum value.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace tiller {

// Returns the name of `value`, or "invalid" if it is not in the table. The
// table must list the names in the order of the enum values.
template <typename Enum, std::size_t N>
constexpr std::string_view NameOf(const std::array<std::string_view, N>& table,
                                  Enum value) {
  const auto index = static_cast<std::size_t>(value);
  return index < N ? table[index] : std::string_view("invalid");
}

// Returns the value called `name`, or nullopt if there is none.
template <typename Enum, std::size_t N>
constexpr std::optional<Enum> ValueOf(
    const std::array<std::string_view, N>& table, std::string_view name) {
  for (std::size_t i = 0; i < N; ++i) {
    if (table[i] == name) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

}  // namespace tiller
