#include "hawthornroad/traffic/TrafficState.h"

namespace hawthornroad {

void TrafficCore::failOverlong(Record &R, Attempt &T, const std::string &Why,
                               TimePoint Now) {
  Port_.cancelAttempt(T.Number_);
  failAttempt(R, T, Why, Now);
}

void TrafficCore::onPlainBody(Record &R, Attempt &T, std::string_view Bytes,
                              TimePoint Now) {
  if (T.Head_.NotRun_) {
    T.Discarded_ += Bytes.size();
    if (T.Discarded_ <= Options_.MaxRefusal_)
      return;
    // The refusal itself is in the head.
    Port_.cancelAttempt(T.Number_);
    return onTurnedAway(R, T, Now);
  }
  if (T.Body_.size() + Bytes.size() > Options_.MaxAnswer_)
    return failOverlong(R, T, "an answer with too many bytes", Now);
  T.Body_ += Bytes;
}

void TrafficCore::onPaused(AttemptNumber A, bool IsPaused, TimePoint Now) {
  Record *R = find(A);
  if (R == nullptr)
    return;
  Attempt &T = attemptOf(*R, A);
  if (IsPaused) {
    if (!T.PausedAt_)
      T.PausedAt_ = Now;
    return;
  }
  if (!T.PausedAt_)
    return;
  T.LastReceivedAt_ = Now;
  R->PausedSinceByte_ += Now - *T.PausedAt_;
  T.PausedAt_.reset();
}

void TrafficCore::endForBuffers(CallNumber N, TimePoint Now) {
  Event Scope(*this);
  auto Found = Calls_.find(N);
  if (Found == Calls_.end() || Found->second->IsDone_)
    return;
  Record &R = *Found->second;
  cancelAttempts(R, "too much is held", Now);
  giveUp(R, Cause::ProcessFull, "too much is held", Now);
  dispatchFreed(Now);
}

std::size_t TrafficCore::heldBy(const Record &R) {
  auto OfAttempt = [](const Attempt &T) {
    return T.Body_.size() + (T.Relay_ ? T.Relay_->heldBytes() : 0);
  };
  std::size_t Sum = R.Call_.Body_.size() + R.FallbackBody_.size();
  Sum += OfAttempt(R.Current_) + (R.Relay_ ? R.Relay_->heldBytes() : 0);
  return Sum + (R.Silent_ ? OfAttempt(*R.Silent_) : 0);
}

std::size_t TrafficCore::heldBytes(CallNumber N) const {
  auto Found = Calls_.find(N);
  return Found == Calls_.end() ? 0 : heldBy(*Found->second);
}

std::size_t TrafficCore::heldBytes() const {
  std::size_t Sum = 0;
  for (const auto &[N, R] : Calls_)
    Sum += heldBy(*R);
  return Sum;
}

} // namespace hawthornroad
