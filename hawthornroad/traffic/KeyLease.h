// Limits how long customers' keys may be accepted by a configuration without
// proof that it is current.
//
//   KeyLease L(Seconds(5), Milliseconds(700));
//   L.prove(SentAt);                 // nothing newer in the store then
//   if (!L.holds(Now)) refuse();     // not run; retry later
//
// Guards against a process that is partitioned or frozen and keeps accepting a
// revoked key. A key must stop working on every machine Bound after the store
// acknowledged its removal. A proof that nothing was removed as of a given time
// is therefore valid for less than Bound from that time.
//
// Times are read from a clock that advances while the machine is suspended: a
// process that resumes must find its lease expired before it accepts a request.

#ifndef HAWTHORNROAD_TRAFFIC_KEYLEASE_H
#define HAWTHORNROAD_TRAFFIC_KEYLEASE_H

#include "hawthornroad/base/Types.h"

#include <algorithm>
#include <optional>

namespace hawthornroad {

class KeyLease {
public:
  // Bound: the operators' limit. Margin: the longest time between a caller
  // sending a request and the check here.
  KeyLease(Duration Bound, Duration Margin) : ProofValidity_(Bound - Margin) {}

  // The store's state as of AsOf or later is known here.
  void prove(TimePoint AsOf) {
    ProvenAt_ = ProvenAt_ ? std::max(*ProvenAt_, AsOf) : AsOf;
  }
  bool holds(TimePoint Now) const {
    return ProvenAt_ && Now < *ProvenAt_ + ProofValidity_;
  }
  std::optional<TimePoint> provenAt() const { return ProvenAt_; }
  // Age of the last proof; unset when there is none.
  std::optional<Duration> age(TimePoint Now) const {
    if (!ProvenAt_)
      return std::nullopt;
    return Now - *ProvenAt_;
  }

private:
  Duration ProofValidity_;
  std::optional<TimePoint> ProvenAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_KEYLEASE_H
