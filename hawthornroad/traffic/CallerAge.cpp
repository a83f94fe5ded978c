#include "hawthornroad/traffic/CallerAge.h"

#include <algorithm>
#include <vector>

namespace hawthornroad {

void CallerAge::learn(Account &A, Duration TimeLeft) {
  A.Samples_.push_back(TimeLeft);
  if (A.Samples_.size() > MaxSamples)
    A.Samples_.pop_front();
  if (A.Samples_.size() < MinSamples)
    return;
  std::vector<Duration> Sorted(A.Samples_.begin(), A.Samples_.end());
  // Skips at least one sample as a stray, however few there are.
  auto Rank = 1 + static_cast<std::ptrdiff_t>(
                      StrayShare * static_cast<double>(Sorted.size()));
  std::nth_element(Sorted.begin(), Sorted.begin() + Rank, Sorted.end());
  A.Least_ = Sorted[static_cast<std::size_t>(Rank)];
  A.Longest_ = *std::max_element(Sorted.begin(), Sorted.end());
}

void CallerAge::forgetIdle(TimePoint Now) {
  if (Now - SweptAt_ < RetainFor)
    return;
  SweptAt_ = Now;
  std::erase_if(Accounts_, [&](const auto &Each) {
    return Now - Each.second.UsedAt_ >= RetainFor;
  });
}

Duration CallerAge::note(const std::string &Route, Duration TimeLeft,
                         bool NoRefusals, TimePoint Now) {
  forgetIdle(Now);
  Account &A = Accounts_[Route];
  A.UsedAt_ = Now;
  if (NoRefusals)
    learn(A, TimeLeft);
  A.Longest_ = std::max(A.Longest_, TimeLeft);
  Duration Least = A.Least_;
  if (Least == Duration::zero())
    Least =
        std::chrono::duration_cast<Duration>(A.Longest_ * DefaultLeastShare);
  return TimeLeft < Least ? A.Longest_ - TimeLeft : Duration::zero();
}

} // namespace hawthornroad
