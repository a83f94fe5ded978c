// Who brings which chunks into the fleet, and into each availability zone.
//
//   Owners O(Version, SliceCount, {SelfVm, SelfZone});
//   O.setPeers(Peers);
//   O.rank(S)       // 0: this VM reads slice S from the origin
//   O.zoneRank(S)   // 0: this VM takes slice S into its zone
//
// Chunks are dealt into slices (chunk i into slice i modulo their number). For
// each slice a rendezvous hash orders all live VMs; the first is the owner. The
// same order restricted to a zone gives the zone's owner, so the owner is also
// its own zone's. Every VM works this out alone; when views differ, two VMs may
// hold themselves for the owner, and OriginBudget decides between them.
//
// There are at most MaxSlices slices whatever the fleet's size: few VMs read
// the origin at once, so the first chunks are whole early instead of all being
// half-way, and the ledger of grants stays small.
// Cost of setPeers: slices * peers hashes of two words.

#ifndef HAWTHORNROAD_WEIGHTS_OWNERS_H
#define HAWTHORNROAD_WEIGHTS_OWNERS_H

#include "hawthornroad/base/Types.h"

#include <set>
#include <vector>

namespace hawthornroad {

using SliceIndex = std::uint32_t;

constexpr SliceIndex MaxSlices = 64;

// A VM that needs the version.
struct SwarmPeer {
  Vm Vm_;
  AvailabilityZone Zone_;
  auto operator<=>(const SwarmPeer &) const = default;
};

class Owners {
public:
  // Peers of the own zone that a VM watches, of its own choice.
  static constexpr std::size_t ZoneNeighbours = 6;
  // Owners of other zones watched for each slice, beside the slice's owner.
  static constexpr std::size_t ZonesWatched = 2;
  // With eight, a chunk of a megabyte's fortieth over 4 Mbit/s takes 0.4 s.
  static constexpr std::size_t MaxReaders = 8;
  // VMs of a zone that take chunks into it from other zones. Four of 7 Mbit/s
  // take in several times what a narrow origin sends. Each that crosses has a
  // share of the link between two regions, and so has whoever reads a
  // configuration over it: beside 31 of them 336 KB take 2.8 s of 31 Mbit/s,
  // beside four 0.4 s (computed).
  static constexpr std::size_t MaxCrossers = 8;

  // NearOrigin: VMs of this zone own the slices while there are any, so that a
  // slice crosses between zones once for each other zone and not once more on
  // its way from the origin; and only MaxReaders of them, since many readers of
  // a narrow origin make every chunk slow, and their silence between two chunks
  // looks like a failure; and of each other zone MaxCrossers take slices into
  // it. Empty: all VMs alike.
  Owners(const VersionDigest &Version, SliceIndex Slices, SwarmPeer Self,
         AvailabilityZone NearOrigin = {});

  // All live VMs that need the version; Self may be left out.
  void setPeers(std::vector<SwarmPeer> Peers);

  std::size_t rank(SliceIndex S) const { return Rank_[S]; }
  std::size_t zoneRank(SliceIndex S) const { return ZoneRank_[S]; }
  const Vm &owner(SliceIndex S) const { return Peers_[Owner_[S]].Vm_; }
  // Whether any peer lives in another zone.
  bool hasOtherZones() const { return OtherZones_; }
  bool isInZone(const Vm &V) const { return InZone_.contains(V); }
  bool isKnown(const Vm &V) const;
  // Random but steady neighbours in the zone; the ring among them makes the
  // zone connected.
  std::vector<Vm> zoneNeighbours() const;
  // Where to look for slice S outside the zone: its owner, then the owners of
  // the next zones.
  std::vector<Vm> sourcesOutside(SliceIndex S) const;
  const std::vector<SwarmPeer> &peers() const { return Peers_; }

private:
  std::uint64_t score(SliceIndex S, std::size_t Peer) const;
  void rankSlice(SliceIndex S);
  // Whether peer A goes before peer B in the order of a slice.
  bool isBefore(SliceIndex S, std::size_t A, std::size_t B) const;

  void chooseReaders();

  VersionDigest Version_;
  AvailabilityZone NearOrigin_;
  // A peer's part in the order. Class 0 reads the origin first, then 1, and so
  // on; of a class whose members take turns, its index among Of_.
  struct Turn {
    unsigned Class_ = 0;
    std::size_t Index_ = 0;
    std::size_t Of_ = 0;
  };
  std::size_t turnOf(SliceIndex S, std::size_t Peer) const;

  // By peer.
  std::vector<Turn> Order_;
  SwarmPeer Self_;
  std::vector<SwarmPeer> Peers_;
  std::vector<std::uint64_t> PeerHash_;
  std::vector<std::uint64_t> SliceHash_;
  std::vector<std::size_t> Rank_;
  std::vector<std::size_t> ZoneRank_;
  std::vector<std::size_t> Owner_;
  std::set<Vm> InZone_;
  bool OtherZones_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_OWNERS_H
