#include "hawthornroad/traffic/TrafficState.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// The other process's times allow for the longest delay with which it may have
// heard of the version; only earlier ones contradict the times assumed here.
constexpr Duration MinCorrection = Seconds(1);
} // namespace

bool TrafficCore::requireVersion(const std::string &Model, WeightVersion V,
                                 TimePoint At, TimePoint Hard) {
  // Each version's limit counts from its own announcement: a later version does
  // not postpone the requirement of an earlier one.
  return Requirements_[Model]
      .try_emplace(V, VersionRequirement{At, Hard})
      .second;
}

bool TrafficCore::correctVersion(const std::string &Model, WeightVersion V,
                                 TimePoint At, TimePoint Hard) {
  auto Versions = Requirements_.find(Model);
  if (Versions == Requirements_.end())
    return false;
  auto Found = Versions->second.find(V);
  // A newer version than those known is taken from the operators' table.
  bool IsSuperseded = Found == Versions->second.end() &&
                      Versions->second.upper_bound(V) != Versions->second.end();
  bool IsEarlier =
      Found != Versions->second.end() && At + MinCorrection < Found->second.At_;
  if (!IsSuperseded && !IsEarlier)
    return false;
  Versions->second.insert_or_assign(V, VersionRequirement{At, Hard});
  return true;
}

WeightVersion TrafficCore::minVersion(const ServiceName &Service, TimePoint Now,
                                      bool IsHard) const {
  WeightVersion Out = 0;
  for (const Endpoint *E : Endpoints_.of(Service)) {
    if (!E->HasModel_ || E->Model_.empty())
      continue;
    auto Found = Requirements_.find(E->Model_);
    if (Found != Requirements_.end())
      for (const auto &[Version, Duty] : Found->second)
        if (Now >= (IsHard ? Duty.Hard_ : Duty.At_))
          Out = std::max(Out, Version);
    // All endpoints of a service serve one model.
    break;
  }
  return Out;
}

WeightVersion TrafficCore::newestRequired(const ServiceName &Service) const {
  return minVersion(Service, TimePoint::max());
}

// A request that an engine with an old version has not begun by the version's
// hard limit would run on weights that may no longer serve anybody.
bool TrafficCore::waitsAtOldVersion(const Record &R, const Attempt &T,
                                    TimePoint Now) const {
  if (!T.isRunning() || T.HasHead_ || Requirements_.empty())
    return false;
  auto V = Placement_.view(T.At_, Now);
  return V && V->Version_ != 0 &&
         V->Version_ < minVersion(R.Service_, Now, true);
}

// True when R has no attempt left because of that.
bool TrafficCore::endAtOldVersion(Record &R, TimePoint Now) {
  bool HasEnded = false;
  auto End = [&](Attempt &T) {
    if (!waitsAtOldVersion(R, T, Now))
      return;
    cancelAttempt(R, T, "queued at an engine with an old version", Now);
    HasEnded = true;
  };
  End(R.Current_);
  if (R.Silent_)
    End(*R.Silent_);
  return HasEnded && !continueWithOther(R, Now);
}

} // namespace hawthornroad
