// How an agent leaves of its own will: charts/drain.json.
//
//   DrainState Drain(drainChart("charts"), {.Limit_ = Seconds(600)});
//   DrainActions A = Drain.stop(Now);           // {Publish}
//   A = Drain.tick({.Running_ = 3, .Unacknowledged_ = 1}, Now);
//   if (Drain.hasLeft()) ...                    // after {Leave}
//
// serving: takes work. draining: refuses new work, runs what it has. lingering:
// nothing runs; finished answers stay until their entries have them. left: may
// exit. A stop that comes twice changes nothing. Each stage is bounded: by
// Limit_ for running attempts, after which they are given up, and by Linger_
// for answers nobody fetches.

#ifndef HAWTHORNROAD_ROUTING_DRAINSTATE_H
#define HAWTHORNROAD_ROUTING_DRAINSTATE_H

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Types.h"

#include <vector>

namespace hawthornroad {

// Loads charts/drain.json. Throws Error(Step::Chart).
Chart drainChart(const std::string &Directory);

// Publish: tell the entries that the endpoint takes no work.
// GiveUpAttempts: end what still runs. Leave: tell the peers good-bye.
enum class DrainAction : std::size_t { Publish, GiveUpAttempts, Leave };
using DrainActions = std::vector<DrainAction>;

class DrainState {
public:
  struct Limits {
    // Longest wait for running attempts.
    Duration Limit_ = Seconds(600);
    // Longest and shortest stay after the last attempt ended. The shortest
    // lets the last frames reach their sockets and a lost one be asked after.
    Duration Linger_ = Seconds(5);
    Duration MinLinger_ = Milliseconds(300);
  };
  struct Work {
    std::size_t Running_ = 0;
    // Finished answers not wholly acknowledged.
    std::size_t Unacknowledged_ = 0;
  };

  DrainState(Chart C, Limits L);

  DrainActions stop(TimePoint Now);
  DrainActions tick(const Work &W, TimePoint Now);

  bool isServing() const;
  bool hasLeft() const;
  // The state's name in the chart.
  const std::string &name() const;

private:
  DrainActions fire(std::size_t Event, TimePoint Now);

  Chart Chart_;
  Limits Limits_;
  std::size_t State_;
  // When the present state was entered.
  TimePoint Since_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_DRAINSTATE_H
