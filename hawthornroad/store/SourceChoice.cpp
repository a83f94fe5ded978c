#include "hawthornroad/store/SourceChoice.h"

#include <algorithm>

namespace hawthornroad {

void SourceChoice::setPreferred(std::vector<PeerAddress> Before,
                                TimePoint Now) {
  Preferred_ = std::move(Before);
  std::erase_if(BadUntil_, [&](const auto &Each) {
    return std::find(Preferred_.begin(), Preferred_.end(), Each.first) ==
           Preferred_.end();
  });
  bool IsSourceListed = std::find(Preferred_.begin(), Preferred_.end(),
                                  Source_) != Preferred_.end();
  if (Preferred_.empty() || (State_ == State::Following && !IsSourceListed))
    read(Now);
}

std::optional<PeerAddress> SourceChoice::firstGood(TimePoint Now) const {
  for (const PeerAddress &Each : Preferred_) {
    auto Bad = BadUntil_.find(Each);
    if (Bad == BadUntil_.end() || Bad->second <= Now)
      return Each;
  }
  return std::nullopt;
}

std::optional<PeerAddress> SourceChoice::next(bool IsFresh,
                                              TimePoint Now) const {
  if (State_ == State::Following)
    return Source_;
  Duration Pause = IsFresh ? Options_.TryAgain_ : Options_.TryAgainLate_;
  if (State_ == State::Reading && Now < ReadsSince_ + Pause)
    return std::nullopt;
  return firstGood(Now);
}

std::optional<PeerAddress> SourceChoice::source() const {
  if (State_ != State::Following)
    return std::nullopt;
  return Source_;
}

void SourceChoice::read(TimePoint Now) {
  if (State_ != State::Reading)
    ReadsSince_ = Now;
  State_ = State::Reading;
}

void SourceChoice::seek(bool IsYielding, TimePoint Now) {
  State_ = State::Seeking;
  SeeksSince_ = Now;
  IsYielding_ = IsYielding;
}

void SourceChoice::onAnswer(const PeerAddress &From, SourceHealth H,
                            bool IsFresh, TimePoint Now) {
  switch (H) {
  case SourceHealth::Fresh:
    BadUntil_.erase(From);
    State_ = State::Following;
    Source_ = From;
    return;
  case SourceHealth::Receiving:
    if (State_ == State::Reading && !IsFresh)
      seek(true, Now);
    return;
  case SourceHealth::Without:
    BadUntil_[From] =
        Now + (IsFresh ? Options_.TryAgain_ : Options_.TryAgainWithout_);
    return leave(From, Now);
  }
}

void SourceChoice::onFailure(const PeerAddress &From, TimePoint Now) {
  BadUntil_[From] = Now + Options_.BadFor_;
  leave(From, Now);
}

void SourceChoice::leave(const PeerAddress &From, TimePoint Now) {
  bool IsOther = State_ == State::Following && From != Source_;
  if (State_ == State::Reading || IsOther)
    return;
  bool IsBackup = State_ == State::Following && rank() <= Options_.Backups_;
  if (IsBackup || !firstGood(Now))
    return read(Now);
  if (State_ == State::Following)
    seek(false, Now);
}

void SourceChoice::onAging(TimePoint Now) {
  if (State_ == State::Following)
    onFailure(Source_, Now);
}

void SourceChoice::onStale(TimePoint Now) {
  if (State_ == State::Following)
    BadUntil_[Source_] = Now + Options_.BadFor_;
  if (State_ != State::Seeking || !IsYielding_)
    read(Now);
}

void SourceChoice::tick(TimePoint Now) {
  if (State_ == State::Seeking && Now - SeeksSince_ >= Options_.SeekTimeout_)
    read(Now);
}

} // namespace hawthornroad
