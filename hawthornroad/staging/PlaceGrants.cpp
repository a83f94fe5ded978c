#include "hawthornroad/staging/PlaceGrants.h"

#include <cmath>

namespace hawthornroad {

void PlaceGrants::onReport(unsigned Running, unsigned Waiting,
                           TimePoint AskedAt) {
  Running_ = Running;
  Waiting_ = Waiting;
  ReportedAt_ = AskedAt;
  while (!Granted_.empty() && Granted_.front() + Options_.Transit_ <= AskedAt)
    Granted_.pop_front();
}

bool PlaceGrants::ask(PlaceKind Kind, const Pace &P, TimePoint Now) {
  double Places = std::round(P.Places_ * (1 - Options_.PlacesKept_));
  if (Kind == PlaceKind::Late)
    Places -= std::ceil(Places * Options_.KeptFromLate_);
  if (Kind == PlaceKind::Resumed)
    Places += Options_.ExtraForResumed_;
  if (Running_ + waiting() >= Places)
    return false;
  if (waiting() * P.Reading_ >= Options_.MostReading_)
    return false;
  Granted_.push_back(Now);
  return true;
}

} // namespace hawthornroad
