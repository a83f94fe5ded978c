#include "hawthornroad/staging/VersionOrder.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Time between two points, zero if the second one is not later.
Duration between(TimePoint From, TimePoint To) {
  return std::max<Duration>(To - From, Duration::zero());
}
} // namespace

bool overtakes(const PendingVersion &Next, const PendingVersion &Current,
               TimePoint Now) {
  Duration NextOnly = between(Current.NeededBy_, Now + Next.Remaining_);
  TimePoint CurrentAt = Now + Current.Remaining_;
  TimePoint NextAt = CurrentAt + Next.Remaining_;
  bool IsUseless = CurrentAt >= Next.NeededBy_;
  Duration Both = IsUseless ? between(Current.NeededBy_, NextAt)
                            : between(Current.NeededBy_, CurrentAt) +
                                  between(Next.NeededBy_, NextAt);
  return NextOnly < Both;
}

} // namespace hawthornroad
