// Structured logs of a process: one JSON object a line on standard output.
//
//   EventLog Log({.Process_ = "zg-entry-1"});
//   Log.write(LogLine("attempt").text("request", Id).number("ms", 12.5));
//
// prints {"t":81.204,"process":"zg-entry-1","event":"attempt",
// "request":"...","ms":12.5}. "t" is seconds of the steady clock, which all
// processes of a machine share; "wall_ms" in the line "start" ties it to the
// time of day.
//
// Writing never blocks the work: a line goes into a bounded buffer that a
// thread of its own writes out. A reader that stops reading costs lines, not
// requests: what does not fit is dropped, counted, and told by a line
// "log_dropped" as soon as there is room. Bound on volume: BytesPerSecond with
// a burst of as much; lines marked important pass it, the buffer bounds them.

#ifndef HAWTHORNROAD_RUNTIME_EVENTLOG_H
#define HAWTHORNROAD_RUNTIME_EVENTLOG_H

#include "hawthornroad/base/Types.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace hawthornroad {

// Builds one line. Keys are literals of this program and are not escaped.
class LogLine {
public:
  explicit LogLine(std::string_view Event);

  LogLine &text(std::string_view Key, std::string_view Value);
  LogLine &number(std::string_view Key, double Value);
  LogLine &count(std::string_view Key, std::uint64_t Value);
  LogLine &flag(std::string_view Key, bool Value);
  LogLine &millis(std::string_view Key, Duration D);

  const std::string &body() const { return Body_; }

private:
  void key(std::string_view Key);
  std::string Body_;
};

class EventLog {
public:
  struct Options {
    std::string Process_;
    int Descriptor_ = 1;
    std::size_t BufferBytes_ = 256 * 1024;
    // A busy entry writes about 60 KB/s; three times as much passes.
    double BytesPerSecond_ = 200 * 1024;
    // How long lines gather before they are written out together.
    Duration Gather_ = Milliseconds(200);
  };

  explicit EventLog(Options O);
  // Writes out what is left, but waits for a reader at most once.
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  void write(const LogLine &L, bool IsImportant = false);
  std::uint64_t dropped() const;
  // Since the epoch, by this machine's time of day.
  static std::uint64_t wallMilliseconds();

private:
  void run();
  bool fits(std::size_t Bytes, bool IsImportant, TimePoint Now);
  void append(const std::string &Body, TimePoint Now);

  Options Options_;
  std::string Prefix_;
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  std::string Buffer_;
  double Allowance_;
  TimePoint RefilledAt_;
  std::uint64_t Dropped_ = 0;
  std::uint64_t DroppedUntold_ = 0;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_EVENTLOG_H
