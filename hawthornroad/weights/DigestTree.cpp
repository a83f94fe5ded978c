#include "hawthornroad/weights/DigestTree.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// VMs of the root zone that are asked when the own zone does not answer.
constexpr std::size_t RootZoneSources = 3;
// Positions of the root zone that read before the first VM of any other zone.
constexpr std::size_t RootReaders = 4;
// Each later position waits this many timeouts more: within 8 s of no answer
// anywhere, five zones have 28 readers, out of the 48 connections that the
// narrowest known origin accepts.
constexpr Duration::rep LateStep = 4;
constexpr unsigned MaxDoublings = 3;
constexpr double ReadSpread = 0.9;
} // namespace

DigestTree::DigestTree(Setup S, TimePoint Now)
    : Setup_(std::move(S)), Random_(Setup_.Seed_), StartedAt_(Now),
      AskNotBefore_(Now), ReadNotBefore_(Now) {
  setPeers({});
}

std::vector<Vm> DigestTree::zoneOrder(const std::vector<SwarmPeer> &Peers,
                                      const AvailabilityZone &Zone) const {
  std::vector<std::pair<std::uint64_t, Vm>> Scored;
  for (const SwarmPeer &P : Peers)
    if (P.Zone_ == Zone)
      Scored.emplace_back(rendezvousScore(Setup_.Version_, P.Vm_.str()), P.Vm_);
  std::sort(Scored.rbegin(), Scored.rend());
  std::vector<Vm> Out;
  for (const auto &[Score, V] : Scored)
    Out.push_back(V);
  return Out;
}

// Returns the origin's zone or, when no VM is there, the zone of the first VM
// by name.
AvailabilityZone
DigestTree::rootZone(const std::vector<SwarmPeer> &Peers) const {
  for (const SwarmPeer &P : Peers)
    if (P.Zone_ == Setup_.OriginZone_)
      return P.Zone_;
  return Peers.front().Zone_;
}

void DigestTree::setPeers(const std::vector<SwarmPeer> &Peers) {
  std::vector<SwarmPeer> All = Peers;
  All.push_back(Setup_.Self_);
  std::sort(All.begin(), All.end());
  All.erase(std::unique(All.begin(), All.end()), All.end());
  AvailabilityZone Root = rootZone(All);
  std::vector<Vm> Zone = zoneOrder(All, Setup_.Self_.Zone_);
  auto Self = std::find(Zone.begin(), Zone.end(), Setup_.Self_.Vm_);
  Position_ = static_cast<std::size_t>(Self - Zone.begin());
  IsInRootZone_ = Root == Setup_.Self_.Zone_;
  IsReader_ = IsInRootZone_ && Position_ == 0;
  Sources_.clear();
  for (std::size_t At = Position_; At > 0;) {
    At = (At - 1) / Setup_.FanOut_;
    Sources_.push_back(Zone[At]);
  }
  std::vector<Vm> Roots = zoneOrder(All, Root);
  for (std::size_t I = 0; I < std::min(RootZoneSources, Roots.size()); ++I) {
    bool IsNew =
        Roots[I] != Setup_.Self_.Vm_ &&
        std::find(Sources_.begin(), Sources_.end(), Roots[I]) == Sources_.end();
    if (IsNew)
      Sources_.push_back(Roots[I]);
  }
}

Duration DigestTree::readAfter() const {
  std::size_t Rank = IsInRootZone_ ? Position_ : RootReaders + Position_;
  auto Quick = static_cast<Duration::rep>(std::min(Rank, RootReaders));
  auto Slow = static_cast<Duration::rep>(Rank) - Quick;
  return Setup_.Timeout_ * (Quick + Slow * LateStep);
}

DigestStep DigestTree::next(TimePoint Now) {
  bool MayRead = Sources_.empty() || Now - StartedAt_ >= readAfter();
  if (MayRead && Now >= ReadNotBefore_)
    return {DigestStep::Kind::Read, {}};
  if (IsReader_ || Sources_.empty() || Now < AskNotBefore_)
    return {};
  AskNotBefore_ = Now + Setup_.Timeout_;
  return {DigestStep::Kind::Ask, Sources_[Asked_++ % Sources_.size()]};
}

void DigestTree::onMissing(TimePoint Now) {
  // After a full cycle without success, the next attempt waits as after a
  // timeout.
  if (Sources_.empty() || Asked_ % Sources_.size() != 0)
    AskNotBefore_ = Now;
}

void DigestTree::onReadFailed(TimePoint Now) {
  auto Doubled = std::min(ReadFailures_++, MaxDoublings);
  ReadNotBefore_ =
      Now + Random_.jitter(Setup_.ReadRetry_ * (1 << Doubled), ReadSpread);
}

} // namespace hawthornroad
