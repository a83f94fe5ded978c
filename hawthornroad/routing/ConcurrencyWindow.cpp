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
// Only a window that holds requests back may grow.
constexpr double NearlyFull = 0.8;
} // namespace

void ConcurrencyWindow::answered(double InProgress) {
  if (InProgress + 1 < NearlyFull * Size_)
    return;
  Size_ += AnswerAdds + AnswerEvens / Size_;
}

void ConcurrencyWindow::refused(double InProgress) {
  double Widest = FirstSize * InProgress + 1;
  Size_ = std::max(1.0, std::min(Size_, Widest) - RefusalTakes);
}

} // namespace hawthornroad
