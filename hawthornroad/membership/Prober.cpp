#include "hawthornroad/membership/Prober.h"

#include <algorithm>

namespace hawthornroad {

Prober::Prober(Random Rng, AvailabilityZone Own, Limits L)
    : Rng_(Rng), Own_(std::move(Own)), Limits_(L) {}

bool Prober::answered(std::uint64_t Sequence) {
  return Outstanding_.erase(Sequence) > 0;
}

void Prober::dropOutstanding() { Outstanding_.clear(); }

Prober::ProbeActions Prober::tick(const MemberTable &Table, TimePoint Now) {
  ProbeActions Out;
  for (auto Next = Outstanding_.begin(); Next != Outstanding_.end();) {
    auto &[Sequence, Each] = *Next;
    if (Now <
        Each.Sent_ + Limits_.Timeout_ + Limits_.Tries_ * Limits_.Period_) {
      retry(Sequence, Each, Table, Now, Out);
      ++Next;
      continue;
    }
    if (!Each.Gone_)
      Out.Unanswered_.push_back(Each.Process_);
    Next = Outstanding_.erase(Next);
  }
  for (const ProcessName &Each : Out.Unanswered_)
    if (Suspects_.size() < Limits_.MaxSuspects_)
      Suspects_.insert(Each);
  if (Now >= NextPeriod_)
    beginPeriod(Table, Now, Out);
  return Out;
}

void Prober::beginPeriod(const MemberTable &Table, TimePoint Now,
                         ProbeActions &Out) {
  // Jittered, so that processes started together do not probe at the same time.
  NextPeriod_ = Now + Rng_.jitter(Limits_.Period_, 0.1);
  ++Periods_;
  probeSuspects(Table, Now, Out);
  if (const Member *Turn = nextTarget(Table))
    probe(Turn->Process_, false, Now, Out);
  if (Periods_ % Limits_.GoneEvery_ != 0)
    return;
  if (const Member *Gone = Table.randomGone(Rng_))
    probe(Gone->Process_, true, Now, Out);
}

void Prober::probeSuspects(const MemberTable &Table, TimePoint Now,
                           ProbeActions &Out) {
  for (auto Next = Suspects_.begin(); Next != Suspects_.end();) {
    const Member *Found = Table.find(*Next);
    if (Found == nullptr || Found->State_ != MemberState::Suspect) {
      Next = Suspects_.erase(Next);
      continue;
    }
    probe(*Next, false, Now, Out);
    ++Next;
  }
}

void Prober::probe(const ProcessName &Target, bool Gone, TimePoint Now,
                   ProbeActions &Out) {
  if (Outstanding_.size() >= Limits_.MaxOutstanding_)
    return;
  std::uint64_t Sequence = ++LastSequence_;
  Outstanding_[Sequence] = {Target, Now, 0, Gone};
  Out.Probes_.push_back({Sequence, Target, {}, false});
}

void Prober::retry(std::uint64_t Sequence, Outstanding &O,
                   const MemberTable &Table, TimePoint Now, ProbeActions &Out) {
  TimePoint Due = O.Sent_ + Limits_.Timeout_ + O.Retried_ * Limits_.Period_;
  if (O.Gone_ || Now < Due)
    return;
  if (O.Retried_ == 0)
    requestIndirectProbes(Sequence, O.Process_, Table, Out);
  else
    Out.Probes_.push_back({Sequence, O.Process_, {}, false});
  ++O.Retried_;
}

void Prober::requestIndirectProbes(std::uint64_t Sequence,
                                   const ProcessName &Target,
                                   const MemberTable &Table,
                                   ProbeActions &Out) {
  Out.Probes_.push_back({Sequence, Target, {}, true});
  std::set<ProcessName> Asked;
  // A draw may repeat or return the target; additional draws compensate.
  for (std::size_t Draw = 0; Draw < 3 * Limits_.Indirect_; ++Draw) {
    const Member *Helper = Table.randomLive(Rng_);
    if (Helper == nullptr || Asked.size() == Limits_.Indirect_)
      return;
    if (Helper->State_ != MemberState::Alive || Helper->Process_ == Target)
      continue;
    if (Asked.insert(Helper->Process_).second)
      Out.Probes_.push_back({Sequence, Helper->Process_, Target, false});
  }
}

const Member *Prober::nextTarget(const MemberTable &Table) {
  bool Other = Periods_ % Limits_.OtherZoneEvery_ == 0;
  if (const Member *Turn =
          nextInRing(Other ? OtherRing_ : OwnRing_, !Other, Table))
    return Turn;
  return nextInRing(Other ? OwnRing_ : OtherRing_, Other, Table);
}

const Member *Prober::nextInRing(std::vector<ProcessName> &Ring, bool OwnZone,
                                 const MemberTable &Table) {
  for (bool Refilled = false;;) {
    while (!Ring.empty()) {
      ProcessName Next = std::move(Ring.back());
      Ring.pop_back();
      const Member *Turn = Table.find(Next);
      if (Turn != nullptr && Turn->isLive())
        return Turn;
    }
    if (Refilled)
      return nullptr;
    Refilled = true;
    for (const ProcessName &Each : Table.live())
      if ((Table.find(Each)->Zone_ == Own_) == OwnZone)
        Ring.push_back(Each);
    for (std::size_t I = Ring.size(); I > 1; --I)
      std::swap(Ring[I - 1], Ring[Rng_.below(I)]);
  }
}

} // namespace hawthornroad
