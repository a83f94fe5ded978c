#include "hawthornroad/routing/RetryBudget.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// A service may retry once as soon as it is first seen; the floor never
// accumulates more than this.
constexpr double FloorTokens = 1.0;

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }
} // namespace

// Tokens above the floor decay over the window, so that a busy period does not
// save up retries for a later one, such as the next hour.
RetryBudget::Account &RetryBudget::updatedAccount(const ServiceName &Service,
                                                  TimePoint Now) {
  Account &A = Accounts_[Service];
  if (!A.Started_) {
    A = {.Tokens_ = FloorTokens, .Updated_ = Now, .Started_ = true};
    return A;
  }
  if (Now <= A.Updated_)
    return A;
  double Elapsed = seconds(Now - A.Updated_);
  double Decay = std::exp(-Elapsed / seconds(Options_.Window_));
  A.Updated_ = Now;
  double Surplus = std::max(0.0, A.Tokens_ - FloorTokens);
  A.Tokens_ -= Surplus * (1 - Decay);
  A.Borrowed_ *= Decay;
  double Deficit = std::max(0.0, FloorTokens - A.Tokens_);
  double Grant = std::min(Deficit, Elapsed * Options_.Floor_);
  A.Tokens_ += Grant;
  A.Borrowed_ += Grant;
  return A;
}

void RetryBudget::noteRequest(const ServiceName &Service, TimePoint Now) {
  Account &A = updatedAccount(Service, Now);
  double Repaid = std::min(A.Borrowed_, Options_.Share_);
  A.Borrowed_ -= Repaid;
  A.Tokens_ += Options_.Share_ - Repaid;
}

bool RetryBudget::take(const ServiceName &Service, TimePoint Now) {
  Account &A = updatedAccount(Service, Now);
  if (A.Tokens_ < 1.0)
    return false;
  A.Tokens_ -= 1.0;
  return true;
}

} // namespace hawthornroad
