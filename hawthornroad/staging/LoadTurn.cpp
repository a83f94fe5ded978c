#include "hawthornroad/staging/LoadTurn.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>

namespace hawthornroad {

// Time between the first and the last wave's begin.
Duration LoadTurn::room() const {
  Duration Last = Options_.Bound_ - Options_.LoadTime_;
  return std::max<Duration>(Duration::zero(), Last - Options_.Transfer_);
}

unsigned LoadTurn::waves() const {
  auto Fit = static_cast<unsigned>(room() / Options_.WaveLeast_) + 1;
  return std::clamp(Fit, 1U, Options_.MostWaves_);
}

unsigned LoadTurn::wave(const std::string &Self,
                        const std::vector<std::string> &ZoneMembers,
                        const std::string &Version) const {
  std::uint64_t Own = rendezvousScore(Version, Self);
  unsigned Rank = 0;
  for (const std::string &Each : ZoneMembers)
    if (Each != Self && rendezvousScore(Version, Each) > Own)
      ++Rank;
  // Dealt in order, so that waves differ by one member at most.
  return Rank % waves();
}

TimePoint LoadTurn::at(unsigned Wave, TimePoint HeardAt) const {
  Duration Step = room() / std::max(1U, waves() - 1);
  return HeardAt + Options_.Transfer_ + Step * Wave;
}

} // namespace hawthornroad
