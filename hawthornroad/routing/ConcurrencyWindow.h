// Limits the attempts this entry has in progress in one pool of endpoints,
// adapting to the endpoints' refusals.
//
//   ConcurrencyWindow W;
//   if (W.allows(OwnInProgress)) dispatch;
//   W.answered(OwnInProgress);
//   W.refused(OwnInProgress);
//
// Under overload every entry would fill each place it believes to be free, from
// reports that are seconds old, and endpoints would refuse many of the
// attempts. As in TCP congestion control, a refusal shrinks the window and
// answers widen it gradually, so it grows with the time since the last refusal.
// All entries together thereby share the places about evenly without
// communicating, and few attempts are refused.
//
// Without a refusal there is no limit. The window never falls below one
// attempt, so that no entry is starved.

#ifndef HAWTHORNROAD_ROUTING_CONCURRENCYWINDOW_H
#define HAWTHORNROAD_ROUTING_CONCURRENCYWINDOW_H

#include <limits>

namespace hawthornroad {

class ConcurrencyWindow {
public:
  bool allows(double InProgress) const { return InProgress + 1 <= Size_; }
  void answered(double InProgress);
  void refused(double InProgress);
  double size() const { return Size_; }

private:
  double Size_ = std::numeric_limits<double>::infinity();
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_CONCURRENCYWINDOW_H
