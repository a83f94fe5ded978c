// Decides whether requests may be served by the configuration that this process
// holds.
//
//   ConfigFence F(ConfigFence::optionsFor(Seconds(3)));
//   F.prove(AsOf, Now);     // nothing newer had been accepted as of AsOf
//   F.reached(At);          // the store answered at that moment
//   if (!F.permits(Now)) refuse();          // not run; retry later
//   if (!F.permitsDenial(Now)) refuse();    // instead of 401, 403 and 404
//
// Guards against a process that is behind, for whatever reason, and keeps using
// a configuration that is no longer in force. A change must be in force Bound
// after its acceptance. A proof does not cover changes accepted after its time
// AsOf, and a request is sent before it is decided, so a proof is valid for
// Bound.
//
// States, by the age of the last proof and the contact with the store since:
//   Current     the proof is valid
//   Isolated    the proof has expired and the store is not reached: it is down
//               or this zone is partitioned. Requests are served as before, as
//               the zone must keep working, and no bound applies meanwhile
//   CatchingUp  the store is reached again after that, for less than CatchUp
//   Behind      the store is reached, and there is still no valid proof
//
// Behind ends with a valid proof, or when the store was not reached for
// ContactMemory. A saturated link lets an answer through occasionally; such an
// answer must not restart the time for catching up.
//
// A denial states that something is not declared, and callers do not retry
// after it, so it needs a valid proof in every state.
//
// Times are read from a clock that advances while the machine is suspended.

#ifndef HAWTHORNROAD_TRAFFIC_CONFIGFENCE_H
#define HAWTHORNROAD_TRAFFIC_CONFIGFENCE_H

#include "hawthornroad/base/Types.h"

#include <optional>
#include <string_view>

namespace hawthornroad {

class ConfigFence {
public:
  struct Options {
    // How long a proof is valid.
    Duration ProofValidity_ = Milliseconds(1900);
    // The store counts as unreachable after this long without an answer.
    // Shorter than ProofValidity, so that a partition is detected before the
    // last proof expires.
    Duration UnreachableAfter_ = Milliseconds(1300);
    Duration CatchUp_ = Milliseconds(1000);
    Duration ContactMemory_ = Milliseconds(4000);
  };
  enum class State { Current, Isolated, CatchingUp, Behind };

  // Bound: the operators' limit on the age of configurations.
  static Options optionsFor(Duration Bound);

  explicit ConfigFence(Options O) : Options_(O) {}

  void prove(TimePoint AsOf, TimePoint Now);
  // Calls may be late; times before the last one are ignored.
  void reached(TimePoint At);

  State state(TimePoint Now) const;
  bool permits(TimePoint Now) const { return state(Now) != State::Behind; }
  bool permitsDenial(TimePoint Now) const {
    return state(Now) == State::Current;
  }
  // Age of the last proof; unset when there is none.
  std::optional<Duration> age(TimePoint Now) const;

private:
  // When the last proof expires.
  TimePoint proofExpiry() const;
  bool isReached(TimePoint Now, Duration Within) const {
    return ReachedAt_ && Now - *ReachedAt_ < Within;
  }

  Options Options_;
  std::optional<TimePoint> ProvenAt_;
  std::optional<TimePoint> ReachedAt_;
  // Deadline for a valid proof, set once the store is reached without one.
  std::optional<TimePoint> CatchUpBy_;
};

std::string_view toString(ConfigFence::State S);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_CONFIGFENCE_H
