// The decision thread of a process: an Actor fed through a bounded ring.
//
//   ActorSystem System;
//   DecisionLoop Loop(System, "decisions", Milliseconds(20), 16384);
//   Loop.onTick([&](TimePoint Now) { Core.tick(Now); });
//   if (!Loop.post([=](TimePoint Now) { Core.handle(E, Now); }))
//     ...  // full: answer "not-run", or rely on the peer to resend
//
// Decision modules are accessed only inside closures passed to post() and
// onTick(), so none needs a lock.

#ifndef HAWTHORNROAD_RUNTIME_DECISIONLOOP_H
#define HAWTHORNROAD_RUNTIME_DECISIONLOOP_H

#include "hawthornroad/base/Ring.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/runtime/Actor.h"

#include <functional>
#include <string>
#include <vector>

namespace hawthornroad {

class DecisionLoop {
public:
  using Work = std::function<void(TimePoint)>;

  DecisionLoop(ActorSystem &System, std::string Name, Duration TickPeriod,
               std::size_t Capacity);

  // Thread-safe. Returns false when the ring is full; W is then not run.
  bool post(Work W);
  // Adds work to run at every tick. Call before the first post(), or inside
  // posted work.
  void onTick(Work W);
  std::size_t backlog() const { return Ring_.size(); }

private:
  void drain(TimePoint Now);

  Ring<Work> Ring_;
  std::vector<Work> Ticks_;
  // Declared last: its destructor waits until the closures above are no longer
  // in use.
  Actor Actor_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_DECISIONLOOP_H
