#include "hawthornroad/traffic/RepeatBudget.h"

namespace hawthornroad {

std::int64_t RepeatBudget::slotNumber(TimePoint Now) const {
  // Repeats are counted over one slot more than the window, which covers the
  // window of any outside observer.
  Duration Length = Options_.Window_ / (Slots - 1);
  return Now.time_since_epoch() / Length;
}

RepeatBudget::Slot &RepeatBudget::current(Account &A, TimePoint Now) {
  std::int64_t Number = slotNumber(Now);
  Slot &S = A[static_cast<std::size_t>(Number) % Slots];
  if (S.Number_ != Number)
    S = {Number, 0, 0};
  return S;
}

void RepeatBudget::noteRequest(const ServiceName &Service, TimePoint Now) {
  ++current(Accounts_[Service], Now).Requests_;
}

bool RepeatBudget::permits(const ServiceName &Service, TimePoint Now) {
  Account &A = Accounts_[Service];
  Slot &S = current(A, Now);
  std::int64_t Oldest = S.Number_ - static_cast<std::int64_t>(Slots) + 1;
  unsigned Requests = 0;
  unsigned Repeats = 0;
  for (const Slot &Each : A) {
    if (Each.Number_ < Oldest)
      continue;
    Requests += Each.Requests_;
    Repeats += Each.Repeats_;
  }
  double Allowed =
      Options_.Ratio_ * Options_.Share_ * Requests + Options_.AlwaysAllowed_;
  return Repeats + 1 <= Allowed;
}

bool RepeatBudget::take(const ServiceName &Service, TimePoint Now) {
  if (!permits(Service, Now))
    return false;
  ++current(Accounts_[Service], Now).Repeats_;
  return true;
}

void RepeatBudget::giveBack(const ServiceName &Service, TimePoint Now) {
  Slot &S = current(Accounts_[Service], Now);
  if (S.Repeats_ > 0)
    --S.Repeats_;
}

} // namespace hawthornroad
