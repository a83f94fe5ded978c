#include "hawthornroad/rollout/LoadFailures.h"

namespace hawthornroad {

void LoadFailures::setWanted(const VersionDigest &V) {
  if (Wanted_ == V)
    return;
  Wanted_ = V;
  Failed_.clear();
}

void LoadFailures::note(const Vm &V, const VersionDigest &Version,
                        const std::string &Why) {
  if (!Version.empty() && Version == Wanted_)
    Failed_[V] = Why;
}

void LoadFailures::noteServed(const Vm &V, const VersionDigest &Version) {
  if (Version == Wanted_)
    Failed_.erase(V);
}

void LoadFailures::noteFleet(const std::vector<EndpointStatus> &Fleet) {
  for (const EndpointStatus &Each : Fleet) {
    note(Each.Vm_, Each.FailedVersion_, Each.Detail_);
    if (Each.Phase_ == EndpointPhase::Ready)
      noteServed(Each.Vm_, Each.Version_);
  }
}

} // namespace hawthornroad
