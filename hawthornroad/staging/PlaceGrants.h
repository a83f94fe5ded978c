// Gives out the places of one engine to the entries that ask for them.
//
//   PlaceGrants Grants;
//   Grants.reported(Running, Waiting, AskedAt);       // the engine's own word
//   if (Grants.isFresh(Now)) Answer = Grants.ask(Kind, Pace, Now);
//
// Entries know an engine by reports that are a tenth of a second old or more,
// and not at all what the others send meanwhile. Forty of them before thirty
// engines all sent to the engine that had looked emptiest: requests stood there
// for more than a second and came late or not at all, while other engines had
// places. The agent beside the engine knows it at any moment, so it decides.
//
// A place that was granted is taken when its request arrives, and is then part
// of the engine's report. Until a report that is later by Transit can show it,
// it counts as taken; so one whose request never comes is free again soon, and
// nobody has to give it back.
//
// No I/O, no clock, no threads. Memory: the grants of the last Transit and of
// the time between two reports.

#ifndef HAWTHORNROAD_STAGING_PLACEGRANTS_H
#define HAWTHORNROAD_STAGING_PLACEGRANTS_H

#include "hawthornroad/base/Types.h"

#include <deque>
#include <optional>

namespace hawthornroad {

// Who asks for a place.
enum class PlaceKind {
  First,
  // Cannot be answered in time any more.
  Late,
  // Goes on with an answer that has begun.
  Resumed
};

class PlaceGrants {
public:
  struct Options {
    // From a grant to the request's arrival at the engine: to another region
    // and back, with a new connection.
    Duration Transit_ = Milliseconds(15);
    // A report older than this is asked for anew before an answer. An engine
    // begins and ends a request about every tenth of a second.
    Duration Fresh_ = Milliseconds(15);
    // Prompts that may stand before a request, as reading time. Beyond it, it
    // is served sooner elsewhere.
    Duration MostReading_ = Milliseconds(100);
    // Part of the places that is left empty.
    double PlacesKept_ = 0;
    // Part of the places that late requests leave free.
    double KeptFromLate_ = 0.2;
    // Places beyond the batch for answers that have begun: their callers have
    // half of what they wait for, and the engine takes them first.
    unsigned ExtraForResumed_ = 2;
  };
  // Of the engine, as declared.
  struct Pace {
    unsigned Places_ = 1;
    // Reading a usual prompt.
    Duration Reading_ = Duration::zero();
  };

  PlaceGrants() = default;
  explicit PlaceGrants(Options O) : Options_(O) {}

  // AskedAt: when the engine was asked.
  void reported(unsigned Running, unsigned Waiting, TimePoint AskedAt);
  bool isFresh(TimePoint Now) const {
    return ReportedAt_ && Now - *ReportedAt_ <= Options_.Fresh_;
  }
  // Counts the place as taken when it is granted.
  bool ask(PlaceKind Kind, const Pace &P, TimePoint Now);
  unsigned running() const { return Running_; }
  // Reported, and granted since.
  unsigned waiting() const {
    return Waiting_ + static_cast<unsigned>(Granted_.size());
  }

private:
  Options Options_;
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  std::optional<TimePoint> ReportedAt_;
  std::deque<TimePoint> Granted_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_PLACEGRANTS_H
