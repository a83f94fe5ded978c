// Entries of one zone as real processes: one reads the store, the others query
// it.

#include "tests/integration/PlatformFixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace hawthornroad;

namespace {
struct ZoneFixture : PlatformFixture {
  std::unique_ptr<Process> First_;
  std::unique_ptr<Process> Second_;

  ZoneFixture() {
    configure();
    First_ = startZoneEntry("entry-1");
    eventually([&] { return isReady(*First_); }, "the first is ready");
    eventually([&] { return Store_.rows("entries") == 1; },
               "the first can be found");
    Second_ = startZoneEntry("entry-2");
    eventually([&] { return isReady(*Second_); }, "the second is ready");
  }

  static double storeCalls(Process &Entry) {
    return metricsOf(Entry)["hawthornroad_store_calls_total"];
  }
  // Publishes a configuration without the route /safe/.
  void removeRoute() {
    HasSafeRoute_ = false;
    configure();
  }
  bool hasRoute(Process &Entry) {
    return callAt(Entry, "/safe/1").Status_ != 404;
  }
};
} // namespace

TEST_CASE_METHOD(
    ZoneFixture,
    "entries of one zone, without faults, have one reader of the store "
    "and apply each change at once",
    "[store-entry]") {
  std::this_thread::sleep_for(Milliseconds(500));
  double Before = storeCalls(*Second_);
  removeRoute();
  eventually([&] { return !hasRoute(*First_) && !hasRoute(*Second_); },
             "both have the change", Milliseconds(1200));
  std::this_thread::sleep_for(Milliseconds(2000));
  // The list of the zone's entries may be read once more.
  REQUIRE(storeCalls(*Second_) - Before <= 1);
  REQUIRE(storeCalls(*First_) >= 8);
  REQUIRE(metricsOf(*First_)["hawthornroad_reads_store"] == 1);
  REQUIRE(metricsOf(*First_)["hawthornroad_table_questions_answered_total"] >=
          4);
  REQUIRE(metricsOf(*Second_)["hawthornroad_reads_store"] == 0);
  REQUIRE(isReady(*Second_));
}

// The first entry of the zone is frozen, and in the next test killed. The
// second one must apply a change within the operators' bound of 2 s all the
// same.
TEST_CASE_METHOD(ZoneFixture,
                 "entry that follows another, when that one freezes, gets "
                 "changes from the store within their bound",
                 "[store-entry]") {
  First_->freeze();
  removeRoute();
  eventually([&] { return !hasRoute(*Second_); }, "the second has the change",
             Milliseconds(2000));
  REQUIRE(isReady(*Second_));
  First_->resume();
  eventually([&] { return !hasRoute(*First_); }, "the first has it too",
             Milliseconds(2000));
}

TEST_CASE_METHOD(ZoneFixture,
                 "entry that follows another, when that one is killed, gets "
                 "changes from the store within their bound",
                 "[store-entry]") {
  First_->kill();
  removeRoute();
  eventually([&] { return !hasRoute(*Second_); }, "the second has the change",
             Milliseconds(2000));
  REQUIRE(isReady(*Second_));
}

// The store stops answering all entries. Keys that a follower accepts by its
// source's data must also be refused when the lease ends.
TEST_CASE_METHOD(ZoneFixture,
                 "entry that follows another, when the store goes silent, "
                 "accepts no keys after the bound",
                 "[store-entry]") {
  Store_.setMode(StoreStandIn::Mode::Silent);
  auto Since = std::chrono::steady_clock::now();
  eventually([&] { return callAt(*Second_, "/safe/1").Status_ == 503; },
             "keys are refused", Milliseconds(6500));
  REQUIRE(std::chrono::steady_clock::now() - Since <= Milliseconds(5500));
  Store_.setMode(StoreStandIn::Mode::Normal);
  eventually([&] { return isReady(*First_) && isReady(*Second_); },
             "both are ready again");
}

// Guards against a follower that counts its source's answers as contact with
// the store, considers itself behind, and refuses requests while its whole zone
// is cut off.
TEST_CASE_METHOD(ZoneFixture,
                 "entries of one zone, while the store is silent, serve until "
                 "the lease of keys ends",
                 "[store-entry]") {
  Store_.setMode(StoreStandIn::Mode::Silent);
  auto Since = std::chrono::steady_clock::now();
  // The bound on configurations is 2 s, the lease of keys 4.3 s; the last proof
  // was up to a second old.
  while (std::chrono::steady_clock::now() - Since < Milliseconds(3000)) {
    REQUIRE(callAt(*First_, "/safe/1").Status_ == 200);
    REQUIRE(callAt(*Second_, "/safe/1").Status_ == 200);
    std::this_thread::sleep_for(Milliseconds(20));
  }
}
