#include "hawthornroad/weights/ChunkPlan.h"

#include <algorithm>
#include <bit>

namespace hawthornroad {

namespace {
// A request times out after LateFactor times the mean request time. At the end
// of a transfer a duplicate request is sent after half as long.
constexpr int LateFactor = 8;
constexpr int DuplicateFactor = 4;
constexpr unsigned MaxDoublings = 6;
constexpr unsigned MaxQuadruplings = 4;
// Weight of the newest sample in the moving average: one in eight.
constexpr int AverageOver = 8;
// Concurrent requests for one chunk at the end of a transfer.
constexpr std::ptrdiff_t MaxSources = 2;
} // namespace

ChunkPlan::ChunkPlan(std::size_t Chunks, Limits L, std::uint64_t Seed)
    : Limits_(L), Random_(Seed), InFlightChunks_(Chunks) {}

Duration ChunkPlan::timeout() const {
  return std::max(Limits_.Timeout_, MeanRequestTime_ * LateFactor);
}

std::vector<const ChunkSource *>
ChunkPlan::usableSources(const HaveExchange &E, bool InZone, TimePoint Now) {
  struct Ranked {
    std::size_t Waiting_;
    std::uint64_t Tie_;
    const ChunkSource *Source_;
  };
  std::vector<Ranked> Found;
  for (const ChunkSource &S : E.sources()) {
    if (S.InZone_ != InZone || S.Have_.count() == 0)
      continue;
    std::size_t OwnInFlight = 0;
    if (auto P = Peers_.find(S.Vm_); P != Peers_.end()) {
      if (P->second.AvoidUntil_ > Now)
        continue;
      OwnInFlight = P->second.InFlight_;
    }
    if (OwnInFlight < Limits_.PerPeer_)
      Found.push_back(
          {OwnInFlight * Limits_.PerPeer_ + S.Load_, Random_.next(), &S});
  }
  std::sort(Found.begin(), Found.end(), [](const Ranked &A, const Ranked &B) {
    return A.Waiting_ != B.Waiting_ ? A.Waiting_ < B.Waiting_ : A.Tie_ < B.Tie_;
  });
  std::vector<const ChunkSource *> Out;
  for (const Ranked &R : Found)
    Out.push_back(R.Source_);
  return Out;
}

std::optional<ChunkIndex> ChunkPlan::rarestChunk(const HaveExchange &E,
                                                 const ChunkSource &S,
                                                 const ChunkSet *Mask) {
  const ChunkSet &Held = E.held();
  std::size_t Words = Held.wordCount();
  std::size_t Start = Random_.below(Words);
  std::size_t Seen = 0;
  std::size_t Best = 0;
  std::optional<ChunkIndex> Found;
  for (std::size_t Step = 0; Step < Words && Seen < Limits_.Sample_; ++Step) {
    std::size_t At = (Start + Step) % Words;
    std::uint64_t W =
        S.Have_.word(At) & ~Held.word(At) & ~InFlightChunks_.word(At);
    if (Mask != nullptr)
      W &= Mask->word(At);
    // Rotates the word by a random amount, so that ties do not favour low
    // indices.
    int Turn = static_cast<int>(Random_.below(ChunkSet::WordBits));
    for (W = std::rotr(W, Turn); W != 0; W &= W - 1) {
      auto Bit = (static_cast<unsigned>(std::countr_zero(W)) +
                  static_cast<unsigned>(Turn)) %
                 ChunkSet::WordBits;
      auto Index = static_cast<ChunkIndex>(At * ChunkSet::WordBits + Bit);
      std::size_t Holders = E.inZone(Index);
      ++Seen;
      if (Found && Holders >= Best)
        continue;
      Found = Index;
      Best = Holders;
    }
  }
  return Found;
}

ChunkFetch ChunkPlan::startRequest(ChunkIndex Chunk, const Vm &From,
                                   TimePoint Now) {
  InFlightChunks_.add(Chunk);
  ChunkFetch F{Chunk, From};
  Requests_[F] = Now;
  ++Peers_[From].InFlight_;
  return F;
}

std::size_t ChunkPlan::inFlightLimit() const {
  if (Limits_.SlowAt_ <= Duration::zero() ||
      MeanRequestTime_ <= Limits_.SlowAt_)
    return Limits_.InFlight_;
  auto Fit =
      static_cast<std::size_t>(static_cast<Duration::rep>(Limits_.InFlight_) *
                               Limits_.SlowAt_ / MeanRequestTime_);
  return std::max<std::size_t>(1, Fit);
}

std::optional<ChunkFetch> ChunkPlan::next(const HaveExchange &E,
                                          const ChunkSet &MayCross,
                                          TimePoint Now) {
  if (Requests_.size() >= inFlightLimit() || E.held().isFull())
    return std::nullopt;
  for (bool InZone : {false, true}) {
    if (!InZone && CrossZoneRequests_.size() >= Limits_.CrossZone_)
      continue;
    for (const ChunkSource *S : usableSources(E, InZone, Now)) {
      auto Chunk = rarestChunk(E, *S, InZone ? nullptr : &MayCross);
      if (!Chunk)
        continue;
      if (!InZone)
        CrossZoneRequests_.insert({*Chunk, S->Vm_});
      return startRequest(*Chunk, S->Vm_, Now);
    }
  }
  return duplicateRequest(E, Now);
}

std::optional<ChunkFetch> ChunkPlan::duplicateRequest(const HaveExchange &E,
                                                      TimePoint Now) {
  if (E.held().count() + InFlightChunks_.count() < E.held().size())
    return std::nullopt;
  Duration Long = std::max(Limits_.Timeout_ / LateFactor,
                           MeanRequestTime_ * DuplicateFactor);
  for (const auto &Request : Requests_) {
    const ChunkFetch &F = Request.first;
    if (Now - Request.second < Long)
      continue;
    auto SameChunk = [&](const auto &R) { return R.first.Chunk_ == F.Chunk_; };
    if (std::count_if(Requests_.begin(), Requests_.end(), SameChunk) >=
        MaxSources)
      continue;
    for (const ChunkSource *S : usableSources(E, true, Now))
      if (S->Vm_ != F.From_ && S->Have_.has(F.Chunk_))
        return startRequest(F.Chunk_, S->Vm_, Now);
  }
  return std::nullopt;
}

void ChunkPlan::release(ChunkIndex Chunk) {
  auto First = Requests_.lower_bound(ChunkFetch{Chunk, Vm()});
  if (First == Requests_.end() || First->first.Chunk_ != Chunk)
    InFlightChunks_.remove(Chunk);
}

void ChunkPlan::finish(ChunkIndex Chunk, const Vm &From, FetchResult Result,
                       TimePoint Now) {
  auto Found = Requests_.find({Chunk, From});
  if (Found == Requests_.end())
    return;
  Duration Took = Now - Found->second;
  Requests_.erase(Found);
  CrossZoneRequests_.erase({Chunk, From});
  release(Chunk);
  PeerState &P = Peers_[From];
  --P.InFlight_;
  switch (Result) {
  case FetchResult::Good:
    P.Misses_ = 0;
    MeanRequestTime_ += (Took - MeanRequestTime_) / AverageOver;
    return;
  case FetchResult::Bad:
    P.AvoidUntil_ = Now + Limits_.AvoidBad_ * (1 << 2 * P.BadChunks_);
    P.BadChunks_ = std::min(P.BadChunks_ + 1, MaxQuadruplings);
    return;
  case FetchResult::Busy:
    P.AvoidUntil_ =
        std::max(P.AvoidUntil_, Now + Random_.jitter(Limits_.AvoidBusy_, 0.5));
    return;
  case FetchResult::Missing:
    return;
  case FetchResult::Lost:
    P.AvoidUntil_ =
        std::max(P.AvoidUntil_, Now + Limits_.AvoidLost_ * (1 << P.Misses_));
    P.Misses_ = std::min(P.Misses_ + 1, MaxDoublings);
    return;
  }
}

std::vector<ChunkFetch> ChunkPlan::expire(TimePoint Now) {
  std::vector<ChunkFetch> Out;
  for (const auto &[F, Since] : Requests_)
    if (Now - Since >= timeout())
      Out.push_back(F);
  for (const ChunkFetch &F : Out)
    finish(F.Chunk_, F.From_, FetchResult::Lost, Now);
  return Out;
}

void ChunkPlan::onLost(const Vm &Peer, TimePoint Now) {
  std::vector<ChunkIndex> Chunks;
  for (const auto &[F, Since] : Requests_)
    if (F.From_ == Peer)
      Chunks.push_back(F.Chunk_);
  for (ChunkIndex I : Chunks)
    finish(I, Peer, FetchResult::Lost, Now);
}

} // namespace hawthornroad
