// When processes reached each step of their start, from their logs.
//
//   StartTable Table = startTableOf(Timeline);
//   for (const auto &[Group, Steps] : Table)
//     print(Group.Zone_, Steps.at("ready").MedianMs_);
//
// Starts are grouped by role, availability zone and number of the start: after
// a restart of a whole fleet the second starts are compared with each other.
// Times are on the clock of each process, from its line "start".

#ifndef HAWTHORNROAD_CTL_STARTTABLE_H
#define HAWTHORNROAD_CTL_STARTTABLE_H

#include "hawthornroad/ctl/LogReader.h"

#include <compare>
#include <map>
#include <string>

namespace hawthornroad {

struct StartGroup {
  std::string Role_;
  std::string Zone_;
  // 1 for the first start of a process.
  unsigned Run_ = 0;
  auto operator<=>(const StartGroup &) const = default;
};

// How many processes reached a step, and when.
struct StartStep {
  std::size_t Count_ = 0;
  double MedianMs_ = 0;
  double LastMs_ = 0;
  bool operator==(const StartStep &) const = default;
};

// By step: "start", the first line of each kind of state ("config", "endpoint",
// "source", "ready", "engine", "version_wanted"), and "answer", the first
// request that was answered.
using StartSteps = std::map<std::string, StartStep>;
using StartTable = std::map<StartGroup, StartSteps>;

StartTable startTableOf(const LogTimeline &Timeline);

// "entry sohar-a start 2: 22 starts  ready 22, 1150 ms (last 1460 ms) ...", the
// earliest step first.
std::string describe(const StartGroup &Group, const StartSteps &Steps);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_STARTTABLE_H
