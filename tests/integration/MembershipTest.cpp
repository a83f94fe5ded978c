// Membership without a coordinator: deaths, pauses and leaves.

#include "tests/integration/ControlFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

// A VM dies while the platform's membership list still lists it as live.
// Entries must detect the death themselves within seconds and stop choosing it;
// its replacement, at another address, must join.
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

// A VM is frozen for some seconds, as by a snapshot, and resumes. The others
// rightly hold it dead; nobody restarts it, so it must refute this by itself,
// and it must not hold the rest of the fleet dead because of the answers it
// missed.
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

// A planned stop: the process announces its leave, and nobody has to wait for a
// suspicion timeout.
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
