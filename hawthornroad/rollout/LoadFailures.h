// Which endpoints failed to load the wanted version, and whether that halts
// the rollout.
//
//   LoadFailures Failures;
//   Failures.setWanted(Version);
//   Failures.note(Vm, Version, "checksum mismatch in layer 7");
//   if (Failures.halted(HaltAfterFailures)) ...   // nobody else leaves service
//
// A failure is remembered after its endpoint has vanished: a bad version that
// kills its VMs would else lift its own halt. Only another wanted version, or
// the endpoint serving this one after all, forgets it. Word of another version
// than the wanted one is ignored, so late reports of an earlier rollout do not
// count.
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
  // Takes failures and successes out of reports.
  void noteFleet(const std::vector<EndpointStatus> &Fleet);

  // Whether at least HaltAfter endpoints have failed; never for HaltAfter 0.
  bool halted(std::size_t HaltAfter) const {
    return HaltAfter > 0 && Failed_.size() >= HaltAfter;
  }
  // Why, for each endpoint that failed.
  const std::map<Vm, std::string> &failed() const { return Failed_; }

private:
  VersionDigest Wanted_;
  std::map<Vm, std::string> Failed_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_LOADFAILURES_H
