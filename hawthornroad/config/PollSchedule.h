// Schedules a process's reads of the platform's table, and elects the processes
// of a zone that poll it.
//
//   PollSchedule Polls(Random(Seed), {.Period_ = Milliseconds(250)});
//   if (Polls.isDue(Now)) { Polls.readStarted(Now); ... }
//   Polls.readFinished(true, Now);
//   bool Reader = isReader(Self, Zone, LiveNames, 3);
//
// Readers are chosen by rendezvous hashing over the live members of the zone,
// as each process sees them. Views may differ for a while: an extra reader only
// costs a few reads, and since each process counts itself as live there is
// always at least one. So the load on the table grows with the number of zones,
// not of processes.
//
// Outages: one read is outstanding at a time. After a failure the wait doubles
// up to MaxWait_, and every wait is drawn at random from a range as wide as the
// wait itself, so that readers that failed together do not retry together.

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
    // After this a read without a result (one lost inside the process) counts
    // as failed.
    Duration ReadTimeout_ = Seconds(5);
  };

  PollSchedule(Random Rng, Limits L) : Rng_(Rng), Limits_(L) {}

  bool isDue(TimePoint Now) const;
  void readStarted(TimePoint Now);
  void readFinished(bool Answered, TimePoint Now);
  // Makes a read due at once: the last one returned data, so there may be more.
  void pollNow(TimePoint Now) { Next_ = Now; }

  std::size_t failures() const { return Failures_; }

private:
  Random Rng_;
  Limits Limits_;
  bool UnderWay_ = false;
  TimePoint Began_{};
  TimePoint Next_{};
  std::size_t Failures_ = 0;
};

// Whether Self is one of the zone's readers. Live holds the names of the live
// members of the zone, including Self.
bool isReader(const ProcessName &Self, const AvailabilityZone &Zone,
              const std::vector<std::string> &Live, std::size_t Readers);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_POLLSCHEDULE_H
