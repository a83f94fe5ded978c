#include "hawthornroad/rollout/TurnOrder.h"
#include "hawthornroad/rollout/LoadFailures.h"
#include "hawthornroad/rollout/PauseDetector.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
const AvailabilityZone Za("za");
const ServiceName Lm("lm");

EndpointStatus endpoint(const std::string &V, EndpointPhase P,
                        const std::string &Rollout = "serving") {
  EndpointStatus S;
  S.Vm_ = Vm(V);
  S.Zone_ = Za;
  S.Service_ = Lm;
  S.Phase_ = P;
  S.Rollout_ = Rollout;
  return S;
}
EndpointStatus waiting(const std::string &V) {
  return endpoint(V, EndpointPhase::Ready, std::string(WaitingTurn));
}
EndpointStatus serving(const std::string &V) {
  return endpoint(V, EndpointPhase::Ready);
}
EndpointStatus loading(const std::string &V) {
  return endpoint(V, EndpointPhase::Draining, "loading");
}

struct TurnFixture {
  TimePoint Now_{Seconds(1000)};
  TurnOrder::Limits Limits_;

  TurnOrder member(const std::string &V) {
    TurnOrder T(Vm(V), Za, Limits_);
    T.setService(Lm);
    T.start(Now_ - Seconds(600));
    return T;
  }
  // A member that announced long ago that it waits for a turn.
  TurnOrder waiter(const std::string &V) {
    TurnOrder T = member(V);
    T.startWaiting(Now_ - Seconds(60));
    return T;
  }
  // The VMs in the order of their ranks, as each one computes its own.
  std::vector<std::string> ranked(std::vector<std::string> Vms) {
    std::vector<std::string> Ranked(Vms.size());
    for (const std::string &Own : Vms) {
      TurnOrder T = waiter(Own);
      std::vector<EndpointStatus> Fleet;
      for (const std::string &Each : Vms)
        Fleet.push_back(waiting(Each));
      T.setFleet(Fleet, Now_);
      REQUIRE(Ranked[T.waitingAhead()].empty());
      Ranked[T.waitingAhead()] = Own;
    }
    return Ranked;
  }
};
} // namespace

TEST_CASE_METHOD(
    TurnFixture,
    "turn goes to the first ranks, as many as may be out of service",
    "[turns]") {
  std::vector<std::string> Order = ranked({"a", "b", "c", "d"});
  for (std::size_t Max = 0; Max <= 4; ++Max)
    for (std::size_t I = 0; I < Order.size(); ++I) {
      TurnOrder T = waiter(Order[I]);
      T.setFleet({waiting("a"), waiting("b"), waiting("c"), waiting("d")},
                 Now_);
      REQUIRE(T.hasTurn(Max, Now_) == (I < Max));
    }
}

TEST_CASE_METHOD(TurnFixture,
                 "turn, depending on the state of the other endpoints",
                 "[turns]") {
  std::vector<std::string> Order = ranked({"a", "b", "c"});
  const std::string &First = Order[0], &Own = Order[1], &Last = Order[2];
  EndpointStatus OtherZone = loading(First);
  OtherZone.Zone_ = AvailabilityZone("zb");
  EndpointStatus OtherService = loading(First);
  OtherService.Service_ = ServiceName("api");
  struct Row {
    const char *Name_;
    std::vector<EndpointStatus> Fleet_;
    bool Expected_;
  };
  const std::vector<Row> Rows = {
      {"nobody else", {}, true},
      {"others serve", {serving(First), serving(Last)}, true},
      {"a better rank waits", {waiting(First)}, false},
      {"a worse rank waits", {waiting(Last)}, true},
      {"a worse rank is out", {loading(Last)}, false},
      {"an unready one is out",
       {endpoint(Last, EndpointPhase::Starting, "failed")},
       false},
      {"an unready one that waits is out, not a waiter",
       {endpoint(First, EndpointPhase::Starting, "waiting_turn")},
       false},
      {"another zone's", {OtherZone}, true},
      {"another service's", {OtherService}, true},
      {"our own stale report", {loading(Own)}, true}};
  for (const Row &Each : Rows) {
    INFO(Each.Name_);
    TurnOrder T = waiter(Own);
    T.setFleet(Each.Fleet_, Now_);
    T.setFleet(Each.Fleet_, Now_);
    REQUIRE(T.hasTurn(1, Now_) == Each.Expected_);
  }
}

TEST_CASE_METHOD(
    TurnFixture,
    "turn, before the announcement had time to reach the others, is withheld",
    "[turns]") {
  TurnOrder T = member("a");
  REQUIRE_FALSE(T.hasTurn(1, Now_));
  T.startWaiting(Now_);
  T.startWaiting(Now_ + Seconds(3));
  REQUIRE_FALSE(T.hasTurn(1, Now_ + Limits_.Settle_ - Milliseconds(1)));
  REQUIRE(T.hasTurn(1, Now_ + Limits_.Settle_));
  T.stopWaiting();
  REQUIRE_FALSE(T.hasTurn(1, Now_ + Limits_.Settle_));
}

TEST_CASE_METHOD(
    TurnFixture,
    "turn of an agent that has just started waits until its view is complete",
    "[turns]") {
  TurnOrder T(Vm("a"), Za, Limits_);
  T.setService(Lm);
  T.start(Now_);
  T.start(Now_ + Seconds(5));
  T.startWaiting(Now_);
  REQUIRE_FALSE(T.hasTurn(1, Now_ + Limits_.Settle_));
  REQUIRE(T.hasTurn(1, Now_ + Limits_.JoinSettle_));
}

// A VM dies during its turn, or just before it. If it kept its place, the
// rollout would never continue; if it lost its place at once, a restart during
// its turn would let a second endpoint leave service at the same time.
TEST_CASE_METHOD(TurnFixture,
                 "dead VM, whose turn it is, keeps its place for a while and "
                 "is then skipped",
                 "[turns]") {
  std::vector<std::string> Order = ranked({"a", "b"});
  for (bool Out : {false, true}) {
    TurnOrder T = waiter(Order[1]);
    T.setFleet({Out ? loading(Order[0]) : waiting(Order[0])}, Now_);
    REQUIRE_FALSE(T.hasTurn(1, Now_));
    T.setFleet({}, Now_);
    T.setFleet({}, Now_ + Seconds(1));
    REQUIRE_FALSE(T.hasTurn(1, Now_ + Limits_.AbsenceHold_ - Seconds(1)));
    REQUIRE(T.hasTurn(1, Now_ + Limits_.AbsenceHold_));
    T.setFleet({waiting(Order[0])}, Now_ + Seconds(60));
    REQUIRE_FALSE(T.hasTurn(1, Now_ + Seconds(60)));
  }
}

TEST_CASE_METHOD(TurnFixture,
                 "turn of two VMs with different views overlaps only when "
                 "neither heard of the other",
                 "[turns]") {
  std::vector<std::string> Order = ranked({"a", "b"});
  for (bool FirstHears : {false, true})
    for (bool SecondHears : {false, true}) {
      TurnOrder First = waiter(Order[0]);
      TurnOrder Second = waiter(Order[1]);
      First.setFleet({FirstHears ? waiting(Order[1]) : serving(Order[1])},
                     Now_);
      Second.setFleet({SecondHears ? waiting(Order[0]) : serving(Order[0])},
                      Now_);
      bool Both = First.hasTurn(1, Now_) && Second.hasTurn(1, Now_);
      REQUIRE(Both == !SecondHears);
      // Once the second sees that the first has left service, it cannot leave.
      Second.setFleet({loading(Order[0])}, Now_);
      REQUIRE_FALSE(Second.hasTurn(1, Now_));
    }
}

TEST_CASE("load failures halt at the declared count of endpoints",
          "[failures]") {
  const VersionDigest Old("sha256:old"), New("sha256:new");
  auto Failing = [&](const std::string &V, const VersionDigest &Version) {
    EndpointStatus S = endpoint(V, EndpointPhase::Starting);
    S.FailedVersion_ = Version;
    S.Detail_ = "bad layer";
    return S;
  };
  LoadFailures F;
  F.setWanted(New);
  F.noteFleet(
      {Failing("a", New), Failing("a", New), Failing("b", Old), serving("c")});
  REQUIRE_FALSE(F.halted(2));
  REQUIRE(F.halted(1));
  REQUIRE_FALSE(F.halted(0));
  F.note(Vm("d"), New, "own engine");
  REQUIRE(F.halted(2));
  REQUIRE(F.failed().at(Vm("a")) == "bad layer");

  SECTION("failed VMs that vanish do not lift the halt") {
    F.noteFleet({});
    REQUIRE(F.halted(2));
  }
  SECTION("the same version declared again does not lift the halt") {
    F.setWanted(New);
    REQUIRE(F.halted(2));
  }
  SECTION("another wanted version lifts it, late reports do not restore it") {
    F.setWanted(Old);
    REQUIRE_FALSE(F.halted(1));
    F.noteFleet({Failing("a", New), Failing("d", New)});
    REQUIRE_FALSE(F.halted(1));
  }
  SECTION("an endpoint that serves it after all counts no more") {
    EndpointStatus Served = serving("a");
    Served.Version_ = New;
    F.noteFleet({Served});
    REQUIRE_FALSE(F.halted(2));
  }
}

// An agent is frozen with revision 5 for a minute, revision 6 comes into force,
// and the agent resumes. Without the check it would order the old version
// again. The gap between its ticks is what it can detect.
TEST_CASE("pause withholds orders until the configuration is fresh",
          "[pause]") {
  PauseDetector::Limits Limits;
  PauseDetector P(Limits);
  TimePoint Now(Seconds(1000));
  auto Run = [&](Duration For) {
    for (TimePoint End = Now + For; Now < End;) {
      Now += Milliseconds(20);
      P.tick(Now);
    }
  };
  REQUIRE_FALSE(P.mayOrder(Now));
  P.confirmed(Now);
  P.tick(Now);
  REQUIRE_FALSE(P.mayOrder(Now));
  P.confirmed(Now);
  REQUIRE(P.mayOrder(Now));
  TimePoint AskedBefore = Now;
  Now += Seconds(60);
  REQUIRE_FALSE(P.mayOrder(Now));
  P.tick(Now);
  REQUIRE(P.pauses() == 1);
  REQUIRE_FALSE(P.mayOrder(Now));
  P.confirmed(AskedBefore);
  REQUIRE_FALSE(P.mayOrder(Now));

  SECTION("until a query sent after the pause is answered") {
    P.confirmed(Now);
    REQUIRE(P.mayOrder(Now));
  }
  SECTION("or until the confirm timeout, when nobody answers") {
    Run(Limits.ConfirmTimeout_ - Milliseconds(20));
    REQUIRE_FALSE(P.mayOrder(Now));
    Run(Milliseconds(20));
    REQUIRE(P.mayOrder(Now));
  }
  SECTION("which restarts with each pause") {
    Run(Limits.ConfirmTimeout_ - Milliseconds(20));
    Now += Seconds(2);
    P.tick(Now);
    Run(Limits.ConfirmTimeout_ - Milliseconds(20));
    REQUIRE_FALSE(P.mayOrder(Now));
  }
}
