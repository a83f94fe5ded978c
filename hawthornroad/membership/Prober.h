// SWIM failure detector: decides which members to probe, when to request
// indirect probes, and when a member becomes suspect.
//
//   Prober P(Random(Seed), AvailabilityZone("zg-borongaj"), {});
//   Prober::ProbeActions O = P.tick(Table, Now);
//   for (const Prober::ProbeRequest &Each : O.Probes_) send(Each);
//   for (const ProcessName &Each : O.Unanswered_) Table.suspect(Each, Now);
//   P.answered(Sequence);
//
// Each period one member is probed directly, so the cost per process does not
// depend on the size of the fleet. Members of the own zone are probed in the
// order of a shuffled ring, which bounds the time until each is probed; every
// OtherZoneEvery_-th probe goes to another zone. If no answer comes within
// Timeout_, the probe is sent again over a new connection (a device on the path
// may have dropped the state of the old one) and through Indirect_ other
// members (only the path between the two processes may be broken), and again
// directly in each period. Without an answer after Tries_ periods the member is
// reported in Unanswered_ and becomes suspect. A shorter wait detects a death
// sooner but makes many live members suspect when messages are lost: with a
// fifth of the messages lost and a fifth 400 ms late, one period gave 25 false
// suspicions per minute and process in ControlBench. A member that this process
// suspects is probed each period until it is alive again, dead or left, so that
// it learns of the suspicion and can refute it even when messages are lost.
// Every GoneEvery_-th period a dead or left member is probed as well; this is
// how the two sides find each other after a network partition heals.
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
    // Maximum number of members suspected by this process that are probed each
    // period in addition to the ring.
    std::size_t MaxSuspects_ = 4;
  };
  struct ProbeRequest {
    std::uint64_t Sequence_ = 0;
    ProcessName To_;
    // If set, To_ is to probe Target_.
    ProcessName Target_;
    bool NewConnection_ = false;
  };
  struct ProbeActions {
    std::vector<ProbeRequest> Probes_;
    std::vector<ProcessName> Unanswered_;
  };

  Prober(Random Rng, AvailabilityZone Own, Limits L);

  ProbeActions tick(const MemberTable &Table, TimePoint Now);
  // Returns false when no probe with that number is outstanding: the answer is
  // late, duplicated or forged.
  bool answered(std::uint64_t Sequence);
  // Drops all outstanding probes without suspecting anybody: this process was
  // paused, and the answers arrived and were lost meanwhile.
  void dropOutstanding();

private:
  struct Outstanding {
    ProcessName Process_;
    TimePoint Sent_;
    std::size_t Retried_ = 0;
    // The target is dead or left: it cannot become suspect.
    bool Gone_ = false;
  };

  void beginPeriod(const MemberTable &Table, TimePoint Now, ProbeActions &Out);
  void probe(const ProcessName &Target, bool Gone, TimePoint Now,
             ProbeActions &Out);
  void probeSuspects(const MemberTable &Table, TimePoint Now,
                     ProbeActions &Out);
  void retry(std::uint64_t Sequence, Outstanding &O, const MemberTable &Table,
             TimePoint Now, ProbeActions &Out);
  void requestIndirectProbes(std::uint64_t Sequence, const ProcessName &Target,
                             const MemberTable &Table, ProbeActions &Out);
  const Member *nextTarget(const MemberTable &Table);
  const Member *nextInRing(std::vector<ProcessName> &Ring, bool OwnZone,
                           const MemberTable &Table);

  Random Rng_;
  AvailabilityZone Own_;
  Limits Limits_;
  TimePoint NextPeriod_{};
  std::uint64_t Periods_ = 0;
  // The first probe has number 1, as 0 marks a join probe (ControlMessages.h).
  std::uint64_t LastSequence_ = 0;
  std::map<std::uint64_t, Outstanding> Outstanding_;
  std::set<ProcessName> Suspects_;
  std::vector<ProcessName> OwnRing_;
  std::vector<ProcessName> OtherRing_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_PROBER_H
