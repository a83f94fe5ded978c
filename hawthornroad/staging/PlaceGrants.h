// Grants the places of one engine to the entries that ask for them.
//
//   PlaceGrants Grants;
//   Grants.onReport(Running, Waiting, AskedAt);  // what the engine reports
//   if (Grants.isFresh(Now)) Answer = Grants.ask(Kind, Pace, Now);
//
// Entries know an engine only by reports that are at least a tenth of a second
// old, and do not see what other entries send meanwhile. With forty entries and
// thirty engines, all entries sent to the engine that had looked least loaded:
// requests queued there for more than a second and were answered late or not at
// all, while other engines had free places. The agent beside the engine knows
// its current state, so it decides.
//
// A granted place is used when its request arrives, and then shows in the
// engine's report. Until a report that was asked for at least Transit after the
// grant, the place counts as taken. So a grant whose request never arrives
// expires by itself, and no release message is needed.
//
// Load pattern: many entries see one idle engine at once, and prompts have very
// different lengths. What queues at the engine is counted by the time to read
// it. Prompts are read in the order of their arrival, so the requests that the
// engine reports as waiting are the last ones granted. An engine may state that
// it works slower than usual now; what queues then takes longer to read
// (traffic/EndpointSpeed).
//
// No I/O, no clock, no threads. Memory: the grants of the last Transit and of
// the time between two reports.

#ifndef HAWTHORNROAD_STAGING_PLACEGRANTS_H
#define HAWTHORNROAD_STAGING_PLACEGRANTS_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/traffic/EndpointSpeed.h"

#include <deque>
#include <optional>

namespace hawthornroad {

// Kind of request that a place is asked for.
enum class PlaceKind {
  First,
  // Can no longer be answered by its deadline.
  Late,
  // Continues an answer that has begun.
  Resumed
};

class PlaceGrants {
public:
  struct Options {
    // Time from a grant to the request's arrival at the engine: a round trip to
    // another region, with a new connection.
    Duration Transit_ = Milliseconds(15);
    // Age after which a report is renewed before a place is granted. An engine
    // begins and ends a request about every tenth of a second.
    Duration MaxReportAge_ = Milliseconds(15);
    // Most prompts that may be queued before a request, as time to process
    // them. Beyond it another engine would serve the request sooner.
    Duration MostReading_ = Milliseconds(100);
    // Share of the places that is kept free.
    double PlacesKept_ = 0;
    // Share of the places that late requests must leave free.
    double KeptFromLate_ = 0.2;
    // Extra places beyond the batch for answers that have begun: their callers
    // already have half of the answer, and the engine schedules them first.
    unsigned ExtraForResumed_ = 2;
  };
  // Capacity of the engine as configured.
  struct Pace {
    unsigned Places_ = 1;
    // Time to process a typical prompt.
    Duration Reading_ = Duration::zero();
  };

  PlaceGrants() = default;
  explicit PlaceGrants(Options O) : Options_(O) {}

  // AskedAt: when the engine was asked. Slowdown: how long work takes there
  // now, relative to the usual time; unset when it is not stated.
  void onReport(unsigned Running, unsigned Waiting, TimePoint AskedAt,
                std::optional<double> Slowdown = std::nullopt);
  bool isFresh(TimePoint Now) const {
    return ReportedAt_ && Now - *ReportedAt_ <= Options_.MaxReportAge_;
  }
  // Returns whether a place is granted; a granted place counts as taken.
  // Reading: the time to process this request's prompt, if known.
  bool ask(PlaceKind Kind, const Pace &P, TimePoint Now,
           std::optional<Duration> Reading = std::nullopt);
  // Time to process the prompts queued before the next request, at usual speed.
  Duration queuedReading(const Pace &P) const;
  unsigned running() const { return Running_; }
  const EndpointSpeed &speed() const { return Speed_; }
  // Requests reported as waiting, and grants not yet in a report.
  unsigned waiting() const {
    return Waiting_ + static_cast<unsigned>(Granted_.size());
  }

private:
  struct Grant {
    TimePoint At_;
    Duration Reading_;
  };
  // Grants remembered after their Transit: more than an engine queues.
  static constexpr std::size_t MaxArrived = 64;

  Options Options_;
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  EndpointSpeed Speed_;
  std::optional<TimePoint> ReportedAt_;
  std::deque<Grant> Granted_;
  // Prompts of the requests that have arrived at the engine, newest last.
  std::deque<Duration> Arrived_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_PLACEGRANTS_H
