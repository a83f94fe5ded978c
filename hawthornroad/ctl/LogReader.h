// Merges the structured logs of many processes (runtime/EventLog) into one
// timeline.
//
//   LogTimeline Timeline;
//   Timeline.read(Stream);
//   for (const LogEvent &E : Timeline.eventsOfRequest("9c41d07be2a35f68")) ...
//   for (const auto &[Cause, Count] : Timeline.refusals()) ...
//
// Each process stamps its lines with the monotonic clock of its machine. Its
// "start" line also carries the wall-clock time, from which the wall-clock time
// of its other lines is computed. Events of one process are in their true
// order; the order between processes is as accurate as the wall clocks of their
// machines.
//
// Lines that are not events of this system are counted and skipped: a killed
// process truncates its last line, and other output is mixed into the logs.

#ifndef HAWTHORNROAD_CTL_LOGREADER_H
#define HAWTHORNROAD_CTL_LOGREADER_H

#include <boost/json/object.hpp>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace hawthornroad {

struct LogEvent {
  std::string Process_;
  // Seconds on the process's monotonic clock, and seconds since the epoch (0
  // when no start line of the process precedes the event).
  double MonotonicTime_ = 0;
  double WallTime_ = 0;
  // Number of starts of the process so far. A restarted process keeps no state
  // of an earlier run.
  unsigned Run_ = 0;
  boost::json::object Fields_;

  std::string text(std::string_view Key) const;
  bool has(std::string_view Key) const {
    return Fields_.contains({Key.data(), Key.size()});
  }
  // 0 when the field is missing or no number.
  double number(std::string_view Key) const;
  std::string kind() const { return text("event"); }
};

class LogTimeline {
public:
  void read(std::istream &In);

  std::size_t lines() const { return Events_.size(); }
  std::size_t badLines() const { return BadLines_; }
  // Lines that processes reported as dropped.
  std::uint64_t droppedLines() const { return Dropped_; }

  const std::vector<LogEvent> &events() const { return Events_; }

  // All events that name the request, in order, with the state of each process
  // involved when the request arrived: configuration, store, readiness, and the
  // endpoints that the request was sent to; the pauses of these processes while
  // it was open; and, where its end line is missing, the end of the process.
  std::vector<LogEvent> eventsOfRequest(const std::string &Id) const;
  // The events that name the request, in order, for each run of a process.
  std::vector<std::vector<LogEvent>>
  linesOfRequest(const std::string &Id) const;
  // The events "stopping" and "stop" of that run from the given event on, and
  // the process's next "start".
  std::vector<const LogEvent *> endOfRun(const LogEvent &From) const;

  struct CauseCount {
    std::size_t Count_ = 0;
    // Id of one such request, as an argument to "trace".
    std::string Example_;
  };
  // Requests with an error status or a cause of failure, by status and cause.
  std::map<std::string, CauseCount> refusals() const;
  std::size_t requests() const;

private:
  void addPrecedingState(const LogEvent &First,
                         const std::vector<LogEvent> &RequestEvents,
                         std::vector<LogEvent> &Out) const;
  void addLaterState(const std::vector<LogEvent> &RequestEvents,
                     std::vector<LogEvent> &Out) const;

  std::vector<LogEvent> Events_;
  // The latest start of each process: its number, and the offset of the wall
  // clock from the monotonic clock.
  struct Start {
    unsigned Run_ = 0;
    double Offset_ = 0;
  };
  std::map<std::string, Start> Starts_;
  std::size_t BadLines_ = 0;
  std::uint64_t Dropped_ = 0;
};

// "time process event key=value ...", for people.
std::string describe(const LogEvent &E);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_LOGREADER_H
