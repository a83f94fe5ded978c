#include "tests/soak/SoakRepeats.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// How much more time than is left an attempt may be told.
constexpr Duration TimeSlack = Milliseconds(500);

long countIn(const std::vector<TimePoint> &Sorted, TimePoint From,
             TimePoint To) {
  auto First = std::lower_bound(Sorted.begin(), Sorted.end(), From);
  return std::lower_bound(First, Sorted.end(), To) - First;
}
} // namespace

void SoakRepeats::add(const SoakRequest &R, const SoakOutcome &O,
                      const std::vector<SoakRun> &Runs) {
  if (O.WrittenAt_)
    for (const std::string &Each : R.Services_)
      Services_[Each].Requests_.push_back(*O.WrittenAt_);
  if (Runs.empty())
    return;
  auto First = std::min_element(
      Runs.begin(), Runs.end(),
      [](const SoakRun &A, const SoakRun &B) { return A.From_ < B.From_; });
  for (auto Each = Runs.begin(); Each != Runs.end(); ++Each)
    if (Each != First)
      Services_[Each->Service_].Repeats_.push_back(Each->From_);
}

std::vector<SoakRepeats::Use> SoakRepeats::worst() {
  std::vector<Use> Out;
  for (auto &[Name, S] : Services_) {
    std::sort(S.Requests_.begin(), S.Requests_.end());
    std::sort(S.Repeats_.begin(), S.Repeats_.end());
    Out.push_back(worstOf(Name, S));
  }
  return Out;
}

// A window with most repeats begins at one, or ends just after one.
SoakRepeats::Use SoakRepeats::worstOf(const std::string &Name,
                                      const Service &S) const {
  Use Worst;
  for (TimePoint At : S.Repeats_)
    for (TimePoint From : {At, At + Duration(1) - Limits_.Window_}) {
      Use Each = useOf(S, From);
      if (Each.share() > Worst.share())
        Worst = Each;
    }
  Worst.Service_ = Name;
  return Worst;
}

SoakRepeats::Use SoakRepeats::useOf(const Service &S, TimePoint From) const {
  Duration W = Limits_.Window_;
  Use Out;
  Out.From_ = From;
  Out.Repeats_ = countIn(S.Repeats_, From, From + W);
  Out.Requests_ = std::max({countIn(S.Requests_, From, From + W),
                            countIn(S.Requests_, From - W / 2, From + W / 2),
                            countIn(S.Requests_, From - W, From)});
  Out.Allowed_ =
      Limits_.Ratio_ * static_cast<double>(Out.Requests_) + Limits_.Slack_;
  return Out;
}

// What a held endpoint or a cut path delays says nothing of when it was sent.
void SoakTimeLeft::add(const SoakRequest &R, const std::vector<SoakRun> &Runs,
                       const SoakRecord &Record) {
  TimePoint CallersEnd = R.SentAt_ + R.Deadline_;
  const SoakRun *First = nullptr;
  for (const SoakRun &Each : Runs) {
    if (Record.isDisrupted(Each.Endpoint_, R.SentAt_, Each.From_))
      continue;
    ++Attempts_;
    bool IsExcess = !Each.Left_ || *Each.Left_ > R.Deadline_ + TimeSlack;
    if (First != nullptr && First->Left_ && Each.Left_ &&
        Each.From_ > First->From_ + TimeSlack) {
      TimePoint End = Each.From_ + *Each.Left_;
      IsExcess |= End > First->From_ + *First->Left_ + TimeSlack &&
                  End > CallersEnd + TimeSlack;
    }
    Excess_ += IsExcess ? 1 : 0;
    if (First == nullptr)
      First = &Each;
  }
}

} // namespace hawthornroad
