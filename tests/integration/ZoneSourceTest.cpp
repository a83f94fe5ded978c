// Entries of one zone, as real processes: one reads the store, others ask it.

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
  // The route /safe/ goes away with the next configuration.
  void removeRoute() {
    HasSafeRoute_ = false;
    configure();
  }
  bool hasRoute(Process &Entry) {
    return callAt(Entry, "/safe/1").Status_ != 404;
  }
};
} // namespace

TEST_CASE_METHOD(ZoneFixture,
                 "entries of one zone, with all well, read the store once and "
                 "have each change at once",
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

// The first entry of the zone is frozen, then killed. The second one is well:
// it must have what changes meanwhile within the operators' bound of 2 s.
TEST_CASE_METHOD(ZoneFixture,
                 "entry that follows another, when that one freezes, has "
                 "changes within their bound from the store",
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
                 "entry that follows another, when that one is killed, has "
                 "changes within their bound from the store",
                 "[store-entry]") {
  First_->kill();
  removeRoute();
  eventually([&] { return !hasRoute(*Second_); }, "the second has the change",
             Milliseconds(2000));
  REQUIRE(isReady(*Second_));
}

// The store falls silent for all of them: what a follower accepts on another's
// word must end with the lease as well.
TEST_CASE_METHOD(
    ZoneFixture,
    "entry that follows another, when the store goes silent, takes "
    "no keys after the bound",
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

// Guards against a follower that takes its source's word for contact with the
// store, counts as behind, and refuses while its whole zone is cut off.
TEST_CASE_METHOD(ZoneFixture,
                 "entries of one zone, while the store is silent, serve until "
                 "the lease of keys is over",
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
