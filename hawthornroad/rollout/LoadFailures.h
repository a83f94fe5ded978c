// Records which endpoints failed to load the wanted version, and decides
// whether that halts the rollout.
//
//   LoadFailures Failures;
//   Failures.setWanted(Version);
//   Failures.note(Vm, Version, "checksum mismatch in layer 7");
//   if (Failures.halted(HaltAfterFailures)) ...   // no endpoint leaves service
//
// A failure stays recorded after its endpoint has vanished; otherwise a bad
// version that kills its VMs would lift its own halt. It is cleared only when
// another version is wanted or the endpoint serves this one after all. Reports
// about any version but the wanted one are ignored, so late reports of an
// earlier rollout do not count.
//
// Endpoints that are already draining or loading when the halt becomes known
// may fail too: at most MaxUnavailable in each zone.

#ifndef HAWTHORNROAD_ROLLOUT_LOADFAILURES_H
#define HAWTHORNROAD_ROLLOUT_LOADFAILURES_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/membership/EndpointStatus.h"

#include <map>
#include <string>
#include <vector>

namespace hawthornroad {

class LoadFailures {
public:
  void setWanted(const VersionDigest &V);
  void note(const Vm &V, const VersionDigest &Version, const std::string &Why);
  // Endpoint V serves Version.
  void noteServed(const Vm &V, const VersionDigest &Version);
  // Records the failures and successes in reports of other endpoints.
  void noteFleet(const std::vector<EndpointStatus> &Fleet);

  // Whether at least HaltAfter endpoints have failed; always false for
  // HaltAfter 0.
  bool halted(std::size_t HaltAfter) const {
    return HaltAfter > 0 && Failed_.size() >= HaltAfter;
  }
  // The endpoints that failed, with the reason.
  const std::map<Vm, std::string> &failed() const { return Failed_; }

private:
  VersionDigest Wanted_;
  std::map<Vm, std::string> Failed_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_LOADFAILURES_H
