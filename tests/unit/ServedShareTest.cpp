// Which routes and customers are owed places because they are served too
// little.

#include "hawthornroad/traffic/ServedShare.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
const Customer Nobody;

// Arrivals of a route or customer, and how many of them were begun, evenly over
// a second.
struct Load {
  std::string Key_;
  unsigned Arrived_;
  unsigned Begun_;
};
void feed(ServedShare &Shares, const std::vector<Load> &Loads,
          bool IsByCustomer) {
  for (const Load &Each : Loads)
    for (unsigned I = 0; I < Each.Arrived_; ++I) {
      TimePoint At = Start + Seconds(1) * I / Each.Arrived_;
      std::string Route = IsByCustomer ? "r" : Each.Key_;
      Customer C = IsByCustomer ? Customer(Each.Key_) : Nobody;
      Shares.arrived(Route, C, At);
      if ((I + 1) * Each.Begun_ / Each.Arrived_ >
          I * Each.Begun_ / Each.Arrived_)
        Shares.begun(Route, C, At);
    }
}
} // namespace

// Guards against a kind of request or a customer that gets nothing while others
// need all places, and against calling one owed that is served like the others.
TEST_CASE("served share, given what arrived and was begun, owes those far "
          "below all others",
          "[traffic][priority]") {
  struct Row {
    std::string Name_;
    std::vector<Load> Loads_;
    bool IsOwed_;
  };
  for (const Row &R : std::vector<Row>{
           {"nothing begun", {{"own", 20, 0}, {"other", 80, 60}}, true},
           {"just below 0.4", {{"own", 20, 4}, {"other", 80, 60}}, true},
           {"above 0.4", {{"own", 20, 7}, {"other", 80, 60}}, false},
           {"like all", {{"own", 20, 12}, {"other", 80, 48}}, false},
           {"better than all", {{"own", 20, 20}, {"other", 80, 20}}, false},
           {"alone and refused", {{"own", 20, 2}}, false},
           {"nothing begun of anything",
            {{"own", 20, 0}, {"other", 9, 0}},
            false},
           {"too few to tell", {{"own", 7, 0}, {"other", 80, 60}}, false},
           {"none", {{"other", 80, 60}}, false},
       })
    for (bool IsByCustomer : {false, true}) {
      CAPTURE(R.Name_, IsByCustomer);
      ServedShare Shares;
      feed(Shares, R.Loads_, IsByCustomer);
      bool IsOwed =
          IsByCustomer ? Shares.isOwed("r", Customer("own"), Start + Seconds(1))
                       : Shares.isOwed("own", Nobody, Start + Seconds(1));
      REQUIRE(IsOwed == R.IsOwed_);
    }
}

// Guards against a route that stays the most urgent for long after it has been
// served again.
TEST_CASE("served share, when an owed route is served again, owes it nothing "
          "within seconds",
          "[traffic][priority]") {
  ServedShare Shares;
  feed(Shares, {{"own", 20, 0}, {"other", 80, 60}}, false);
  TimePoint Now = Start + Seconds(1);
  REQUIRE(Shares.isOwed("own", Nobody, Now));
  unsigned Needed = 0;
  for (; Needed < 20 && Shares.isOwed("own", Nobody, Now); ++Needed) {
    Now += Milliseconds(50);
    Shares.arrived("own", Nobody, Now);
    Shares.begun("own", Nobody, Now);
  }
  REQUIRE(Needed >= 3);
  REQUIRE(Needed <= 10);
}

TEST_CASE("served share, without requests for a while, owes nothing",
          "[traffic][priority]") {
  ServedShare Shares;
  feed(Shares, {{"own", 20, 0}, {"other", 80, 60}}, false);
  REQUIRE_FALSE(Shares.isOwed("own", Nobody, Start + Seconds(10)));
}

// A customer sends a fraction of a route's requests, so its requests are
// counted for longer.
TEST_CASE("served share, of a customer with one request in two seconds, tells "
          "that it is owed",
          "[traffic][priority]") {
  ServedShare Shares;
  bool WasOwed = false;
  for (int S = 0; S < 60; ++S) {
    TimePoint Now = Start + Seconds(S);
    for (int I = 0; I < 10; ++I) {
      Shares.arrived("r", Customer("other"), Now);
      Shares.begun("r", Customer("other"), Now);
    }
    if (S % 2 == 0)
      Shares.arrived("r", Customer("own"), Now);
    WasOwed = WasOwed || Shares.isOwed("r", Customer("own"), Now);
  }
  REQUIRE(WasOwed);
  REQUIRE_FALSE(Shares.isOwed("r", Customer("other"), Start + Seconds(60)));
}

// Guards against unbounded memory with changing configurations.
TEST_CASE("served share, given more keys than it counts, drops the one with "
          "the fewest requests",
          "[traffic][priority]") {
  ServedShare::Options O;
  O.MaxKeys_ = 16;
  ServedShare Shares(O);
  for (int I = 0; I < 12; ++I)
    Shares.arrived("often", Customer("often"), Start);
  for (int I = 0; I < 100; ++I)
    Shares.begun("other", Customer("other"), Start);
  for (int I = 0; I < 1000; ++I)
    Shares.arrived("r" + std::to_string(I), Customer("c" + std::to_string(I)),
                   Start);
  REQUIRE(Shares.routes() == 16);
  REQUIRE(Shares.customers() == 16);
  REQUIRE(Shares.isOwed("often", Nobody, Start));
}
