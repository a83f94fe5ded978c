#include "hawthornroad/traffic/TrafficState.h"

#include <algorithm>

namespace hawthornroad {

void TrafficCore::noteLost(const Record &R, const Attempt &T, TimePoint Now) {
  ++(T.HasHead_ ? LostAnswers_.AfterHead_ : LostAnswers_.BeforeHead_);
  const Endpoint *E = Endpoints_.find(T.At_);
  bool IsLeaving = E != nullptr && E->IsDraining_;
  bool IsRejected = T.HasHead_ && T.Head_.NotRun_;
  if (IsRejected || IsLeaving)
    return;
  // By its last byte, since its end may be found late: the endpoint went dark,
  // or this process paused.
  bool HasJustBegun = T.HasHead_ && T.WrittenFor_ < Options_.LongAnswer_;
  Crashes_.noteLost({T.At_, T.Born_, T.Address_, T.BegunAt_}, R.Call_.Parts_,
                    HasJustBegun ? LossEvidence::Strong : LossEvidence::Weak,
                    Now);
}

// An answer without framing may have been cut between two events.
void TrafficCore::noteWhole(const Record &R, const Attempt &T, bool IsFramed,
                            TimePoint Now) {
  if (!IsFramed)
    return noteLost(R, T, Now);
  if (T.Head_.Status_ == status::Ok)
    Parts_.noteSound(
        R.Call_.Parts_,
        std::min<TimePoint>(Now, T.HeadAt_ + Options_.CrashDelay_));
}

void TrafficCore::endpointRefused(const EndpointId &Id, TimePoint Now) {
  if (const Endpoint *E = Endpoints_.find(Id))
    Crashes_.noteEnd(startOf(*E), EndProof::Refuses, Now);
}

void TrafficCore::mergeParts(const std::vector<PartEvidence> &Parts,
                             TimePoint Now) {
  Event Scope(*this);
  for (const PartEvidence &Each : Parts) {
    Parts_.merge(Each, Now);
    // Their end may not be known here, where another request was lost by it.
    for (const PartEvidence::Crash &Crash : Each.Crashes_)
      Crashes_.noteEnd(Crash.Endpoint_, EndProof::Refuses, Now);
  }
  updateParts(Now);
}

void TrafficCore::noteEnded(const std::vector<EndpointStart> &Ended,
                            TimePoint Now) {
  Event Scope(*this);
  for (const EndpointStart &Each : Ended)
    Crashes_.noteEnd(Each, EndProof::Refuses, Now);
  updateParts(Now);
}

void TrafficCore::updateParts(TimePoint Now) {
  for (const EndpointUse &Each : Crashes_.unconfirmed()) {
    EndpointStart E{Each.Id_, Each.Born_};
    if (Endpoints_.hasEnded(Each))
      Crashes_.noteEnd(E, EndProof::Restarted, Now);
    else if (Endpoints_.find(Each.Id_) == nullptr)
      Crashes_.noteEnd(E, EndProof::Unlisted, Now);
  }
  for (const EndpointCrash &Each : Crashes_.take(Now))
    Parts_.noteCrash(Each, Now);
  Parts_.tick(Now);
  bool HasBlocked = false;
  for (const PartEvent &Each : Parts_.takeEvents()) {
    HasBlocked |= Each.Kind_ == PartEvent::Kind::Blocked;
    Port_.report(Each);
  }
  if (HasBlocked)
    refuseBlocked(Now);
  std::vector<PartEvidence> Changed = Parts_.takeChanged();
  if (!Changed.empty())
    Port_.shareParts(Changed);
}

void TrafficCore::refuseBlocked(TimePoint Now) {
  std::vector<Record *> Open;
  for (const auto &[N, R] : Calls_)
    Open.push_back(R.get());
  for (Record *R : Open)
    if (auto Until = Parts_.blockedUntil(R->Call_.Parts_, Now);
        Until && !R->IsDone_)
      refuseBlocked(*R, *Until, Now);
  dispatchFreed(Now);
}

void TrafficCore::refuseBlocked(Record &R, TimePoint Until, TimePoint Now) {
  cancelAttempts(R, "its prompt crashes engines", Now);
  if (R.MayHaveRun_)
    return giveUp(R, Cause::PromptBlocked, "its prompt crashes engines", Now);
  unqueue(R);
  refuse(R, status::Unavailable, Cause::PromptBlocked, Until - Now, Now);
}

} // namespace hawthornroad
