#include "hawthornroad/routing/FairQueue.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// The share of places a class with queued requests gets while higher classes
// have queued requests too.
constexpr std::array<double, 3> GuaranteedShare = {0.0, 0.1, 0.05};
// Idle flows are removed when there are more flows than this.
constexpr std::size_t IdleSweepThreshold = 64;

std::size_t indexOf(Priority P) { return static_cast<std::size_t>(P); }
} // namespace

void FairQueue::push(Item I, double Weight) {
  Class &C = Classes_[indexOf(I.Priority_)];
  if (C.Flows_.size() > IdleSweepThreshold)
    forgetIdle(C);
  Flow &F = C.Flows_[I.Customer_];
  F.Weight_ = Weight;
  if (F.Waiting_.empty())
    F.Start_ = std::max(F.Start_, C.VirtualTime_);
  I.Order_ = ++Pushed_;
  F.Waiting_.push_back(std::move(I));
  ++C.Size_;
  ++Size_;
}

void FairQueue::unpop(Item I, double Weight) {
  Class &C = Classes_[indexOf(I.Priority_)];
  Flow &F = C.Flows_[I.Customer_];
  F.Weight_ = Weight;
  F.Start_ = std::max(0.0, F.Start_ - 1.0 / Weight);
  auto After =
      std::find_if(F.Waiting_.begin(), F.Waiting_.end(),
                   [&](const Item &Each) { return Each.Order_ > I.Order_; });
  F.Waiting_.insert(After, std::move(I));
  ++C.Size_;
  ++Size_;
}

void FairQueue::forgetIdle(Class &C) {
  std::erase_if(C.Flows_, [&](const auto &Entry) {
    const Flow &F = Entry.second;
    return F.Waiting_.empty() && F.Start_ <= C.VirtualTime_;
  });
}

// The highest non-empty class, unless a lower one has earned a whole place.
std::size_t FairQueue::nextClass() {
  std::size_t Highest = ClassCount;
  std::size_t Chosen = ClassCount;
  for (std::size_t K = ClassCount; K-- > 0;)
    if (Classes_[K].Size_ > 0)
      Highest = K;
  for (std::size_t K = Highest + 1; K < ClassCount; ++K) {
    Class &C = Classes_[K];
    if (C.Size_ == 0)
      continue;
    C.Credit_ += GuaranteedShare[K];
    if (C.Credit_ >= 1.0 && Chosen == ClassCount)
      Chosen = K;
  }
  if (Chosen == ClassCount)
    return Highest;
  Classes_[Chosen].Credit_ -= 1.0;
  return Chosen;
}

std::optional<FairQueue::Item> FairQueue::pop() {
  if (Size_ == 0)
    return std::nullopt;
  Class &C = Classes_[nextClass()];
  Flow *First = nullptr;
  for (auto &[Name, F] : C.Flows_)
    if (!F.Waiting_.empty() && (!First || F.Start_ < First->Start_))
      First = &F;
  return take(C, *First, First->Waiting_.begin());
}

FairQueue::Item FairQueue::take(Class &C, Flow &F,
                                std::deque<Item>::iterator At) {
  Item Out = std::move(*At);
  F.Waiting_.erase(At);
  C.VirtualTime_ = std::max(C.VirtualTime_, F.Start_);
  F.Start_ += 1.0 / F.Weight_;
  --C.Size_;
  --Size_;
  if (C.Size_ == 0)
    C.Credit_ = 0;
  return Out;
}

std::optional<FairQueue::Item>
FairQueue::popIf(const std::function<bool(const Item &)> &IsWanted) {
  for (Class &C : Classes_) {
    Flow *First = nullptr;
    std::deque<Item>::iterator At;
    for (auto &[Name, F] : C.Flows_) {
      if (First != nullptr && F.Start_ >= First->Start_)
        continue;
      auto Found = std::find_if(F.Waiting_.begin(), F.Waiting_.end(), IsWanted);
      if (Found == F.Waiting_.end())
        continue;
      First = &F;
      At = Found;
    }
    if (First != nullptr)
      return take(C, *First, At);
  }
  return std::nullopt;
}

bool FairQueue::remove(const Item &I) {
  Class &C = Classes_[indexOf(I.Priority_)];
  auto Found = C.Flows_.find(I.Customer_);
  if (Found == C.Flows_.end())
    return false;
  std::deque<Item> &Waiting = Found->second.Waiting_;
  auto At = std::find_if(Waiting.begin(), Waiting.end(),
                         [&](const Item &W) { return W.Id_ == I.Id_; });
  if (At == Waiting.end())
    return false;
  Waiting.erase(At);
  --C.Size_;
  --Size_;
  return true;
}

// In its own class, counts the requests of each flow that start before this one
// would. Every queued request of a higher class also precedes it, except for
// the guaranteed share, which bounds the wait.
double FairQueue::aheadOf(const Customer &Name, Priority P,
                          double Weight) const {
  const std::size_t K = indexOf(P);
  const Class &C = Classes_[K];
  double Start = C.VirtualTime_;
  double Own = 0;
  if (auto Found = C.Flows_.find(Name); Found != C.Flows_.end()) {
    const Flow &F = Found->second;
    Own = static_cast<double>(F.Waiting_.size());
    Start = std::max(Start, F.Start_) + Own / Weight;
  }
  double Ahead = Own;
  for (const auto &[Other, F] : C.Flows_) {
    if (Other == Name || F.Waiting_.empty())
      continue;
    double Earlier = std::ceil((Start - F.Start_) * F.Weight_);
    double Most = static_cast<double>(F.Waiting_.size());
    Ahead += std::clamp(Earlier, 0.0, Most);
  }
  double Higher = 0;
  for (std::size_t Above = 0; Above < K; ++Above)
    Higher += static_cast<double>(Classes_[Above].Size_);
  if (Higher == 0)
    return Ahead;
  return std::min(Ahead + Higher, (Ahead + 1) / GuaranteedShare[K]);
}

std::optional<FairQueue::Item> FairQueue::victimFor(const Item &Newcomer,
                                                    double Weight) const {
  struct Backlog {
    double Weighted_ = 0;
    const Item *Latest_ = nullptr;
  };
  std::map<Customer, Backlog> Backlogs;
  Backlogs[Newcomer.Customer_] = {1.0 / Weight, &Newcomer};
  for (const Class &C : Classes_)
    for (const auto &[Name, F] : C.Flows_) {
      if (F.Waiting_.empty())
        continue;
      Backlog &B = Backlogs[Name];
      B.Weighted_ += static_cast<double>(F.Waiting_.size()) / F.Weight_;
      bool Lower =
          !B.Latest_ || F.Waiting_.back().Priority_ > B.Latest_->Priority_;
      if (Lower)
        B.Latest_ = &F.Waiting_.back();
    }
  const Backlog *Largest = &Backlogs[Newcomer.Customer_];
  for (const auto &[Name, B] : Backlogs)
    if (B.Weighted_ > Largest->Weighted_)
      Largest = &B;
  if (Largest->Latest_ == &Newcomer)
    return std::nullopt;
  return *Largest->Latest_;
}

bool FairQueue::hasAsUrgent(Priority P) const {
  for (std::size_t K = 0; K <= indexOf(P); ++K)
    if (Classes_[K].Size_ > 0)
      return true;
  return false;
}

bool FairQueue::allOf(const std::function<bool(const Item &)> &Is) const {
  for (const Class &C : Classes_)
    for (const auto &[Name, F] : C.Flows_)
      if (!std::all_of(F.Waiting_.begin(), F.Waiting_.end(), Is))
        return false;
  return true;
}

std::vector<FairQueue::Item> FairQueue::items() const {
  std::vector<Item> Out;
  Out.reserve(Size_);
  for (const Class &C : Classes_)
    for (const auto &[Name, F] : C.Flows_)
      Out.insert(Out.end(), F.Waiting_.begin(), F.Waiting_.end());
  return Out;
}

} // namespace hawthornroad
