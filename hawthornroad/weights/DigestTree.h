// From whom a VM gets the digests of a version's chunks.
//
//   DigestTree T({.Self_ = {Vm, Zone}, .OriginZone_ = "zg", .Version_ =
//   "m/2"}); T.setPeers(Peers); switch (DigestStep S = T.next(Now); S.Kind_)
//   ...  // ask S.To_, or read T.onMissing(Now);     // the one asked does not
//   have them T.onReadFailed(Now);  // the origin did not give them
//
// The digests come before any chunk, and all VMs want them at the same moment.
// An origin takes few connections; when every VM dials it, those that are to
// read chunks wait behind those that ask for digests: of 265 VMs half began
// their transfer 3.2 s after the naming, the last after 6.3 s, and each read
// the digests from the origin itself. Here one VM reads them.
//
// The VMs of a zone have one order, by rendezvous hash over the version. The
// first of the origin's zone reads; the first of each other zone asks it; any
// other asks its parent in a tree of FanOut over the zone's order. Whoever is
// asked before it has them answers when it has. So the depth grows with log N,
// no VM sends more than FanOut copies and one for each zone, and each zone's
// link carries them once.
//
// A VM that is dead, frozen or cut off costs its subtree one Timeout: after
// that the next ancestor is asked, then the first VMs of the origin's zone,
// then round again. And while nothing comes at all, VMs begin to read the
// origin themselves, by their position in the zone, slowly: those of the
// origin's zone first, and at no moment more than a few of each zone, so that
// an origin that comes back finds room for those that read chunks.
//
// Every VM works this out alone. When views of the fleet differ, two VMs may
// read the origin, or one asks a VM that has not heard of the version yet and
// which learns of it by that.

#ifndef HAWTHORNROAD_WEIGHTS_DIGESTTREE_H
#define HAWTHORNROAD_WEIGHTS_DIGESTTREE_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/weights/Owners.h"

#include <string>
#include <vector>

namespace hawthornroad {

// What to do now about the digests.
struct DigestStep {
  enum class Kind {
    Wait, // nothing is due
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
    // A VM that was asked has them after two round trips to the origin and as
    // many hops as the tree is deep; longer without an answer, it is in
    // trouble.
    Duration Timeout_ = Milliseconds(400);
    // Eight copies of 7 KB leave a link of 7 Mbit/s in 60 ms.
    std::size_t FanOut_ = 8;
    // After a failed read; doubles up to eight times that.
    Duration ReadAgain_ = Milliseconds(300);
  };

  DigestTree(Setup S, TimePoint Now);

  // All live VMs that need the version; Self may be left out.
  void setPeers(const std::vector<SwarmPeer> &Peers);

  DigestStep next(TimePoint Now);
  void onMissing(TimePoint Now);
  void onReadFailed(TimePoint Now);

  // Whether this VM reads the origin while all is well.
  bool isReader() const { return IsReader_; }

private:
  std::vector<Vm> zoneOrder(const std::vector<SwarmPeer> &Peers,
                            const AvailabilityZone &Zone) const;
  AvailabilityZone rootZone(const std::vector<SwarmPeer> &Peers) const;
  // How long after the start this VM reads by itself.
  Duration readAfter() const;

  Setup Setup_;
  Random Random_;
  TimePoint StartedAt_;
  // Whom to ask, in this order, over and over.
  std::vector<Vm> Sources_;
  std::size_t Asked_ = 0;
  TimePoint AskNotBefore_;
  // Position in the order of the own zone.
  std::size_t Position_ = 0;
  bool IsReader_ = false;
  bool IsInRootZone_ = false;
  unsigned ReadFailures_ = 0;
  TimePoint ReadNotBefore_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_DIGESTTREE_H
