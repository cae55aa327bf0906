// Implementation of structured logging with log4cxx.
#include "Common/log.h"

#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>

#include "Common/line_limit.h"
#include "Common/names.h"

namespace tiller::log {
namespace {

std::atomic<std::uint64_t> g_dropped_lines{0};

// Writes to a non-blocking file descriptor. The appenders of log4cxx block on a
// slow reader, and its asynchronous appender needs an additional thread.
class DescriptorAppender final : public log4cxx::AppenderSkeleton {
 public:
  DescriptorAppender(int descriptor, const log4cxx::LayoutPtr& layout)
      : m_descriptor(descriptor), m_layout(layout) {
    setLayout(layout);
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0) fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
  void close() override {}
  bool requiresLayout() const override { return true; }

 protected:
  // Called with the appender locked.
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            std::chrono::steady_clock::now().time_since_epoch())
                            .count();
    if (const auto left_out = m_limit.TakeLeftOut(second); left_out > 0) {
      Write("level=WARN channel=daemon event=log_lines_left_out count=" +
            std::to_string(left_out) + "\n");
    }
    if (!m_limit.Allow(KindOf(*event), second)) {
      ++g_dropped_lines;
      return;
    }
    log4cxx::LogString line;
    m_layout->format(line, event, pool);
    Write(line);
  }

 private:
  static LineKind KindOf(const log4cxx::spi::LoggingEvent& event) {
    if (event.getLevel()->isGreaterOrEqual(log4cxx::Level::getWarn())) {
      return LineKind::kImportant;
    }
    const auto& channel = event.getLoggerName();
    const bool request = channel == NameOf(kChannelNames, Channel::kTraffic) ||
                         channel == NameOf(kChannelNames, Channel::kEndpoint);
    return request ? LineKind::kRequest : LineKind::kDecision;
  }
  void Write(const std::string& line) {
    const auto written = write(m_descriptor, line.data(), line.size());
    if (written != static_cast<ssize_t>(line.size())) ++g_dropped_lines;
  }

  const int m_descriptor;
  const log4cxx::LayoutPtr m_layout;
  LineLimit m_limit;
};

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

// Maximum length of a value in a line. Values may be texts of callers.
constexpr std::size_t kMaxValueLength = 512;

bool IsPrintable(char c) { return c >= ' ' && c <= '~'; }

// Appends the character so that it can't end the value or the line.
void AppendEscaped(char c, std::string* out) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  if (!IsPrintable(c)) {
    const auto byte = static_cast<unsigned char>(c);
    out->append("\\x");
    out->push_back(kHexDigits[byte >> 4]);
    out->push_back(kHexDigits[byte & 15]);
    return;
  }
  if (c == '"' || c == '\\') out->push_back('\\');
  out->push_back(c);
}

void AppendValue(std::string_view value, std::string* line) {
  const bool plain = !value.empty() && value.size() <= kMaxValueLength &&
                     value.find_first_of(" \"=\\") == std::string_view::npos &&
                     std::all_of(value.begin(), value.end(), IsPrintable);
  if (plain) {
    line->append(value);
    return;
  }
  line->push_back('"');
  const auto start = line->size();
  for (const char c : value) {
    if (line->size() - start >= kMaxValueLength) {
      line->append("... (" + std::to_string(value.size()) + " bytes)");
      break;
    }
    AppendEscaped(c, line);
  }
  line->push_back('"');
}

}  // namespace

void Configure(Level level) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("time=%d{ISO8601} level=%p channel=%c %m%n"));
  const auto appender =
      std::make_shared<DescriptorAppender>(STDOUT_FILENO, layout);
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(LevelFor(level));
}

std::uint64_t DroppedLines() { return g_dropped_lines; }

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

std::string MillisecondsText(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<Milliseconds>(duration).count());
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
