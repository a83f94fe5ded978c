#include "hawthornroad/traffic/Placement.h"

namespace hawthornroad {

void Placement::setEvacuated(std::set<AvailabilityZone> Zones) {
  Evacuated_ = std::move(Zones);
  updateZones();
}

// While zones are evacuated, their processes send to the remaining zones as
// well, so each remaining endpoint has more senders than usual.
void Placement::updateZones() {
  for (auto &[Id, S] : States_) {
    auto Found = Options_.Regions_.find(S.Endpoint_.Zone_);
    S.Region_ = Found == Options_.Regions_.end() ? Region() : Found->second;
    S.IsEvacuated_ = Evacuated_.contains(S.Endpoint_.Zone_);
    S.SenderFactor_ = 1;
  }
  if (Evacuated_.empty())
    return;
  for (const auto &[Service, Ids] : ByService_) {
    std::set<AvailabilityZone> All;
    std::set<AvailabilityZone> Remaining;
    for (const EndpointId &Id : Ids) {
      const State &S = States_.at(Id);
      All.insert(S.Endpoint_.Zone_);
      if (!S.IsEvacuated_)
        Remaining.insert(S.Endpoint_.Zone_);
    }
    if (Remaining.empty())
      continue;
    double Factor =
        static_cast<double>(All.size()) / static_cast<double>(Remaining.size());
    for (const EndpointId &Id : Ids)
      States_.at(Id).SenderFactor_ = Factor;
  }
}

bool Placement::permits(const State &S, const RegionScope *Regions) {
  if (S.IsEvacuated_)
    return false;
  if (Regions == nullptr || !Regions->isLimited())
    return true;
  return !S.Region_.empty() && Regions->permits(S.Region_);
}

bool Placement::permits(const EndpointId &Id,
                        const RegionScope *Regions) const {
  auto Found = States_.find(Id);
  return Found != States_.end() && permits(Found->second, Regions);
}

} // namespace hawthornroad
