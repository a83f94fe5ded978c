// Endpoints that ask for rest, and endpoints that say that they leave.

#include "platform/RequestWire.h"
#include "tests/unit/LimitFleet.h"

#include <algorithm>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
// A refusal that asks for rest.
EndpointHead refusal(const std::string &RetryAfter) {
  return platform::decodeAnswer(
      503, {{"X-Hawthornroad-Not-Executed", "1"}, {"Retry-After", RetryAfter}});
}

struct FleetCase {
  unsigned Entries_;
  bool IsEngine_;
  double Load_;
};
} // namespace

// Guards against entries that go on sending where they were asked to wait.
TEST_CASE("fleet of entries, before endpoints that ask for rest, sends them "
          "nothing until its end",
          "[rest]") {
  auto C = GENERATE(FleetCase{9, true, 11}, FleetCase{9, false, 11},
                    FleetCase{300, true, 1}, FleetCase{300, false, 1});
  auto Resting = GENERATE(1U, 2U, 6U);
  CAPTURE(C.Entries_, C.IsEngine_, Resting);
  LimitFleet F({.Entries_ = C.Entries_,
                .Endpoints_ = 6,
                .IsEngine_ = C.IsEngine_,
                .RequestsPerSecond_ = C.Load_});
  for (unsigned I = 0; I < Resting; ++I) {
    F.turnAway(I, Start + Seconds(5), Start + Seconds(9), Seconds(3));
    F.turnAway(I, Start + Seconds(14), Start + Seconds(15), Milliseconds(1500));
  }
  F.run(Seconds(25));
  CHECK(F.mostInRest() <= LimitFleet::RestSlack);
  // They are used again afterwards.
  CHECK(F.arrivals(0, Start + Seconds(20), Start + Seconds(25)) >=
        F.arrivals(5, Start + Seconds(20), Start + Seconds(25)) / 2);
}

// Guards against entries that wait for the list of endpoints, seconds late,
// though the endpoint has said that it leaves.
TEST_CASE("fleet of entries, before an endpoint that says that it leaves, "
          "sends it nothing new",
          "[rest]") {
  auto C = GENERATE(FleetCase{9, true, 11}, FleetCase{9, false, 11},
                    FleetCase{300, true, 1}, FleetCase{300, false, 1});
  CAPTURE(C.Entries_, C.IsEngine_);
  LimitFleet F({.Entries_ = C.Entries_,
                .Endpoints_ = 6,
                .IsEngine_ = C.IsEngine_,
                .RequestsPerSecond_ = C.Load_});
  F.leave(0, Start + Seconds(5));
  F.run(Seconds(25));
  CHECK(F.afterLeaving() == 0);
  CHECK(F.refused(Start + Seconds(5), Start + Seconds(25)) == 0);
}

// Guards against each way that leads a request to an endpoint.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, while an endpoint rests, sends it neither "
                 "first nor second attempts, nor resumed streams",
                 "[rest]") {
  Port_.HasAgents_ = GENERATE(false, true);
  auto Grant = [&] {
    if (Port_.HasAgents_ && !Port_.Asked_.empty())
      Core_.onPlaceReply(Port_.Asked_.back().Attempt_,
                         {.IsGranted_ = true, .Version_ = 1}, Start);
  };
  send("/stream/1");
  Grant();
  REQUIRE(Port_.Begun_.size() == 1);
  EndpointId Resting = Port_.last().Params_.Endpoint_;
  Core_.onHead(Port_.last().Attempt_, refusal("3"), Start);
  Core_.onEnd(Port_.last().Attempt_, Start);
  std::size_t Before = Port_.Begun_.size();
  auto CountAtResting = [&] {
    std::size_t N = 0;
    for (std::size_t I = Before; I < Port_.Begun_.size(); ++I)
      N += Port_.Begun_[I].Params_.Endpoint_ == Resting ? 1 : 0;
    return N;
  };
  for (int Ms = 0; Ms < 3000; Ms += 100) {
    TimePoint Now = Start + Milliseconds(Ms);
    Core_.prove(Now, Now);
    // The list of endpoints is read anew meanwhile.
    Core_.endpointsChanged(Now);
    send("/stream/1", Now);
    Grant();
    // Its attempt breaks within the stream, so it is resumed.
    if (Port_.Begun_.size() > Before) {
      AttemptNumber A = Port_.last().Attempt_;
      Core_.onHead(A, head(Next_ - 1, 200, true), Now);
      Core_.onBody(A, "id: 1\ndata: x\n\n", Now);
      Core_.onFail(A, false, "reset", Now);
    }
    Grant();
    Core_.tick(Now);
  }
  CHECK(CountAtResting() == 0);
}

// Guards against callers who wait for endpoints that take nothing, or come back
// too early.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, when all endpoints of a service rest, refuses "
                 "at once with the time at which the first may be used",
                 "[rest]") {
  for (const char *Rest : {"3", "5"}) {
    CallNumber N = send("/safe/1");
    REQUIRE(Port_.Answers_.count(N) == 0);
    Core_.onHead(Port_.last().Attempt_, refusal(Rest), Start);
    Core_.onEnd(Port_.last().Attempt_, Start);
  }
  std::size_t Attempts = Port_.Begun_.size();
  TimePoint Now = Start + Seconds(1);
  CallNumber N = send("/safe/1", Now);
  CHECK(Port_.Begun_.size() == Attempts);
  CHECK(answerOf(N).Status_ == 503);
  CHECK(answerOf(N).Cause_ == Cause::EndpointsHeld);
  CHECK(answerOf(N).RetryAfter_ >= Seconds(2));
  CHECK(answerOf(N).RetryAfter_ <= Seconds(3));
  Now = Start + Seconds(3);
  Core_.prove(Now, Now);
  Core_.tick(Now);
  send("/safe/1", Now);
  CHECK(Port_.Begun_.size() == Attempts + 1);
}

// Guards against a rest that is forgotten when the store's list is read anew.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, when a resting endpoint vanishes from the list "
                 "and returns, sends it nothing until the rest ends",
                 "[rest]") {
  send("/safe/1");
  EndpointId Resting = Port_.last().Params_.Endpoint_;
  Core_.onHead(Port_.last().Attempt_, refusal("3"), Start);
  Core_.onEnd(Port_.last().Attempt_, Start);
  Endpoint Row = *Core_.endpoints().find(Resting);
  Core_.endpoints().removed({Resting}, Start);
  Core_.endpointsChanged(Start);
  Core_.endpoints().changed(Row, Start + Seconds(1));
  Core_.endpointsChanged(Start + Seconds(1));
  std::size_t Before = Port_.Begun_.size();
  for (int I = 0; I < 4; ++I)
    send("/safe/1", Start + Seconds(1));
  for (std::size_t I = Before; I < Port_.Begun_.size(); ++I)
    CHECK(Port_.Begun_[I].Params_.Endpoint_ != Resting);
}

// Guards against a leaving endpoint whose running requests are cut off.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, when an endpoint says that it leaves, lets its "
                 "running requests end",
                 "[rest]") {
  CallNumber First = send("/stream/1");
  AttemptNumber A = Port_.last().Attempt_;
  EndpointId Leaving = Port_.last().Params_.Endpoint_;
  EndpointHead H = head(First, 200, true);
  H.IsLeaving_ = true;
  Core_.onHead(A, H, Start);
  Core_.onBody(A, "id: 1\ndata: x\n\n", Start);
  for (int I = 0; I < 4; ++I)
    send("/stream/1", Start);
  for (std::size_t I = 1; I < Port_.Begun_.size(); ++I)
    CHECK(Port_.Begun_[I].Params_.Endpoint_ != Leaving);
  Core_.tick(Start + Milliseconds(500));
  CHECK(Port_.Cancelled_.empty());
  Core_.onBody(A, "id: 2\ndata: y\n\n", Start + Milliseconds(500));
  Core_.onEnd(A, Start + Milliseconds(500));
  CHECK(answerOf(First).Finished_);
}

// Guards against a service whose only endpoint leaves, and callers who wait.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, when all endpoints of a service leave, refuses "
                 "at once",
                 "[rest]") {
  for (int I = 0; I < 2; ++I) {
    CallNumber N = send("/safe/1");
    EndpointHead H = head(N);
    H.IsLeaving_ = true;
    Core_.onHead(Port_.last().Attempt_, H, Start);
    Core_.onEnd(Port_.last().Attempt_, Start);
  }
  CallNumber N = send("/safe/1");
  CHECK(answerOf(N).Status_ == 503);
  CHECK(answerOf(N).Cause_ == Cause::NoEndpoint);
}

// Guards against all refused callers returning in the moment the rest ends.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, refusing many requests while all endpoints "
                 "rest, spreads the times at which they may return",
                 "[rest]") {
  for (int I = 0; I < 2; ++I) {
    send("/safe/1");
    Core_.onHead(Port_.last().Attempt_, refusal("3"), Start);
    Core_.onEnd(Port_.last().Attempt_, Start);
  }
  std::vector<Duration> Delays;
  for (int I = 0; I < 100; ++I)
    Delays.push_back(answerOf(send("/safe/1")).RetryAfter_);
  auto [Least, Most] = std::minmax_element(Delays.begin(), Delays.end());
  CHECK(*Least >= Seconds(3));
  CHECK(*Most - *Least >= Milliseconds(500));
}
