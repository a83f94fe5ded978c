#include "hawthornroad/rollout/VersionChoice.h"

#include <algorithm>

namespace hawthornroad {

void VersionChoice::setWanted(const VersionDigest &V) {
  if (Wanted_ == V)
    return;
  Wanted_ = V;
  Failed_.clear();
}

void VersionChoice::stage(const VersionDigest &V, const std::string &Path) {
  if (Path.empty())
    Staged_.erase(V);
  else
    Staged_[V] = Path;
}

void VersionChoice::noteServed(const VersionDigest &V) {
  Failed_.erase(V);
  if (LastServed_ == V)
    return;
  PreviousServed_ = LastServed_;
  LastServed_ = V;
}

void VersionChoice::noteFailed(const VersionDigest &V, TimePoint Now) {
  constexpr unsigned MaxDoublings = 16;
  Tries &T = Failed_[V];
  bool OtherServes = V == Wanted_ && isStaged(fallbackVersion());
  Duration First = OtherServes ? Limits_.RetryDelay_ : Limits_.EmptyRetryDelay_;
  Duration Wait = First * (1 << std::min(T.Count_, MaxDoublings));
  Wait = std::min<Duration>(Wait, Limits_.RetryCap_);
  T.RetryAt_ = Now + Random_.jitter(Wait, Limits_.RetrySpread_);
  ++T.Count_;
}

std::optional<EngineTarget> VersionChoice::findLoadable(const VersionDigest &V,
                                                        TimePoint Now) const {
  auto Found = Staged_.find(V);
  if (V.empty() || Found == Staged_.end())
    return std::nullopt;
  auto Tried = Failed_.find(V);
  if (Tried != Failed_.end() && Now < Tried->second.RetryAt_)
    return std::nullopt;
  return EngineTarget{V, Found->second};
}

std::optional<EngineTarget> VersionChoice::wanted(TimePoint Now) const {
  return findLoadable(Wanted_, Now);
}

std::optional<EngineTarget> VersionChoice::wantedByTurn(TimePoint Now) const {
  auto Tried = Failed_.find(Wanted_);
  if (Tried != Failed_.end() && Tried->second.Count_ >= Limits_.MaxTries_)
    return std::nullopt;
  return wanted(Now);
}

std::optional<EngineTarget> VersionChoice::fallback(TimePoint Now) const {
  return findLoadable(fallbackVersion(), Now);
}

VersionDigest VersionChoice::failedVersion() const {
  return Failed_.contains(Wanted_) ? Wanted_ : VersionDigest();
}

} // namespace hawthornroad
