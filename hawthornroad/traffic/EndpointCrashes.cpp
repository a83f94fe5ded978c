#include "hawthornroad/traffic/EndpointCrashes.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

// Null when too many are pending.
EndpointCrashes::Pending *EndpointCrashes::pending(const EndpointStart &E,
                                                   TimePoint Now) {
  if (Pending_.size() >= MaxPending && !Pending_.contains(E))
    return nullptr;
  Pending &P = Pending_[E];
  P.ChangedAt_ = Now;
  return &P;
}

void EndpointCrashes::noteLost(const EndpointUse &U,
                               const std::vector<PromptPart> &Parts,
                               LossEvidence L, TimePoint Now) {
  if (Parts.empty())
    return;
  EndpointStart E{U.Id_, U.Born_};
  Pending *P = pending(E, Now);
  if (P == nullptr)
    return;
  P->Address_ = U.Address_;
  EndProof Needed =
      L == LossEvidence::Strong ? EndProof::Unlisted : EndProof::Refuses;
  P->Lost_.push_back({{E, Now, Parts}, Needed});
}

void EndpointCrashes::noteEnd(const EndpointStart &E, EndProof P,
                              TimePoint Now) {
  Pending *Ended = pending(E, Now);
  if (Ended != nullptr)
    Ended->Proof_ = std::max(P, Ended->Proof_.value_or(P));
}

void EndpointCrashes::noteAlive(const EndpointStart &E, TimePoint BegunAt) {
  auto Found = Pending_.find(E);
  if (Found == Pending_.end())
    return;
  for (Loss &Each : Found->second.Lost_)
    if (Each.Crash_.At_ < BegunAt)
      Each.Needed_ = EndProof::Restarted;
  // What was seen before does not show that this one ends.
  if (Found->second.ChangedAt_ < BegunAt)
    Found->second.Proof_.reset();
}

std::vector<EndpointUse> EndpointCrashes::unconfirmed() const {
  std::vector<EndpointUse> Out;
  for (const auto &[E, P] : Pending_)
    if (P.Proof_ != EndProof::Restarted && !P.Lost_.empty())
      Out.push_back({E.Id_, E.Born_, P.Address_, P.Lost_.front().Crash_.At_});
  return Out;
}

std::vector<EndpointCrash> EndpointCrashes::take(TimePoint Now) {
  std::vector<EndpointCrash> Out;
  for (auto &[E, P] : Pending_) {
    std::erase_if(P.Lost_, [&Proof = P.Proof_, &Out, Now](Loss &Each) {
      bool IsLate = Each.Needed_ == EndProof::Restarted &&
                    Now - Each.Crash_.At_ >= ListedWithin;
      bool IsProved = !IsLate && Proof && *Proof >= Each.Needed_;
      if (IsProved) {
        Each.Crash_.IsCertain_ = *Proof >= EndProof::Refuses;
        Out.push_back(std::move(Each.Crash_));
      }
      return IsLate || IsProved;
    });
  }
  std::erase_if(Pending_, [&](const auto &Each) {
    return Now - Each.second.ChangedAt_ >= ConfirmWithin;
  });
  return Out;
}

} // namespace hawthornroad
