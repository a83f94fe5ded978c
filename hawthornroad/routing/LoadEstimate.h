// How many attempts one endpoint has in progress, as far as this entry can
// know: its own, which it counts, and the others', which reports tell late.
//
//   LoadEstimate L;
//   L.dispatched(Now);
//   L.report(Running + Waiting, Now);   // seconds old, own ones included
//   double N = L.total(Now, TypicalOthers);
//
// A report counts the entry's own attempts of the moment it was made, which is
// not known. Taking off those in progress now would count attempts begun since
// as the others' absence, and those ended since as the others' presence. So the
// mean of the own attempts over the last few seconds, which is what reports lag
// by, is taken off instead, and what remains is the others' load. On top of it
// come the own attempts of now, each counted once.
//
// A report grows old when the agent is silent. The others' load then drifts
// from what was reported to what is typical of its peers: an endpoint last
// heard of as idle must not draw everybody for the length of its silence, nor
// one heard of as full be shunned.
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
  // Ignored when none is in progress.
  void finished(TimePoint Now);
  // InProgress counts everybody's attempts, running or waiting.
  void report(double InProgress, TimePoint Now);
  // Forgets reports, not the own attempts: the endpoint has restarted.
  void forgetReports();

  std::size_t own() const { return Own_; }
  // The others' attempts; Typical is the mean over the endpoint's peers.
  double others(TimePoint Now, double Typical) const;
  double total(TimePoint Now, double Typical) const;
  // The last report alone, not averaged; may be below zero. Summed over many
  // endpoints, its noise cancels out and it tells of a change at once.
  double latestOthers() const { return Latest_; }
  // The average of the reports, however old.
  double reportedOthers() const { return Others_; }

private:
  // The mean of the own attempts, weighted by how recent they were.
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
