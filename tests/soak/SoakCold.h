// Checks the arrivals at cold endpoints: in any one second at most
// SoakConfig::MaxColdArrivals, over all entries together.
//
//   for (auto &Each : checkColdArrivals(Record, Requests).Faults_) ...
//
// Counted are requests that were both sent and received within that second, so
// a path that delays or holds them back, or a machine that is busy, adds
// nothing. Answers with 421 do not count, other rejections do. When a request
// was sent follows from the time that its sender still waited; time that it
// spent at the entry before it was read makes that too early, never too late.
//
// What docs/design/cold-endpoints.md does not limit ("What is open") is not
// counted, see isCounted().

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKCOLD_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKCOLD_H

#include "tests/soak/SoakRecord.h"
#include "tests/soak/SoakRequest.h"

#include <map>
#include <string>
#include <vector>

namespace hawthornroad {

struct SoakColdArrivals {
  // The most that one cold endpoint received in a second.
  std::size_t Most_ = 0;
  std::vector<std::string> Faults_;
};

SoakColdArrivals
checkColdArrivals(const SoakRecord &Record,
                  const std::map<std::string, SoakRequest> &Requests);

// When a run's request was sent to the endpoint, at the earliest.
TimePoint sentAt(const SoakRequest &R, const SoakRun &Run);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKCOLD_H
