// The decision thread of a daemon: one CAF actor on a dedicated thread.
//
// All decision modules of a process run inside it, so they need no locks.
// Other threads push typed events into a Ring and call wake(); the actor then
// runs OnWake, which drains the ring. OnTick runs every TickPeriod. Both
// receive the time of CAF's actor clock, the only clock that decisions use.
//
//   ActorSystem System;
//   Ring<Event> Events(4096);
//   Actor Core(System, {.Name_ = "core",
//                       .TickPeriod_ = Milliseconds(20),
//                       .OnWake_ = [&](TimePoint Now) { drain(Events, Now); },
//                       .OnTick_ = [&](TimePoint Now) { Module.tick(Now); }});
//   Events.tryPush(std::move(E));
//   Core.wake();
//
// wake() is cheap and coalesced: all calls before the actor runs cause one
// message. Only Actor.cpp and tests include CAF.

#ifndef HAWTHORNROAD_RUNTIME_ACTOR_H
#define HAWTHORNROAD_RUNTIME_ACTOR_H

#include "hawthornroad/base/Types.h"

#include <functional>
#include <memory>
#include <string>

namespace hawthornroad {

// Owns the CAF runtime of a process. In Manual mode, meant for tests, the clock
// moves and actors run only inside advance().
class ActorSystem {
public:
  enum class Mode { Threads, Manual };

  explicit ActorSystem(Mode M = Mode::Threads);
  ~ActorSystem();
  ActorSystem(const ActorSystem &) = delete;
  ActorSystem &operator=(const ActorSystem &) = delete;

  TimePoint now() const;
  // Manual mode only: moves the clock by Step, runs everything that becomes due
  // and continues until all mailboxes are empty.
  void advance(Duration Step);

private:
  friend class Actor;
  struct State;
  std::unique_ptr<State> State_;
};

class Actor {
public:
  struct Hooks {
    std::string Name_;
    Duration TickPeriod_ = Milliseconds(50);
    std::function<void(TimePoint)> OnWake_;
    std::function<void(TimePoint)> OnTick_;
  };

  Actor(ActorSystem &System, Hooks H);
  // Stops the actor and blocks until no hook is running.
  ~Actor();
  Actor(const Actor &) = delete;
  Actor &operator=(const Actor &) = delete;

  // Thread-safe. OnWake runs at least once after this call.
  void wake();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ACTOR_H
