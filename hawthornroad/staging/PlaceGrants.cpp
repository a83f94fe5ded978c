#include "hawthornroad/staging/PlaceGrants.h"

#include <cmath>

namespace hawthornroad {

void PlaceGrants::onReport(unsigned Running, unsigned Waiting,
                           TimePoint AskedAt, std::optional<double> Slowdown) {
  Running_ = Running;
  Waiting_ = Waiting;
  Speed_.note(Slowdown, AskedAt);
  ReportedAt_ = AskedAt;
  while (!Granted_.empty() &&
         Granted_.front().At_ + Options_.Transit_ <= AskedAt) {
    Arrived_.push_back(Granted_.front().Reading_);
    Granted_.pop_front();
  }
  while (Arrived_.size() > MaxArrived)
    Arrived_.pop_front();
}

Duration PlaceGrants::queuedReading(const Pace &P) const {
  Duration Queued = Duration::zero();
  for (const Grant &Each : Granted_)
    Queued += Each.Reading_;
  auto Newest = Arrived_.rbegin();
  for (unsigned I = 0; I < Waiting_; ++I)
    Queued += Newest == Arrived_.rend() ? P.Reading_ : *Newest++;
  return Queued;
}

bool PlaceGrants::ask(PlaceKind Kind, const Pace &P, TimePoint Now,
                      std::optional<Duration> Reading) {
  double Places = std::round(P.Places_ * (1 - Options_.PlacesKept_));
  if (Kind == PlaceKind::Late)
    Places -= std::ceil(Places * Options_.KeptFromLate_);
  if (Kind == PlaceKind::Resumed)
    Places += Options_.ExtraForResumed_;
  if (Running_ + waiting() >= Places)
    return false;
  if (queuedReading(P) * Speed_.factor(Now) >= Options_.MostReading_)
    return false;
  Granted_.push_back({Now, Reading.value_or(P.Reading_)});
  return true;
}

} // namespace hawthornroad
