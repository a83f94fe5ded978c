// Which entries of its zone an agent tells of its endpoint, and how often.
//
// News (another phase, version, staged set, rollout turn, failure) goes to
// every live entry of the zone at once, up to MaxUrgent_. Load alone goes to
// the Direct_ entries that rendezvous hashing gives this VM, so that each entry
// hears a bounded number of agents; the others know the load of an endpoint
// only from gossip, late, and count their own attempts on top.
//
// The period grows so that no entry is sent more than PerEntry_ load reports a
// second: with A agents and E entries in the zone an entry hears A * D / E
// agents (D = min(Direct_, E)), so
//     period = max(Period_, A * D / (E * PerEntry_)).
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
    std::size_t Direct_ = 4;
    std::size_t MaxUrgent_ = 64;
    double PerEntry_ = 10;
  };

  explicit ReportPlan(Limits L) : Limits_(L) {}

  // Entries to send Status to now; empty when it is too soon for load alone.
  std::vector<PeerAddress> publish(const EndpointStatus &Status,
                                   const MemberTable &Table, TimePoint Now);
  // Whether Status says more than load, compared with the last published.
  bool isNews(const EndpointStatus &Status) const;
  Duration period() const { return Period_; }

private:
  void refresh(const EndpointStatus &Status, const MemberTable &Table);

  Limits Limits_;
  EndpointStatus Last_;
  TimePoint NextLoad_{};
  Duration Period_{};
  // For this version of the table.
  std::uint64_t Version_ = 0;
  std::vector<PeerAddress> Entries_;
  std::vector<PeerAddress> Chosen_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_REPORTPLAN_H
