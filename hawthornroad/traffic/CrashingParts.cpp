#include "hawthornroad/traffic/CrashingParts.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

CrashingParts::Record &CrashingParts::use(PromptPart Part) {
  auto [Found, IsNew] = Known_.try_emplace(Part);
  Record &R = Found->second;
  if (!IsNew) {
    Order_.splice(Order_.end(), Order_, R.Used_);
    return R;
  }
  R.Evidence_.Part_ = Part;
  R.Used_ = Order_.insert(Order_.end(), Part);
  if (Known_.size() > MaxParts)
    evictOldest();
  return R;
}

// Blocked parts are kept if any other can be forgotten.
void CrashingParts::evictOldest() {
  auto IsFree = [&](PromptPart Each) {
    return !Known_.at(Each).Evidence_.Block_;
  };
  auto Oldest = std::find_if(Order_.begin(), Order_.end(), IsFree);
  // The newest is in use.
  if (Oldest == Order_.end() || std::next(Oldest) == Order_.end())
    Oldest = Order_.begin();
  Known_.erase(*Oldest);
  Active_.erase(*Oldest);
  Changed_.erase(*Oldest);
  Order_.erase(Oldest);
}

bool CrashingParts::wasSoundBefore(const Record &R) const {
  const PartEvidence &E = R.Evidence_;
  return E.SoundAt_ && !E.Crashes_.empty() &&
         E.Crashes_.front().At_ - *E.SoundAt_ < Options_.SoundMemory_;
}

std::size_t CrashingParts::unexplained(const Record &R) const {
  std::set<EndpointStart> Explained;
  for (PromptPart Part : Active_) {
    const PartEvidence &Other = Known_.at(Part).Evidence_;
    if (Part != R.Evidence_.Part_ && Other.Block_)
      for (const PartEvidence::Crash &Each : Other.Crashes_)
        Explained.insert(Each.Endpoint_);
  }
  const auto &Own = R.Evidence_.Crashes_;
  return static_cast<std::size_t>(
      std::count_if(Own.begin(), Own.end(), [&](const auto &Each) {
        return !Explained.contains(Each.Endpoint_);
      }));
}

void CrashingParts::report(PartEvent::Kind K, const Record &R) {
  Events_.push_back({K, R.Evidence_});
}

bool CrashingParts::addCrash(Record &R, const PartEvidence::Crash &C,
                             bool MayRepeat) {
  PartEvidence &E = R.Evidence_;
  if ((E.SoundAt_ && C.At_ <= *E.SoundAt_) || C.At_ <= R.LiftedAt_)
    return false;
  std::erase_if(E.Crashes_, [&](const PartEvidence::Crash &Each) {
    return C.At_ - Each.At_ >= Options_.CrashMemory_;
  });
  bool IsKnown =
      std::any_of(E.Crashes_.begin(), E.Crashes_.end(), [&](const auto &Each) {
        bool IsSame = !MayRepeat ||
                      std::chrono::abs(C.At_ - Each.At_) < Options_.SameCrash_;
        return Each.Endpoint_ == C.Endpoint_ && IsSame;
      });
  if (IsKnown || E.Crashes_.size() >= MaxCrashes)
    return false;
  E.Crashes_.push_back(C);
  if (E.Crashes_.size() == Options_.SuspectCrashes_ && !E.SoundAt_)
    report(PartEvent::Kind::Suspected, R);
  return true;
}

void CrashingParts::noteCrash(const EndpointCrash &C, TimePoint Now) {
  for (PromptPart Part : C.Parts_) {
    Record &R = use(Part);
    if (addCrash(R, {C.Endpoint_, C.At_}, C.IsCertain_))
      changed(R);
    judge(R, Now);
  }
}

// A request with it was answered whole since its crashes.
void CrashingParts::clear(Record &R) {
  PartEvidence &E = R.Evidence_;
  bool WasSuspect = E.Block_ || E.Crashes_.size() >= Options_.SuspectCrashes_;
  E.Crashes_.clear();
  E.Block_.reset();
  E.Blocks_ = 0;
  R.BlockAt_.reset();
  Active_.erase(E.Part_);
  if (WasSuspect)
    report(PartEvent::Kind::Cleared, R);
}

void CrashingParts::noteSound(const std::vector<PromptPart> &Parts,
                              TimePoint At) {
  for (PromptPart Part : Parts) {
    Record &R = use(Part);
    PartEvidence &E = R.Evidence_;
    if (E.SoundAt_ && At <= *E.SoundAt_)
      continue;
    E.SoundAt_ = At;
    if (E.Crashes_.empty() && E.Blocks_ == 0)
      continue;
    changed(R);
    clearUntilSound(R);
  }
}

// Forgets what was before the last whole answer.
void CrashingParts::clearUntilSound(Record &R) {
  PartEvidence &E = R.Evidence_;
  auto IsBefore = [&](TimePoint At) { return At <= *E.SoundAt_; };
  bool HasLater =
      std::any_of(E.Crashes_.begin(), E.Crashes_.end(),
                  [&](const auto &Each) { return !IsBefore(Each.At_); });
  bool HasLaterBlock = E.Block_ && !IsBefore(E.Block_->At_);
  if (!HasLater && !HasLaterBlock)
    return clear(R);
  std::erase_if(E.Crashes_,
                [&](const auto &Each) { return IsBefore(Each.At_); });
}

void CrashingParts::mergeSound(Record &R, const PartEvidence &E) {
  PartEvidence &Own = R.Evidence_;
  if (Own.SoundAt_ && (!E.SoundAt_ || *E.SoundAt_ < *Own.SoundAt_))
    // An objection, which the sender does not know yet.
    return changed(R);
  if (!E.SoundAt_ || E.SoundAt_ == Own.SoundAt_)
    return;
  Own.SoundAt_ = E.SoundAt_;
  if (Options_.IsRelay_)
    changed(R);
  clearUntilSound(R);
}

// True when it is news.
bool CrashingParts::mergeBlock(Record &R, const PartEvidence &E,
                               TimePoint Now) {
  PartEvidence &Own = R.Evidence_;
  if (!E.Block_ || E.Block_->Until_ <= Now)
    return false;
  if (Own.SoundAt_ && E.Block_->At_ <= *Own.SoundAt_)
    return false;
  if (Own.Block_ || E.Block_->At_ <= R.LiftedAt_)
    return false;
  Own.Block_ = E.Block_;
  Own.Blocks_ = std::max(Own.Blocks_, E.Blocks_);
  R.BlockAt_.reset();
  Active_.insert(Own.Part_);
  report(PartEvent::Kind::Blocked, R);
  return true;
}

void CrashingParts::merge(const PartEvidence &E, TimePoint Now) {
  Record &R = use(E.Part_);
  mergeSound(R, E);
  bool IsNews = false;
  for (const PartEvidence::Crash &Each : E.Crashes_)
    IsNews |= addCrash(R, Each, true);
  IsNews |= mergeBlock(R, E, Now);
  if (IsNews && Options_.IsRelay_)
    changed(R);
  judge(R, Now);
}

// Decides whether the crashes suffice.
void CrashingParts::judge(Record &R, TimePoint Now) {
  const PartEvidence &E = R.Evidence_;
  std::size_t Needed = E.Blocks_ > 0 ? 1 : Options_.Crashes_;
  if (E.Block_ || E.Crashes_.size() < Needed)
    R.BlockAt_.reset();
  else if (!R.BlockAt_)
    R.BlockAt_ = Now + (wasSoundBefore(R) ? Options_.SoundObjection_
                                          : Options_.Objection_);
  if (R.BlockAt_)
    Active_.insert(E.Part_);
}

void CrashingParts::block(Record &R, TimePoint Now) {
  PartEvidence &E = R.Evidence_;
  Duration For = Options_.FirstBlock_;
  for (unsigned I = 0; I < E.Blocks_ && For < Options_.MaxBlock_; ++I)
    For *= 2;
  E.Block_ = {Now, Now + std::min(For, Options_.MaxBlock_)};
  ++E.Blocks_;
  R.BlockAt_.reset();
  changed(R);
  report(PartEvent::Kind::Blocked, R);
}

void CrashingParts::lift(Record &R, TimePoint Now) {
  R.LiftedAt_ = Now;
  R.Evidence_.Block_.reset();
  R.Evidence_.Crashes_.clear();
  report(PartEvent::Kind::Lifted, R);
}

// Those with most crashes first, then those that were answered whole longest
// ago: with them blocked, the crashes of the others may be explained.
std::vector<PromptPart> CrashingParts::due(TimePoint Now) const {
  std::vector<PromptPart> Out;
  for (PromptPart Part : Active_)
    if (const auto &At = Known_.at(Part).BlockAt_; At && Now >= *At)
      Out.push_back(Part);
  std::sort(Out.begin(), Out.end(), [&](PromptPart A, PromptPart B) {
    const PartEvidence &First = Known_.at(A).Evidence_;
    const PartEvidence &Second = Known_.at(B).Evidence_;
    if (First.Crashes_.size() != Second.Crashes_.size())
      return First.Crashes_.size() > Second.Crashes_.size();
    return First.SoundAt_ < Second.SoundAt_;
  });
  return Out;
}

void CrashingParts::tick(TimePoint Now) {
  for (PromptPart Part : due(Now)) {
    Record &R = Known_.at(Part);
    bool IsExplained = wasSoundBefore(R) && unexplained(R) < Options_.Crashes_;
    if (!Options_.IsRelay_ && !IsExplained)
      block(R, Now);
  }
  std::erase_if(Active_, [&](PromptPart Part) {
    Record &R = Known_.at(Part);
    const auto &Block = R.Evidence_.Block_;
    if (Block && Now >= Block->Until_)
      lift(R, Now);
    return !R.BlockAt_ && !R.Evidence_.Block_;
  });
}

std::optional<TimePoint>
CrashingParts::blockedUntil(const std::vector<PromptPart> &Parts,
                            TimePoint Now) const {
  std::optional<TimePoint> Out;
  for (PromptPart Each : Parts) {
    auto Found = Known_.find(Each);
    if (Found == Known_.end() || !Found->second.Evidence_.Block_)
      continue;
    TimePoint Until = Found->second.Evidence_.Block_->Until_;
    if (Until > Now)
      Out = std::max(Until, Out.value_or(Until));
  }
  return Out;
}

bool CrashingParts::isSuspect(const std::vector<PromptPart> &Parts) const {
  return std::any_of(Parts.begin(), Parts.end(), [&](PromptPart Each) {
    auto Found = Known_.find(Each);
    if (Found == Known_.end())
      return false;
    const PartEvidence &E = Found->second.Evidence_;
    std::size_t Needed =
        E.SoundAt_ ? Options_.SoundSuspectCrashes_ : Options_.SuspectCrashes_;
    return E.Block_ || E.Crashes_.size() >= Needed;
  });
}

std::size_t CrashingParts::blocked() const {
  return static_cast<std::size_t>(
      std::count_if(Known_.begin(), Known_.end(), [](const auto &Each) {
        return Each.second.Evidence_.Block_.has_value();
      }));
}

std::vector<PartEvidence> CrashingParts::takeChanged() {
  std::vector<PartEvidence> Out;
  for (PromptPart Part : std::exchange(Changed_, {})) {
    Record &R = Known_.at(Part);
    const PartEvidence &E = R.Evidence_;
    // From parts of one crash nothing follows, so a relay does not name them.
    R.IsShared_ |= !Options_.IsRelay_ || E.Block_ ||
                   E.Crashes_.size() >= Options_.SuspectCrashes_;
    if (R.IsShared_)
      Out.push_back(E);
    else
      for (const PartEvidence::Crash &Each : E.Crashes_)
        Ended_.insert(Each.Endpoint_);
  }
  return Out;
}

std::vector<EndpointStart> CrashingParts::takeEnded() {
  std::set<EndpointStart> Out = std::exchange(Ended_, {});
  return {Out.begin(), Out.end()};
}

const PartEvidence *CrashingParts::find(PromptPart Part) const {
  auto Found = Known_.find(Part);
  return Found == Known_.end() ? nullptr : &Found->second.Evidence_;
}

std::vector<PartEvidence> CrashingParts::all() const {
  std::vector<PartEvidence> Out;
  for (const auto &[Part, R] : Known_)
    if (R.Evidence_.Block_ || !R.Evidence_.Crashes_.empty())
      Out.push_back(R.Evidence_);
  return Out;
}

} // namespace hawthornroad
