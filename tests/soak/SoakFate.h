// Decides what became of a request that was sent: answered whole, not taken, or
// lost, unless something that the soak did excuses its end.
//
//   SoakFate F = fateOf(Request, Outcome, Record, StopBound);
//   if (F == SoakFate::Lost) std::cout << describe(Request, Outcome, Record);
//
// A request is accepted once it was passed on to an endpoint, or if its
// connection ends later than LostSlack after its last byte. An accepted one
// must be answered whole. Disruptions of the store excuse nothing, nor does an
// endpoint that is merely slow.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKFATE_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKFATE_H

#include "tests/soak/SoakRecord.h"
#include "tests/soak/SoakRequest.h"

#include <array>

namespace hawthornroad {

enum class SoakFate {
  Whole,
  // No connection.
  Refused,
  // The connection's end crossed the request, which was not passed on.
  NotTaken,
  // Excused: the process was killed or frozen, from ContactTime before the
  // request to its end.
  ProcessDisrupted,
  // Excused: the run that ended last was broken off by its endpoint.
  EndpointBrokeOff,
  // Excused: its prompt has the crashing part.
  CrashingPart,
  // Excused: the path to that endpoint was cut or narrowed.
  PathCut,
  // Excused: the end of the stop bound, with the endpoint still at work.
  StopBoundReached,
  // Excused: the request's deadline or its route's timeout.
  DeadlineReached,
  Lost
};
inline constexpr std::array SoakFateNames = {"whole",
                                             "refused",
                                             "not taken",
                                             "process disrupted",
                                             "endpoint broke off",
                                             "crashing part",
                                             "path cut",
                                             "stop bound",
                                             "deadline",
                                             "lost"};

inline constexpr Duration ContactTime = Seconds(3);
inline constexpr Duration LostSlack = Milliseconds(200);

SoakFate fateOf(const SoakRequest &R, const SoakOutcome &O,
                const SoakRecord &Record, Duration StopBound);
// What its caller and its endpoints saw, and how to trace it.
std::string describe(const SoakRequest &R, const SoakOutcome &O,
                     const SoakRecord &Record);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKFATE_H
