#include "hawthornroad/staging/LoadSchedule.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>

namespace hawthornroad {

Duration LoadSchedule::loadWindow() const {
  Duration Last = Options_.Bound_ - Options_.LoadTime_;
  return std::max<Duration>(Duration::zero(), Last - Options_.Transfer_);
}

LoadPosition LoadSchedule::position(const std::string &Self,
                                    const std::vector<std::string> &ZoneMembers,
                                    const std::string &Version) const {
  std::uint64_t Own = rendezvousScore(Version, Self);
  LoadPosition P;
  for (const std::string &Each : ZoneMembers) {
    if (Each == Self)
      continue;
    ++P.Members_;
    if (rendezvousScore(Version, Each) > Own)
      ++P.Index_;
  }
  return P;
}

TimePoint LoadSchedule::at(const LoadPosition &P, TimePoint HeardAt) const {
  auto Steps =
      static_cast<Duration::rep>(std::max<std::size_t>(2, P.Members_) - 1);
  auto Index = static_cast<Duration::rep>(P.Index_);
  return HeardAt + Options_.Transfer_ + loadWindow() * Index / Steps;
}

} // namespace hawthornroad
