#include "hawthornroad/weights/Swarm.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Neighbours watched in return, beside those of the own choice.
constexpr std::size_t MaxGuests = 10;
// Later ranks wait no longer than this many timeouts.
constexpr std::size_t MaxRank = 64;
// With no news of any slice for this many timeouts, all count as late.
constexpr int SilentTimeouts = 3;
// Ranks that claim a slice's grant on time alone: bounds the table's writes
// under a slow origin. That so many in a row are all cut off is unlikely, and
// later ranks still step in when the slice is late.
constexpr std::size_t MaxTakers = 16;
// An owner reads its chunks in their order, two at a time, and what it has got
// is known here some tens of milliseconds later. So many of the first ones that
// nobody has are left to it for as long as reads take here: read by another at
// once, they came twice (a quarter of a version in fleets of 58 to 820 VMs, and
// as much later; bench/WeightsBench --narrow-origin).
constexpr std::size_t OwnersNext = 4;
// Ranks that read for a slow owner: more of them would read the same chunks.
constexpr std::size_t MaxThieves = 4;
} // namespace

Swarm::Swarm(Setup S, const ContentShape &C, ChunkSet Held, TimePoint Now)
    : Setup_(std::move(S)), Random_(Setup_.Seed_),
      Budget_(C.Chunks_, C.Size_, C.ChunkSize_, Setup_.OriginCopies_),
      Owners_(C.Version_, Budget_.sliceCount(), Setup_.Self_,
              Setup_.OriginZone_),
      Exchange_(std::move(Held), Setup_.Exchange_),
      Plan_(C.Chunks_, Setup_.Plan_, Random_.next()),
      ZoneNews_(Budget_.sliceCount(), Now), News_(Budget_.sliceCount(), Now),
      SeenAt_(Budget_.sliceCount(), 0), AnyNews_(Now),
      Crosses_(Budget_.sliceCount(), false), MayCross_(C.Chunks_),
      Wasted_(C.Chunks_), OriginPause_(Now + Setup_.LoneGrace_),
      OriginBackAt_(Now), OwnNewsAt_(Now) {
  refreshCrossing(Now);
  rewatch();
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
  if (Lone_ && !Peers.empty()) {
    Lone_ = false;
    OriginPause_ = Now;
  }
  Owners_.setPeers(std::move(Peers));
  for (const Vm &V : Before)
    if (!Owners_.isKnown(V))
      onLost(V, Now);
  std::erase_if(Guests_, [&](const Vm &V) { return !Owners_.isInZone(V); });
  refreshCrossing(Now);
  rewatch();
}

void Swarm::refreshCrossing(TimePoint Now) {
  std::vector<bool> Before = Crosses_;
  for (SliceIndex S = 0; S < Crosses_.size(); ++S)
    Crosses_[S] = Owners_.hasOtherZones() && isLateInZone(S, Now);
  if (Crosses_ == Before)
    return;
  for (ChunkIndex I = 0; I < MayCross_.size(); ++I) {
    if (Crosses_[Budget_.sliceOf(I)])
      MayCross_.add(I);
    else
      MayCross_.remove(I);
  }
  rewatch();
}

void Swarm::rewatch() {
  std::map<Vm, bool> Watched;
  for (const Vm &V : Owners_.zoneNeighbours())
    Watched[V] = true;
  for (const Vm &V : Guests_)
    Watched[V] = true;
  for (SliceIndex S = 0; S < Crosses_.size(); ++S) {
    if (!Crosses_[S])
      continue;
    for (const Vm &V : Owners_.sourcesOutside(S))
      Watched[V] = false;
  }
  Exchange_.watch(Watched);
}

void Swarm::noteNews(const std::vector<ChunkIndex> &Fresh, bool InZone,
                     TimePoint Now) {
  for (ChunkIndex I : Fresh) {
    if (held().has(I))
      continue;
    SliceIndex S = Budget_.sliceOf(I);
    AnyNews_ = News_[S] = Now;
    if (Setup_.WatchOwners_)
      OwnerNews_[Owners_.owner(S)] = Now;
    SeenAt_[S] = ++Seen_;
    if (InZone)
      ZoneNews_[S] = Now;
  }
}

void Swarm::noteOwn(ChunkIndex Index, TimePoint Now) {
  if (Exchange_.anywhere(Index) == 0)
    noteNews({Index}, true, Now);
  ZoneNews_[Budget_.sliceOf(Index)] = Now;
  OwnNewsAt_ = Now;
  Exchange_.noteHeld(Index);
}

void Swarm::onAsk(const Vm &From, TimePoint Now) {
  if (!Exchange_.onAsk(From, Now) || isDone())
    return;
  if (!Owners_.isInZone(From) || Exchange_.find(From) != nullptr ||
      Guests_.size() >= MaxGuests)
    return;
  Guests_.insert(From);
  rewatch();
}

void Swarm::onHave(const Vm &From, const ChunkSet &Have, std::size_t Load,
                   TimePoint Now) {
  if (Have.size() == held().size())
    noteNews(Exchange_.onHave(From, Have, Load), Owners_.isInZone(From), Now);
}

void Swarm::onAdded(const Vm &From, const std::vector<ChunkIndex> &Added,
                    std::size_t Load, TimePoint Now) {
  noteNews(Exchange_.onAdded(From, Added, Load), Owners_.isInZone(From), Now);
}

void Swarm::onChunk(ChunkIndex Index, const Vm &From, TimePoint Now) {
  Plan_.finish(Index, From, FetchEnd::Good, Now);
  noteOwn(Index, Now);
}

void Swarm::onRefused(ChunkIndex Index, const Vm &From, FetchEnd End,
                      TimePoint Now) {
  Plan_.finish(Index, From, End, Now);
  if (End == FetchEnd::Missing)
    Exchange_.onMissing(From, Index);
}

void Swarm::onOrigin(ChunkIndex Index, OriginEnd End, TimePoint Now) {
  if (Reading_ > 0)
    --Reading_;
  OriginDue_ = true;
  auto Begun = FromOrigin_.extract(Index);
  Plan_.release(Index);
  switch (End) {
  case OriginEnd::Good:
    noteOriginSeen(Now);
    if (!Begun.empty())
      UsualRead_ = Now - Begun.mapped();
    noteOwn(Index, Now);
    return;
  case OriginEnd::Nothing:
    Budget_.refund(Index);
    OriginSeen_.reset();
    OriginPause_ = Now + Random_.jitter(Setup_.OriginRetry_, 0.5);
    return;
  case OriginEnd::Wasted:
    noteOriginSeen(Now);
    Wasted_.add(Index);
    OriginPause_ = Now + Random_.jitter(Setup_.OriginAgain_, 0.5);
    return;
  }
}

void Swarm::onClaim(const Grant &G, ClaimResult Result, TimePoint Now) {
  Budget_.onClaim(G, Result);
  OriginDue_ = true;
  if (Result == ClaimResult::Unknown)
    OriginPause_ = Now + Random_.jitter(Setup_.OriginRetry_, 0.5);
}

void Swarm::onOriginChecked(bool Answers, TimePoint Now) {
  Checking_ = false;
  if (Answers)
    noteOriginSeen(Now);
  else
    OriginPause_ = Now + Random_.jitter(Setup_.OriginRetry_, 0.5);
}

void Swarm::onLost(const Vm &Peer, TimePoint Now) {
  Plan_.onLost(Peer, Now);
  Exchange_.onLost(Peer);
}

Duration Swarm::timeout(std::size_t Rank) const {
  Duration One = Setup_.Preference_ == RolloutPreference::Time
                     ? Setup_.SliceTimeout_
                     : Setup_.FrugalSliceTimeout_;
  return One * static_cast<Duration::rep>(std::min(Rank, MaxRank));
}

bool Swarm::isLateInZone(SliceIndex S, TimePoint Now) const {
  auto Rank = static_cast<Duration::rep>(Owners_.zoneRank(S));
  return Now - ZoneNews_[S] >= Setup_.ZoneTimeout_ * Rank;
}

bool Swarm::isLate(SliceIndex S, std::size_t Rank, TimePoint Now) const {
  if (Now - News_[S] < timeout(Rank))
    return false;
  if (Now - AnyNews_ >= timeout(Rank) * SilentTimeouts)
    return true;
  return Seen_ - SeenAt_[S] >=
         Rank * Setup_.LagNews_ * static_cast<std::size_t>(SeenAt_.size());
}

void Swarm::noteOriginSeen(TimePoint Now) {
  if (!OriginSeen_)
    OriginBackAt_ = Now;
  OriginSeen_ = Now;
}

// The last evidence that somebody is at work on a slice.
TimePoint Swarm::lastSign(SliceIndex S) const {
  if (!Setup_.WatchOwners_)
    return News_[S];
  auto Found = OwnerNews_.find(Owners_.owner(S));
  TimePoint OfOwner = Found == OwnerNews_.end() ? OriginBackAt_ : Found->second;
  return std::max({News_[S], OfOwner, OriginBackAt_});
}

bool Swarm::mayTakeOver(SliceIndex S, std::size_t Rank, TimePoint Now) const {
  return Rank <= MaxTakers && Budget_.isUnclaimed(S) &&
         Now - lastSign(S) >= timeout(Rank);
}

void Swarm::noteIdle(TimePoint Now) {
  for (ChunkIndex I = 0; I < held().size(); ++I) {
    bool IsMine = Owners_.rank(Budget_.sliceOf(I)) == 0;
    if (IsMine && !held().has(I) && Exchange_.anywhere(I) == 0)
      return IdleSince_.reset();
  }
  if (!IdleSince_)
    IdleSince_ = Now;
}

bool Swarm::maySteal(std::size_t Rank, Duration More, TimePoint Now) const {
  if (!Setup_.WatchOwners_ || Setup_.StealAfter_ <= Duration::zero())
    return false;
  if (Rank == 0 || Rank > MaxThieves || !IdleSince_ || !originIsFresh(Now))
    return false;
  return Now - *IdleSince_ >=
         Setup_.StealAfter_ * static_cast<Duration::rep>(Rank) + More;
}

bool Swarm::isStuck(ChunkIndex Index, TimePoint Now) const {
  std::size_t Rank =
      std::max<std::size_t>(1, Owners_.rank(Budget_.sliceOf(Index)));
  return Exchange_.anywhere(Index) <= 1 && !FromOrigin_.contains(Index) &&
         maySteal(Rank, UsualRead_, Now) &&
         Now - OwnNewsAt_ >= Setup_.StealAfter_;
}

bool Swarm::stepIn(ChunkIndex Index, bool IsOwnersNext,
                   std::vector<SwarmAction> &Out, TimePoint Now) {
  SliceIndex S = Budget_.sliceOf(Index);
  std::size_t Rank = Owners_.rank(S);
  Duration More = IsOwnersNext ? UsualRead_ : Duration::zero();
  bool MaySteal = maySteal(Rank, More, Now);
  // A VM that read the chunk in vain knows better than to wait for others.
  bool IsTurn = Wasted_.has(Index) || isLate(S, Rank, Now);
  // A claim won in another's place is used while the other stays silent.
  bool IsReader = Budget_.isReader(Index);
  if (Setup_.WatchOwners_ && Rank > 0)
    IsReader = IsReader && (Now - lastSign(S) >= timeout(Rank) || MaySteal);
  if (IsReader || (IsTurn && Budget_.mayRead(Index))) {
    Budget_.spend(Index);
    Plan_.reserve(Index);
    FromOrigin_.emplace(Index, Now);
    ++Reading_;
    Out.push_back(ReadOrigin{Index});
    return true;
  }
  if (!IsTurn && !mayTakeOver(S, Rank, Now) && !MaySteal)
    return false;
  // Beyond the slice's own grant, even its owner waits a turn: the grant's
  // holder may be another VM that is reading.
  bool MaySpare = Wasted_.has(Index) || isLate(S, Rank + 1, Now);
  if ((MaySpare || Rank > 0) && !originIsFresh(Now)) {
    if (!Checking_)
      Out.push_back(CheckOrigin{});
    Checking_ = true;
    return true;
  }
  auto G = Budget_.nextClaim(Index, MaySpare, Random_);
  if (G)
    Out.push_back(ClaimGrant{*G});
  return G.has_value();
}

void Swarm::readOrigin(std::vector<SwarmAction> &Out, TimePoint Now) {
  if (Now < OriginPause_)
    return;
  const ChunkSet &Held = held();
  noteIdle(Now);
  // Chunks of each owner that nobody has yet, as far as the pass has come.
  std::map<Vm, std::size_t> Unread;
  for (ChunkIndex I = 0; I < Held.size(); ++I) {
    if (Reading_ >= Setup_.OriginReads_)
      return;
    if (Held.has(I))
      continue;
    bool IsStuck = isStuck(I, Now);
    bool IsUnread = Exchange_.anywhere(I) == 0;
    bool IsOwnersNext =
        IsUnread && Unread[Owners_.owner(Budget_.sliceOf(I))]++ < OwnersNext;
    bool IsOnItsWay = !IsUnread || Plan_.isInFlight(I);
    if (!IsOnItsWay || IsStuck)
      stepIn(I, IsOwnersNext, Out, Now);
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
  for (HaveNews &News : Exchange_.dueNews(Now))
    Out.push_back(TellHave{std::move(News)});
  if (isDone())
    return Out;
  for (const Vm &V : Exchange_.dueAsks(Now))
    Out.push_back(AskHave{V});
  Plan_.expire(Now);
  refreshCrossing(Now);
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

std::string Swarm::stalled(TimePoint Now) const {
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
