#include "hawthornroad/weights/ManifestPlan.h"

#include "hawthornroad/base/Hash.h"

namespace hawthornroad {

ManifestPlan::ManifestPlan(const VersionDigest &Version, const Vm &Self,
                           std::vector<Vm> Peers, TimePoint Now)
    : Peers_(std::move(Peers)), OriginReadAt_(Now + Timeout), NextAskAt_(Now) {
  std::vector<std::string> All{Self.str()};
  for (const Vm &V : Peers_)
    All.push_back(V.str());
  for (std::size_t I : rendezvousTop(Version.str(), All, Readers))
    if (I == 0)
      OriginReadAt_ = Now;
}

std::optional<Vm> ManifestPlan::next(TimePoint Now, Random &R) {
  if (Now >= OriginReadAt_) {
    OriginReadAt_ = Now + OriginPeriod;
    return Vm();
  }
  if (Peers_.empty() || Now < NextAskAt_)
    return std::nullopt;
  NextAskAt_ = Now + AskPeriod;
  return Peers_[R.below(Peers_.size())];
}

} // namespace hawthornroad
