#include "hawthornroad/routing/ConcurrencyWindow.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// The first refusal sets the window to this multiple of what is in progress.
constexpr double FirstSize = 1.5;
// What an answer adds and a refusal takes: in balance, one attempt in thirty
// or so is refused. The evening part is the same for a small window as for a
// large one, and so shifts places from the large to the small.
constexpr double AnswerAdds = 0.03;
constexpr double AnswerEvens = 0.2;
constexpr double RefusalTakes = 1;
// The longer no refusal has come, the more an answer adds: the overload that
// shrank the window is over.
constexpr double HastePerSecond = 0.3;
// Only a window that holds requests back may grow.
constexpr double NearlyFull = 0.8;
} // namespace

void ConcurrencyWindow::answered(double InProgress, TimePoint Now) {
  if (InProgress < NearlyFull * Size_)
    return;
  double Quiet = std::chrono::duration<double>(Now - Refused_).count();
  double Haste = 1 + std::max(0.0, Quiet) * HastePerSecond;
  Size_ += Haste * (AnswerAdds + AnswerEvens / Size_);
}

void ConcurrencyWindow::refused(double InProgress, TimePoint Now) {
  Refused_ = Now;
  double Widest = FirstSize * InProgress + 1;
  Size_ = std::max(1.0, std::min(Size_, Widest) - RefusalTakes);
}

} // namespace hawthornroad
