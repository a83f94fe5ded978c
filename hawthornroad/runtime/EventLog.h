// Structured log of a process: one JSON object per line on standard output.
//
//   EventLog Log({.Process_ = "zg-entry-1"});
//   Log.write(LogLine("attempt").text("request", Id).number("ms", 12.5));
//
// prints {"t":81.204,"process":"zg-entry-1","event":"attempt",
// "request":"...","ms":12.5}. "t" is seconds of the steady clock, which all
// processes of a machine share; "wall_ms" in the line "start" ties it to the
// time of day.
//
// write() never blocks on output: it appends to a bounded buffer that a
// dedicated thread writes out. Lines that do not fit are dropped and counted,
// and a "log_dropped" line reports them by event as soon as there is room.
//
// Ordinary and important lines have separate limits, so neither kind can push
// out the other. Each kind has a volume per second, a burst, and a number of
// bytes that may wait for the reader. Important lines are written at once, the
// others together after FlushDelay_.
//
// The destructor writes all queued lines within StopTimeout_ and drops what is
// left then. A process that is killed loses the ordinary lines of the last
// FlushDelay_, and the important ones that its thread had no time to write.

#ifndef HAWTHORNROAD_RUNTIME_EVENTLOG_H
#define HAWTHORNROAD_RUNTIME_EVENTLOG_H

#include "hawthornroad/base/Types.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace hawthornroad {

// Builds one line. Keys must be literals that need no escaping.
class LogLine {
public:
  // Event must be a literal.
  explicit LogLine(std::string_view Event);

  LogLine &text(std::string_view Key, std::string_view Value);
  LogLine &number(std::string_view Key, double Value);
  LogLine &count(std::string_view Key, std::uint64_t Value);
  LogLine &flag(std::string_view Key, bool Value);
  LogLine &millis(std::string_view Key, Duration D);

  const std::string &body() const { return Body_; }
  std::string_view event() const { return Event_; }

private:
  void key(std::string_view Key);
  std::string_view Event_;
  std::string Body_;
};

class EventLog {
public:
  struct Options {
    std::string Process_;
    int Descriptor_ = 1;
    std::size_t BufferBytes_ = 256 * 1024;
    // A busy entry writes about 60 KB/s; three times that rate is allowed. The
    // burst is one second's worth.
    double BytesPerSecond_ = 200 * 1024;
    // The same limits for important lines. The buffer, which is also their
    // burst, holds the lines of an entry whose 2,000 requests are cut at once.
    std::size_t ImportantBufferBytes_ = 2560 * 1024;
    double ImportantBytesPerSecond_ = 200 * 1024;
    // How long lines are buffered before they are written together.
    Duration FlushDelay_ = Milliseconds(200);
    // Nothing is written for this long after the start: the process prints its
    // ready line to the same descriptor, and that line comes first.
    Duration QuietStart_ = Milliseconds(200);
    // How long the destructor waits for a slow reader.
    Duration StopTimeout_ = Seconds(2);
  };

  explicit EventLog(Options O);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  void write(const LogLine &L, bool IsImportant = false);
  std::uint64_t dropped() const;
  // Milliseconds since the epoch by the system clock.
  static std::uint64_t wallMilliseconds();

private:
  // Limits of one kind of lines.
  struct Quota {
    double BytesPerSecond_ = 0;
    double Burst_ = 0;
    std::size_t BufferBytes_ = 0;
    double Allowance_ = 0;
    TimePoint RefilledAt_{};
    // Bytes in the buffer, and lines dropped since the last report.
    std::size_t Queued_ = 0;
    std::uint64_t Dropped_ = 0;

    bool tryReserve(std::size_t Bytes, TimePoint Now);
  };

  void run();
  void writeOut(std::string_view Lines);
  bool isOverdue() const;
  void append(const std::string &Body, TimePoint Now);
  void reportDropped(TimePoint Now);
  bool mustFlush() const;

  Options Options_;
  std::string Prefix_;
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  std::string Buffer_;
  Quota Ordinary_;
  Quota Important_;
  std::uint64_t Dropped_ = 0;
  // Lines dropped since the last report, by event.
  std::map<std::string, std::uint64_t, std::less<>> DroppedByEvent_;
  // Set by the destructor.
  std::optional<TimePoint> StopBy_;
  std::thread Thread_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_EVENTLOG_H
