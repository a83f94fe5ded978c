// Whether requests may be decided by the configuration that this process holds.
//
//   ConfigFence F(ConfigFence::optionsFor(Seconds(3)));
//   F.prove(AsOf, Now);     // nothing newer had been accepted as of AsOf
//   F.reached(At);          // the store answered at that moment
//   if (!F.permits(Now)) refuse();          // not run; come back later
//   if (!F.permitsDenial(Now)) refuse();    // in place of 401, 403 and 404
//
// The failure it guards against: this process is behind, by whatever cause, and
// goes on to decide by what is no longer in force. A change must be in force
// Bound after its acceptance. What a proof does not know was accepted after it,
// and a request is sent before it is decided, so a proof is good for Bound.
//
// States, by the age of the last proof and by what has been reached since:
//   Current     the proof is good
//   Isolated    it is not, and nothing is reached: the store is away or this
//               zone is cut off. Requests are decided as before, for the zone
//               has to go on, and no bound runs meanwhile
//   CatchingUp  the store is reached again after that, for less than CatchUp
//   Behind      the store is reached, and still there is no good proof
//
// Behind ends with a good proof, or when nothing has been reached for Lapse. A
// link that is full lets an answer pass now and then, and none of them may
// begin the time for catching up anew.
//
// A denial says that something is not declared, and nobody asks again after it:
// it needs a good proof in every state.
//
// The time is one that goes on while the machine is suspended.

#ifndef HAWTHORNROAD_TRAFFIC_CONFIGFENCE_H
#define HAWTHORNROAD_TRAFFIC_CONFIGFENCE_H

#include "hawthornroad/base/Types.h"

#include <optional>
#include <string_view>

namespace hawthornroad {

class ConfigFence {
public:
  struct Options {
    // How long a proof is good.
    Duration Good_ = Milliseconds(1900);
    // Without an answer for so long the store counts as not reached. Shorter
    // than Good, so that a cut is known as one before the last proof is over.
    Duration Silence_ = Milliseconds(1300);
    Duration CatchUp_ = Milliseconds(1000);
    Duration Lapse_ = Milliseconds(4000);
  };
  enum class State { Current, Isolated, CatchingUp, Behind };

  // Bound: the operators' limit on configurations.
  static Options optionsFor(Duration Bound);

  explicit ConfigFence(Options O) : Options_(O) {}

  void prove(TimePoint AsOf, TimePoint Now);
  // Moments may come late; earlier ones than the last are ignored.
  void reached(TimePoint At);

  State state(TimePoint Now) const;
  bool permits(TimePoint Now) const { return state(Now) != State::Behind; }
  bool permitsDenial(TimePoint Now) const {
    return state(Now) == State::Current;
  }
  // Age of the last proof; unset when there was none.
  std::optional<Duration> age(TimePoint Now) const;

private:
  // When the last proof ceases to be good.
  TimePoint lateFrom() const;
  bool isReached(TimePoint Now, Duration Within) const {
    return ReachedAt_ && Now - *ReachedAt_ < Within;
  }

  Options Options_;
  std::optional<TimePoint> ProvenAt_;
  std::optional<TimePoint> ReachedAt_;
  // Until when a good proof has to be had, once the store is reached while
  // there is none.
  std::optional<TimePoint> CatchUpBy_;
};

std::string_view toString(ConfigFence::State S);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_CONFIGFENCE_H
