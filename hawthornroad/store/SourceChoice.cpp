#include "hawthornroad/store/SourceChoice.h"

#include <algorithm>

namespace hawthornroad {

void SourceChoice::setPreferred(std::vector<PeerAddress> Before,
                                TimePoint Now) {
  Preferred_ = std::move(Before);
  std::erase_if(AvoidUntil_, [&](const auto &Each) {
    return std::find(Preferred_.begin(), Preferred_.end(), Each.first) ==
           Preferred_.end();
  });
  bool IsSourceListed = std::find(Preferred_.begin(), Preferred_.end(),
                                  Source_) != Preferred_.end();
  if (Preferred_.empty() || (State_ == State::Following && !IsSourceListed))
    startReading(Now);
}

std::optional<PeerAddress> SourceChoice::firstAvailable(TimePoint Now) const {
  for (const PeerAddress &Each : Preferred_) {
    auto Bad = AvoidUntil_.find(Each);
    if (Bad == AvoidUntil_.end() || Bad->second <= Now)
      return Each;
  }
  return std::nullopt;
}

std::optional<PeerAddress> SourceChoice::next(bool IsFresh,
                                              TimePoint Now) const {
  if (State_ == State::Following)
    return Source_;
  Duration Pause =
      IsFresh ? Options_.PeerRetryDelay_ : Options_.LatePeerRetryDelay_;
  if (State_ == State::Reading && Now < ReadingSince_ + Pause)
    return std::nullopt;
  return firstAvailable(Now);
}

std::optional<PeerAddress> SourceChoice::source() const {
  if (State_ != State::Following)
    return std::nullopt;
  return Source_;
}

void SourceChoice::startReading(TimePoint Now) {
  if (State_ != State::Reading)
    ReadingSince_ = Now;
  State_ = State::Reading;
}

void SourceChoice::startSeeking(bool IsYielding, TimePoint Now) {
  State_ = State::Seeking;
  SeekingSince_ = Now;
  IsYielding_ = IsYielding;
}

void SourceChoice::onAnswer(const PeerAddress &From, SourceHealth H,
                            bool IsFresh, TimePoint Now) {
  switch (H) {
  case SourceHealth::Fresh:
    AvoidUntil_.erase(From);
    State_ = State::Following;
    Source_ = From;
    return;
  case SourceHealth::Receiving:
    if (State_ == State::Reading && !IsFresh)
      startSeeking(true, Now);
    return;
  case SourceHealth::Disconnected:
    AvoidUntil_[From] = Now + (IsFresh ? Options_.PeerRetryDelay_
                                       : Options_.DisconnectedRetryDelay_);
    return abandonSource(From, Now);
  }
}

void SourceChoice::onFailure(const PeerAddress &From, TimePoint Now) {
  AvoidUntil_[From] = Now + Options_.FailedPeerDelay_;
  abandonSource(From, Now);
}

void SourceChoice::abandonSource(const PeerAddress &From, TimePoint Now) {
  bool IsOther = State_ == State::Following && From != Source_;
  if (State_ == State::Reading || IsOther)
    return;
  bool IsBackup = State_ == State::Following && rank() <= Options_.Backups_;
  if (IsBackup || !firstAvailable(Now))
    return startReading(Now);
  if (State_ == State::Following)
    startSeeking(false, Now);
}

void SourceChoice::onAging(TimePoint Now) {
  if (State_ == State::Following)
    onFailure(Source_, Now);
}

void SourceChoice::onStale(TimePoint Now) {
  if (State_ == State::Following)
    AvoidUntil_[Source_] = Now + Options_.FailedPeerDelay_;
  if (State_ != State::Seeking || !IsYielding_)
    startReading(Now);
}

void SourceChoice::tick(TimePoint Now) {
  if (State_ == State::Seeking && Now - SeekingSince_ >= Options_.SeekTimeout_)
    startReading(Now);
}

} // namespace hawthornroad
