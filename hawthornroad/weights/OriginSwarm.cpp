#include "hawthornroad/weights/OriginSwarm.h"

namespace hawthornroad {

namespace {
// Total number of copies of a version that the origin may send.
constexpr double OriginCopies = 2.0;

} // namespace

Swarm::Setup originSwarmSetup(const SwarmPeer &Self,
                              const AvailabilityZone &OriginZone,
                              std::uint64_t Seed) {
  Swarm::Setup Out;
  Out.Self_ = Self;
  Out.OriginCopies_ = OriginCopies;
  Out.Seed_ = Seed;
  // There are few readers, so each keeps two reads in flight and the origin's
  // link is never idle between two reads.
  Out.OriginReads_ = 2;
  // Including the connection attempt, a recovered origin is found within a
  // sixth of a second. The origin accepts few connections, and a failed attempt
  // holds none.
  Out.OriginRetry_ = Milliseconds(120);
  Out.OriginZone_ = OriginZone;
  // The whole version is due within eight seconds, so a late slice is taken
  // over within one.
  Out.WatchOwners_ = true;
  Out.SliceTimeout_ = Milliseconds(900);
  // Two readers behind links of reduced bandwidth delayed a version for the
  // whole fleet by 4 s beyond its bound, while other readers had finished
  // theirs after two.
  Out.HelpAfter_ = Milliseconds(150);
  Out.ZoneTimeout_ = Milliseconds(1500);
  Out.Plan_.Timeout_ = Milliseconds(2500);
  // Each requested piece arrives over the link that brings the engine its
  // requests, and data queued before a request there delays its first byte: a
  // piece takes 27 ms over a narrow link. Two requests keep the link busy. A
  // third only queues behind them, chosen before it is known which chunks are
  // rare by then: a version took 8% longer to reach 265 VMs, and 9% longer to
  // reach 58. A single request leaves the link idle between two pieces (15%
  // longer; bench/WeightsBench --narrow-origin).
  Out.Plan_.InFlight_ = 2;
  Out.Plan_.PerPeer_ = 1;
  Out.Plan_.CrossZone_ = 1;
  Out.Plan_.SlowAt_ = Milliseconds(350);
  Out.Exchange_.UpdatePeriod_ = Milliseconds(60);
  // A peer that has not heard of the version yet ignores the subscription.
  Out.Exchange_.AskPeriod_ = Milliseconds(400);
  return Out;
}

} // namespace hawthornroad
