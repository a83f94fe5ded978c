#include "hawthornroad/routing/ConcurrencyWindow.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// The first refusal sets the window to this multiple of the attempts in
// progress.
constexpr double InitialFactor = 1.5;
// The increase per answer and the decrease per refusal: in equilibrium, about
// one attempt in thirty is refused. The fairness term gives a small window the
// same growth over time as a large one, and so shifts places from large windows
// to small ones.
constexpr double AnswerGrowth = 0.03;
constexpr double FairnessGrowth = 0.2;
constexpr double RefusalDecrease = 1;
// The window grows only when its use is above this share, that is, when it is
// what limits the requests.
constexpr double GrowthThreshold = 0.8;
} // namespace

void ConcurrencyWindow::answered(double InProgress) {
  if (InProgress + 1 < GrowthThreshold * Size_)
    return;
  Size_ += AnswerGrowth + FairnessGrowth / Size_;
}

void ConcurrencyWindow::refused(double InProgress) {
  double Widest = InitialFactor * InProgress + 1;
  Size_ = std::max(1.0, std::min(Size_, Widest) - RefusalDecrease);
}

} // namespace hawthornroad
