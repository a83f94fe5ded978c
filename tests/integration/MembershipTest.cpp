// Membership without a coordinator: deaths, pauses, leaves.

#include "tests/integration/ControlFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

// A VM dies, and the platform's membership list goes on listing it as live.
// Entries must stop choosing it by their own word within seconds; and its
// replacement, at another address, must come in.
TEST_CASE_METHOD(ControlFixture,
                 "agent that dies is dead to every process, and its "
                 "replacement is alive to every one",
                 "[membership]") {
  awaitRevision(accept(1));
  awaitAllAlive();
  FleetProcess &Dead = Fleet_->agent(0);
  Fleet_->kill(Dead);
  for (FleetProcess *Each : running())
    eventually([&] { return stateAt(*Each, Dead) == "dead"; },
               Each->Name_ + " holds it dead");
  Fleet_->start(Dead);
  awaitAllAlive();
}

// A VM is frozen for some seconds, as by a snapshot, and thaws. It was rightly
// held dead; nobody restarts it, so it must refute by itself, and it must not
// hold the rest of the fleet dead for the answers it slept through.
TEST_CASE_METHOD(ControlFixture,
                 "process frozen until it is held dead comes back when it "
                 "thaws, and holds nobody dead",
                 "[membership]") {
  awaitRevision(accept(1));
  awaitAllAlive();
  FleetProcess &Frozen = Fleet_->entry(3);
  FleetProcess &Viewer = Fleet_->entry(0);
  Frozen.Process_->freeze();
  eventually([&] { return stateAt(Viewer, Frozen) == "dead"; },
             "the frozen process is held dead");
  std::int64_t Second = accept(2);
  Frozen.Process_->resume();
  for (FleetProcess *Each : running()) {
    std::string State = stateAt(Frozen, *Each);
    INFO(Each->Name_);
    CHECK(State != "dead");
  }
  awaitAllAlive();
  awaitRevision(Second);
}

// A planned stop: the process says that it leaves, and nobody has to wait for
// a suspicion to run out.
TEST_CASE_METHOD(ControlFixture,
                 "agent that is stopped as planned has left, to every process",
                 "[membership]") {
  awaitRevision(accept(1));
  awaitAllAlive();
  FleetProcess &Leaving = Fleet_->agent(1);
  Leaving.Process_->terminate();
  CHECK(Leaving.Process_->waitExit() == 0);
  Fleet_->kill(Leaving);
  for (FleetProcess *Each : running())
    eventually([&] { return stateAt(*Each, Leaving) == "left"; },
               Each->Name_ + " knows that it left");
}
