#include "hawthornroad/traffic/EvacuatedZones.h"

namespace hawthornroad {

EvacuatedZones::Change EvacuatedZones::changeBy(const Update &U) const {
  std::set<AvailabilityZone> After;
  if (!U.IsWhole_)
    After = all();
  for (const Row &Each : U.Rows_) {
    if (Each.IsRemoved_)
      After.erase(Each.Zone_);
    else
      After.insert(Each.Zone_);
  }
  Change Out;
  for (const AvailabilityZone &Each : After)
    if (!contains(Each))
      Out.Evacuated_.insert(Each);
  for (const auto &[Zone, Since] : Since_)
    if (!After.contains(Zone))
      Out.Restored_.insert(Zone);
  // Evacuated and restored within the update. The removal alone of a row that
  // was never known changes nothing.
  if (!U.IsWhole_)
    for (const Row &Each : U.Rows_)
      if (!Each.IsRemoved_ && !After.contains(Each.Zone_))
        Out.Restored_.insert(Each.Zone_);
  return Out;
}

std::optional<TimePoint>
EvacuatedZones::since(const AvailabilityZone &Zone) const {
  auto Found = Since_.find(Zone);
  if (Found == Since_.end())
    return std::nullopt;
  return Found->second;
}

std::set<AvailabilityZone> EvacuatedZones::all() const {
  std::set<AvailabilityZone> Out;
  for (const auto &[Zone, Since] : Since_)
    Out.insert(Zone);
  return Out;
}

} // namespace hawthornroad
