// Implementation of command-line options.
#include "Settings/command_line.h"

#include <cstdio>
#include <cstdlib>
#include <utility>

namespace tiller::settings {
namespace {
constexpr int kVersionOption = 1;
}  // namespace

CommandLine::CommandLine(std::string program, std::string usage)
    : m_program(std::move(program)), m_usage(std::move(usage)) {}

void CommandLine::AddOption(const char* name, OptionType type, void* target,
                            const char* help) {
  auto& option = m_options.emplace_back(Option{type, target});
  poptOption row{};
  row.longName = name;
  row.descrip = help;
  switch (type) {
    case OptionType::kString:
      row.argInfo = POPT_ARG_STRING;
      row.arg = &option.text;
      row.argDescrip = "TEXT";
      break;
    case OptionType::kInt:
      option.number = *static_cast<int*>(target);
      row.argInfo = POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT;
      row.arg = &option.number;
      row.argDescrip = "NUMBER";
      break;
    case OptionType::kDouble:
      option.real = *static_cast<double*>(target);
      row.argInfo = POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT;
      row.arg = &option.real;
      row.argDescrip = "NUMBER";
      break;
    case OptionType::kFlag:
      row.argInfo = POPT_ARG_NONE;
      row.arg = &option.number;
      break;
  }
  m_table.push_back(row);
}

void CommandLine::Add(const char* name, std::string* value, const char* help) {
  AddOption(name, OptionType::kString, value, help);
}
void CommandLine::Add(const char* name, int* value, const char* help) {
  AddOption(name, OptionType::kInt, value, help);
}
void CommandLine::Add(const char* name, double* value, const char* help) {
  AddOption(name, OptionType::kDouble, value, help);
}
void CommandLine::AddFlag(const char* name, bool* value, const char* help) {
  AddOption(name, OptionType::kFlag, value, help);
}

std::vector<std::string> CommandLine::Parse(int argc, const char** argv) {
  auto table = m_table;
  poptOption version{};
  version.longName = "version";
  version.argInfo = POPT_ARG_NONE;
  version.val = kVersionOption;
  version.descrip = "print the version and exit";
  table.push_back(version);
  poptOption help{};
  help.argInfo = POPT_ARG_INCLUDE_TABLE;
  help.arg = poptHelpOptions;
  help.descrip = "Help options:";
  table.push_back(help);
  table.push_back(poptOption{});
  poptContext context =
      poptGetContext(m_program.c_str(), argc, argv, table.data(), 0);
  poptSetOtherOptionHelp(context, m_usage.c_str());
  int code = 0;
  while ((code = poptGetNextOpt(context)) > 0) {
    std::printf("%s %s\n", m_program.c_str(), kVersion);
    std::exit(kExitSuccess);
  }
  if (code < -1) {
    std::fprintf(stderr, "%s: %s: %s\n", m_program.c_str(),
                 poptBadOption(context, POPT_BADOPTION_NOALIAS),
                 poptStrerror(code));
    std::exit(kExitUsage);
  }
  std::vector<std::string> out;
  while (const char* argument = poptGetArg(context)) out.emplace_back(argument);
  for (auto& option : m_options) {
    switch (option.type) {
      case OptionType::kString:
        if (option.text != nullptr) {
          *static_cast<std::string*>(option.target) = option.text;
        }
        break;
      case OptionType::kInt:
        *static_cast<int*>(option.target) = option.number;
        break;
      case OptionType::kDouble:
        *static_cast<double*>(option.target) = option.real;
        break;
      case OptionType::kFlag:
        *static_cast<bool*>(option.target) = option.number != 0;
        break;
    }
  }
  poptFreeContext(context);
  return out;
}

}  // namespace tiller::settings
