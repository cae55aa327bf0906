// Parser for the command-line options of a program, based on popt.
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
  kExitUnreachable = 3,  // could not connect
  kExitUnknown = 4       // the operation may or may not have taken effect
};

class CommandLine {
 public:
  // `usage` follows the program's name in the help text.
  CommandLine(std::string program, std::string usage);

  // Declares an option that is stored in `*value`, whose current value is the
  // default. The pointers must stay valid until Parse() returns.
  void Add(const char* name, std::string* value, const char* help);
  void Add(const char* name, int* value, const char* help);
  void Add(const char* name, double* value, const char* help);
  // Declares an option without argument, which sets `*value` to true.
  void AddFlag(const char* name, bool* value, const char* help);

  // Returns the positional arguments. Prints and exits on --help and
  // --version, and exits with kExitUsage on a bad option.
  std::vector<std::string> Parse(int argc, const char** argv);

 private:
  enum class OptionType { kString, kInt, kDouble, kFlag };
  struct Option {
    OptionType type;
    void* target;
    char* text = nullptr;
    int number = 0;
    double real = 0;
  };
  void AddOption(const char* name, OptionType type, void* target,
                 const char* help);

  const std::string m_program;
  const std::string m_usage;
  // popt keeps pointers to these elements, so they must not move.
  std::deque<Option> m_options;
  std::vector<poptOption> m_table;
};

}  // namespace tiller::settings
