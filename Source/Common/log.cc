// Structured logs over log4cxx.
#include "Common/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

#include "Common/names.h"

namespace tiller::log {
namespace {

log4cxx::LoggerPtr LoggerFor(Channel channel) {
  return log4cxx::Logger::getLogger(
      std::string(NameOf(kChannelNames, channel)));
}

log4cxx::LevelPtr LevelFor(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cxx::Level::getDebug();
    case Level::kInfo:
      return log4cxx::Level::getInfo();
    case Level::kWarn:
      return log4cxx::Level::getWarn();
    case Level::kError:
      break;
  }
  return log4cxx::Level::getError();
}

void AppendValue(const std::string& value, std::string* line) {
  if (value.find_first_of(" \"=\n") == std::string::npos && !value.empty()) {
    line->append(value);
    return;
  }
  line->push_back('"');
  for (const char c : value) {
    if (c == '"' || c == '\\') line->push_back('\\');
    line->push_back(c == '\n' ? ' ' : c);
  }
  line->push_back('"');
}

}  // namespace

void Configure(Level level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("time=%d{ISO8601} level=%p channel=%c %m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(LevelFor(level));
}

std::string FormatEvent(std::string_view event,
                        std::initializer_list<Field> fields) {
  std::string line = "event=";
  line.append(event);
  for (const auto& [key, value] : fields) line += FormatField(key, value);
  return line;
}

std::string FormatField(std::string_view key, const std::string& value) {
  std::string out = " ";
  out.append(key);
  out.push_back('=');
  AppendValue(value, &out);
  return out;
}

std::optional<Level> LevelNamed(std::string_view name) {
  return ValueOf<Level>(kLevelNames, name);
}

void Event(Channel channel, Level level, std::string_view event,
           std::initializer_list<Field> fields) {
  const auto logger = LoggerFor(channel);
  if (!logger->isEnabledFor(LevelFor(level))) return;
  logger->forcedLog(LevelFor(level), FormatEvent(event, fields));
}

}  // namespace tiller::log
