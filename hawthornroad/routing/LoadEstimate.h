// Estimates the attempts in progress at one endpoint: the entry's own, which it
// counts, and those of other entries, which reports give with a delay.
//
//   LoadEstimate L;
//   L.dispatched(Now);
//   L.report(Running + Waiting, Now);   // seconds old, own ones included
//   double N = L.total(Now, TypicalOthers);
//
// A report includes the entry's own attempts at the time it was made, which is
// not known. Subtracting the current own attempts would underestimate the other
// entries' load by attempts begun since, and overestimate it by those ended
// since. Instead, the mean of the own attempts over the last few seconds, which
// is the lag of reports, is subtracted, and the remainder is the other entries'
// load. The current own attempts are then added, each counted once.
//
// A report becomes stale when the agent is silent. The other entries' load then
// converges from the reported value to the mean of the endpoint's peers, so
// that an endpoint last reported as idle does not attract every entry for as
// long as it is silent, and one last reported as full is not avoided.
//
// Cost: a few floating-point operations and at most one exp().

#ifndef HAWTHORNROAD_ROUTING_LOADESTIMATE_H
#define HAWTHORNROAD_ROUTING_LOADESTIMATE_H

#include "hawthornroad/base/Types.h"

#include <cstddef>

namespace hawthornroad {

class LoadEstimate {
public:
  void dispatched(TimePoint Now);
  // Ignored when no own attempt is in progress.
  void finished(TimePoint Now);
  // InProgress counts the attempts of all entries, running or waiting.
  void report(double InProgress, TimePoint Now);
  // Discards reports but not the own attempts, after a restart of the endpoint.
  void forgetReports();

  std::size_t own() const { return Own_; }
  // Other entries' attempts; Typical is the mean over the endpoint's peers.
  double others(TimePoint Now, double Typical) const;
  double total(TimePoint Now, double Typical) const;
  // Other entries' attempts by the last report alone, not averaged; may be
  // negative. Summed over many endpoints, its noise cancels out, and it shows a
  // change at once.
  double latestOthers() const { return Latest_; }
  // Other entries' attempts averaged over the reports, whatever their age.
  double reportedOthers() const { return Others_; }

private:
  // Updates the mean of the own attempts, weighted by recency, up to Now.
  void advance(TimePoint Now);

  std::size_t Own_ = 0;
  double MeanOwn_ = 0;
  TimePoint Updated_;
  double Others_ = 0;
  double Latest_ = 0;
  TimePoint Reported_;
  bool HasReport_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_LOADESTIMATE_H
