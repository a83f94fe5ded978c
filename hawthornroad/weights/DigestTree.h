// Selects where a VM gets the chunk digests of a version from.
//
//   DigestTree T({.Self_ = {Vm, Zone}, .OriginZone_ = "zg",
//                 .Version_ = "m/2"});
//   T.setPeers(Peers);
//   switch (DigestStep S = T.next(Now); S.Kind_) ...  // ask S.To_, or read
//   T.onMissing(Now);     // the peer asked does not have the digests
//   T.onReadFailed(Now);  // the read from the origin failed
//
// Digests are needed before any chunk, and all VMs need them at the same time.
// An origin accepts few connections. When every VM connects to it, the VMs that
// read chunks queue behind those that ask for digests: in a fleet of 265 VMs
// half began their transfer 3.2 s after the version was announced, the last
// after 6.3 s, and each read the digests from the origin itself. With this tree
// one VM reads them.
//
// The VMs of a zone are ordered by rendezvous hash over the version. The first
// VM of the origin's zone reads the origin; the first VM of each other zone
// asks it; every other VM asks its parent in a tree with fan-out FanOut_ over
// the zone's order. A VM that is asked before it has the digests answers once
// it has them. The depth therefore grows with log N, no VM sends more than
// FanOut_ copies plus one for each other zone, and each link between zones
// carries the digests once.
//
// A VM that is dead, frozen or partitioned delays its subtree by one Timeout_:
// the next ancestor is asked then, then the first VMs of the origin's zone,
// then the list starts over. While no digests arrive at all, VMs start to read
// the origin themselves, staggered by their position in the zone, those of the
// origin's zone first. Only a few VMs of each zone do so at any time, so that a
// recovering origin has connections left for the VMs that read chunks.
//
// Each VM computes this locally. When views of the fleet differ, two VMs may
// read the origin, or a VM may be asked that has not heard of the version yet;
// the request tells it of the version.

#ifndef HAWTHORNROAD_WEIGHTS_DIGESTTREE_H
#define HAWTHORNROAD_WEIGHTS_DIGESTTREE_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/weights/Owners.h"

#include <string>
#include <vector>

namespace hawthornroad {

// The next action for obtaining the digests.
struct DigestStep {
  enum class Kind {
    Wait, // no action is due
    Ask,  // ask To_ for them
    Read  // read the origin
  };
  Kind Kind_ = Kind::Wait;
  Vm To_;
  bool operator==(const DigestStep &) const = default;
};

class DigestTree {
public:
  struct Setup {
    SwarmPeer Self_;
    AvailabilityZone OriginZone_;
    std::string Version_;
    std::uint64_t Seed_ = 1;
    // How long to wait for an answer. A healthy VM has the digests after two
    // round trips to the origin and one hop for each level of the tree.
    Duration Timeout_ = Milliseconds(400);
    // Eight copies of 7 KB take 60 ms on a link of 7 Mbit/s.
    std::size_t FanOut_ = 8;
    // Delay after a failed read; doubles up to eight times this value.
    Duration ReadRetry_ = Milliseconds(300);
  };

  DigestTree(Setup S, TimePoint Now);

  // All live VMs that need the version; Self_ may be omitted.
  void setPeers(const std::vector<SwarmPeer> &Peers);

  DigestStep next(TimePoint Now);
  void onMissing(TimePoint Now);
  void onReadFailed(TimePoint Now);

  // Whether this VM is the designated reader of the origin.
  bool isReader() const { return IsReader_; }

private:
  std::vector<Vm> zoneOrder(const std::vector<SwarmPeer> &Peers,
                            const AvailabilityZone &Zone) const;
  AvailabilityZone rootZone(const std::vector<SwarmPeer> &Peers) const;
  // Delay from the start after which this VM reads the origin itself.
  Duration readAfter() const;

  Setup Setup_;
  Random Random_;
  TimePoint StartedAt_;
  // VMs to ask, in this order, cyclically.
  std::vector<Vm> Sources_;
  std::size_t Asked_ = 0;
  TimePoint AskNotBefore_;
  // Position in the order of this VM's zone.
  std::size_t Position_ = 0;
  bool IsReader_ = false;
  bool IsInRootZone_ = false;
  unsigned ReadFailures_ = 0;
  TimePoint ReadNotBefore_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_DIGESTTREE_H
