#include "bench/EngineModel.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
constexpr Duration FastFailure = Milliseconds(5);

Duration toDuration(double InSeconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(InSeconds));
}
} // namespace

void EventQueue::at(TimePoint When, std::function<void()> Work) {
  Events_.push({std::max(When, Now_), Next_++, std::move(Work)});
}

void EventQueue::after(Duration Delay, std::function<void()> Work) {
  at(Now_ + Delay, std::move(Work));
}

void EventQueue::runUntil(TimePoint End) {
  while (!Events_.empty() && Events_.top().When_ <= End) {
    Event E = Events_.top();
    Events_.pop();
    Now_ = E.When_;
    E.Work_();
  }
  Now_ = End;
}

double EngineModel::stepSeconds() const {
  double Use = static_cast<double>(Running_.size()) /
               static_cast<double>(Setup_.Capacity_);
  return Setup_.TokenSeconds_ * Setup_.SlowFactor_ *
         (1 + Setup_.LoadFactor_ * Use);
}

void EngineModel::advance() {
  double Elapsed =
      std::chrono::duration<double>(Events_.now() - Updated_).count();
  if (!Running_.empty())
    Progress_ += Elapsed / stepSeconds();
  Updated_ = Events_.now();
}

void EngineModel::begin(std::uint64_t Id, const EngineWork &W, Callbacks C) {
  if (Setup_.FailsFast_) {
    Events_.after(FastFailure, [C] { C.OnEnd_(EngineEnd::Failed); });
    return;
  }
  auto Most = static_cast<std::size_t>(std::ceil(
      (1 + Setup_.WaitingShare_) * static_cast<double>(Setup_.Capacity_)));
  if (Setup_.Bounded_ && inProgress() >= Most) {
    Events_.after(Duration::zero(), [C] { C.OnEnd_(EngineEnd::Refused); });
    return;
  }
  advance();
  Jobs_[Id] = {.Work_ = W, .Callbacks_ = std::move(C)};
  Waiting_.push_back(Id);
  admitWaiting();
  schedule();
}

void EngineModel::admitWaiting() {
  while (!Waiting_.empty() && Running_.size() < Setup_.Capacity_) {
    std::uint64_t Id = Waiting_.front();
    Waiting_.pop_front();
    Job &J = Jobs_.at(Id);
    double Prefill = J.Work_.PrefillTokens_;
    if (J.Work_.Prefix_ != 0 && touchPrefix(J.Work_.Prefix_))
      Prefill *= 1 - Setup_.PrefixHitSaving_;
    J.FirstMark_ = Progress_ + Prefill + 1;
    J.EndMark_ = J.FirstMark_ + J.Work_.Tokens_ - 1;
    Running_.insert(Id);
    Marks_.insert({J.FirstMark_, Id});
  }
}

bool EngineModel::touchPrefix(std::uint64_t Prefix) {
  auto Found = std::find(Prefixes_.begin(), Prefixes_.end(), Prefix);
  const bool IsHit = Found != Prefixes_.end();
  if (IsHit)
    Prefixes_.erase(Found);
  Prefixes_.push_front(Prefix);
  if (Prefixes_.size() > Setup_.PrefixCacheSize_)
    Prefixes_.pop_back();
  ++(IsHit ? Counters_.PrefixHits_ : Counters_.PrefixMisses_);
  return IsHit;
}

void EngineModel::schedule() {
  std::uint64_t Mine = ++Generation_;
  if (Marks_.empty())
    return;
  double Left = std::max(0.0, Marks_.begin()->first - Progress_);
  // One nanosecond more: rounding could otherwise leave the mark just out of
  // reach for ever.
  Duration Delay = toDuration(Left * stepSeconds()) + Duration(1);
  Events_.after(Delay, [this, Mine] {
    if (Mine == Generation_)
      onMark();
  });
}

void EngineModel::onMark() {
  advance();
  std::vector<std::function<void()>> Calls;
  while (!Marks_.empty() && Marks_.begin()->first <= Progress_) {
    std::uint64_t Id = Marks_.begin()->second;
    Marks_.erase(Marks_.begin());
    Job &J = Jobs_.at(Id);
    if (!J.HasFirst_) {
      J.HasFirst_ = true;
      Marks_.insert({J.EndMark_, Id});
      Calls.push_back(J.Callbacks_.OnFirstToken_);
      continue;
    }
    Calls.push_back([End = J.Callbacks_.OnEnd_] { End(EngineEnd::Done); });
    Running_.erase(Id);
    Jobs_.erase(Id);
  }
  admitWaiting();
  schedule();
  for (auto &Call : Calls)
    Call();
}

void EngineModel::cancel(std::uint64_t Id) {
  auto Found = Jobs_.find(Id);
  if (Found == Jobs_.end())
    return;
  advance();
  Marks_.erase({Found->second.nextMark(), Id});
  Running_.erase(Id);
  std::erase(Waiting_, Id);
  Jobs_.erase(Found);
  admitWaiting();
  schedule();
}

} // namespace hawthornroad
