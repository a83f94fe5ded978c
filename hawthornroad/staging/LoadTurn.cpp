#include "hawthornroad/staging/LoadTurn.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>

namespace hawthornroad {

TimePoint LoadTurn::at(const std::string &Self,
                       const std::vector<std::string> &Members,
                       const std::string &Version, TimePoint HeardAt) const {
  std::uint64_t Own = rendezvousScore(Version, Self);
  std::size_t Rank = 0;
  for (const std::string &Each : Members)
    if (Each != Self && rendezvousScore(Version, Each) > Own)
      ++Rank;
  // Dealt in order, so that waves differ by one member at most.
  auto Wave = static_cast<Duration::rep>(Rank % Options_.Waves_);
  if (Wave == 0)
    return HeardAt;
  Duration Last = Options_.Bound_ - Options_.LoadTime_;
  Duration First = std::min(Options_.FirstAt_, Last);
  Duration Gap = (Last - First) /
                 std::max<Duration::rep>(1, Options_.Waves_ - 1);
  return HeardAt + First + Gap * Wave;
}

} // namespace hawthornroad
