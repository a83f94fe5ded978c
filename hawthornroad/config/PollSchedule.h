// When a process reads the platform's table, and whether it is one of those
// that do.
//
//   PollSchedule Polls(Random(Seed), {.Period_ = Milliseconds(250)});
//   if (Polls.isDue(Now)) { Polls.began(Now); ... }
//   Polls.ended(true, Now);
//   bool Reader = isReader(Self, Zone, LiveNames, 3);
//
// Readers are chosen by rendezvous hashing over the live members of the zone
// as each process sees them. Views may differ for a while; one reader too many
// costs a few reads, and as each process counts itself live there is always
// one. So reads of the table grow with the zones, not with the processes.
//
// Outages. One read is under way at a time. After a failure the wait doubles up
// to MaxWait_, and every wait is drawn at random from a range as wide as
// itself, so that readers that failed together do not come back together.

#ifndef HAWTHORNROAD_CONFIG_POLLSCHEDULE_H
#define HAWTHORNROAD_CONFIG_POLLSCHEDULE_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"

#include <string>
#include <vector>

namespace hawthornroad {

class PollSchedule {
public:
  struct Limits {
    Duration Period_ = Milliseconds(250);
    Duration MaxWait_ = Seconds(10);
    // A read that never ended (its answer was lost inside the process) counts
    // as failed after this.
    Duration GiveUp_ = Seconds(5);
  };

  PollSchedule(Random Rng, Limits L) : Rng_(Rng), Limits_(L) {}

  bool isDue(TimePoint Now) const;
  void began(TimePoint Now);
  void ended(bool Answered, TimePoint Now);
  // Read again without waiting: there was something, so there may be more.
  void hurry(TimePoint Now) { Next_ = Now; }

  std::size_t failures() const { return Failures_; }

private:
  Random Rng_;
  Limits Limits_;
  bool UnderWay_ = false;
  TimePoint Began_{};
  TimePoint Next_{};
  std::size_t Failures_ = 0;
};

// Live holds the names of the zone's live members, Self among them.
bool isReader(const ProcessName &Self, const AvailabilityZone &Zone,
              const std::vector<std::string> &Live, std::size_t Readers);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_POLLSCHEDULE_H
