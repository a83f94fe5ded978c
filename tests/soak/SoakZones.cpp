#include "tests/soak/SoakZones.h"

#include "tests/soak/SoakCold.h"
#include "tests/soak/SoakConfig.h"

namespace hawthornroad {

namespace {
// The evacuation during which the run's request was sent too late; null if
// there was none. A run that arrived after the end may have been sent after it.
const SoakSpan *evacuationOf(const std::vector<SoakSpan> &Evacuations,
                             const SoakRun &Run, TimePoint SentAt,
                             Duration Bound) {
  for (const SoakSpan &Each : Evacuations)
    if (SentAt > Each.From_ + Bound && Run.From_ < Each.To_)
      return &Each;
  return nullptr;
}
} // namespace

std::vector<std::string>
findZoneFaults(const SoakRecord &Record,
               const std::map<std::string, SoakRequest> &Requests,
               Duration EvacuateBound) {
  std::vector<std::string> Out;
  for (const auto &[Id, R] : Requests)
    for (const SoakRun &Each : Record.runs(Id)) {
      TimePoint SentAt = sentAt(R, Each);
      auto Evacuations = Record.disruptions(SoakRecord::evacuation(Each.Zone_));
      const SoakSpan *E =
          evacuationOf(Evacuations, Each, SentAt, EvacuateBound);
      if (E == nullptr ||
          !Record.hadContact(R.entry(), EvacuateBound, E->From_, SentAt))
        continue;
      Out.push_back(Id + " at " + R.Process_ + ": sent to " + Each.Endpoint_ +
                    " in " + Each.Zone_ + " " +
                    std::to_string((SentAt - E->From_) / Milliseconds(1)) +
                    " ms after the zone's evacuation");
    }
  return Out;
}

std::vector<std::string>
findRegionFaults(const SoakRecord &Record,
                 const std::map<std::string, SoakRequest> &Requests) {
  std::vector<std::string> Out;
  for (const auto &[Id, R] : Requests)
    for (const SoakRun &Each : Record.runs(Id)) {
      std::string Region = SoakConfig::regionOf(Each.Zone_);
      bool IsAllowed =
          (R.RouteRegion_.empty() || R.RouteRegion_ == Region) &&
          (R.CustomerRegion_.empty() || R.CustomerRegion_ == Region);
      if (!IsAllowed)
        Out.push_back(Id + " at " + R.Process_ + ": sent to " + Each.Endpoint_ +
                      " in " + Region + ", allowed \"" + R.RouteRegion_ +
                      "\" and \"" + R.CustomerRegion_ + "\"");
    }
  return Out;
}

} // namespace hawthornroad
