// Whether requests may be decided by the configuration that this process holds.
//
//   ConfigFence F({.Bound_ = Seconds(3), .Margin_ = Milliseconds(600)});
//   F.prove(AsOf, Now);     // nothing newer had been accepted as of AsOf
//   F.reached(Now);         // the store answers, or the entry that reads it
//   if (!F.permits(Now)) refuse();          // not run; come back later
//   if (!F.permitsDenial(Now)) refuse();    // in place of 401, 403 and 404
//
// The failure it guards against: this process is behind, by whatever cause, and
// goes on to decide by what is no longer in force. A change must be in force
// Bound after its acceptance, so a proof is good for Bound less Margin.
//
// States, by the age of the last proof and by what has been reached since:
//   Current     the proof is good
//   Isolated    it is not, and nothing is reached: the store is away or this
//               zone is cut off. Requests are decided as before, for the zone
//               has to go on, and no bound runs meanwhile
//   CatchingUp  the store is reached again after that: as much time as a change
//               may take otherwise
//   Behind      the store is reached, and still there is no good proof
//
// Behind ends with a good proof only. A link that is full lets an answer pass
// now and then, and none of them may begin the time for catching up anew.
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
    // Within which a change has to be in force.
    Duration Bound_ = Seconds(2);
    // What a request may take from its sending until it is decided here.
    Duration Margin_ = Milliseconds(400);
    // Without an answer for so long the store counts as not reached. Who reads
    // it has two answers in this time.
    Duration Silence_ = Milliseconds(1000);
  };
  enum class State { Current, Isolated, CatchingUp, Behind };

  explicit ConfigFence(Options O) : Options_(O) {}

  void prove(TimePoint AsOf, TimePoint Now);
  void reached(TimePoint Now);

  State state(TimePoint Now) const;
  bool permits(TimePoint Now) const { return state(Now) != State::Behind; }
  bool permitsDenial(TimePoint Now) const {
    return state(Now) == State::Current;
  }
  // Age of the last proof; unset when there was none.
  std::optional<Duration> age(TimePoint Now) const;

private:
  Duration good() const { return Options_.Bound_ - Options_.Margin_; }
  // When the last proof ceases to be good.
  TimePoint lateFrom() const;

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
