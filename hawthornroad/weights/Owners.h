// Assigns the VMs that fetch each chunk into the fleet and into each
// availability zone.
//
//   Owners O(Version, SliceCount, {SelfVm, SelfZone});
//   O.setPeers(Peers);
//   O.rank(S)       // 0: this VM reads slice S from the origin
//   O.zoneRank(S)   // 0: this VM fetches slice S into its zone
//
// Chunk i belongs to slice i modulo the number of slices. For each slice a
// rendezvous hash orders all live VMs; the first is the owner. The same order
// restricted to a zone gives the zone's owner, so the owner is also its own
// zone's owner. Each VM computes this locally; when views differ, two VMs may
// take themselves for the owner, and OriginBudget decides between them.
//
// There are at most MaxSlices slices whatever the fleet's size: few VMs read
// the origin at once, so the first chunks are complete early instead of all
// being partly read, and the ledger of grants stays small. Cost of setPeers():
// slices * peers hashes of two words.

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
  // Number of peers of its own zone that a VM chooses to watch.
  static constexpr std::size_t ZoneNeighbours = 6;
  // Zone owners watched for each slice, in addition to the slice's owner.
  static constexpr std::size_t ZonesWatched = 2;
  // With eight readers, a chunk of one fortieth of a megabyte takes 0.4 s over
  // 4 Mbit/s.
  static constexpr std::size_t MaxReaders = 8;
  // VMs of a zone that fetch chunks from other zones. Four VMs of 7 Mbit/s
  // receive several times what a narrow origin sends. Each of them takes a
  // share of the link between two regions, which configuration reads use as
  // well: beside 31 fetching VMs, 336 KB take 2.8 s of 31 Mbit/s, beside four
  // 0.4 s (computed).
  static constexpr std::size_t MaxCrossZoneFetchers = 8;

  // NearOrigin: while this zone has VMs, they own the slices, so that a slice
  // crosses between zones once for each other zone and not once more on its way
  // from the origin. At most MaxReaders of them do: many readers of a narrow
  // origin make every chunk slow, and the silence between two chunks then looks
  // like a failure. In each other zone MaxCrossZoneFetchers VMs fetch slices
  // into it. Empty: all VMs are equal.
  Owners(const VersionDigest &Version, SliceIndex Slices, SwarmPeer Self,
         AvailabilityZone NearOrigin = {});

  // All live VMs that need the version; Self may be omitted.
  void setPeers(std::vector<SwarmPeer> Peers);
  // The origin has moved to another zone; empty when unknown.
  void setOriginZone(AvailabilityZone NearOrigin);

  std::size_t rank(SliceIndex S) const { return Rank_[S]; }
  std::size_t zoneRank(SliceIndex S) const { return ZoneRank_[S]; }
  const Vm &owner(SliceIndex S) const { return Peers_[Owner_[S]].Vm_; }
  // Whether any peer is in another zone.
  bool hasOtherZones() const { return OtherZones_; }
  bool isInZone(const Vm &V) const { return InZone_.contains(V); }
  bool isKnown(const Vm &V) const;
  // Random but stable neighbours in the zone. They include the next VM of a
  // ring, which keeps the zone connected.
  std::vector<Vm> zoneNeighbours() const;
  // Sources of slice S outside the zone: its owner, then the owners of the next
  // zones.
  std::vector<Vm> sourcesInOtherZones(SliceIndex S) const;
  const std::vector<SwarmPeer> &peers() const { return Peers_; }

private:
  std::uint64_t score(SliceIndex S, std::size_t Peer) const;
  void rankSlice(SliceIndex S);
  // Whether peer A precedes peer B in the order of a slice.
  bool isBefore(SliceIndex S, std::size_t A, std::size_t B) const;

  void assignTurns();
  void rankAll();

  VersionDigest Version_;
  AvailabilityZone NearOrigin_;
  // A peer's position in the order. Class 0 reads the origin first, then class
  // 1, and so on; in a class that takes turns, the peer's index among
  // TurnCount_.
  struct ReadTurn {
    unsigned Class_ = 0;
    std::size_t Index_ = 0;
    std::size_t TurnCount_ = 0;
  };
  std::size_t turnOf(SliceIndex S, std::size_t Peer) const;

  // Indexed by peer.
  std::vector<ReadTurn> PeerTurns_;
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
