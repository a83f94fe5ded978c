// Decides to which entries of its zone an agent sends its endpoint report, and
// how often.
//
// Urgent changes (of phase, version, staged set, rollout state or failure) go
// to every live entry of the zone at once, up to MaxUrgent_. Changes of load
// alone go to the DirectEntries_ entries that rendezvous hashing assigns to
// this VM, so that each entry receives reports from a bounded number of agents.
// The other entries learn the load of an endpoint only by gossip, with delay,
// and add their own attempts to it.
//
// The period grows so that no entry receives more than MaxRatePerEntry_ load
// reports a second. With A agents and E entries in the zone, an entry receives
// reports from A * D / E agents (D = min(DirectEntries_, E)), so
//     period = max(Period_, A * D / (E * MaxRatePerEntry_)).
// With 6 agents and 3 entries that is 0.6 s at the default rate; with 625
// agents and 75 entries 3.3 s.

#ifndef HAWTHORNROAD_MEMBERSHIP_REPORTPLAN_H
#define HAWTHORNROAD_MEMBERSHIP_REPORTPLAN_H

#include "hawthornroad/membership/MemberTable.h"

#include <vector>

namespace hawthornroad {

class ReportPlan {
public:
  struct Limits {
    Duration Period_ = Milliseconds(500);
    std::size_t DirectEntries_ = 4;
    std::size_t MaxUrgent_ = 64;
    double MaxRatePerEntry_ = 10;
  };

  explicit ReportPlan(Limits L) : Limits_(L) {}

  // Returns the entries to send Status to now; empty when a change of load
  // alone is not yet due.
  std::vector<PeerAddress> publish(const EndpointStatus &Status,
                                   const MemberTable &Table, TimePoint Now);
  // Whether Status differs in more than load from the last one published.
  bool isUrgent(const EndpointStatus &Status) const;
  Duration period() const { return Period_; }

private:
  void refresh(const EndpointStatus &Status, const MemberTable &Table);

  Limits Limits_;
  EndpointStatus Last_;
  TimePoint NextLoad_{};
  Duration Period_{};
  // Version of the table from which the lists below were computed.
  std::uint64_t Version_ = 0;
  std::vector<PeerAddress> Entries_;
  std::vector<PeerAddress> Chosen_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_REPORTPLAN_H
