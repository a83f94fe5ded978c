#include "hawthornroad/weights/Swarm.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Neighbours watched in return, in addition to those that this VM chose.
constexpr std::size_t MaxReciprocalPeers = 10;
// Upper limit of the rank in timeouts: later ranks wait no longer.
constexpr std::size_t MaxRank = 64;
// With no new chunk of any slice for this many timeouts, all slices are late.
constexpr int SilentTimeouts = 3;
// Ranks that may claim a slice's grant on time alone: limits writes to the
// table under a slow origin. It is unlikely that so many in a row are all cut
// off, and later ranks still step in when the slice is late.
constexpr std::size_t MaxTakeoverRank = 16;
// An owner reads its chunks in order, two at a time, and other VMs learn of
// each some tens of milliseconds later. So many of its first chunks that nobody
// holds are left to the owner for one more read time: when other VMs read them
// immediately, they were read twice (a quarter of a version in fleets of 58 to
// 820 VMs, which delayed it by as much; bench/WeightsBench --narrow-origin).
constexpr std::size_t OwnerReadAhead = 4;
// Ranks that may read for a slow owner: more VMs would read the same chunks.
constexpr std::size_t MaxHelperRank = 4;
} // namespace

Swarm::Swarm(Setup S, const ContentShape &C, ChunkSet Held, TimePoint Now)
    : Setup_(std::move(S)), Random_(Setup_.Seed_),
      Budget_(C.Chunks_, C.Size_, C.ChunkSize_, Setup_.OriginCopies_),
      Owners_(C.Version_, Budget_.sliceCount(), Setup_.Self_,
              Setup_.OriginZone_),
      Exchange_(std::move(Held), Setup_.Exchange_),
      Plan_(C.Chunks_, Setup_.Plan_, Random_.next()),
      ZoneNewChunkAt_(Budget_.sliceCount(), Now),
      SliceNewChunkAt_(Budget_.sliceCount(), Now),
      SeenCountAt_(Budget_.sliceCount(), 0), LastNewChunkAt_(Now),
      CrossZoneSlices_(Budget_.sliceCount(), false), MayCross_(C.Chunks_),
      WastedReads_(C.Chunks_), OriginPausedUntil_(Now + Setup_.NoPeersGrace_),
      OriginRestoredAt_(Now), LastReceivedAt_(Now) {
  updateCrossZoneSlices(Now);
  updateWatched();
}

void Swarm::setRollout(RolloutPreference Preference, double Copies) {
  Budget_.setCopies(Copies);
  Setup_.OriginCopies_ = Copies;
  Setup_.Preference_ = Preference;
}

void Swarm::setPeers(std::vector<SwarmPeer> Peers, TimePoint Now) {
  std::vector<Vm> Before;
  for (const SwarmPeer &P : Owners_.peers())
    Before.push_back(P.Vm_);
  if (HasNoPeers_ && !Peers.empty()) {
    HasNoPeers_ = false;
    OriginPausedUntil_ = Now;
  }
  Owners_.setPeers(std::move(Peers));
  for (const Vm &V : Before)
    if (!Owners_.isKnown(V))
      onLost(V, Now);
  std::erase_if(ReciprocalPeers_,
                [&](const Vm &V) { return !Owners_.isInZone(V); });
  updateCrossZoneSlices(Now);
  updateWatched();
}

void Swarm::updateCrossZoneSlices(TimePoint Now) {
  std::vector<bool> Before = CrossZoneSlices_;
  for (SliceIndex S = 0; S < CrossZoneSlices_.size(); ++S)
    CrossZoneSlices_[S] = Owners_.hasOtherZones() && isLateInZone(S, Now);
  if (CrossZoneSlices_ == Before)
    return;
  for (ChunkIndex I = 0; I < MayCross_.size(); ++I) {
    if (CrossZoneSlices_[Budget_.sliceOf(I)])
      MayCross_.add(I);
    else
      MayCross_.remove(I);
  }
  updateWatched();
}

void Swarm::updateWatched() {
  std::map<Vm, bool> Watched;
  for (const Vm &V : Owners_.zoneNeighbours())
    Watched[V] = true;
  for (const Vm &V : ReciprocalPeers_)
    Watched[V] = true;
  for (SliceIndex S = 0; S < CrossZoneSlices_.size(); ++S) {
    if (!CrossZoneSlices_[S])
      continue;
    for (const Vm &V : Owners_.sourcesInOtherZones(S))
      Watched[V] = false;
  }
  Exchange_.watch(Watched);
}

void Swarm::recordNewChunks(const std::vector<ChunkIndex> &Fresh, bool InZone,
                            TimePoint Now) {
  for (ChunkIndex I : Fresh) {
    if (held().has(I))
      continue;
    SliceIndex S = Budget_.sliceOf(I);
    LastNewChunkAt_ = SliceNewChunkAt_[S] = Now;
    if (Setup_.WatchOwners_)
      OwnerNewChunkAt_[Owners_.owner(S)] = Now;
    SeenCountAt_[S] = ++SeenCount_;
    if (InZone)
      ZoneNewChunkAt_[S] = Now;
  }
}

void Swarm::recordOwnChunk(ChunkIndex Index, TimePoint Now) {
  if (Exchange_.anywhere(Index) == 0)
    recordNewChunks({Index}, true, Now);
  ZoneNewChunkAt_[Budget_.sliceOf(Index)] = Now;
  LastReceivedAt_ = Now;
  Exchange_.noteHeld(Index);
}

void Swarm::onAsk(const Vm &From, TimePoint Now) {
  if (!Exchange_.onAsk(From, Now) || isDone())
    return;
  if (!Owners_.isInZone(From) || Exchange_.find(From) != nullptr ||
      ReciprocalPeers_.size() >= MaxReciprocalPeers)
    return;
  ReciprocalPeers_.insert(From);
  updateWatched();
}

void Swarm::onHave(const Vm &From, const ChunkSet &Have, std::size_t Load,
                   TimePoint Now) {
  if (Have.size() == held().size())
    recordNewChunks(Exchange_.onHave(From, Have, Load), Owners_.isInZone(From),
                    Now);
}

void Swarm::onAdded(const Vm &From, const std::vector<ChunkIndex> &Added,
                    std::size_t Load, TimePoint Now) {
  recordNewChunks(Exchange_.onAdded(From, Added, Load), Owners_.isInZone(From),
                  Now);
}

void Swarm::onChunk(ChunkIndex Index, const Vm &From, TimePoint Now) {
  Plan_.finish(Index, From, FetchResult::Good, Now);
  recordOwnChunk(Index, Now);
}

void Swarm::onRefused(ChunkIndex Index, const Vm &From, FetchResult Result,
                      TimePoint Now) {
  Plan_.finish(Index, From, Result, Now);
  if (Result == FetchResult::Missing)
    Exchange_.onMissing(From, Index);
}

void Swarm::onOrigin(ChunkIndex Index, OriginReadResult Result, TimePoint Now) {
  if (OriginReadsInFlight_ > 0)
    --OriginReadsInFlight_;
  OriginDue_ = true;
  auto Begun = OriginReadStarts_.extract(Index);
  Plan_.release(Index);
  switch (Result) {
  case OriginReadResult::Good:
    noteOriginSeen(Now);
    if (!Begun.empty())
      LastReadTime_ = Now - Begun.mapped();
    recordOwnChunk(Index, Now);
    return;
  case OriginReadResult::Nothing:
    Budget_.refund(Index);
    OriginSeen_.reset();
    OriginPausedUntil_ = Now + Random_.jitter(Setup_.OriginRetry_, 0.5);
    return;
  case OriginReadResult::Wasted:
    noteOriginSeen(Now);
    WastedReads_.add(Index);
    OriginPausedUntil_ = Now + Random_.jitter(Setup_.WastedReadRetry_, 0.5);
    return;
  }
}

void Swarm::onClaim(const Grant &G, ClaimResult Result, TimePoint Now) {
  Budget_.onClaim(G, Result);
  OriginDue_ = true;
  if (Result == ClaimResult::Unknown)
    OriginPausedUntil_ = Now + Random_.jitter(Setup_.OriginRetry_, 0.5);
}

void Swarm::onOriginChecked(bool Answers, TimePoint Now) {
  CheckInFlight_ = false;
  if (Answers)
    noteOriginSeen(Now);
  else
    OriginPausedUntil_ = Now + Random_.jitter(Setup_.OriginRetry_, 0.5);
}

void Swarm::onOriginMoved(const AvailabilityZone &Zone, TimePoint Now) {
  Owners_.setOriginZone(Zone);
  Budget_.restart();
  WastedReads_ = ChunkSet(held().size());
  OriginSeen_.reset();
  OwnerNewChunkAt_.clear();
  OriginRestoredAt_ = LastNewChunkAt_ = Now;
  std::fill(SliceNewChunkAt_.begin(), SliceNewChunkAt_.end(), Now);
  std::fill(SeenCountAt_.begin(), SeenCountAt_.end(), SeenCount_);
  if (!HasNoPeers_)
    OriginPausedUntil_ = Now;
  updateCrossZoneSlices(Now);
  updateWatched();
}

void Swarm::onLost(const Vm &Peer, TimePoint Now) {
  Plan_.onLost(Peer, Now);
  Exchange_.onLost(Peer);
}

Duration Swarm::timeout(std::size_t Rank) const {
  Duration One = Setup_.Preference_ == RolloutPreference::Time
                     ? Setup_.SliceTimeout_
                     : Setup_.OriginBytesSliceTimeout_;
  return One * static_cast<Duration::rep>(std::min(Rank, MaxRank));
}

bool Swarm::isLateInZone(SliceIndex S, TimePoint Now) const {
  auto Rank = static_cast<Duration::rep>(Owners_.zoneRank(S));
  return Now - ZoneNewChunkAt_[S] >= Setup_.ZoneTimeout_ * Rank;
}

bool Swarm::isLate(SliceIndex S, std::size_t Rank, TimePoint Now) const {
  if (Now - SliceNewChunkAt_[S] < timeout(Rank))
    return false;
  if (Now - LastNewChunkAt_ >= timeout(Rank) * SilentTimeouts)
    return true;
  return SeenCount_ - SeenCountAt_[S] >=
         Rank * Setup_.LagChunks_ *
             static_cast<std::size_t>(SeenCountAt_.size());
}

void Swarm::noteOriginSeen(TimePoint Now) {
  if (!OriginSeen_)
    OriginRestoredAt_ = Now;
  OriginSeen_ = Now;
}

// Returns the time of the last sign that a VM is reading the slice.
TimePoint Swarm::lastActivity(SliceIndex S) const {
  if (!Setup_.WatchOwners_)
    return SliceNewChunkAt_[S];
  auto Found = OwnerNewChunkAt_.find(Owners_.owner(S));
  TimePoint OfOwner =
      Found == OwnerNewChunkAt_.end() ? OriginRestoredAt_ : Found->second;
  return std::max({SliceNewChunkAt_[S], OfOwner, OriginRestoredAt_});
}

bool Swarm::mayTakeOver(SliceIndex S, std::size_t Rank, TimePoint Now) const {
  return Rank <= MaxTakeoverRank && Budget_.isUnclaimed(S) &&
         Now - lastActivity(S) >= timeout(Rank);
}

void Swarm::updateIdle(TimePoint Now) {
  for (ChunkIndex I = 0; I < held().size(); ++I) {
    bool IsMine = Owners_.rank(Budget_.sliceOf(I)) == 0;
    if (IsMine && !held().has(I) && Exchange_.anywhere(I) == 0)
      return IdleSince_.reset();
  }
  if (!IdleSince_)
    IdleSince_ = Now;
}

bool Swarm::mayHelp(std::size_t Rank, Duration More, TimePoint Now) const {
  if (!Setup_.WatchOwners_ || Setup_.HelpAfter_ <= Duration::zero())
    return false;
  if (Rank == 0 || Rank > MaxHelperRank || !IdleSince_ || !originIsFresh(Now))
    return false;
  return Now - *IdleSince_ >=
         Setup_.HelpAfter_ * static_cast<Duration::rep>(Rank) + More;
}

bool Swarm::isStuck(ChunkIndex Index, TimePoint Now) const {
  std::size_t Rank =
      std::max<std::size_t>(1, Owners_.rank(Budget_.sliceOf(Index)));
  return Exchange_.anywhere(Index) <= 1 && !OriginReadStarts_.contains(Index) &&
         mayHelp(Rank, LastReadTime_, Now) &&
         Now - LastReceivedAt_ >= Setup_.HelpAfter_;
}

bool Swarm::tryOriginRead(ChunkIndex Index, bool IsOwnerReadAhead,
                          std::vector<SwarmAction> &Out, TimePoint Now) {
  SliceIndex S = Budget_.sliceOf(Index);
  std::size_t Rank = Owners_.rank(S);
  Duration More = IsOwnerReadAhead ? LastReadTime_ : Duration::zero();
  bool MayHelp = mayHelp(Rank, More, Now);
  // A VM whose own read of the chunk failed does not wait for others.
  bool IsTurn = WastedReads_.has(Index) || isLate(S, Rank, Now);
  // A grant won in another VM's place is used only while that VM stays silent.
  bool IsReader = Budget_.isReader(Index);
  if (Setup_.WatchOwners_ && Rank > 0)
    IsReader = IsReader && (Now - lastActivity(S) >= timeout(Rank) || MayHelp);
  if (IsReader || (IsTurn && Budget_.mayRead(Index))) {
    Budget_.spend(Index);
    Plan_.reserve(Index);
    OriginReadStarts_.emplace(Index, Now);
    ++OriginReadsInFlight_;
    Out.push_back(ReadOrigin{Index});
    return true;
  }
  if (!IsTurn && !mayTakeOver(S, Rank, Now) && !MayHelp)
    return false;
  // Beyond the slice's own grant, even its owner waits one rank longer: the
  // grant may be held by another VM that is reading.
  bool MaySpare = WastedReads_.has(Index) || isLate(S, Rank + 1, Now);
  if ((MaySpare || Rank > 0) && !originIsFresh(Now)) {
    if (!CheckInFlight_)
      Out.push_back(CheckOrigin{});
    CheckInFlight_ = true;
    return true;
  }
  auto G = Budget_.nextClaim(Index, MaySpare, Random_);
  if (G)
    Out.push_back(ClaimGrant{*G});
  return G.has_value();
}

void Swarm::readOrigin(std::vector<SwarmAction> &Out, TimePoint Now) {
  if (Now < OriginPausedUntil_)
    return;
  const ChunkSet &Held = held();
  updateIdle(Now);
  // Chunks of each owner, up to the current index, that no VM holds yet.
  std::map<Vm, std::size_t> Unread;
  for (ChunkIndex I = 0; I < Held.size(); ++I) {
    if (OriginReadsInFlight_ >= Setup_.OriginReads_)
      return;
    if (Held.has(I))
      continue;
    bool IsStuck = isStuck(I, Now);
    bool IsUnread = Exchange_.anywhere(I) == 0;
    bool IsOwnerReadAhead =
        IsUnread &&
        Unread[Owners_.owner(Budget_.sliceOf(I))]++ < OwnerReadAhead;
    bool IsOnItsWay = !IsUnread || Plan_.isInFlight(I);
    if (!IsOnItsWay || IsStuck)
      tryOriginRead(I, IsOwnerReadAhead, Out, Now);
  }
}

std::vector<SwarmAction> Swarm::pump(TimePoint Now) {
  std::vector<SwarmAction> Out;
  if (isDone())
    return Out;
  while (auto F = Plan_.next(Exchange_, MayCross_, Now))
    Out.push_back(RequestChunk{*F});
  if (OriginDue_)
    readOrigin(Out, Now);
  OriginDue_ = false;
  return Out;
}

std::vector<SwarmAction> Swarm::tick(TimePoint Now) {
  std::vector<SwarmAction> Out;
  for (HaveUpdate &Update : Exchange_.dueUpdates(Now))
    Out.push_back(TellHave{std::move(Update)});
  if (isDone())
    return Out;
  for (const Vm &V : Exchange_.dueAsks(Now))
    Out.push_back(AskHave{V});
  Plan_.expire(Now);
  updateCrossZoneSlices(Now);
  OriginDue_ = true;
  for (SwarmAction &A : pump(Now))
    Out.push_back(std::move(A));
  return Out;
}

bool Swarm::holdsByView(const Grant &G) const {
  if (G.Kind_ == Grant::Kind::Slice)
    return Owners_.rank(G.Number_) == 0;
  const std::vector<SwarmPeer> &Peers = Owners_.peers();
  return Peers[G.Number_ % Peers.size()].Vm_ == Setup_.Self_.Vm_;
}

std::string Swarm::stallReason(TimePoint Now) const {
  if (isDone() || !Budget_.isSpent())
    return {};
  for (ChunkIndex I = 0; I < held().size(); ++I) {
    if (held().has(I) || Exchange_.anywhere(I) > 0 || Plan_.isInFlight(I) ||
        Budget_.mayRead(I))
      continue;
    SliceIndex S = Budget_.sliceOf(I);
    if (isLate(S, Owners_.rank(S) + 1, Now))
      return "chunk " + std::to_string(I) +
             " is held by no peer in reach and the origin budget is spent; "
             "declare a larger origin_copies";
  }
  return {};
}

} // namespace hawthornroad
