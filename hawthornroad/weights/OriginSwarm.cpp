#include "hawthornroad/weights/OriginSwarm.h"

namespace hawthornroad {

namespace {
// Copies of a version that the origin may send in all.
constexpr double OriginCopies = 2.0;

} // namespace

Swarm::Setup originSwarmSetup(const SwarmPeer &Self,
                              const AvailabilityZone &OriginZone,
                              std::uint64_t Seed) {
  Swarm::Setup Out;
  Out.Self_ = Self;
  Out.OriginCopies_ = OriginCopies;
  Out.Seed_ = Seed;
  // With few readers each keeps two reads under way, so the origin's link is
  // never idle between two of them.
  Out.OriginReads_ = 2;
  // With the dial before it, an origin that is back is found after a sixth of a
  // second. Its connections are few, and a dial that fails holds none.
  Out.OriginRetry_ = Milliseconds(120);
  Out.OriginZone_ = OriginZone;
  // The bound is eight seconds for the whole of it, so what is late is taken
  // over within one.
  Out.WatchOwners_ = true;
  Out.SliceTimeout_ = Milliseconds(900);
  // Two readers behind narrowed links kept a version from a whole fleet for 4 s
  // past its bound; others were through with theirs after two.
  Out.StealAfter_ = Milliseconds(150);
  Out.ZoneTimeout_ = Milliseconds(1500);
  Out.Plan_.Timeout_ = Milliseconds(2500);
  // Each piece asked for comes in over the link that brings the engine its
  // requests, and what stands before a request there delays its first byte: a
  // piece takes 27 ms over a narrow link. Two keep it busy. A third only waits
  // behind them, chosen before it was known what is rare by then: a version
  // took 8% longer to reach 265 VMs, 9% longer 58; one alone leaves the link
  // idle between two (15% longer; bench/WeightsBench --narrow-origin).
  Out.Plan_.InFlight_ = 2;
  Out.Plan_.PerPeer_ = 1;
  Out.Plan_.AcrossZones_ = 1;
  Out.Plan_.SlowAt_ = Milliseconds(350);
  Out.Exchange_.TellPeriod_ = Milliseconds(60);
  // A peer that has not heard of the version yet ignores the question.
  Out.Exchange_.AskPeriod_ = Milliseconds(400);
  return Out;
}

} // namespace hawthornroad
