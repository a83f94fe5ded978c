// An accepted configuration comes into force on every process and stays so.

#include "tests/integration/ControlFixture.h"

#include <boost/json/array.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;

// An accepted change must be in force on every process within seconds, and
// status must then report no process as behind.
TEST_CASE_METHOD(ControlFixture,
                 "accepted revision comes into force on every process, and "
                 "status names nobody behind",
                 "[configspread]") {
  std::int64_t First = accept(1);
  awaitRevision(First);
  Fleet_->awaitReady();
  std::int64_t Second = accept(2);
  // The required bound, counted from the acceptance.
  awaitRevision(Second, Seconds(5));
  for (FleetProcess *Each : running())
    eventually([&] { return control(*Each).at("behind").as_array().empty(); },
               Each->Name_ + " names nobody behind");
}

// The platform serves stale reads for a while, then is down. A process that
// trusted the store would revert to the text before the change.
TEST_CASE_METHOD(
    ControlFixture,
    "table that serves stale reads, or is down, reverts no process",
    "[configspread]") {
  std::int64_t First = accept(1);
  awaitRevision(First);
  Fleet_->table().setFaults(R"({"stale_reads":true})");
  std::int64_t Reads = numberAt(Fleet_->table().counters(), "reads");
  eventually(
      [&] {
        return numberAt(Fleet_->table().counters(), "reads") > Reads + 10;
      },
      "stale answers were read");
  // A process that starts now learns the highest revision from its peers.
  FleetProcess &Replaced = Fleet_->entry(1);
  Fleet_->kill(Replaced);
  Fleet_->start(Replaced);
  eventually([&] { return get(Replaced.admin(), "/readyz").Status_ == 200; },
             "the replacement is ready");
  CHECK(revision(Replaced) == First);
  Fleet_->table().setFaults("{}");
  std::int64_t Second = accept(2);
  awaitRevision(Second);
  Fleet_->table().setFaults(R"({"down":true})");
  eventually(
      [&] {
        for (FleetProcess *Each : running())
          if (numberAt(control(*Each).at("platform").as_object(),
                       "failures_in_row") > 2)
            return true;
        return false;
      },
      "the outage was noticed");
  for (FleetProcess *Each : running())
    CHECK(revision(*Each) == Second);
}

// The platform goes down right after a change is accepted, and all processes of
// a zone are replaced during the outage. They can learn of the change only from
// the other zone, and must not serve without it.
TEST_CASE_METHOD(ControlFixture,
                 "zone replaced during an outage of the platform is ready only "
                 "with the highest revision",
                 "[configspread]") {
  accept(1);
  std::int64_t Second = accept(2);
  awaitRevision(Second);
  awaitAllAlive();
  Fleet_->table().setFaults(R"({"down":true})");
  Fleet_->members().setFaults(R"({"down":true})");
  std::vector<FleetProcess *> Zone;
  for (FleetProcess *Each : running())
    if (Each->Zone_ == "zone-b")
      Zone.push_back(Each);
  for (FleetProcess *Each : Zone)
    Fleet_->kill(*Each);
  for (FleetProcess *Each : Zone)
    Fleet_->start(*Each);
  for (FleetProcess *Each : Zone) {
    eventually([&] { return control(*Each).at("ready").as_bool(); },
               Each->Name_ + " is ready");
    CHECK(revision(*Each) == Second);
  }
}
