#include "hawthornroad/routing/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// A service seen for the first time may retry once at once; the floor never
// saves up more than this.
constexpr double FloorTokens = 1.0;

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }
} // namespace

// Tokens beyond the floor's fade with the window, so that a busy hour earns
// nothing for the next.
RetryBudget::Account &RetryBudget::refreshed(const ServiceName &Service,
                                             TimePoint Now) {
  Account &A = Accounts_[Service];
  if (!A.Started_) {
    A = {.Tokens_ = FloorTokens, .Updated_ = Now, .Started_ = true};
    return A;
  }
  if (Now <= A.Updated_)
    return A;
  double Elapsed = seconds(Now - A.Updated_);
  double Kept = std::exp(-Elapsed / seconds(Options_.Window_));
  A.Updated_ = Now;
  double Spare = std::max(0.0, A.Tokens_ - FloorTokens);
  A.Tokens_ -= Spare * (1 - Kept);
  A.Advanced_ *= Kept;
  double Missing = std::max(0.0, FloorTokens - A.Tokens_);
  double Advance = std::min(Missing, Elapsed * Options_.Floor_);
  A.Tokens_ += Advance;
  A.Advanced_ += Advance;
  return A;
}

void RetryBudget::noteRequest(const ServiceName &Service, TimePoint Now) {
  Account &A = refreshed(Service, Now);
  double Repaid = std::min(A.Advanced_, Options_.Share_);
  A.Advanced_ -= Repaid;
  A.Tokens_ += Options_.Share_ - Repaid;
}

bool RetryBudget::take(const ServiceName &Service, TimePoint Now) {
  Account &A = refreshed(Service, Now);
  if (A.Tokens_ < 1.0)
    return false;
  A.Tokens_ -= 1.0;
  return true;
}

} // namespace hawthornroad
