// Repeats that may still arrive although their attempts were given up.
//
//   AbandonedRepeats A;
//   A.add(Service, 1, {{Start, GivenUpAt}}, Now);
//   A.noteAnswer(Start, BegunAt);  // it answers an attempt begun at BegunAt
//   A.noteGone(Start);             // it has ended
//   for (const auto &[Service, Count] : A.take(Now)) Budget.settle(...);
//
// An attempt is given up without a sign of its endpoint, which may be frozen or
// cut off and read the request when it is back. It has read it, or never will,
// once it answers an attempt that was begun later, once it has ended, or
// MaxDelay later. Of a request's attempts the last ones to arrive are its
// repeats: while as many may still arrive as it has repeats, all of these are
// unknown.
//
// No I/O, no clock, no threads. At most MaxRequests are remembered; the oldest
// ones then count as arrived.

#ifndef HAWTHORNROAD_TRAFFIC_ABANDONEDREPEATS_H
#define HAWTHORNROAD_TRAFFIC_ABANDONEDREPEATS_H

#include "hawthornroad/traffic/StatedLimits.h"

#include <cstdint>
#include <map>
#include <vector>

namespace hawthornroad {

// An attempt that was given up before its endpoint answered.
struct AbandonedAttempt {
  EndpointStart Endpoint_;
  TimePoint GivenUpAt_;
  bool operator==(const AbandonedAttempt &) const = default;
};

class AbandonedRepeats {
public:
  static constexpr std::size_t MaxRequests = 4096;
  // An endpoint that has been frozen or cut off for longer is taken for gone.
  static constexpr Duration MaxDelay = Seconds(60);

  // A request with this many repeats whose arrival is not known.
  void add(const ServiceName &Service, unsigned Repeats,
           const std::vector<AbandonedAttempt> &Attempts, TimePoint Now);
  void noteAnswer(const EndpointStart &E, TimePoint BegunAt);
  void noteGone(const EndpointStart &E);
  // Endpoints at which attempts may still arrive.
  std::vector<EndpointStart> endpoints() const;
  // By service, the repeats that have arrived, or never will, since the last
  // call.
  std::map<ServiceName, unsigned> take(TimePoint Now);

private:
  struct Request {
    ServiceName Service_;
    unsigned Repeats_ = 0;
    // Attempts that may still arrive.
    unsigned Open_ = 0;
    TimePoint AddedAt_;
  };
  using Number = std::uint64_t;
  void close(Number N);
  void settleOldest();

  Number Next_ = 0;
  // The oldest one first.
  std::map<Number, Request> Requests_;
  // By endpoint and the time at which each attempt was given up. May hold
  // requests that are settled.
  std::map<EndpointStart, std::multimap<TimePoint, Number>> ByEndpoint_;
  std::map<ServiceName, unsigned> Known_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_ABANDONEDREPEATS_H
