// Notices that the process stood still, and withholds orders until its
// configuration is known to be fresh again.
//
//   PauseDetector Pause({});
//   Pause.tick(Now);                 // on every tick of the decision loop
//   Pause.confirmed(AskedAt);        // an answer to a question asked then
//   if (Pause.mayOrder(Now)) ...
//
// The failure: an agent is frozen (a paused VM, a stopped process), newer
// revisions come into force meanwhile, the agent thaws and acts on its old one.
// It shows as a gap between two ticks. Who holds the lock port cannot have been
// replaced meanwhile, but what it knows may be old; so after a gap longer than
// Bound_ no order goes out before
// - the configuration was asked for after the gap was noticed, and answered
//   (an answer to a question from before the gap says nothing); or
// - Quiet_ has passed without another gap. An agent cut off from everybody
//   never gets an answer, and its engine must not stay empty for that. Quiet_
//   is longer than a revision takes to reach every reachable process.
//
// A process starts unconfirmed. Limit: a clock that stands still together with
// the VM hides the gap; then the fencing numbers the engine reports remain
// (OrderState.h). An order that was handed to the socket before the gap may
// still leave after it; the lock port keeps any newer order from being there.

#ifndef HAWTHORNROAD_ROLLOUT_PAUSEDETECTOR_H
#define HAWTHORNROAD_ROLLOUT_PAUSEDETECTOR_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <optional>

namespace hawthornroad {

class PauseDetector {
public:
  struct Limits {
    Duration Bound_ = Seconds(1);
    Duration Quiet_ = Seconds(6);
  };

  explicit PauseDetector(Limits L) : Limits_(L) {}

  void tick(TimePoint Now);
  // The configuration in hand answers a question asked at AskedAt.
  void confirmed(TimePoint AskedAt);
  bool mayOrder(TimePoint Now) const;
  // Gaps noticed since the start.
  std::uint64_t pauses() const { return Pauses_; }

private:
  Limits Limits_;
  std::optional<TimePoint> LastTick_;
  // When the last gap, or the start, was noticed.
  TimePoint NoticedAt_;
  bool Confirmed_ = false;
  std::uint64_t Pauses_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_PAUSEDETECTOR_H
