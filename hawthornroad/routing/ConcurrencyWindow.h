// How many attempts this entry may have in progress in one pool of endpoints,
// learnt from the endpoints' refusals.
//
//   ConcurrencyWindow W;
//   if (W.allows(OwnInProgress)) dispatch;
//   W.answered(OwnInProgress);
//   W.refused(OwnInProgress);
//
// In overload every entry would fill each place it believes free, by reports
// that are seconds old, and endpoints would refuse a good part of it all. As in
// TCP's congestion control, a refusal shrinks the window by a factor and
// answers widen it by a little, the more the longer no refusal has come. All
// entries doing so share the places about evenly, with no word between them,
// and few attempts are refused.
//
// Without a refusal there is no bound. The window is never below one attempt,
// so that no entry is shut out.

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
