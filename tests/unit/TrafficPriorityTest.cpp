// What an entry does for requests of different priorities of one service.

#include "tests/unit/TrafficFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
struct PriorityFixture : CoreFixture {
  explicit PriorityFixture(bool Differ = true) : CoreFixture(false) {
    std::vector<Endpoint> All;
    for (int I = 0; I < 2; ++I) {
      Endpoint E;
      E.Id_ = EndpointId("m" + std::to_string(I));
      E.Service_ = Model;
      E.Address_ = "10.0.1." + std::to_string(I) + ":80";
      E.Zone_ = AvailabilityZone("z");
      E.HasModel_ = true;
      E.Model_ = "m";
      E.Version_ = 1;
      All.push_back(E);
    }
    RoutingConfig::Parts P = parts();
    for (const char *Prefix : {"/urgent/", "/patient/"}) {
      Route R = route(Prefix, Model, Repeat::FromLastEvent, true);
      R.Timeout_ = Seconds(6);
      R.Rank_ = Differ && R.Prefix_ == "/urgent/" ? 0 : 2;
      P.Routes_.push_back(R);
    }
    P.Routes_[2].Rank_ = 2;
    Core_.endpoints().listed(All, Start);
    Core_.configure(RoutingConfig::build(std::move(P)), Start);
    Core_.prove(Start, Start);
    Port_.HasAgents_ = true;
  }
  // Refuses every query for a place until none is left.
  void denyAll(TimePoint Now) {
    for (; Replied_ < Port_.Asked_.size(); ++Replied_)
      Core_.onPlaceReply(Port_.Asked_[Replied_].Attempt_, denial(), Now);
  }
  static PlaceReply denial() {
    PlaceReply W;
    W.Load_ = {2, 0};
    W.Version_ = 1;
    return W;
  }
  // The urgent kind is refused now.
  CallNumber refuseUrgent(TimePoint Now) {
    CallNumber N = send("/urgent/1", Now);
    denyAll(Now);
    for (int Ms = 0; Ms <= 100; Ms += 20) {
      Core_.tick(Now + Milliseconds(Ms));
      denyAll(Now + Milliseconds(Ms));
    }
    return N;
  }
  std::size_t Replied_ = 0;
};
} // namespace

TEST_CASE("traffic core, where priorities differ, states a request's priority "
          "with its query for a place",
          "[traffic][priority]") {
  PriorityFixture F;
  F.send("/urgent/1");
  F.send("/patient/1");
  REQUIRE(F.Port_.Asked_.size() == 2);
  REQUIRE(F.Port_.Asked_[0].Demand_.Rank_ == 0);
  REQUIRE(F.Port_.Asked_[1].Demand_.Rank_ == 2);
  REQUIRE_FALSE(F.Port_.Asked_[1].Demand_.IsOwed_);
}

TEST_CASE("traffic core, where priorities do not differ, states none",
          "[traffic][priority]") {
  PriorityFixture F(false);
  F.send("/urgent/1");
  F.send("/patient/1");
  F.denyAll(Start);
  for (const FakePort::PlaceAsked &Each : F.Port_.Asked_) {
    REQUIRE_FALSE(Each.Demand_.Rank_);
    REQUIRE_FALSE(Each.Demand_.IsOwed_);
  }
  F.Core_.tick(Start + Seconds(1));
  for (const CallReport &Each : F.Port_.Reports_)
    REQUIRE_FALSE(Each.Rank_);
}

// Guards against an engine that takes no urgent request because it denied a
// less urgent one, which the agent may have held back for just that request.
TEST_CASE("traffic core, denied a place for a less urgent request, asks the "
          "engine for an urgent one at once",
          "[traffic][priority]") {
  for (bool Differ : {false, true}) {
    CAPTURE(Differ);
    PriorityFixture F(Differ);
    F.send("/patient/1");
    F.denyAll(Start);
    std::size_t Before = F.Port_.Asked_.size();
    REQUIRE(Before == 2);
    F.send("/urgent/1");
    REQUIRE((F.Port_.Asked_.size() > Before) == Differ);
    F.denyAll(Start);
    // Both engines have denied an urgent request.
    Before = F.Port_.Asked_.size();
    F.send("/patient/1");
    F.send("/urgent/1");
    REQUIRE(F.Port_.Asked_.size() == Before);
  }
}

// Guards against less urgent requests that collect places by waiting longer.
TEST_CASE("traffic core, while urgent requests are refused, refuses a less "
          "urgent one at once that finds no place",
          "[traffic][priority]") {
  PriorityFixture F;
  CallNumber Urgent = F.refuseUrgent(Start);
  REQUIRE(F.answerOf(Urgent).Status_ == 503);
  TimePoint Now = Start + Milliseconds(400);
  CallNumber Less = F.send("/patient/1", Now);
  F.denyAll(Now);
  REQUIRE(F.answerOf(Less).Status_ == 503);
  REQUIRE(F.answerOf(Less).Cause_ == Cause::LineFull);
  // An urgent one still waits.
  Now += Milliseconds(300);
  CallNumber Next = F.send("/urgent/1", Now);
  F.denyAll(Now);
  REQUIRE(F.Port_.Answers_.count(Next) == 0);
  F.Core_.tick(Now + Milliseconds(100));
  F.denyAll(Now + Milliseconds(100));
  F.Core_.tick(Now + Milliseconds(101));
  REQUIRE(F.answerOf(Next).Status_ == 503);
  // Once urgent requests are no longer refused, a less urgent one waits.
  Now += Seconds(3);
  F.Core_.prove(Now, Now);
  F.Core_.tick(Now);
  CallNumber Late = F.send("/patient/1", Now);
  F.denyAll(Now);
  REQUIRE(F.Port_.Answers_.count(Late) == 0);
}

TEST_CASE("traffic core, when urgent requests begin to be refused, refuses "
          "less urgent ones that wait",
          "[traffic][priority]") {
  PriorityFixture F;
  CallNumber Urgent = F.send("/urgent/1", Start);
  F.denyAll(Start);
  TimePoint Now = Start + Milliseconds(40);
  CallNumber Less = F.send("/patient/1", Now);
  F.denyAll(Now);
  REQUIRE(F.Port_.Answers_.count(Less) == 0);
  // The urgent one has waited too long.
  F.Core_.tick(Start + Milliseconds(60));
  F.denyAll(Start + Milliseconds(60));
  REQUIRE(F.answerOf(Urgent).Status_ == 503);
  F.Core_.tick(Start + Milliseconds(61));
  REQUIRE(F.answerOf(Less).Status_ == 503);
}

// Guards against an urgent request that waits for a tick behind a less urgent
// one although a place is free.
TEST_CASE("traffic core, with a less urgent request waiting, asks for an "
          "urgent one's place at once",
          "[traffic][priority]") {
  PriorityFixture F;
  CallNumber Less = F.send("/patient/1", Start);
  F.denyAll(Start);
  REQUIRE(F.Port_.Answers_.count(Less) == 0);
  std::size_t Before = F.Port_.Asked_.size();
  F.send("/urgent/1", Start + Milliseconds(5));
  REQUIRE(F.Port_.Asked_.size() == Before + 1);
  REQUIRE(F.Port_.Asked_.back().Demand_.Rank_ == 0);
}

// Guards against urgent callers that are sent away for long because less urgent
// requests have been refused for long, and against less urgent ones that return
// while the overload lasts.
TEST_CASE("traffic core, that has refused less urgent requests for long, tells "
          "urgent ones a short time",
          "[traffic][priority]") {
  PriorityFixture F;
  CallNumber Less = 0;
  TimePoint Now = Start;
  for (int I = 0; I < 12; ++I) {
    Now = Start + Milliseconds(300) * I;
    F.Core_.prove(Now, Now);
    Less = F.send("/patient/1", Now);
    F.denyAll(Now);
    for (int Ms = 20; Ms <= 200; Ms += 20) {
      F.Core_.tick(Now + Milliseconds(Ms));
      F.denyAll(Now + Milliseconds(Ms));
    }
  }
  REQUIRE(F.answerOf(Less).RetryAfter_ >= Milliseconds(1100));
  CallNumber Urgent = F.refuseUrgent(Now + Milliseconds(300));
  REQUIRE(F.answerOf(Urgent).RetryAfter_ <= Milliseconds(700));
}

// Guards against a kind of request that is never served while urgent ones need
// all places.
TEST_CASE("traffic core, of a route that is served too little, asks as owed, "
          "lets it wait and reports it",
          "[traffic][priority]") {
  PriorityFixture F;
  TimePoint Now = Start;
  for (int I = 0; I < 12; ++I) {
    F.send("/urgent/1", Now);
    PlaceReply Granted = PriorityFixture::denial();
    Granted.IsGranted_ = true;
    F.Core_.onPlaceReply(F.Port_.Asked_.back().Attempt_, Granted, Now);
    F.Replied_ = F.Port_.Asked_.size();
    F.send("/patient/1", Now, "other-key");
    F.denyAll(Now);
    Now += Milliseconds(250);
    F.Core_.prove(Now, Now);
    F.Core_.tick(Now);
    F.denyAll(Now);
  }
  CallNumber Owed = F.send("/patient/1", Now, "other-key");
  REQUIRE(F.Port_.Asked_.back().Demand_.IsOwed_);
  REQUIRE(F.Port_.Asked_.back().Demand_.Rank_ == 2);
  F.Core_.callerGone(Owed, Now);
  REQUIRE(F.Port_.Reports_.back().IsOwed_);
  REQUIRE(F.Port_.Reports_.back().Rank_ == 2);
}
