// What a soak itself knows to have happened, with times: disruptions of
// processes and paths, stop signals, and the runs of each request.
//
//   SoakRecord Record;
//   Record.beginDisruption("entry-1", Now); ...
//   Record.endDisruption("entry-1", Now);
//   std::size_t Run = Record.beginRun(Id, "i-2", Now);
//   Record.endRun(Id, Run, SoakRun::End::Whole, Now);
//   Record.isDisrupted("entry-1", From, To);
//
// Thread-safe: endpoints report from their own threads.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKRECORD_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKRECORD_H

#include "hawthornroad/base/Types.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

struct SoakSpan {
  TimePoint From_;
  TimePoint To_ = TimePoint::max();
};

// One arrival of a request at an endpoint.
struct SoakRun {
  enum class End {
    AtWork,
    Whole,
    // By the endpoint, midway.
    BrokenOff,
    // By the process that had sent it.
    Cut,
    // Rejected, and not run.
    Rejected
  };
  std::string Endpoint_;
  std::string Service_;
  std::string Zone_;
  TimePoint From_;
  TimePoint To_ = TimePoint::max();
  End End_ = End::AtWork;
  // How long its sender still waited, as it stated.
  std::optional<Duration> Left_;
  // It was sent to another endpoint's address: answered with 421.
  bool IsMisdirected_ = false;
};

// A time for which an endpoint is cold.
struct SoakColdSpan {
  TimePoint From_;
  TimePoint To_;
  // Entries are told that it is limited by agents only.
  bool NeedsAgents_ = false;
};

class SoakRecord {
public:
  // A target has one disruption at a time: a second begin changes nothing.
  void beginDisruption(const std::string &Target, TimePoint At);
  void endDisruption(const std::string &Target, TimePoint At);
  bool isDisrupted(const std::string &Target, TimePoint From,
                   TimePoint To) const;

  // Whether there was a time of this length within which nothing that the soak
  // did kept the entry from the store, or from work.
  bool hadContact(const std::string &Entry, Duration For, TimePoint From,
                  TimePoint To) const;
  std::vector<SoakSpan> disruptions(const std::string &Target) const;
  // Targets of disruptions: the store itself, the path to it, all agents, and
  // a zone while it is evacuated.
  static constexpr auto Store = "store";
  static constexpr auto Agents = "agents";
  static std::string storePath(const std::string &Entry) {
    return "store path " + Entry;
  }
  static std::string evacuation(const std::string &Zone) {
    return "evacuation " + Zone;
  }

  // An engine crashes at the crashing part, and starts again later.
  void engineCrashes(const std::string &Endpoint, TimePoint At);
  // In order of time.
  std::vector<TimePoint> engineCrashes() const;
  // An engine begins to work on a request with the crashing part.
  void crashingPartBegins(TimePoint At);
  std::vector<TimePoint> crashingPartBegins() const;

  void becomesCold(const std::string &Endpoint, const SoakColdSpan &S);
  std::map<std::string, std::vector<SoakColdSpan>> coldSpans() const;

  // Signals to a process, "entry-2#4".
  void stopSignal(const std::string &Process, TimePoint At);
  std::vector<TimePoint> stopSignals(const std::string &Process) const;

  // Returns the run's number among those of this request.
  std::size_t beginRun(const std::string &Request, const std::string &Endpoint,
                       TimePoint At);
  std::size_t beginRun(const std::string &Request, SoakRun R);
  // Only a run's first end counts.
  void endRun(const std::string &Request, std::size_t Run, SoakRun::End End,
              TimePoint At);
  // Ends the runs of an endpoint that ends.
  void endpointEnds(const std::string &Endpoint, TimePoint At);
  std::vector<SoakRun> runs(const std::string &Request) const;
  // How often the request ran, without rejections.
  int countRuns(const std::string &Request) const;
  // The same without runs at endpoints that had ended or crashed before the
  // last run.
  int countRunsAtLiving(const std::string &Request) const;

private:
  mutable std::mutex Mutex_;
  std::map<std::string, std::vector<SoakSpan>> Disruptions_;
  std::map<std::string, std::vector<TimePoint>> StopSignals_;
  std::map<std::string, std::vector<SoakRun>> Runs_;
  std::map<std::string, std::vector<SoakColdSpan>> ColdSpans_;
  // By endpoint.
  std::map<std::string, TimePoint> Ended_;
  std::map<std::string, std::vector<TimePoint>> Crashes_;
  std::vector<TimePoint> CrashingPartBegins_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKRECORD_H
