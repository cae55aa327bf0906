// Tables of names for enum classes: one row per value, in order.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace tiller {

// Returns the name in row `value`; the table must list the values in order.
template <typename Enum, std::size_t N>
constexpr std::string_view NameOf(const std::array<std::string_view, N>& table,
                                  Enum value) {
  const auto index = static_cast<std::size_t>(value);
  return index < N ? table[index] : std::string_view("invalid");
}

template <typename Enum, std::size_t N>
constexpr std::optional<Enum> ValueOf(
    const std::array<std::string_view, N>& table, std::string_view name) {
  for (std::size_t i = 0; i < N; ++i) {
    if (table[i] == name) return static_cast<Enum>(i);
  }
  return std::nullopt;
}

}  // namespace tiller
