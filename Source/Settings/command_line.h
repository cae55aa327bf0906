// Command-line options of a program, over popt.
#pragma once

#include <popt.h>

#include <deque>
#include <string>
#include <vector>

#include "Common/error.h"

namespace tiller::settings {

inline constexpr char kVersion[] = "0.1.0";

// Exit codes of every program.
enum ExitCode : int {
  kExitSuccess = 0,
  kExitFailure = 1,      // the operation failed
  kExitUsage = 2,        // bad options, settings or input
  kExitUnreachable = 3,  // nothing answered
  kExitUnknown = 4       // the outcome is not known
};

class CommandLine {
 public:
  // `usage` follows the program's name in the help text.
  CommandLine(std::string program, std::string usage);

  void Add(const char* name, std::string* value, const char* help);
  void Add(const char* name, int* value, const char* help);
  void Add(const char* name, double* value, const char* help);
  void AddFlag(const char* name, bool* value, const char* help);

  // Returns the positional arguments. Prints and exits on --help and
  // --version, and exits with kExitUsage on a bad option.
  std::vector<std::string> Parse(int argc, const char** argv);

 private:
  enum class Kind { kString, kInt, kDouble, kFlag };
  struct Option {
    Kind kind;
    void* target;
    char* text = nullptr;
    int number = 0;
    double real = 0;
  };
  void AddRow(const char* name, Kind kind, void* target, const char* help);

  const std::string m_program;
  const std::string m_usage;
  // popt keeps pointers into these, so they must not move.
  std::deque<Option> m_options;
  std::vector<poptOption> m_table;
};

}  // namespace tiller::settings
