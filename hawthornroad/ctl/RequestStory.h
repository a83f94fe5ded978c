// The attempts of one request and how it ended, from the logs of its processes.
//
//   for (const RequestStory &S : storiesOf(Timeline, "9c41d07be2a35f68"))
//     for (const AttemptSpan &A : S.Attempts_) ...
//
// One story for each run of a process that names the request. A request without
// an end line is told apart by what its process logged next: a restart, a
// planned stop, or nothing.

#ifndef HAWTHORNROAD_CTL_REQUESTSTORY_H
#define HAWTHORNROAD_CTL_REQUESTSTORY_H

#include "hawthornroad/ctl/LogReader.h"

#include <optional>

namespace hawthornroad {

struct AttemptSpan {
  std::string Ordinal_;
  std::string Endpoint_;
  // Milliseconds since the request's first line.
  double BegunMs_ = 0;
  std::optional<double> EndedMs_;
  // The end's "what" and "why".
  std::string End_;
  std::string Why_;
  std::optional<double> SilentMs_;
  // Another attempt of the request ran at the same time.
  bool IsBesideOther_ = false;
};

enum class RequestEnd {
  Answered,
  // This process ended an answer that its caller had received in part.
  Cut,
  // The process ended first: after a "stopping" line, or without one.
  ProcessStopped,
  ProcessEnded,
  // No line says so.
  Unknown
};

struct RequestStory {
  std::string Process_;
  std::vector<AttemptSpan> Attempts_;
  RequestEnd End_ = RequestEnd::Unknown;
  // Of a cut answer, the "why"; else status and cause.
  std::string Detail_;
};

std::vector<RequestStory> storiesOf(const LogTimeline &Timeline,
                                    const std::string &Id);

// One sentence for people.
std::string describe(const AttemptSpan &A);
std::string describeEnd(const RequestStory &S);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_REQUESTSTORY_H
