// Until when customers' keys may be accepted on the word of a configuration.
//
//   KeyLease L(Seconds(5), Milliseconds(700));
//   L.prove(SentAt);                 // the store said: nothing newer, as of
//   if (!L.holds(Now)) refuse();     // not run; come back later
//
// The failure it guards against: a key is taken away, this process is cut off
// or frozen and goes on accepting it. A key must stop working on every machine
// Bound after the store has acknowledged its removal. So a proof that nothing
// had been removed as of a moment is good for less than Bound from then on.
//
// The time is one that goes on while the machine is suspended: a process that
// wakes up must find its lease over before it accepts its first request.

#ifndef HAWTHORNROAD_TRAFFIC_KEYLEASE_H
#define HAWTHORNROAD_TRAFFIC_KEYLEASE_H

#include "hawthornroad/base/Types.h"

#include <algorithm>
#include <optional>

namespace hawthornroad {

class KeyLease {
public:
  // Bound: the operators' limit. Margin: what a request may take from the
  // moment its caller sends it until it is checked here.
  KeyLease(Duration Bound, Duration Margin) : Good_(Bound - Margin) {}

  // The store's state as of a moment not before AsOf is known here.
  void prove(TimePoint AsOf) {
    ProvenAt_ = ProvenAt_ ? std::max(*ProvenAt_, AsOf) : AsOf;
  }
  bool holds(TimePoint Now) const {
    return ProvenAt_ && Now < *ProvenAt_ + Good_;
  }
  std::optional<TimePoint> provenAt() const { return ProvenAt_; }
  // Age of the last proof; unset when there was none.
  std::optional<Duration> age(TimePoint Now) const {
    if (!ProvenAt_)
      return std::nullopt;
    return Now - *ProvenAt_;
  }

private:
  Duration Good_;
  std::optional<TimePoint> ProvenAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_KEYLEASE_H
