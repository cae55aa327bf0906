// Table of a program's settings. Each setting is declared once with key, type,
// default and help text. The values are read from one YAML file, and all
// problems of the file are reported together.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Common/types.h"

namespace tiller::settings {

// A problem in a settings file.
struct Problem {
  int line = 0;  // 0 if the problem has no line, such as a missing key
  std::string key;
  std::string detail;
};

class SettingsTable {
 public:
  // Declares a setting that is stored in `*value`, whose current value is the
  // default. The variable must outlive the table's last Load().
  void Add(const std::string& key, std::string* value, const std::string& help);
  void Add(const std::string& key, bool* value, const std::string& help);
  void Add(const std::string& key, Milliseconds* value,
           const std::string& help);
  void Add(const std::string& key, std::uint16_t* value,
           const std::string& help);
  // A number of at least 0.
  void Add(const std::string& key, double* value, const std::string& help);
  // Seconds above 0, whole or fractional.
  void Add(const std::string& key, std::chrono::duration<double>* value,
           const std::string& help);
  void Add(const std::string& key, std::vector<std::string>* value,
           const std::string& help);
  // Makes a declared setting mandatory in the file.
  void Require(const std::string& key);

  // Sets the variables. Returns all problems, including unknown keys, or an
  // empty vector on success. Valid settings are applied even if others have
  // problems.
  std::vector<Problem> Load(const std::string& path);
  std::vector<Problem> LoadText(const std::string& text);
  // Returns one line per setting: key, type, default and help text.
  std::string Describe() const;

 private:
  struct Row {
    std::string key;
    std::string type;
    std::string default_text;
    std::string help;
    bool required = false;
    // Sets the variable. Returns the problem with the value, empty on success.
    std::function<std::string(const std::vector<std::string>&)> set;
    bool is_list = false;
  };
  Row* Find(const std::string& key);

  std::vector<Row> m_rows;
};

// Returns one "file:line: key: detail" line per problem.
std::string Describe(const std::string& file,
                     const std::vector<Problem>& problems);

}  // namespace tiller::settings
