// Implementation of the settings table with yaml-cpp.
#include "Settings/settings_table.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace tiller::settings {
namespace {

constexpr std::int64_t kMaxMilliseconds = 86'400'000;
constexpr double kMaxSeconds = 86400;

std::optional<std::int64_t> ToInteger(const std::string& text) {
  std::int64_t value = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::optional<double> ToDouble(const std::string& text) {
  double value = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (failure != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

std::string Join(const std::vector<std::string>& items) {
  std::string out;
  for (const auto& item : items) out += (out.empty() ? "" : ", ") + item;
  return "[" + out + "]";
}

}  // namespace

SettingsTable::Row* SettingsTable::Find(const std::string& key) {
  const auto it = std::find_if(m_rows.begin(), m_rows.end(),
                               [&](const auto& row) { return row.key == key; });
  return it == m_rows.end() ? nullptr : &*it;
}

void SettingsTable::Add(const std::string& key, std::string* value,
                        const std::string& help) {
  m_rows.push_back({key, "text", *value, help, false,
                    [value](const auto& items) {
                      *value = items.front();
                      return std::string();
                    },
                    false});
}

void SettingsTable::Add(const std::string& key, bool* value,
                        const std::string& help) {
  m_rows.push_back({key, "true or false", *value ? "true" : "false", help,
                    false,
                    [value](const auto& items) -> std::string {
                      if (items.front() != "true" && items.front() != "false") {
                        return "must be true or false";
                      }
                      *value = items.front() == "true";
                      return {};
                    },
                    false});
}

void SettingsTable::Add(const std::string& key, Milliseconds* value,
                        const std::string& help) {
  m_rows.push_back(
      {key, "milliseconds", std::to_string(value->count()), help, false,
       [value](const auto& items) -> std::string {
         const auto number = ToInteger(items.front());
         if (!number || *number < 1 || *number > kMaxMilliseconds) {
           return "must be milliseconds from 1 to 86400000";
         }
         *value = Milliseconds(*number);
         return {};
       },
       false});
}

void SettingsTable::Add(const std::string& key, std::uint16_t* value,
                        const std::string& help) {
  m_rows.push_back({key, "port", std::to_string(*value), help, false,
                    [value](const auto& items) -> std::string {
                      const auto number = ToInteger(items.front());
                      if (!number || *number < 0 || *number > UINT16_MAX) {
                        return "must be a port from 0 to 65535";
                      }
                      *value = static_cast<std::uint16_t>(*number);
                      return {};
                    },
                    false});
}

void SettingsTable::Add(const std::string& key, double* value,
                        const std::string& help) {
  m_rows.push_back({key, "number", std::to_string(*value), help, false,
                    [value](const auto& items) -> std::string {
                      const auto number = ToDouble(items.front());
                      if (!number || !(*number >= 0)) {
                        return "must be a number from 0 on";
                      }
                      *value = *number;
                      return {};
                    },
                    false});
}

void SettingsTable::Add(const std::string& key,
                        std::chrono::duration<double>* value,
                        const std::string& help) {
  m_rows.push_back({key, "seconds", std::to_string(value->count()), help, false,
                    [value](const auto& items) -> std::string {
                      const auto number = ToDouble(items.front());
                      if (!number || !(*number > 0) || *number > kMaxSeconds) {
                        return "must be seconds above 0, up to 86400";
                      }
                      *value = std::chrono::duration<double>(*number);
                      return {};
                    },
                    false});
}

void SettingsTable::Add(const std::string& key, std::vector<std::string>* value,
                        const std::string& help) {
  m_rows.push_back({key, "list", Join(*value), help, false,
                    [value](const auto& items) {
                      *value = items;
                      return std::string();
                    },
                    true});
}

void SettingsTable::Require(const std::string& key) {
  Find(key)->required = true;
}

std::vector<Problem> SettingsTable::Load(const std::string& path) {
  const std::ifstream file(path);
  if (!file) return {{0, "", "cannot be read"}};
  std::ostringstream text;
  text << file.rdbuf();
  return LoadText(text.str());
}

std::vector<Problem> SettingsTable::LoadText(const std::string& text) {
  std::vector<Problem> problems;
  YAML::Node root;
  // yaml-cpp reports syntax errors by exceptions only.
  try {
    root = YAML::Load(text);
  } catch (const YAML::Exception& failure) {
    return {{failure.mark.line + 1, "", failure.msg}};
  }
  if (!root.IsMap()) return {{0, "", "must be a map of settings"}};
  std::set<std::string> seen;
  for (const auto& item : root) {
    const auto key = item.first.Scalar();
    const int line = item.first.Mark().line + 1;
    auto* row = Find(key);
    if (row == nullptr) {
      problems.push_back({line, key, "unknown setting"});
      continue;
    }
    if (!seen.insert(key).second) {
      problems.push_back({line, key, "set twice"});
    }
    std::vector<std::string> values;
    if (row->is_list && item.second.IsSequence()) {
      for (const auto& value : item.second) values.push_back(value.Scalar());
    } else if (!row->is_list && item.second.IsScalar()) {
      values.push_back(item.second.Scalar());
    } else {
      problems.push_back({line, key, "must be a " + row->type});
      continue;
    }
    const auto value_problem = row->set(values);
    if (!value_problem.empty()) problems.push_back({line, key, value_problem});
  }
  for (const auto& row : m_rows) {
    if (row.required && seen.count(row.key) == 0) {
      problems.push_back({0, row.key, "is required"});
    }
  }
  return problems;
}

std::string SettingsTable::Describe() const {
  std::ostringstream out;
  for (const auto& row : m_rows) {
    out << row.key << " (" << row.type << ", "
        << (row.required ? "required" : "default " + row.default_text)
        << "): " << row.help << '\n';
  }
  return out.str();
}

std::string Describe(const std::string& file,
                     const std::vector<Problem>& problems) {
  std::ostringstream out;
  for (const auto& problem : problems) {
    out << file << ':' << problem.line << ": "
        << (problem.key.empty() ? "" : problem.key + ": ") << problem.detail
        << '\n';
  }
  return out.str();
}

}  // namespace tiller::settings
