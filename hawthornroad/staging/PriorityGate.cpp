#include "hawthornroad/staging/PriorityGate.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

std::size_t PriorityGate::indexOf(int Rank) {
  return static_cast<std::size_t>(
      std::clamp(Rank, 0, static_cast<int>(Priorities) - 1));
}

int PriorityGate::order(const Query &Q) {
  if (Q.Kind_ == PlaceKind::Resumed || !Q.Rank_)
    return 0;
  if (Q.IsOwed_)
    return 1;
  return 1 + static_cast<int>(indexOf(*Q.Rank_));
}

std::optional<int> PriorityGate::blocker(std::size_t Index,
                                         TimePoint Now) const {
  for (std::size_t I = 0; I < Index; ++I) {
    const std::optional<TimePoint> &At = States_.at(I).RefusedAt_;
    if (At && Now - *At < Options_.Hold_)
      return static_cast<int>(I);
  }
  return std::nullopt;
}

bool PriorityGate::permits(const Query &Q, TimePoint Now) const {
  if (!Q.Rank_ || Q.IsOwed_ || Q.Kind_ == PlaceKind::Resumed)
    return true;
  return !blocker(indexOf(*Q.Rank_), Now);
}

void PriorityGate::refused(const Query &Q, TimePoint Now) {
  if (!Q.Rank_)
    return;
  State &S = States_.at(indexOf(*Q.Rank_));
  if (!permits(Q, Now))
    ++S.Withheld_;
  if (Q.Kind_ != PlaceKind::Late)
    S.RefusedAt_ = Now;
}

std::vector<PriorityGate::Change> PriorityGate::takeChanges(TimePoint Now) {
  std::vector<Change> Out;
  for (std::size_t I = 0; I < Priorities; ++I) {
    State &S = States_.at(I);
    std::optional<int> Behind = blocker(I, Now);
    bool IsChange =
        S.IsReportedClosed_ ? !Behind : Behind.has_value() && S.Withheld_ > 0;
    if (!IsChange ||
        (S.ReportedAt_ && Now - *S.ReportedAt_ < Options_.ReportInterval_))
      continue;
    S.IsReportedClosed_ = Behind.has_value();
    S.ReportedAt_ = Now;
    Out.push_back({static_cast<int>(I), S.IsReportedClosed_, Behind,
                   std::exchange(S.Withheld_, 0)});
  }
  return Out;
}

} // namespace hawthornroad
