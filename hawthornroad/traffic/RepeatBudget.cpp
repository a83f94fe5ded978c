#include "hawthornroad/traffic/RepeatBudget.h"

namespace hawthornroad {

namespace {
using FloatDuration = std::chrono::duration<double>;

double ratio(Duration Part, Duration Whole) {
  return FloatDuration(Part) / FloatDuration(Whole);
}
} // namespace

std::int64_t RepeatBudget::slotNumber(TimePoint Now) const {
  // Repeats are counted over one slot more than the window, which covers the
  // window of any outside observer.
  Duration Length = Options_.Window_ / (Slots - 1);
  return Now.time_since_epoch() / Length;
}

RepeatBudget::Slot &RepeatBudget::slotAt(Account &A, TimePoint Now) const {
  std::int64_t Number = slotNumber(Now);
  Slot &S = A.Slots_[static_cast<std::size_t>(Number) % A.Slots_.size()];
  if (S.Number_ != Number)
    S = {.Number_ = Number};
  return S;
}

RepeatBudget::Sums RepeatBudget::sums(const Account &A, TimePoint Now) const {
  std::int64_t Oldest = slotNumber(Now) - static_cast<std::int64_t>(Slots) + 1;
  Sums Out;
  Out.Repeats_ = A.Outstanding_;
  for (const Slot &Each : A.Slots_) {
    if (Each.Number_ < Oldest)
      continue;
    Out.Requests_ += Each.Requests_;
    Out.Weight_ += Each.Weight_;
    if (Each.Number_ > Oldest)
      Out.RecentWeight_ += Each.Weight_;
    Out.Repeats_ += Each.Repeats_;
  }
  return Out;
}

double RepeatBudget::shareOf(const Sums &S) const {
  return Options_.Ratio_ * Options_.Share_ * S.Weight_;
}

RepeatBudget::FixedPart RepeatBudget::fixedPart(TimePoint Now) const {
  double Most = Options_.AlwaysAllowed_;
  if (!Options_.Slack_)
    return {Most, Most};
  if (Processes_ == 0)
    return {};
  double Part = std::max(0.0, *Options_.Slack_ / Processes_);
  if (Options_.StartedAt_ > Now - Options_.Window_)
    return {std::min(Most, StartingShare * Part),
            std::min(Most, StartingShare * Part)};
  return {std::min(Most, SavedShare * Part),
          std::min(Most, AccruedShare * Part)};
}

double RepeatBudget::tokenCap(const Account &A, TimePoint Now) const {
  return Options_.Ratio_ * (1 - Options_.Share_) * sums(A, Now).RecentWeight_ +
         fixedPart(Now).Saved_;
}

double RepeatBudget::tokens(const Account &A, TimePoint Now) const {
  // A service that was never used has accrued since the start. Both times are
  // converted before they are subtracted, since StartedAt_ may be the earliest
  // time there is.
  TimePoint Since = A.UpdatedAt_.value_or(Options_.StartedAt_);
  FloatDuration Elapsed = FloatDuration(Now.time_since_epoch()) -
                          FloatDuration(Since.time_since_epoch());
  double Windows = Elapsed / FloatDuration(Options_.Window_);
  double Accrued = fixedPart(Now).Accrued_ * Windows;
  double Running = A.Outstanding_ - A.Abandoned_;
  double Most = std::max(0.0, tokenCap(A, Now) - Running);
  return std::min(A.Tokens_ + Accrued, Most);
}

// Called before anything that the cap depends on changes, since the cap until
// now bounds what is saved.
RepeatBudget::Account &RepeatBudget::updated(const ServiceName &Service,
                                             TimePoint Now) {
  Account &A = Accounts_[Service];
  A.Tokens_ = tokens(A, Now);
  expect(A, A.UpdatedAt_.value_or(Now), Now);
  A.UpdatedAt_ = Now;
  return A;
}

double RepeatBudget::usualRequests(const Account &A, TimePoint Now) const {
  constexpr auto InWindow = static_cast<std::int64_t>(Slots) - 1;
  std::int64_t Last = slotNumber(Now);
  unsigned Recent = 0;
  unsigned Before = 0;
  for (const Slot &Each : A.Slots_) {
    if (Each.Number_ > Last - InWindow)
      Recent += Each.Requests_;
    else if (Each.Number_ > Last - 2 * InWindow)
      Before += Each.Requests_;
  }
  return std::max(Recent, Before);
}

void RepeatBudget::expect(Account &A, TimePoint From, TimePoint Now) const {
  A.Expected_ += A.Usual_ * ratio(Now - From, Options_.Window_);
  double Most =
      std::max(MinTolerance, A.Usual_ * ratio(Tolerance, Options_.Window_));
  if (A.Expected_ <= Most)
    return;
  addMissing(A, A.Expected_ - Most, From, Now);
  A.Expected_ = Most;
}

void RepeatBudget::addMissing(Account &A, double Count, TimePoint From,
                              TimePoint Now) const {
  Duration Whole = Now - From;
  TimePoint At = std::max(From, Now - Options_.Window_);
  Duration Length = Options_.Window_ / (Slots - 1);
  while (At < Now) {
    TimePoint End = std::min(Now, TimePoint(Length * (slotNumber(At) + 1)));
    slotAt(A, At).Missing_ += Count * ratio(End - At, Whole);
    At = End;
  }
}

double RepeatBudget::missing(const Account &A, TimePoint Now) const {
  std::int64_t Oldest = slotNumber(Now - Options_.Window_);
  double Out = 0;
  for (const Slot &Each : A.Slots_)
    if (Each.Number_ >= Oldest)
      Out += Each.Missing_;
  return Out;
}

void RepeatBudget::endTolerance(Account &A, TimePoint Now) const {
  TimePoint Last = A.RequestedAt_.value_or(Now);
  if (A.Usual_ * ratio(Now - Last, Options_.Window_) < MinSilence)
    return;
  if (A.StartsUntil_ > Last)
    A.StartsUntil_ += Now - Last;
  addMissing(A, A.Expected_, Last, Now);
  A.Expected_ = 0;
}

RepeatBudget::Slot *RepeatBudget::takeMissing(Account &A, TimePoint Now) const {
  if (A.Expected_ >= 1 || missing(A, Now) < 1)
    return nullptr;
  double Left = 1;
  Slot *Last = nullptr;
  std::int64_t Newest = slotNumber(Now);
  for (std::int64_t N = slotNumber(Now - Options_.Window_);
       N <= Newest && Left > 0; ++N) {
    Slot &Each = A.Slots_[static_cast<std::size_t>(N) % A.Slots_.size()];
    if (Each.Number_ != N || Each.Missing_ <= 0)
      continue;
    double Taken = std::min(Left, Each.Missing_);
    Each.Missing_ -= Taken;
    Left -= Taken;
    Last = &Each;
  }
  return Last;
}

void RepeatBudget::count(Slot &In, double Weight) {
  ++In.Requests_;
  In.Weight_ += Weight;
}

double RepeatBudget::weight(const Account &A, TimePoint Now) const {
  return Now < A.StartsUntil_ ? StartingWeight : 1;
}

void RepeatBudget::noteRequest(const ServiceName &Service, TimePoint Now) {
  Account &A = updated(Service, Now);
  if (!A.RequestedAt_ && Options_.StartedAt_ != TimePoint::min())
    A.StartsUntil_ = Now + Options_.Window_;
  endTolerance(A, Now);
  A.RequestedAt_ = Now;
  double Weight = weight(A, Now);
  if (Slot *Missing = takeMissing(A, Now)) {
    ++Usage_[Service].LateRequests_;
    count(*Missing, Weight);
    A.Usual_ = usualRequests(A, Now);
    return;
  }
  if (Weight < 1)
    ++Usage_[Service].StartingRequests_;
  A.Expected_ = std::max(0.0, A.Expected_ - 1);
  count(slotAt(A, Now), Weight);
  A.Usual_ = usualRequests(A, Now);
  A.Tokens_ += Weight * Options_.Ratio_ * Options_.Share_;
}

bool RepeatBudget::permits(const ServiceName &Service, TimePoint Now) {
  const Account &A = updated(Service, Now);
  Sums S = sums(A, Now);
  FixedPart Part = fixedPart(Now);
  double Fixed =
      std::min<double>(Part.Saved_ + Part.Accrued_, Options_.AlwaysAllowed_);
  double MostOutstanding = tokenCap(A, Now) + Part.Accrued_;
  return A.Tokens_ >= 1 && A.Outstanding_ + 1 <= MostOutstanding &&
         S.Repeats_ + 1 <= shareOf(S) + Fixed;
}

bool RepeatBudget::take(const ServiceName &Service, TimePoint Now) {
  Usage &U = Usage_[Service];
  if (!permits(Service, Now)) {
    ++U.Denied_;
    return false;
  }
  Account &A = Accounts_[Service];
  Sums S = sums(A, Now);
  ++U.Taken_;
  if (S.Repeats_ + 1 > shareOf(S))
    ++U.TakenFromFixed_;
  A.Tokens_ -= 1;
  ++A.Outstanding_;
  return true;
}

void RepeatBudget::addArrived(Account &A, unsigned Count, TimePoint Now) {
  A.Outstanding_ -= Count;
  slotAt(A, Now).Repeats_ += Count;
}

void RepeatBudget::settle(const ServiceName &Service, unsigned Count,
                          TimePoint Now) {
  Account &A = updated(Service, Now);
  addArrived(A, std::min(Count, A.Outstanding_ - A.Abandoned_), Now);
}

void RepeatBudget::giveBack(const ServiceName &Service) {
  Account &A = Accounts_[Service];
  if (A.Outstanding_ == A.Abandoned_)
    return;
  --A.Outstanding_;
  A.Tokens_ += 1;
  ++Usage_[Service].GivenBack_;
}

void RepeatBudget::abandon(const ServiceName &Service, unsigned Count) {
  Account &A = Accounts_[Service];
  A.Abandoned_ += std::min(Count, A.Outstanding_ - A.Abandoned_);
}

void RepeatBudget::settleAbandoned(const ServiceName &Service, unsigned Count,
                                   TimePoint Now) {
  Account &A = Accounts_[Service];
  Count = std::min(Count, A.Abandoned_);
  A.Abandoned_ -= Count;
  addArrived(A, Count, Now);
}

std::map<ServiceName, RepeatBudget::Window>
RepeatBudget::windows(TimePoint Now) const {
  std::map<ServiceName, Window> Out;
  for (const auto &[Service, A] : Accounts_) {
    Sums S = sums(A, Now);
    Out[Service] = {S.Requests_, S.Repeats_, A.Outstanding_, tokens(A, Now),
                    missing(A, Now)};
  }
  return Out;
}

} // namespace hawthornroad
