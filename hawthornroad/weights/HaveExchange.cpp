#include "hawthornroad/weights/HaveExchange.h"

#include <algorithm>

namespace hawthornroad {

HaveExchange::HaveExchange(ChunkSet Held, Limits L)
    : Limits_(L), Held_(std::move(Held)), InZone_(Held_.size(), 0),
      Anywhere_(Held_.size(), 0) {}

ChunkSource *HaveExchange::findSource(const Vm &V) {
  auto At = std::lower_bound(
      Sources_.begin(), Sources_.end(), V,
      [](const ChunkSource &S, const Vm &Wanted) { return S.Vm_ < Wanted; });
  return At != Sources_.end() && At->Vm_ == V ? &*At : nullptr;
}

const ChunkSource *HaveExchange::find(const Vm &V) const {
  return const_cast<HaveExchange *>(this)->findSource(V);
}

void HaveExchange::watch(const std::map<Vm, bool> &InZone) {
  for (ChunkSource &S : Sources_)
    if (!InZone.contains(S.Vm_))
      clearHave(S);
  std::erase_if(Sources_,
                [&](const ChunkSource &S) { return !InZone.contains(S.Vm_); });
  for (const auto &[V, Near] : InZone) {
    if (findSource(V) != nullptr)
      continue;
    auto At = std::lower_bound(
        Sources_.begin(), Sources_.end(), V,
        [](const ChunkSource &S, const Vm &Wanted) { return S.Vm_ < Wanted; });
    Sources_.insert(At, ChunkSource{.Vm_ = V,
                                    .InZone_ = Near,
                                    .Have_ = ChunkSet(Held_.size())});
  }
}

std::vector<Vm> HaveExchange::dueAsks(TimePoint Now) {
  std::vector<Vm> Out;
  if (Held_.isFull())
    return Out;
  for (ChunkSource &S : Sources_) {
    if (S.Asked_ && Now - S.AskedAt_ < Limits_.AskPeriod_)
      continue;
    S.Asked_ = true;
    S.AskedAt_ = Now;
    Out.push_back(S.Vm_);
  }
  return Out;
}

std::vector<HaveUpdate> HaveExchange::dueUpdates(TimePoint Now) {
  std::erase_if(Watchers_,
                [&](const auto &Each) { return Each.second.Until_ < Now; });
  std::vector<HaveUpdate> Out;
  for (auto &[V, W] : Watchers_) {
    bool Behind = W.IsFullBitmap_ || W.SentUpTo_ < Log_.size();
    if (!Behind ||
        (!W.IsFullBitmap_ && Now - W.SentAt_ < Limits_.UpdatePeriod_))
      continue;
    HaveUpdate Update{.To_ = V, .IsFullBitmap_ = W.IsFullBitmap_};
    if (!W.IsFullBitmap_)
      Update.Added_.assign(
          Log_.begin() + static_cast<std::ptrdiff_t>(W.SentUpTo_), Log_.end());
    W.IsFullBitmap_ = false;
    W.SentUpTo_ = Log_.size();
    W.SentAt_ = Now;
    Out.push_back(std::move(Update));
  }
  return Out;
}

bool HaveExchange::onAsk(const Vm &From, TimePoint Now) {
  auto Found = Watchers_.find(From);
  if (Found == Watchers_.end()) {
    if (Watchers_.size() >= Limits_.Watchers_)
      return false;
    Found = Watchers_.try_emplace(From).first;
  }
  // Each renewal triggers a full bitmap, which recovers updates that were lost
  // with a connection: the lease spans several asks, so a renewal cannot be
  // told from a first ask after such a loss.
  Found->second.IsFullBitmap_ = true;
  Found->second.Until_ = Now + Limits_.Lease_;
  return true;
}

bool HaveExchange::addChunk(ChunkSource &S, ChunkIndex Index) {
  if (!S.Have_.add(Index))
    return false;
  if (S.InZone_)
    ++InZone_[Index];
  return Anywhere_[Index]++ == 0;
}

std::vector<ChunkIndex>
HaveExchange::onHave(const Vm &From, const ChunkSet &Have, std::size_t Load) {
  std::vector<ChunkIndex> Fresh;
  ChunkSource *S = findSource(From);
  if (S == nullptr)
    return Fresh;
  S->Load_ = Load;
  Have.forEach([&](ChunkIndex I) {
    if (addChunk(*S, I))
      Fresh.push_back(I);
  });
  return Fresh;
}

std::vector<ChunkIndex>
HaveExchange::onAdded(const Vm &From, const std::vector<ChunkIndex> &Added,
                      std::size_t Load) {
  std::vector<ChunkIndex> Fresh;
  ChunkSource *S = findSource(From);
  if (S == nullptr)
    return Fresh;
  S->Load_ = Load;
  for (ChunkIndex I : Added)
    if (addChunk(*S, I))
      Fresh.push_back(I);
  return Fresh;
}

void HaveExchange::onMissing(const Vm &From, ChunkIndex Index) {
  ChunkSource *S = findSource(From);
  if (S == nullptr || !S->Have_.remove(Index))
    return;
  --Anywhere_[Index];
  if (S->InZone_)
    --InZone_[Index];
}

void HaveExchange::clearHave(ChunkSource &S) {
  S.Have_.forEach([&](ChunkIndex I) {
    --Anywhere_[I];
    if (S.InZone_)
      --InZone_[I];
  });
  S.Have_ = ChunkSet(Held_.size());
}

void HaveExchange::onLost(const Vm &Peer) {
  Watchers_.erase(Peer);
  ChunkSource *S = findSource(Peer);
  if (S == nullptr)
    return;
  clearHave(*S);
  S->Load_ = 0;
  // The peer is asked again after AskPeriod_, in case only the connection was
  // lost.
}

void HaveExchange::noteHeld(ChunkIndex Index) {
  if (Held_.add(Index))
    Log_.push_back(Index);
}

std::vector<Vm> HaveExchange::watchers() const {
  std::vector<Vm> Out;
  for (const auto &[V, W] : Watchers_)
    Out.push_back(V);
  return Out;
}

} // namespace hawthornroad
