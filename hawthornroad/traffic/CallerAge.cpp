#include "hawthornroad/traffic/CallerAge.h"

#include <algorithm>
#include <vector>

namespace hawthornroad {

void CallerAge::learn(Account &A, Duration TimeLeft) {
  A.Calm_.push_back(TimeLeft);
  if (A.Calm_.size() > SamplesKept)
    A.Calm_.pop_front();
  if (A.Calm_.size() < SamplesLeast)
    return;
  std::vector<Duration> Sorted(A.Calm_.begin(), A.Calm_.end());
  // One stray at least, however few samples there are.
  auto Rank = 1 + static_cast<std::ptrdiff_t>(
                      Strays * static_cast<double>(Sorted.size()));
  std::nth_element(Sorted.begin(), Sorted.begin() + Rank, Sorted.end());
  A.Least_ = Sorted[static_cast<std::size_t>(Rank)];
  A.Longest_ = *std::max_element(Sorted.begin(), Sorted.end());
}

void CallerAge::forgetIdle(TimePoint Now) {
  if (Now - SweptAt_ < Memory)
    return;
  SweptAt_ = Now;
  std::erase_if(Accounts_, [&](const auto &Each) {
    return Now - Each.second.UsedAt_ >= Memory;
  });
}

Duration CallerAge::note(const std::string &Route, Duration TimeLeft,
                         bool IsCalm, TimePoint Now) {
  forgetIdle(Now);
  Account &A = Accounts_[Route];
  A.UsedAt_ = Now;
  if (IsCalm)
    learn(A, TimeLeft);
  A.Longest_ = std::max(A.Longest_, TimeLeft);
  Duration Least = A.Least_;
  if (Least == Duration::zero())
    Least = std::chrono::duration_cast<Duration>(A.Longest_ * UnlearntLeast);
  return TimeLeft < Least ? A.Longest_ - TimeLeft : Duration::zero();
}

} // namespace hawthornroad
