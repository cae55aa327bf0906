// Settings of a program: each declared once with key, type, default and help,
// read from one YAML file, and checked as a whole.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Common/types.h"

namespace tiller::settings {

// One fault of a settings file.
struct Problem {
  int line = 0;  // 0: the file as a whole
  std::string key;
  std::string detail;
};

class SettingsTable {
 public:
  // Each declaration binds a variable whose present value is the default.
  void Add(const std::string& key, std::string* value, const std::string& help);
  void Add(const std::string& key, bool* value, const std::string& help);
  void Add(const std::string& key, Milliseconds* value,
           const std::string& help);
  void Add(const std::string& key, std::uint16_t* value,
           const std::string& help);
  // A number from 0 on.
  void Add(const std::string& key, double* value, const std::string& help);
  // Whole or fractional seconds.
  void Add(const std::string& key, std::chrono::duration<double>* value,
           const std::string& help);
  void Add(const std::string& key, std::vector<std::string>* value,
           const std::string& help);
  // The key must be present in the file.
  void Require(const std::string& key);

  // Sets the variables; reports every problem at once, unknown keys included.
  std::vector<Problem> Load(const std::string& path);
  std::vector<Problem> LoadText(const std::string& text);
  // One line per setting: key, default, help.
  std::string Describe() const;

 private:
  struct Row {
    std::string key;
    std::string type;
    std::string default_text;
    std::string help;
    bool required = false;
    // Returns an empty text, or what is wrong with the value.
    std::function<std::string(const std::vector<std::string>&)> set;
    bool is_list = false;
  };
  Row* Find(const std::string& key);

  std::vector<Row> m_rows;
};

std::string Describe(const std::string& file,
                     const std::vector<Problem>& problems);

}  // namespace tiller::settings
