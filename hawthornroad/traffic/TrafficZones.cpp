#include "hawthornroad/traffic/RequestScope.h"
#include "hawthornroad/traffic/TrafficState.h"

#include <algorithm>

namespace hawthornroad {

const RegionScope &TrafficCore::scopeOf(Record &R) const {
  if (R.ScopedAt_ == ConfigChanges_ || !Config_ || !R.Config_)
    return R.Scope_;
  R.Scope_ = requestScope(*Config_, *R.Config_, R.Call_, R.Customer_);
  R.ScopedAt_ = ConfigChanges_;
  return R.Scope_;
}

Placement::Query TrafficCore::queryFor(Record &R, TimePoint Now) const {
  Placement::Query Q;
  Q.Service_ = R.Service_;
  Q.MinVersion_ = minVersion(R.Service_, Now);
  Q.IsLate_ = R.IsLate_;
  Q.Rank_ = askRank(R);
  Q.MayAsk_ = Options_.AsksForPlaces_;
  if (R.Route_ != nullptr)
    Q.TimeLeft_ = callerLeavesAt(R) - Now;
  if (const RegionScope &Scope = scopeOf(R); Scope.isLimited())
    Q.Regions_ = &Scope;
  return Q;
}

bool TrafficCore::refuseUnplaceable(Record &R, TimePoint Now) {
  Placement::Query Q = queryFor(R, Now);
  if (Placement_.usable(Q) != 0)
    return false;
  bool IsLimited = Q.Regions_ != nullptr;
  Q.Regions_ = nullptr;
  if (IsLimited && Placement_.usable(Q) != 0)
    giveUp(R, Cause::NoAllowedRegion, "no usable endpoint in an allowed region",
           Now);
  else
    giveUp(R, Cause::NoEndpoint, "no usable endpoint", Now);
  return true;
}

bool TrafficCore::mayBecomeUnplaceable(Record &R) const {
  return !R.IsStreaming_ && (!Evacuated_.empty() || scopeOf(R).isLimited());
}

// A queued request without limits waits because all endpoints are full, one
// with limits only because those of its regions are.
bool TrafficCore::hasOwnRegions(Record &R) {
  if (!LimitsRegions_)
    return false;
  const RegionScope &Own = scopeOf(R);
  return ServiceQueues_[R.Service_].Queue_.allOf(
      [&](const FairQueue::Item &Each) {
        auto Found = Calls_.find(Each.Id_.Lo_);
        if (Found == Calls_.end())
          return true;
        const RegionScope &Other = scopeOf(*Found->second);
        return Other.isLimited() && Other != Own;
      });
}

void TrafficCore::evacuateZones(const std::set<AvailabilityZone> &Zones,
                                TimePoint Now) {
  if (Zones.empty())
    return;
  Event Scope(*this);
  for (const AvailabilityZone &Each : Zones) {
    Evacuated_.evacuate(Each, Now);
    Port_.report(ZoneReport{Each, true, Duration::zero(), endpointsIn(Each)});
  }
  Placement_.setEvacuated(Evacuated_.all());
  endpointsChanged(Now);
}

void TrafficCore::restoreZones(const std::set<AvailabilityZone> &Zones,
                               TimePoint Now) {
  if (Zones.empty())
    return;
  Event Scope(*this);
  zonesRestored(Zones, Now);
  for (const AvailabilityZone &Each : Zones)
    Evacuated_.restore(Each);
  Placement_.setEvacuated(Evacuated_.all());
  endpointsChanged(Now);
}

void TrafficCore::zonesRestored(const std::set<AvailabilityZone> &Zones,
                                TimePoint Now) {
  for (const AvailabilityZone &Each : Zones)
    Port_.report(ZoneReport{Each, false,
                            Now - Evacuated_.since(Each).value_or(Now),
                            endpointsIn(Each)});
  Cold_.zonesRestored(Zones, Endpoints_, Now);
}

std::size_t TrafficCore::endpointsIn(const AvailabilityZone &Zone) const {
  const auto &All = Endpoints_.all();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&](const auto &Each) {
        return Each.second.Endpoint_.Zone_ == Zone;
      }));
}

} // namespace hawthornroad
