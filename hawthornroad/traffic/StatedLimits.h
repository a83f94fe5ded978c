// Rate limits that endpoints state in their answers.
//
//   StatedLimits L;
//   if (L.note(Start, {.PerSecond_ = 1.7, .Begun_ = Begun, .At_ = Now}))
//     ...                                   // the limit changed
//   if (const LimitStatement *S = L.find(Start)) use(*S->PerSecond_);
//
// An endpoint in need states how many requests a second it accepts from all
// processes together. The limit holds until an answer states another one or
// none. It belongs to one start of the endpoint.
//
// Answers overtake each other, and statements are exchanged between processes.
// A statement was made at some time between the start of the attempt and the
// arrival of its answer. One that permits more than the known one replaces it
// only if it was certainly made later; one that permits less replaces it
// unless it was certainly made earlier. So an old answer never ends a limit.
//
// No I/O, no clock, no threads. At most MaxKnown endpoints are remembered.

#ifndef HAWTHORNROAD_TRAFFIC_STATEDLIMITS_H
#define HAWTHORNROAD_TRAFFIC_STATEDLIMITS_H

#include "hawthornroad/traffic/Endpoint.h"

#include <compare>
#include <map>
#include <optional>

namespace hawthornroad {

// One start of an endpoint.
struct EndpointStart {
  EndpointId Id_;
  std::uint64_t Born_ = 0;
  auto operator<=>(const EndpointStart &) const = default;
};

inline EndpointStart startOf(const Endpoint &E) { return {E.Id_, E.Born_}; }

struct LimitStatement {
  // Unset: any number of requests is accepted.
  std::optional<double> PerSecond_;
  // The statement was made between these times.
  TimePoint Begun_;
  TimePoint At_;
  bool operator==(const LimitStatement &) const = default;
};

class StatedLimits {
public:
  static constexpr std::size_t MaxKnown = 4096;

  // True when the limit in force changed.
  bool note(const EndpointStart &E, const LimitStatement &S);
  // The limit in force; null when there is none.
  const LimitStatement *find(const EndpointStart &E) const;
  // The last statement, also one that ended a limit; null when no limit was
  // ever stated.
  const LimitStatement *last(const EndpointStart &E) const;
  // Number of endpoints with a limit in force.
  std::size_t inForce() const;

private:
  void evictOldest();

  std::map<EndpointStart, LimitStatement> Known_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_STATEDLIMITS_H
