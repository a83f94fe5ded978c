#include "hawthornroad/runtime/Log.h"

#include <array>
#include <atomic>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <ctime>
#include <iostream>

namespace hawthornroad {

namespace {
constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info",
                                                        "warning", "error"};

std::atomic<LogLevel> MinLevel{LogLevel::Info};
std::string &processName() {
  static std::string Name;
  return Name;
}

// The current time in RFC 3339 format, in UTC with milliseconds.
std::string timestamp() {
  auto Now = std::chrono::system_clock::now();
  std::time_t Whole = std::chrono::system_clock::to_time_t(Now);
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                    Now.time_since_epoch())
                    .count() %
                1000;
  std::tm Parts;
  gmtime_r(&Whole, &Parts);
  std::array<char, 32> Text;
  std::size_t Used =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::snprintf(Text.data() + Used, Text.size() - Used, ".%03dZ",
                static_cast<int>(Millis));
  return Text.data();
}
} // namespace

LogLevel parseLogLevel(const std::string &Text) {
  for (std::size_t I = 0; I < LevelNames.size(); ++I)
    if (LevelNames[I] == Text)
      return static_cast<LogLevel>(I);
  throw Error(Step::Settings, "",
              "log level \"" + Text +
                  "\" is none of debug, info, warning, error");
}

void logInit(LogSetup Setup) {
  namespace bl = boost::log;
  processName() = std::move(Setup.Process_);
  MinLevel.store(Setup.MinLevel_);
  auto Sink = bl::add_console_log(std::cerr);
  Sink->set_formatter(bl::expressions::stream << bl::expressions::smessage);
  Sink->locked_backend()->auto_flush(true);
}

bool logs(LogLevel Level) {
  return Level >= MinLevel.load(std::memory_order_relaxed);
}

void log(LogLevel Level, Step Where, std::string_view Message,
         std::initializer_list<LogField> Fields) {
  if (!logs(Level))
    return;
  boost::json::object Line;
  Line["ts"] = timestamp();
  auto LevelName = LevelNames[static_cast<std::size_t>(Level)];
  Line["level"] = boost::json::string_view(LevelName.data(), LevelName.size());
  Line["process"] = processName();
  auto StepName = toString(Where);
  Line["step"] = boost::json::string_view(StepName.data(), StepName.size());
  Line["msg"] = boost::json::string_view(Message.data(), Message.size());
  for (const LogField &Field : Fields)
    if (!Field.Value_.empty())
      Line[boost::json::string_view(Field.Key_.data(), Field.Key_.size())] =
          Field.Value_;
  thread_local boost::log::sources::logger Logger;
  BOOST_LOG(Logger) << boost::json::serialize(Line);
}

} // namespace hawthornroad
