#include "hawthornroad/weights/Owners.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>
#include <map>

namespace hawthornroad {

namespace {
// The SplitMix64 finalizer: mixes the combined hashes of slice and VM.
std::uint64_t mixBits(std::uint64_t X) {
  X += 0x9e3779b97f4a7c15ULL;
  X = (X ^ (X >> 30)) * 0xbf58476d1ce4e5b9ULL;
  X = (X ^ (X >> 27)) * 0x94d049bb133111ebULL;
  return X ^ (X >> 31);
}
} // namespace

Owners::Owners(const VersionDigest &Version, SliceIndex Slices, SwarmPeer Self,
               AvailabilityZone NearOrigin)
    : Version_(Version), NearOrigin_(std::move(NearOrigin)),
      Self_(std::move(Self)), Rank_(Slices, 0), ZoneRank_(Slices, 0),
      Owner_(Slices, 0) {
  for (SliceIndex S = 0; S < Slices; ++S)
    SliceHash_.push_back(rendezvousScore(Version.str(), std::to_string(S)));
  setPeers({});
}

void Owners::setPeers(std::vector<SwarmPeer> Peers) {
  Peers.push_back(Self_);
  std::sort(Peers.begin(), Peers.end());
  auto SameVm = [](const SwarmPeer &A, const SwarmPeer &B) {
    return A.Vm_ == B.Vm_;
  };
  Peers.erase(std::unique(Peers.begin(), Peers.end(), SameVm), Peers.end());
  if (Peers == Peers_)
    return;
  Peers_ = std::move(Peers);
  PeerHash_.clear();
  InZone_.clear();
  OtherZones_ = false;
  for (const SwarmPeer &P : Peers_) {
    PeerHash_.push_back(rendezvousScore(Version_.str(), P.Vm_.str()));
    if (P.Zone_ == Self_.Zone_)
      InZone_.insert(P.Vm_);
    else
      OtherZones_ = true;
  }
  rankAll();
}

void Owners::setOriginZone(AvailabilityZone NearOrigin) {
  NearOrigin_ = std::move(NearOrigin);
  rankAll();
}

void Owners::rankAll() {
  assignTurns();
  for (SliceIndex S = 0; S < Rank_.size(); ++S)
    rankSlice(S);
}

std::uint64_t Owners::score(SliceIndex S, std::size_t Peer) const {
  return mixBits(SliceHash_[S] ^ PeerHash_[Peer]);
}

void Owners::assignTurns() {
  PeerTurns_.assign(Peers_.size(), {});
  if (NearOrigin_.empty())
    return;
  std::map<AvailabilityZone, std::vector<std::size_t>> Zones;
  for (std::size_t I = 0; I < Peers_.size(); ++I)
    Zones[Peers_[I].Zone_].push_back(I);
  for (auto &[Zone, Members] : Zones) {
    bool IsNear = Zone == NearOrigin_;
    std::size_t First =
        std::min(IsNear ? MaxReaders : MaxCrossZoneFetchers, Members.size());
    std::sort(Members.begin(), Members.end(),
              [&](std::size_t A, std::size_t B) {
                return PeerHash_[A] > PeerHash_[B];
              });
    for (std::size_t N = 0; N < Members.size(); ++N) {
      ReadTurn &T = PeerTurns_[Members[N]];
      T.Class_ = (N < First ? 0U : 1U) + (IsNear ? 0U : 2U);
      T.Index_ = N;
      T.TurnCount_ = N < First ? First : 0;
    }
  }
}

// The first VMs of a zone take turns, so that each owns the same number of
// slices: with a hash for each slice some of eight VMs had twice as many
// slices, and the fleet waited for them.
std::size_t Owners::turnOf(SliceIndex S, std::size_t Peer) const {
  const ReadTurn &T = PeerTurns_[Peer];
  return T.TurnCount_ == 0
             ? 0
             : (T.Index_ + T.TurnCount_ - S % T.TurnCount_) % T.TurnCount_;
}

bool Owners::isBefore(SliceIndex S, std::size_t A, std::size_t B) const {
  if (PeerTurns_[A].Class_ != PeerTurns_[B].Class_)
    return PeerTurns_[A].Class_ < PeerTurns_[B].Class_;
  std::size_t TurnA = turnOf(S, A);
  std::size_t TurnB = turnOf(S, B);
  if (TurnA != TurnB)
    return TurnA < TurnB;
  return score(S, A) > score(S, B);
}

void Owners::rankSlice(SliceIndex S) {
  std::size_t Self = 0;
  while (Peers_[Self].Vm_ != Self_.Vm_)
    ++Self;
  Owner_[S] = Self;
  Rank_[S] = ZoneRank_[S] = 0;
  for (std::size_t I = 0; I < Peers_.size(); ++I) {
    if (isBefore(S, I, Owner_[S]))
      Owner_[S] = I;
    if (!isBefore(S, I, Self))
      continue;
    ++Rank_[S];
    if (Peers_[I].Zone_ == Self_.Zone_)
      ++ZoneRank_[S];
  }
}

bool Owners::isKnown(const Vm &V) const {
  auto At = std::lower_bound(
      Peers_.begin(), Peers_.end(), V,
      [](const SwarmPeer &P, const Vm &Wanted) { return P.Vm_ < Wanted; });
  return At != Peers_.end() && At->Vm_ == V;
}

std::vector<Vm> Owners::zoneNeighbours() const {
  std::vector<std::string> Others;
  for (const Vm &V : InZone_)
    if (V != Self_.Vm_)
      Others.push_back(V.str());
  if (Others.empty())
    return {};
  std::set<Vm> Chosen;
  // Ring successor: the next VM by name.
  auto Next = std::upper_bound(Others.begin(), Others.end(), Self_.Vm_.str());
  Chosen.insert(Vm(Next == Others.end() ? Others.front() : *Next));
  for (std::size_t I : rendezvousTop(Self_.Vm_.str(), Others, ZoneNeighbours))
    if (Chosen.size() < ZoneNeighbours)
      Chosen.insert(Vm(Others[I]));
  return {Chosen.begin(), Chosen.end()};
}

std::vector<Vm> Owners::sourcesInOtherZones(SliceIndex S) const {
  std::map<AvailabilityZone, std::size_t> ZoneOwner;
  for (std::size_t I = 0; I < Peers_.size(); ++I) {
    if (Peers_[I].Zone_ == Self_.Zone_)
      continue;
    auto [At, New] = ZoneOwner.try_emplace(Peers_[I].Zone_, I);
    if (!New && isBefore(S, I, At->second))
      At->second = I;
  }
  std::vector<Vm> Out;
  if (Peers_[Owner_[S]].Zone_ != Self_.Zone_)
    Out.push_back(Peers_[Owner_[S]].Vm_);
  auto At = ZoneOwner.upper_bound(Self_.Zone_);
  for (std::size_t I = 0; I < std::min(ZonesWatched, ZoneOwner.size()); ++I) {
    if (At == ZoneOwner.end())
      At = ZoneOwner.begin();
    const Vm &V = Peers_[At->second].Vm_;
    if (std::find(Out.begin(), Out.end(), V) == Out.end())
      Out.push_back(V);
    ++At;
  }
  return Out;
}

} // namespace hawthornroad
