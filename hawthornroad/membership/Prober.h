// Whom to probe, when to ask others to probe, and when to accuse.
//
//   Prober P(Random(Seed), AvailabilityZone("zg-borongaj"), {});
//   Prober::Orders O = P.tick(Table, Now);
//   for (const Prober::Order &Each : O.Probes_) send(Each);
//   for (const ProcessName &Each : O.Unanswered_) Table.accuse(Each, Now);
//   P.answered(Sequence, Now);
//
// Each period one member is probed directly, so the cost of a process does not
// depend on the size of the fleet. Members of the own zone take their turns in
// a shuffled ring, which bounds the time until each is probed; every
// OtherZoneEvery_-th probe goes to another zone. No answer within Timeout_: the
// probe is sent again over a fresh connection (the old one may have been
// forgotten by something on the way) and through Indirect_ other members (the
// path between just the two may be cut), and again directly each period. Still
// none after Tries_ periods: accused. A shorter wait finds a death sooner but
// calls many a live member suspect when messages get lost: with a fifth lost
// and a fifth 400 ms late, one period gave 25 false suspicions a minute and
// process in ControlBench.
// A member this process accused is probed each period until its case is
// settled, so that it hears of it and can refute even when words are lost.
// Every GoneEvery_-th period a dead or left member is probed too; after a cut
// has healed the two sides find each other that way.
//
// Bounds: at most MaxOutstanding_ probes await an answer.

#ifndef HAWTHORNROAD_MEMBERSHIP_PROBER_H
#define HAWTHORNROAD_MEMBERSHIP_PROBER_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/membership/MemberTable.h"

#include <map>
#include <set>
#include <vector>

namespace hawthornroad {

class Prober {
public:
  struct Limits {
    Duration Period_ = Milliseconds(300);
    Duration Timeout_ = Milliseconds(150);
    std::size_t Indirect_ = 3;
    std::size_t Tries_ = 3;
    std::size_t OtherZoneEvery_ = 5;
    std::size_t GoneEvery_ = 5;
    std::size_t MaxOutstanding_ = 64;
    // Members accused here and probed each period beside the ring's turn.
    std::size_t MaxAccused_ = 4;
  };
  struct Order {
    std::uint64_t Sequence_ = 0;
    ProcessName To_;
    // When set: To_ shall probe Target_.
    ProcessName Target_;
    bool Fresh_ = false;
  };
  struct Orders {
    std::vector<Order> Probes_;
    std::vector<ProcessName> Unanswered_;
  };

  Prober(Random Rng, AvailabilityZone Own, Limits L);

  Orders tick(const MemberTable &Table, TimePoint Now);
  // False when no probe of that number waits: late, doubled or made up.
  bool answered(std::uint64_t Sequence);
  // Drops all probes under way without accusing anybody: this process was
  // paused, and the answers came and went meanwhile.
  void forgetOutstanding();

private:
  struct Outstanding {
    ProcessName Process_;
    TimePoint Sent_;
    std::size_t Retried_ = 0;
    // Of a dead or left member: nobody to accuse.
    bool Gone_ = false;
  };

  void beginPeriod(const MemberTable &Table, TimePoint Now, Orders &Out);
  void probe(const ProcessName &Target, bool Gone, TimePoint Now, Orders &Out);
  void probeAccused(const MemberTable &Table, TimePoint Now, Orders &Out);
  void retry(std::uint64_t Sequence, Outstanding &O, const MemberTable &Table,
             TimePoint Now, Orders &Out);
  void askOthers(std::uint64_t Sequence, const ProcessName &Target,
                 const MemberTable &Table, Orders &Out);
  const Member *nextTurn(const MemberTable &Table);
  const Member *nextOf(std::vector<ProcessName> &Ring, bool OwnZone,
                       const MemberTable &Table);

  Random Rng_;
  AvailabilityZone Own_;
  Limits Limits_;
  TimePoint NextPeriod_{};
  std::uint64_t Periods_ = 0;
  // The first probe is number 1: 0 asks to join (ControlMessages.h).
  std::uint64_t LastSequence_ = 0;
  std::map<std::uint64_t, Outstanding> Outstanding_;
  std::set<ProcessName> Accused_;
  std::vector<ProcessName> OwnRing_;
  std::vector<ProcessName> OtherRing_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_PROBER_H
