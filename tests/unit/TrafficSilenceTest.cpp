// Answers that stall while their endpoint may be sound: when another attempt
// is begun, and when the stalled one is given up.

#include "hawthornroad/traffic/LimitGrants.h"
#include "tests/unit/TrafficFixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
struct SilenceFixture : CoreFixture {
  TimePoint Now_ = Start;

  // Ticks as a process does that is never paused.
  void passTime(Duration D) {
    for (TimePoint End = Now_ + D; Now_ < End;) {
      Now_ += Milliseconds(20);
      Core_.tick(Now_);
    }
  }
  void sendEvent(AttemptNumber A, int Id) {
    Core_.onBody(A,
                 "id: " + std::to_string(Id) + "\ndata: e" +
                     std::to_string(Id) + "\n\n",
                 Now_);
  }
  // A stream whose first event has been forwarded.
  CallNumber startStream() {
    CallNumber N = send("/stream/1", Now_);
    AttemptNumber A = Port_.last().Attempt_;
    Core_.onHead(A, head(N, 200, true), Now_);
    sendEvent(A, 1);
    return N;
  }
  bool isCancelled(AttemptNumber A) const {
    const auto &All = Port_.Cancelled_;
    return std::find(All.begin(), All.end(), A) != All.end();
  }
  std::string events(int From, int To) const {
    std::string Out;
    for (int I = From; I <= To; ++I)
      Out +=
          "id: " + std::to_string(I) + "\ndata: e" + std::to_string(I) + "\n\n";
    return Out;
  }
};

constexpr Duration Silence = Milliseconds(1600);
} // namespace

// Guards against the loss of sound answers beside a pause of their endpoints:
// streams were cancelled first and then found no other place.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, with a silent stream and no replacement to be "
                 "had, keeps the stream",
                 "[traffic]") {
  enum class Obstacle { NoBudget, AllFull, PlacesDenied, EndpointRests };
  Obstacle O = GENERATE(Obstacle::NoBudget, Obstacle::AllFull,
                        Obstacle::PlacesDenied, Obstacle::EndpointRests);
  CAPTURE(static_cast<int>(O));
  CallNumber N = startStream();
  AttemptNumber First = Port_.last().Attempt_;
  EndpointId Other(Port_.last().Params_.Endpoint_.str() == "m0" ? "m1" : "m0");
  switch (O) {
  case Obstacle::NoBudget:
    for (int I = 0; I < 4; ++I) {
      CallNumber Spent = send("/safe/1", Now_);
      Core_.onFail(Port_.last().Attempt_, false, "reset", Now_);
      Core_.callerGone(Spent, Now_);
    }
    for (int I = 0; I < 4; ++I) {
      send("/stream/1", Now_);
      Core_.onFail(Port_.last().Attempt_, false, "reset", Now_);
    }
    break;
  case Obstacle::AllFull:
    for (int I = 0; I < 6; ++I)
      send("/stream/1", Now_);
    break;
  case Obstacle::PlacesDenied:
    Port_.HasAgents_ = true;
    break;
  case Obstacle::EndpointRests:
    Core_.engineUpdated(Other == EndpointId("m0") ? "10.0.1.0:80"
                                                  : "10.0.1.1:80",
                        true, 1, std::nullopt, Now_);
    break;
  }
  for (int I = 0; I < 80; ++I) {
    passTime(Milliseconds(20));
    while (!Port_.Asked_.empty()) {
      AttemptNumber Asked = Port_.Asked_.back().Attempt_;
      Port_.Asked_.pop_back();
      Core_.onPlaceReply(Asked, {.IsGranted_ = false}, Now_);
    }
  }
  REQUIRE_FALSE(isCancelled(First));
  REQUIRE_FALSE(answerOf(N).Aborted_);
  sendEvent(First, 2);
  Core_.onEnd(First, Now_);
  REQUIRE(answerOf(N).Body_ == events(1, 2));
  REQUIRE(answerOf(N).Finished_);
}

// Guards against an answer that is lost between two attempts: the silent one
// was given up before the replacement had sent anything.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, with a replacement for a silent stream, keeps "
                 "the attempt that sends the next event first",
                 "[traffic]") {
  bool FirstResumes = GENERATE(true, false);
  CAPTURE(FirstResumes);
  CallNumber N = startStream();
  AttemptNumber First = Port_.last().Attempt_;
  passTime(Milliseconds(1000));
  AttemptNumber Second = Port_.last().Attempt_;
  REQUIRE(Second != First);
  REQUIRE(Port_.last().Params_.LastEvent_ == "1");
  REQUIRE(Port_.Cancelled_.empty());
  Core_.onHead(Second, head(N, 200, true), Now_);
  REQUIRE(Port_.Cancelled_.empty());
  sendEvent(FirstResumes ? First : Second, 2);
  REQUIRE(Port_.Cancelled_ ==
          std::vector<AttemptNumber>{FirstResumes ? Second : First});
  sendEvent(FirstResumes ? First : Second, 3);
  Core_.onEnd(FirstResumes ? First : Second, Now_);
  REQUIRE(answerOf(N).Body_ == events(1, 3));
  REQUIRE(answerOf(N).Finished_);
  REQUIRE(Core_.open() == 0);
}

TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, with two attempts of a stream, forwards each "
                 "event once whatever either had sent in part",
                 "[traffic]") {
  CallNumber N = startStream();
  AttemptNumber First = Port_.last().Attempt_;
  Core_.onBody(First, "id: 2\nda", Now_);
  passTime(Milliseconds(1000));
  AttemptNumber Second = Port_.last().Attempt_;
  Core_.onHead(Second, head(N, 200, true), Now_);
  Core_.onBody(Second, "id: 2\ndat", Now_);
  Core_.onBody(First, "ta: e2\n\nid: 3\n", Now_);
  REQUIRE(isCancelled(Second));
  Core_.onBody(First, "data: e3\n\n", Now_);
  Core_.onEnd(First, Now_);
  REQUIRE(answerOf(N).Body_ == events(1, 3));
  REQUIRE(answerOf(N).Finished_);
}

// Guards against the loss of an answer whose replacement turns out to be worse
// than the silent attempt.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, whose replacement for a silent stream fails, "
                 "continues with the silent attempt",
                 "[traffic]") {
  enum class Failure { Reset, Refused, NotRun, NoStream, EndsEarly };
  Failure How = GENERATE(Failure::Reset, Failure::Refused, Failure::NotRun,
                         Failure::NoStream, Failure::EndsEarly);
  CAPTURE(static_cast<int>(How));
  CallNumber N = startStream();
  AttemptNumber First = Port_.last().Attempt_;
  passTime(Milliseconds(1000));
  AttemptNumber Second = Port_.last().Attempt_;
  REQUIRE(Second != First);
  switch (How) {
  case Failure::Reset:
    Core_.onFail(Second, false, "reset", Now_);
    break;
  case Failure::Refused:
    Core_.onFail(Second, true, "refused", Now_);
    break;
  case Failure::NotRun:
    Core_.onHead(Second, notRun(), Now_);
    Core_.onEnd(Second, Now_);
    break;
  case Failure::NoStream:
    Core_.onHead(Second, head(N, 504), Now_);
    Core_.onBody(Second, "deadline", Now_);
    Core_.onEnd(Second, Now_);
    break;
  case Failure::EndsEarly:
    Core_.onHead(Second, head(N, 200, true), Now_);
    Core_.onBody(Second, "id: 2\nda", Now_);
    Core_.onEnd(Second, Now_);
    break;
  }
  REQUIRE_FALSE(isCancelled(First));
  REQUIRE_FALSE(answerOf(N).Aborted_);
  sendEvent(First, 2);
  Core_.onEnd(First, Now_);
  REQUIRE(answerOf(N).Body_ == events(1, 2));
  REQUIRE(answerOf(N).Finished_);
  REQUIRE(Core_.open() == 0);
}

TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, whose silent attempt breaks while a "
                 "replacement runs, continues with the replacement",
                 "[traffic]") {
  CallNumber N = startStream();
  AttemptNumber First = Port_.last().Attempt_;
  passTime(Milliseconds(1000));
  AttemptNumber Second = Port_.last().Attempt_;
  Core_.onFail(First, false, "reset", Now_);
  REQUIRE(Port_.Begun_.size() == 2);
  Core_.onHead(Second, head(N, 200, true), Now_);
  sendEvent(Second, 2);
  Core_.onEnd(Second, Now_);
  REQUIRE(answerOf(N).Body_ == events(1, 2));
  REQUIRE(answerOf(N).Finished_);
}

// Guards against work that goes on for callers that have left.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, with two attempts of a request, ends both when "
                 "its caller leaves or its time is over",
                 "[traffic]") {
  bool Leaves = GENERATE(true, false);
  CAPTURE(Leaves);
  CallNumber N = startStream();
  AttemptNumber First = Port_.last().Attempt_;
  passTime(Milliseconds(1000));
  AttemptNumber Second = Port_.last().Attempt_;
  REQUIRE(Second != First);
  if (Leaves)
    Core_.callerGone(N, Now_);
  else
    passTime(Seconds(2));
  REQUIRE(isCancelled(First));
  REQUIRE(isCancelled(Second));
  REQUIRE(Core_.open() == 0);
}

// Guards against an answer that is thrown away for another one: a plain request
// that may be repeated was cancelled at its silent endpoint.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, with two attempts of a plain request, answers "
                 "with the first whole answer",
                 "[traffic]") {
  bool FirstAnswers = GENERATE(true, false);
  CAPTURE(FirstAnswers);
  CallNumber N = send("/safe/1", Now_);
  AttemptNumber First = Port_.last().Attempt_;
  passTime(Milliseconds(600));
  AttemptNumber Second = Port_.last().Attempt_;
  REQUIRE(Second != First);
  REQUIRE(Port_.Cancelled_.empty());
  // The head and a part of the other answer must not mix with it.
  AttemptNumber Late = FirstAnswers ? Second : First;
  Core_.onHead(Late, head(N), Now_);
  Core_.onBody(Late, "lat", Now_);
  answer(FirstAnswers ? First : Second, N, "whole", 200, Now_);
  REQUIRE(answerOf(N).Status_ == 200);
  REQUIRE(answerOf(N).Body_ == "whole");
  REQUIRE(Port_.Cancelled_ == std::vector<AttemptNumber>{Late});
  REQUIRE(Core_.open() == 0);
}

TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, with a silent request that may run only once, "
                 "begins no other attempt",
                 "[traffic]") {
  CallNumber N = send("/once/1", Now_);
  passTime(Milliseconds(1400));
  REQUIRE(Port_.Begun_.size() == 1);
  REQUIRE(Port_.Cancelled_.empty());
  answer(Port_.last().Attempt_, N, "late", 200, Now_);
  REQUIRE(answerOf(N).Body_ == "late");
}

// Guards against the loss of many answers at once after this process had no
// processor: what endpoints had sent meanwhile was not read yet, and all of
// them looked silent.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, after a pause of its own, takes no endpoint "
                 "for silent before it has read what was sent meanwhile",
                 "[traffic]") {
  Duration Pause =
      GENERATE(Milliseconds(950), Milliseconds(1700), Milliseconds(3000));
  CAPTURE(Pause / Milliseconds(1));
  CallNumber Stream = startStream();
  AttemptNumber OfStream = Port_.last().Attempt_;
  CallNumber Begun = send("/stream/1", Now_);
  AttemptNumber OfBegun = Port_.last().Attempt_;
  passTime(Milliseconds(100));
  Now_ += Pause;
  Core_.tick(Now_);
  REQUIRE(Port_.Begun_.size() == 2);
  REQUIRE(Port_.Cancelled_.empty());
  sendEvent(OfStream, 2);
  Core_.onHead(OfBegun, head(Begun, 200, true), Now_);
  sendEvent(OfBegun, 1);
  passTime(Milliseconds(100));
  REQUIRE(Port_.Begun_.size() == 2);
  Core_.onEnd(OfStream, Now_);
  Core_.onEnd(OfBegun, Now_);
  REQUIRE(answerOf(Stream).Finished_);
  REQUIRE(answerOf(Begun).Finished_);
}

// An endpoint that stays silent after the pause is still found, in the usual
// time.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, after a pause of its own, replaces an endpoint "
                 "that stays silent",
                 "[traffic]") {
  startStream();
  passTime(Milliseconds(100));
  Now_ += Milliseconds(600);
  Core_.tick(Now_);
  passTime(Milliseconds(900));
  REQUIRE(Port_.Begun_.size() == 2);
}

// Guards against dead endpoints found late: what was read between a pause and
// the next tick counted as received in the future.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, with bytes read after a pause and before its "
                 "next tick, finds silence from these bytes on",
                 "[traffic]") {
  startStream();
  AttemptNumber First = Port_.last().Attempt_;
  passTime(Milliseconds(100));
  Now_ += Seconds(3);
  sendEvent(First, 2);
  SECTION("another endpoint is looked for in the usual time") {
    passTime(Milliseconds(1000));
    REQUIRE(Port_.Begun_.size() == 2);
  }
  SECTION("the caller is taken to have left in the usual time") {
    passTime(Milliseconds(2800));
    REQUIRE(Core_.open() == 0);
  }
}

// Guards against streams cut by a pause of this process: the time for which one
// waits to be resumed ran on before anything that had come free was read.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, after a pause of its own, keeps a stream that "
                 "waits to be resumed",
                 "[traffic]") {
  CallNumber N = startStream();
  AttemptNumber First = Port_.last().Attempt_;
  auto SetAway = [&](bool IsAway) {
    for (const char *Address : {"10.0.1.0:80", "10.0.1.1:80"})
      Core_.engineUpdated(Address, IsAway, 1, std::nullopt, Now_);
  };
  SetAway(true);
  Core_.onFail(First, false, "reset", Now_);
  passTime(Milliseconds(100));
  Now_ += Milliseconds(1300);
  Core_.tick(Now_);
  REQUIRE_FALSE(answerOf(N).Aborted_);
  SetAway(false);
  REQUIRE(Port_.Begun_.size() == 2);
}

// Guards against a budget spent on nothing: of two attempts that ran side by
// side and were both never sent, one stayed charged as a repeat.
TEST_CASE("traffic core, with two attempts that were never sent, charges no "
          "repeat",
          "[traffic]") {
  auto CountRepeats = [](bool HasTwoAttempts) {
    SilenceFixture F;
    CallNumber N = F.send("/safe/1", F.Now_);
    AttemptNumber First = F.Port_.last().Attempt_;
    F.passTime(Milliseconds(600));
    AttemptNumber Second = F.Port_.last().Attempt_;
    REQUIRE(Second != First);
    if (HasTwoAttempts) {
      F.Core_.onFail(First, true, "refused", F.Now_);
      F.Core_.onFail(Second, true, "refused", F.Now_);
    } else {
      F.Core_.onFail(Second, true, "refused", F.Now_);
    }
    F.Core_.callerGone(N, F.Now_);
    std::size_t Repeats = 0;
    for (int I = 0; I < 10; ++I) {
      CallNumber Each = F.send("/safe/1", F.Now_);
      std::size_t Before = F.Port_.Begun_.size();
      F.Core_.onFail(F.Port_.last().Attempt_, false, "reset", F.Now_);
      Repeats += F.Port_.Begun_.size() - Before;
      F.Core_.callerGone(Each, F.Now_);
    }
    return Repeats;
  };
  REQUIRE(CountRepeats(true) == CountRepeats(false));
}

// Guards against answers ended by a timer that ran before what was received:
// a request that had begun in a pause was taken to wait still.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, after a pause of its own, reads what has begun "
                 "before it withdraws what waits at an old version",
                 "[traffic]") {
  CallNumber N = send("/stream/1", Now_);
  AttemptNumber A = Port_.last().Attempt_;
  Core_.requireVersion("m", 2, Now_ + Milliseconds(300),
                       Now_ + Milliseconds(600));
  passTime(Milliseconds(100));
  Now_ += Milliseconds(700);
  Core_.tick(Now_);
  REQUIRE_FALSE(isCancelled(A));
  bool HasBegun = GENERATE(true, false);
  CAPTURE(HasBegun);
  if (HasBegun) {
    Core_.onHead(A, head(N, 200, true), Now_);
    sendEvent(A, 1);
  }
  passTime(Milliseconds(20));
  REQUIRE(isCancelled(A) == !HasBegun);
}

// Guards against more requests than an endpoint in need accepts: after a
// pause of the entry, grants that no longer counted at their granter were
// used.
TEST_CASE_METHOD(
    CoreFixture,
    "traffic core, after a pause of its own, uses no grant that is "
    "older than grants may be",
    "[traffic]") {
  for (int I = 0; I < 2; ++I) {
    CallNumber N = send("/safe/1");
    EndpointHead H = head(N);
    H.RateLimit_ = 1.0;
    Core_.onHead(Port_.last().Attempt_, H, Start);
    Core_.onEnd(Port_.last().Attempt_, Start);
  }
  Port_.HasGranters_ = true;
  TimePoint Asked = Start + Milliseconds(10);
  Core_.tick(Asked);
  send("/safe/1", Asked);
  REQUIRE(Port_.Asked_.size() == 1);
  std::size_t Begun = Port_.Begun_.size();
  Duration Pause = GENERATE(Milliseconds(300), Milliseconds(700));
  bool TicksFirst = GENERATE(true, false);
  CAPTURE(Pause / Milliseconds(1), TicksFirst);
  TimePoint Now = Asked + Pause;
  if (TicksFirst)
    Core_.tick(Now);
  Core_.onPlaceReply(Port_.Asked_.front().Attempt_, {.IsGranted_ = true}, Now);
  REQUIRE(Port_.Begun_.size() - Begun ==
          (Pause < LimitGrants::MaxGrantAge ? 1 : 0));
}

// Guards against dead endpoints that are never found: on a machine short of
// processors every tick came late, and no time counted at all.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, with ticks that are always late, replaces a "
                 "silent endpoint",
                 "[traffic]") {
  startStream();
  for (int I = 0; I < 10; ++I)
    Core_.tick(Now_ += Milliseconds(120));
  REQUIRE(Port_.Begun_.size() == 2);
}

// Guards against the same with agents that do not answer.
TEST_CASE_METHOD(SilenceFixture,
                 "traffic core, with ticks that are always late, holds no "
                 "request for silent agents",
                 "[traffic]") {
  Port_.HasAgents_ = true;
  CallNumber N = send("/stream/1", Now_);
  for (int I = 0; I < 10; ++I)
    Core_.tick(Now_ += Milliseconds(120));
  REQUIRE(Port_.Begun_.size() + Port_.Answers_.count(N) > 0);
}
