#include "hawthornroad/traffic/Endpoint.h"
#include "hawthornroad/traffic/EventRelay.h"
#include "hawthornroad/traffic/KeyLease.h"
#include "hawthornroad/traffic/RepeatBudget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
const ServiceName S("api");

Endpoint endpoint(const std::string &Id, const std::string &Address) {
  Endpoint E;
  E.Id_ = EndpointId(Id);
  E.Service_ = S;
  E.Address_ = Address;
  return E;
}
} // namespace

// Guards against accepting a revoked key while this process is partitioned or
// frozen. It must refuse the key before the operators' bound, counted from the
// last proof, whatever happens in between.
TEST_CASE("key lease, without a new proof, expires before the bound",
          "[traffic]") {
  KeyLease L(Seconds(5), Milliseconds(700));
  REQUIRE_FALSE(L.holds(Start));
  L.prove(Start);
  REQUIRE(L.holds(Start + Milliseconds(4299)));
  REQUIRE_FALSE(L.holds(Start + Milliseconds(4300)));
  // A proof of an older state does not shorten the lease; a newer one extends
  // it.
  L.prove(Start - Seconds(1));
  REQUIRE(L.holds(Start + Milliseconds(4299)));
  L.prove(Start + Seconds(2));
  REQUIRE(L.holds(Start + Seconds(6)));
}

// The sum over all processes must keep ratio and slack in any window. Each
// process repeats only in proportion to its own requests; with as many
// processes as the slack is divided among, the sum holds for any distribution
// of callers.
TEST_CASE("repeat budget, when everything fails at many processes, keeps ratio "
          "and slack in any window",
          "[traffic]") {
  constexpr unsigned Processes = 10;
  constexpr double Ratio = 0.2;
  constexpr unsigned Slack = 100;
  std::vector<RepeatBudget> All(Processes, RepeatBudget({.Ratio_ = Ratio,
                                                         .Window_ = Seconds(10),
                                                         .Share_ = 0.85,
                                                         .AlwaysAllowed_ = 5}));
  std::vector<std::pair<TimePoint, bool>> Log;
  TimePoint Now = Start;
  // Uneven distribution: process P gets P + 1 requests in each round, and three
  // times as many in the middle third.
  for (int Round = 0; Round < 300; ++Round, Now += Milliseconds(100)) {
    int Times = Round >= 100 && Round < 200 ? 3 : 1;
    for (unsigned P = 0; P < Processes; ++P)
      for (unsigned I = 0; I < (P + 1) * static_cast<unsigned>(Times); ++I) {
        All[P].noteRequest(S, Now);
        Log.emplace_back(Now, false);
        for (int Try = 0; Try < 3; ++Try)
          if (All[P].take(S, Now)) {
            All[P].settle(S, 1, Now);
            Log.emplace_back(Now, true);
          }
      }
  }
  auto Count = [&](TimePoint From, bool Repeat) {
    return std::count_if(Log.begin(), Log.end(), [&](const auto &E) {
      return E.second == Repeat && E.first >= From &&
             E.first < From + Seconds(10);
    });
  };
  long Total = 0;
  for (int Step = 0; Step < 200; ++Step) {
    TimePoint From = Start + Milliseconds(100) * Step;
    long Requests =
        std::max({Count(From, false), Count(From - Seconds(5), false),
                  Count(From - Seconds(10), false)});
    long Repeats = Count(From, true);
    Total = std::max(Total, Repeats);
    CAPTURE(Step, Requests, Repeats);
    REQUIRE(static_cast<double>(Repeats) <= Ratio * Requests + Slack);
  }
  // The budget must still permit repeats.
  REQUIRE(Total > 500);
}

// Guards against returning a repeat to another slot than the one it was taken
// in: once the earlier slot has left the window, those sent since then would
// not be counted.
TEST_CASE("repeat budget, when repeats are given back seconds after they were "
          "taken, still counts those taken since",
          "[traffic]") {
  RepeatBudget B({.Ratio_ = 5,
                  .Window_ = Seconds(10),
                  .Share_ = 0.5,
                  .AlwaysAllowed_ = 0});
  for (int I = 0; I < 40; ++I)
    B.noteRequest(S, Start);
  for (int I = 0; I < 50; ++I)
    REQUIRE(B.take(S, Start));
  // So few requests are expected until then that none is late.
  TimePoint Later = Start + Milliseconds(1800);
  for (int I = 0; I < 40; ++I)
    B.noteRequest(S, Later);
  for (int I = 0; I < 50; ++I)
    REQUIRE(B.take(S, Later));
  for (int I = 0; I < 50; ++I)
    B.giveBack(S);
  B.settle(S, 50, Later);
  // The first 40 requests have left the window, the second 50 repeats not.
  TimePoint Last = Start + Seconds(11);
  int Taken = 0;
  while (B.take(S, Last))
    ++Taken;
  CHECK(Taken == 50);
}

// Guards against requests of a pause that earn repeats when they are read, and
// against those sent after it that earn none.
TEST_CASE("repeat budget, after a pause of its process, earns by the usual "
          "rate of requests for as long, and by all of them after it",
          "[traffic]") {
  constexpr Duration Gap = Milliseconds(20);
  constexpr Duration Paused = Seconds(4);
  RepeatBudget B({.Ratio_ = 2,
                  .Window_ = Seconds(10),
                  .Share_ = 0.5,
                  .AlwaysAllowed_ = 0});
  TimePoint Now = Start;
  auto SendAll = [&](TimePoint Until) {
    int Taken = 0;
    for (; Now < Until; Now += Gap) {
      B.noteRequest(S, Now);
      for (; B.take(S, Now); ++Taken)
        B.settle(S, 1, Now);
    }
    return Taken;
  };
  SendAll(Start + Seconds(20));
  Now += Paused;
  int TakenOfPause = 0;
  for (int I = 0; I < Paused / Gap; ++I) {
    B.noteRequest(S, Now);
    for (; B.take(S, Now); ++TakenOfPause)
      B.settle(S, 1, Now);
  }
  CHECK(TakenOfPause == 0);
  int Usual = Paused / Gap;
  CHECK(SendAll(Now + Paused) == Approx(Usual).margin(2));
  CHECK(SendAll(Now + Paused) == Approx(Usual).margin(2));
}

// Guards against dropping running endpoints after a store outage, during which
// they could not renew their entries; they are back soon after it.
TEST_CASE("endpoint set, when most entries of a service lapse in a store "
          "outage, keeps them until they can be renewed",
          "[traffic]") {
  EndpointSet Set;
  Set.listed({endpoint("i-1", "10.0.0.1:80"), endpoint("i-2", "10.0.0.2:80"),
              endpoint("i-3", "10.0.0.3:80")},
             Start);
  Set.storeLost(Start + Seconds(1));
  Set.removed({EndpointId("i-1"), EndpointId("i-2")}, Start + Seconds(2));
  REQUIRE(Set.of(S).size() == 3);
  Set.storeRestored(Start + Seconds(3));
  Set.changed(endpoint("i-2", "10.0.0.2:80"), Start + Seconds(4));
  TimePoint Over = Start + Seconds(3) + EndpointSet::RestoreGrace;
  REQUIRE_FALSE(Set.tick(Over - Milliseconds(1)));
  REQUIRE(Set.of(S).size() == 3);
  REQUIRE(Set.tick(Over));
  REQUIRE(Set.of(S).size() == 2);
  REQUIRE(Set.find(EndpointId("i-1")) == nullptr);
}

// Guards against sending to an endpoint that has left while only this process
// had lost the store, or leaves just after: nothing may reach it two seconds
// later.
TEST_CASE("endpoint set, when few entries are removed, drops them at once, "
          "whether the store was down or not",
          "[traffic]") {
  struct Row {
    std::string Name_;
    bool Lost_, Restored_;
  };
  for (const Row &R : std::vector<Row>{{"store there", false, false},
                                       {"store away", true, false},
                                       {"store just back", true, true}}) {
    CAPTURE(R.Name_);
    EndpointSet Set;
    Set.listed({endpoint("i-1", "10.0.0.1:80"), endpoint("i-2", "10.0.0.2:80"),
                endpoint("i-3", "10.0.0.3:80")},
               Start);
    if (R.Lost_)
      Set.storeLost(Start);
    if (R.Restored_)
      Set.storeRestored(Start + Seconds(9));
    Set.removed({EndpointId("i-1")}, Start + Seconds(10));
    REQUIRE(Set.of(S).size() == 2);
  }
}

TEST_CASE("endpoint set, when a lapsed endpoint refuses connections, drops it "
          "at once",
          "[traffic]") {
  EndpointSet Set;
  Set.listed({endpoint("i-1", "10.0.0.1:80"), endpoint("i-2", "10.0.0.2:80")},
             Start);
  Set.storeLost(Start);
  Set.removed({EndpointId("i-1")}, Start);
  REQUIRE(Set.refused(EndpointId("i-1")));
  REQUIRE_FALSE(Set.refused(EndpointId("i-2")));
  REQUIRE(Set.of(S).size() == 1);
}

TEST_CASE("endpoint set, when a lapsed entry's address has a new owner, drops "
          "the lapsed entry",
          "[traffic]") {
  EndpointSet Set;
  Set.listed({endpoint("i-1", "10.0.0.1:80")}, Start);
  Set.storeLost(Start);
  Set.removed({EndpointId("i-1")}, Start);
  Set.changed(endpoint("i-9", "10.0.0.1:80"), Start);
  REQUIRE(Set.find(EndpointId("i-1")) == nullptr);
  REQUIRE(Set.find(EndpointId("i-9")) != nullptr);
}

TEST_CASE("endpoint set, when an endpoint drains, stops offering it and drops "
          "it even while the store is down",
          "[traffic]") {
  EndpointSet Set;
  Endpoint E = endpoint("i-1", "10.0.0.1:80");
  Set.listed({E}, Start);
  E.IsDraining_ = true;
  Set.changed(E, Start);
  REQUIRE(Set.of(S).empty());
  REQUIRE(Set.find(E.Id_) != nullptr);
  Set.storeLost(Start);
  Set.removed({E.Id_}, Start);
  REQUIRE(Set.find(E.Id_) == nullptr);
}

TEST_CASE("event relay, across attempts, forwards each event once and in order",
          "[traffic]") {
  struct Row {
    std::string Name_;
    std::vector<std::string> First_, Second_;
    std::string Passed_, Last_;
  };
  const std::string E1 = "id: 1\ndata: a\n\n";
  const std::string E2 = "id: 2\ndata: b\n\n";
  const std::string E3 = "id: 3\ndata: c\n\n";
  for (const Row &R : std::vector<Row>{
           {"whole", {E1, E2}, {}, E1 + E2, "2"},
           {"cut within an event",
            {E1, "id: 2\nda"},
            {E2, E3},
            E1 + E2 + E3,
            "3"},
           {"successor starts over", {E1, E2}, {E1, E2, E3}, E1 + E2 + E3, "3"},
           {"pieces", {"id: 1\n", "data: a\n", "\nid: 2"}, {}, E1, "1"},
           {"no ids",
            {"data: a\n\n", "data: b\n\n"},
            {},
            "data: a\n\ndata: b\n\n",
            ""},
           {"carriage returns",
            {"id: 1\r\ndata: a\r\n\r\n"},
            {},
            "id: 1\r\ndata: a\r\n\r\n",
            "1"}}) {
    CAPTURE(R.Name_);
    EventRelay Relay("");
    std::string Passed;
    Relay.startAttempt();
    for (const std::string &Bytes : R.First_)
      Passed += Relay.feed(Bytes);
    Relay.startAttempt();
    for (const std::string &Bytes : R.Second_)
      Passed += Relay.feed(Bytes);
    REQUIRE(Passed == R.Passed_);
    REQUIRE(Relay.lastEvent() == R.Last_);
  }
}

TEST_CASE(
    "event relay, given the caller's last event, drops the events up to it",
    "[traffic]") {
  EventRelay Relay("7");
  Relay.startAttempt();
  REQUIRE(Relay.feed("id: 7\ndata: x\n\nid: 8\ndata: y\n\n") ==
          "id: 8\ndata: y\n\n");
  REQUIRE(Relay.passed() == 1);
}
