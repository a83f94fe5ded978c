// Detects that the process was suspended, and withholds orders until its
// configuration is known to be current again.
//
//   PauseDetector Pause({});
//   Pause.tick(Now);                 // on every tick of the decision loop
//   Pause.confirmed(AskedAt);        // answer to a query sent at AskedAt
//   if (Pause.mayOrder(Now)) ...
//
// The failure: an agent is frozen (a paused VM, a stopped process), newer
// revisions come into force, and the agent resumes and acts on its old one. The
// freeze shows as a gap between two ticks. The holder of the lock port cannot
// have been replaced during the gap, but its configuration may be outdated.
// After a gap longer than MaxTickGap_ no order is sent before
// - a query for the configuration that was sent after the gap was noticed has
// been
//   answered (the answer to an earlier query proves nothing); or
// - ConfirmTimeout_ has passed without another gap. An agent that is cut off
// from
//   all others never gets an answer, and its engine must not stay empty for
//   that reason. ConfirmTimeout_ is longer than a revision takes to reach every
//   reachable process.
//
// A process starts unconfirmed. Limits: a clock that stops together with the VM
// hides the gap; the fencing numbers that the engine reports still protect then
// (OrderState.h). An order that was passed to the socket before the gap may
// leave after it; the lock port ensures that no newer order has been sent by
// then.

#ifndef HAWTHORNROAD_ROLLOUT_PAUSEDETECTOR_H
#define HAWTHORNROAD_ROLLOUT_PAUSEDETECTOR_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <optional>

namespace hawthornroad {

class PauseDetector {
public:
  struct Limits {
    Duration MaxTickGap_ = Seconds(1);
    Duration ConfirmTimeout_ = Seconds(6);
  };

  explicit PauseDetector(Limits L) : Limits_(L) {}

  void tick(TimePoint Now);
  // The current configuration answers a query sent at AskedAt.
  void confirmed(TimePoint AskedAt);
  bool mayOrder(TimePoint Now) const;
  // The number of gaps noticed since the start.
  std::uint64_t pauses() const { return Pauses_; }

private:
  Limits Limits_;
  std::optional<TimePoint> LastTick_;
  // When the last gap was noticed, or the start.
  TimePoint NoticedAt_;
  bool Confirmed_ = false;
  std::uint64_t Pauses_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_PAUSEDETECTOR_H
