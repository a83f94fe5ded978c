// Structured logs: one JSON object per line on standard error, through
// Boost.Log.
//
//   logInit({.Process_ = "zg-entry-1", .MinLevel_ = LogLevel::Info});
//   log(LogLevel::Info, Step::Dispatch, "attempt handed over",
//       {{"request", Id.str()}, {"peer", Agent.str()}});
//
// prints {"ts":"...","level":"info","process":"zg-entry-1","step":"dispatch",
// "msg":"attempt handed over","request":"...","peer":"..."}.
// Keys in use: request, attempt, peer, revision, version, service, customer,
// vm, detail. docs/OPERATING.md lists the messages.

#ifndef HAWTHORNROAD_RUNTIME_LOG_H
#define HAWTHORNROAD_RUNTIME_LOG_H

#include "hawthornroad/base/Error.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace hawthornroad {

enum class LogLevel { Debug, Info, Warning, Error };

// Parses "debug", "info", "warning", "error"; throws Error(Step::Settings).
LogLevel parseLogLevel(const std::string &Text);

struct LogSetup {
  std::string Process_;
  LogLevel MinLevel_ = LogLevel::Info;
};

struct LogField {
  std::string_view Key_;
  std::string Value_;
};

// Call once, before any thread starts.
void logInit(LogSetup Setup);

// Thread-safe. A message below the minimum level costs one comparison.
void log(LogLevel Level, Step Where, std::string_view Message,
         std::initializer_list<LogField> Fields = {});
bool logs(LogLevel Level);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_LOG_H
