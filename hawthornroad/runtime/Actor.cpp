#include "hawthornroad/runtime/Actor.h"

#include <atomic>
#include <caf/all.hpp>
#include <caf/scheduler/test_coordinator.hpp>
#include <future>

namespace hawthornroad {

namespace {
using WakeAtom = caf::atom_constant<caf::atom("wake")>;
using TickAtom = caf::atom_constant<caf::atom("tick")>;
using StopAtom = caf::atom_constant<caf::atom("stop")>;

struct SystemConfig : caf::actor_system_config {
  explicit SystemConfig(ActorSystem::Mode M) {
    if (M == ActorSystem::Mode::Manual)
      set("scheduler.policy", caf::atom("testing"));
    // Decision actors are detached, each on a dedicated thread; only CAF
    // itself uses the pool.
    set("scheduler.max-threads", 1);
  }
};
} // namespace

struct ActorSystem::State {
  explicit State(Mode M) : Mode_(M), Config_(M), System_(Config_) {}

  caf::scheduler::test_coordinator &testScheduler() {
    return dynamic_cast<caf::scheduler::test_coordinator &>(
        System_.scheduler());
  }

  Mode Mode_;
  SystemConfig Config_;
  caf::actor_system System_;
};

ActorSystem::ActorSystem(Mode M) : State_(std::make_unique<State>(M)) {}
ActorSystem::~ActorSystem() = default;

TimePoint ActorSystem::now() const { return State_->System_.clock().now(); }

void ActorSystem::advance(Duration Step) {
  auto &Scheduler = State_->testScheduler();
  Scheduler.run();
  Scheduler.advance_time(Step);
  Scheduler.run();
}

struct Actor::State {
  State(caf::actor_system &System, Hooks H)
      : System_(System), Hooks_(std::move(H)) {}

  caf::actor_system &System_;
  Hooks Hooks_;
  caf::actor Handle_;
  std::atomic<bool> WakePending_{false};
  std::promise<void> Stopped_;
  bool Manual_ = false;
};

namespace {
// The message handlers share S. Actor owns it and outlives the CAF actor,
// because its destructor waits for Stopped_.
template <class StateT>
caf::behavior actorBehavior(caf::event_based_actor *Self, StateT *S) {
  Self->delayed_send(Self, S->Hooks_.TickPeriod_, TickAtom::value);
  Self->attach_functor([S] { S->Stopped_.set_value(); });
  return {
      [=](WakeAtom) {
        // Cleared before draining, so that an event pushed during the drain
        // wakes the actor again.
        S->WakePending_.store(false, std::memory_order_release);
        if (S->Hooks_.OnWake_)
          S->Hooks_.OnWake_(Self->clock().now());
      },
      [=](TickAtom) {
        Self->delayed_send(Self, S->Hooks_.TickPeriod_, TickAtom::value);
        if (S->Hooks_.OnTick_)
          S->Hooks_.OnTick_(Self->clock().now());
      },
      [=](StopAtom) { Self->quit(); },
  };
}
} // namespace

Actor::Actor(ActorSystem &System, Hooks H)
    : State_(std::make_unique<State>(System.State_->System_, std::move(H))) {
  State *S = State_.get();
  S->Manual_ = System.State_->Mode_ == ActorSystem::Mode::Manual;
  auto Init = [S](caf::event_based_actor *Self) -> caf::behavior {
    return actorBehavior(Self, S);
  };
  if (S->Manual_)
    S->Handle_ = S->System_.spawn(Init);
  else
    S->Handle_ = S->System_.spawn<caf::detached>(Init);
}

Actor::~Actor() {
  caf::anon_send(State_->Handle_, StopAtom::value);
  auto Stopped = State_->Stopped_.get_future();
  State_->Handle_ = nullptr;
  if (State_->Manual_)
    dynamic_cast<caf::scheduler::test_coordinator &>(
        State_->System_.scheduler())
        .run();
  Stopped.wait();
}

void Actor::wake() {
  if (!State_->WakePending_.exchange(true, std::memory_order_acq_rel))
    caf::anon_send(State_->Handle_, WakeAtom::value);
}

} // namespace hawthornroad
