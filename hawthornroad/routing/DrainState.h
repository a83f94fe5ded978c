// The planned shutdown of an agent; follows charts/drain.json.
//
//   DrainState Drain(drainChart("charts"), {.Limit_ = Seconds(600)});
//   DrainActions A = Drain.stop(Now);           // {Publish}
//   A = Drain.tick({.Running_ = 3, .Unacknowledged_ = 1}, Now);
//   if (Drain.hasLeft()) ...                    // after {Leave}
//
// States: serving accepts work. draining refuses new work and finishes running
// attempts. lingering has no running attempts and keeps finished answers until
// the entries have fetched them. left means that the process may exit. A second
// stop has no effect. Each state is bounded: draining by Limit_, after which
// running attempts are given up, and lingering by Linger_, after which
// unfetched answers are dropped.

#ifndef HAWTHORNROAD_ROUTING_DRAINSTATE_H
#define HAWTHORNROAD_ROUTING_DRAINSTATE_H

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Types.h"

#include <vector>

namespace hawthornroad {

// Loads charts/drain.json. Throws Error(Step::Chart).
Chart drainChart(const std::string &Directory);

// Publish: tell the entries that the endpoint accepts no work.
// GiveUpAttempts: end the attempts that still run. Leave: tell the peers that
// the process leaves.
enum class DrainAction : std::size_t { Publish, GiveUpAttempts, Leave };
using DrainActions = std::vector<DrainAction>;

class DrainState {
public:
  struct Limits {
    // Maximum wait for running attempts.
    Duration Limit_ = Seconds(600);
    // Maximum and minimum time to stay after the last attempt ended. The
    // minimum lets the last frames reach their sockets and lets entries query a
    // lost one.
    Duration Linger_ = Seconds(5);
    Duration MinLinger_ = Milliseconds(300);
  };
  struct Work {
    std::size_t Running_ = 0;
    // Finished answers that have not been acknowledged in full.
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
  // When the current state was entered.
  TimePoint Since_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_DRAINSTATE_H
