#include "hawthornroad/store/SourceChoice.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// How long a source's statement that it is receiving counts. Longer than the
// interval between two queries of an entry without data.
constexpr Duration ReceivingValidity = Milliseconds(500);
// How long an answer shows that a peer is alive. Longer than the time for which
// a peer may hold a query.
constexpr Duration LivePeerValidity = Milliseconds(1200);
} // namespace

unsigned SourceChoice::depth() const {
  unsigned Depth = 0;
  for (std::size_t Rank = rank(); Rank > 0; Rank = parentOf(Rank))
    ++Depth;
  return Depth;
}

bool SourceChoice::isAvoided(const PeerAddress &Peer, TimePoint Now) const {
  auto Bad = AvoidUntil_.find(Peer);
  return Bad != AvoidUntil_.end() && Bad->second > Now;
}

std::size_t SourceChoice::parentOf(std::size_t Rank) const {
  return (Rank - 1) / Options_.Fanout_;
}

// The parent, or its own, may not have started yet.
bool SourceChoice::awaitsParent(TimePoint Now) const {
  bool MayStartSoon =
      Now - SeekingSince_ < Options_.StartSpread_ || hasLivePeer(Now);
  return IsStarting_ && rank() > Options_.Backups_ && MayStartSoon;
}

std::optional<PeerAddress> SourceChoice::parent(TimePoint Now) const {
  if (Preferred_.empty())
    return std::nullopt;
  const PeerAddress &Parent = Preferred_[parentOf(rank())];
  if (isAvoided(Parent, Now))
    return std::nullopt;
  return Parent;
}

bool SourceChoice::isProbingParent(TimePoint Now) const {
  if (State_ != State::Following ||
      Now - FollowingSince_ < Options_.ParentRetryDelay_)
    return false;
  auto Parent = parent(Now);
  return Parent && *Parent != Source_;
}

bool SourceChoice::isExpectingData(TimePoint Now) const {
  return State_ == State::Seeking && SourceReceivingAt_ &&
         Now - *SourceReceivingAt_ < ReceivingValidity;
}

// Continuous in the rank, so that entries of similar rank do not start to read
// at the same moment.
Duration SourceChoice::seekTimeout() const {
  auto Backups = static_cast<double>(Options_.Backups_);
  double Doublings = std::log2(
      std::max(1.0, static_cast<double>(rank()) / std::max(1.0, Backups)));
  return Options_.SeekTimeout_ + std::chrono::duration_cast<Duration>(
                                     Options_.SeekTimeoutStep_ * Doublings);
}

bool SourceChoice::hasLivePeer(TimePoint Now) const {
  return PeerAnsweredAt_ && Now - *PeerAnsweredAt_ < LivePeerValidity;
}

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
  if (awaitsParent(Now) && !parent(Now))
    return std::nullopt;
  for (std::size_t Rank = rank(); Rank > 0;) {
    Rank = parentOf(Rank);
    if (!isAvoided(Preferred_[Rank], Now))
      return Preferred_[Rank];
  }
  for (const PeerAddress &Each : Preferred_)
    if (!isAvoided(Each, Now))
      return Each;
  return std::nullopt;
}

std::optional<PeerAddress> SourceChoice::next(bool IsFresh,
                                              TimePoint Now) const {
  if (isProbingParent(Now))
    return parent(Now);
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
  if (State_ != State::Reading) {
    // After a pause for its peers, an entry asks them again while it reads.
    bool HasYielded = State_ == State::Seeking && IsYielding_;
    ReadingSince_ = HasYielded ? Now - Options_.LatePeerRetryDelay_ : Now;
    YieldNotBefore_ = Now + Options_.LatePeerRetryDelay_;
  }
  State_ = State::Reading;
  IsStarting_ = false;
}

void SourceChoice::startSeeking(bool IsYielding, TimePoint Now) {
  State_ = State::Seeking;
  SeekingSince_ = Now;
  IsYielding_ = IsYielding;
}

void SourceChoice::onAnswer(const PeerAddress &From, SourceHealth H,
                            bool IsFresh, TimePoint Now) {
  PeerAnsweredAt_ = Now;
  switch (H) {
  case SourceHealth::Fresh:
    AvoidUntil_.erase(From);
    if (State_ != State::Following || Source_ != From)
      FollowingSince_ = Now;
    State_ = State::Following;
    Source_ = From;
    IsStarting_ = false;
    return;
  case SourceHealth::Receiving:
    SourceReceivingAt_ = Now;
    if (State_ == State::Following && Source_ != From)
      FollowingSince_ = Now;
    if (State_ == State::Reading && !IsFresh)
      startSeeking(true, Now);
    return;
  case SourceHealth::Disconnected:
    AvoidUntil_[From] = Now + (IsFresh ? Options_.PeerRetryDelay_
                                       : Options_.DisconnectedRetryDelay_);
    if (State_ == State::Reading && !IsFresh && rank() > Options_.Backups_ &&
        Now >= YieldNotBefore_)
      return startSeeking(true, Now);
    return abandonSource(From, Now);
  }
}

void SourceChoice::onFailure(const PeerAddress &From, TimePoint Now) {
  AvoidUntil_[From] = Now + Options_.FailedPeerDelay_;
  IsStarting_ = false;
  abandonSource(From, Now);
}

void SourceChoice::onRefused(const PeerAddress &From, TimePoint Now) {
  if (!IsStarting_ || rank() <= Options_.Backups_)
    return onFailure(From, Now);
  AvoidUntil_[From] = Now + Options_.RefusedRetryDelay_;
}

void SourceChoice::abandonSource(const PeerAddress &From, TimePoint Now) {
  bool IsOther = State_ == State::Following && From != Source_;
  bool IsWaiting = State_ == State::Seeking && IsYielding_;
  if (State_ == State::Reading || IsOther || IsWaiting)
    return;
  if (awaitsParent(Now))
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
  bool Waits =
      State_ == State::Seeking && (IsYielding_ || isExpectingData(Now));
  if (!Waits)
    startReading(Now);
}

void SourceChoice::tick(TimePoint Now) {
  if (State_ != State::Seeking)
    return;
  Duration Timeout = hasLivePeer(Now) ? seekTimeout() : Options_.SeekTimeout_;
  if (Now - SeekingSince_ >= Timeout)
    startReading(Now);
}

} // namespace hawthornroad
