// Reads the structured logs of many processes (runtime/EventLog) as one story.
//
//   LogStory Story;
//   Story.read(Stream, "entry.log");
//   for (const LogEvent &E : Story.ofRequest("9c41d07be2a35f68")) ...
//   for (const auto &[Cause, Count] : Story.refusals()) ...
//
// Each process stamps its lines with a steady clock of its own machine; its
// line "start" names the time of day at that moment, which places all of them.
// Events of one process are in their true order; between processes the order is
// as good as the machines' times of day.
//
// A line that is not one of ours is counted and passed over: logs are cut off
// by kills and mixed with other output.

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
  // Seconds of the process's own clock, and since the epoch when its start line
  // was read before (else 0).
  double Own_ = 0;
  double Wall_ = 0;
  // Counts the process's starts: a restarted one believes nothing of before.
  unsigned Run_ = 0;
  boost::json::object Fields_;

  std::string text(std::string_view Key) const;
  std::string kind() const { return text("event"); }
};

class LogStory {
public:
  void read(std::istream &In);

  std::size_t lines() const { return Events_.size(); }
  std::size_t badLines() const { return BadLines_; }
  // Lines that processes said they had dropped.
  std::uint64_t droppedLines() const { return Dropped_; }

  // Everything that names the request, in order, after what its processes
  // believed when it came: configuration, store, readiness, and the endpoints
  // that it was sent to.
  std::vector<LogEvent> ofRequest(const std::string &Id) const;

  struct CauseCount {
    std::size_t Count_ = 0;
    // One request of this kind, to trace.
    std::string Example_;
  };
  // Requests that were not answered by an endpoint, by status and cause.
  std::map<std::string, CauseCount> refusals() const;
  std::size_t requests() const;

private:
  void addBeliefs(const LogEvent &First, const std::vector<LogEvent> &Own,
                  std::vector<LogEvent> &Out) const;

  std::vector<LogEvent> Events_;
  // The latest start of each process: its number, and the difference between
  // the time of day and its clock.
  struct Start {
    unsigned Run_ = 0;
    double Offset_ = 0;
  };
  std::map<std::string, Start> Starts_;
  std::size_t BadLines_ = 0;
  std::uint64_t Dropped_ = 0;
};

// "process event key=value ...", for a reader.
std::string describe(const LogEvent &E);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_LOGREADER_H
