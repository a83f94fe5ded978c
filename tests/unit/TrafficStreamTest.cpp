// Outcomes of streams that break, stall or resume at another endpoint.

#include "tests/unit/TrafficFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

// Guards against lost or duplicated events when a stream's endpoint crashes
// midway. The caller must see every event once, in order, under the head of the
// first endpoint.
TEST_CASE("traffic core, when a stream breaks, resumes it at another endpoint "
          "after the last forwarded event",
          "[traffic]") {
  CoreFixture F;
  CallNumber N = F.send("/stream/1");
  AttemptNumber A = F.Port_.last().Attempt_;
  F.Core_.onHead(A, F.head(N, 200, true), Start);
  F.Core_.onBody(A, "id: 1\ndata: a\n\nid: 2\nda", Start);
  F.Core_.onFail(A, false, "reset", Start);
  REQUIRE(F.Port_.Begun_.size() == 2);
  REQUIRE(F.Port_.last().Params_.LastEvent_ == "1");
  A = F.Port_.last().Attempt_;
  F.Core_.onHead(A, F.head(N, 200, true), Start);
  F.Core_.onBody(A, "id: 2\ndata: b\n\n", Start);
  F.Core_.onEnd(A, Start);
  REQUIRE(F.answerOf(N).Body_ == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  REQUIRE(F.answerOf(N).Finished_);
  REQUIRE_FALSE(F.answerOf(N).Aborted_);
}

TEST_CASE("traffic core, when a stream has no endpoints left to try, aborts it "
          "and never ends it as complete",
          "[traffic]") {
  CoreFixture F;
  CallNumber N = F.send("/stream/1");
  for (int I = 0; I < 2; ++I) {
    AttemptNumber A = F.Port_.last().Attempt_;
    F.Core_.onHead(A, F.head(N, 200, true), Start);
    F.Core_.onBody(A, "id: " + std::to_string(I + 1) + "\ndata: a\n\n", Start);
    F.Core_.onFail(A, false, "reset", Start);
  }
  REQUIRE(F.Port_.Begun_.size() == 2);
  REQUIRE(F.answerOf(N).Aborted_);
  REQUIRE_FALSE(F.answerOf(N).Finished_);
}

// Guards against a truncated answer that looks complete: a stream breaks midway
// and resumes at a second engine, which answers with a failure (its deadline
// passed in the queue) and no events. Ending the caller's answer as complete
// then hides that half of the text is missing.
TEST_CASE("traffic core, when a stream resumes at an endpoint that answers "
          "with a failure, never ends it as complete",
          "[traffic]") {
  unsigned Status = GENERATE(504U, 500U, 200U);
  CoreFixture F;
  CallNumber N = F.send("/stream/1");
  AttemptNumber A = F.Port_.last().Attempt_;
  F.Core_.onHead(A, F.head(N, 200, true), Start);
  F.Core_.onBody(A, "id: 1\ndata: a\n\n", Start);
  F.Core_.onFail(A, false, "reset", Start);
  A = F.Port_.last().Attempt_;
  F.Core_.onHead(A, F.head(N, Status), Start);
  F.Core_.onBody(A, "deadline", Start);
  F.Core_.onEnd(A, Start);
  REQUIRE(F.answerOf(N).Body_ == "id: 1\ndata: a\n\n");
  REQUIRE(F.answerOf(N).Aborted_);
  REQUIRE_FALSE(F.answerOf(N).Finished_);
}

TEST_CASE("traffic core, when a stream ends within an event, does not treat it "
          "as complete",
          "[traffic]") {
  CoreFixture F;
  CallNumber N = F.send("/stream/1");
  AttemptNumber A = F.Port_.last().Attempt_;
  F.Core_.onHead(A, F.head(N, 200, true), Start);
  F.Core_.onBody(A, "id: 1\ndata: a\n\nid: 2\nda", Start);
  F.Core_.onEnd(A, Start);
  REQUIRE_FALSE(F.answerOf(N).Finished_);
  REQUIRE(F.Port_.Begun_.size() == 2);
}

// Guards against work for callers that left undetectably because their machine
// is partitioned, and against cutting off callers that still wait. Callers
// abandon a stream after a known gap, which they measure from when they receive
// an event; work for them must end half a second later.
TEST_CASE("traffic core, when a stream has been silent for as long as callers "
          "wait, ends it after they have closed and soon enough",
          "[traffic]") {
  constexpr Duration CallerGap = Milliseconds(2400);
  constexpr Duration TimeToClose = Milliseconds(200);
  constexpr Duration TimeToCancel = Milliseconds(100);
  constexpr Duration LongestWork = Milliseconds(500);
  bool HasEvents = GENERATE(true, false);
  CAPTURE(HasEvents);
  CoreFixture F;
  CallNumber N = F.send("/stream/1");
  AttemptNumber A = F.Port_.last().Attempt_;
  if (HasEvents) {
    F.Core_.onHead(A, F.head(N, 200, true), Start);
    F.Core_.onBody(A, "id: 1\ndata: a\n\n", Start);
  }
  TimePoint Now = Start;
  while (F.Core_.open() != 0 && Now < Start + Seconds(6)) {
    Now += Milliseconds(20);
    F.Core_.tick(Now);
  }
  REQUIRE(Now - Start >= CallerGap + TimeToClose);
  REQUIRE(Now - Start <= CallerGap + LongestWork - TimeToCancel);
  REQUIRE(F.Port_.Cancelled_.size() == F.Port_.Begun_.size());
}

// Guards against memory that is used after its request was erased: a session
// that finds its caller gone while it writes says so from within the write.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, whose caller is found gone while it is "
                 "answered, ends the request once",
                 "[traffic]") {
  std::string Target = GENERATE("/stream/1", "/safe/1", "/refused/1");
  unsigned Parts = GENERATE(1U, 2U, 3U);
  CAPTURE(Target, Parts);
  unsigned Seen = 0;
  Port_.OnAnswer_ = [&](CallNumber N) {
    if (++Seen == Parts)
      Core_.callerGone(N, Start);
  };
  CallNumber N = send(Target);
  if (!Port_.Begun_.empty()) {
    AttemptNumber A = Port_.last().Attempt_;
    Core_.onHead(A, head(N, 200, Target == "/stream/1"), Start);
    Core_.onBody(A, "id: 1\ndata: a\n\n", Start);
    Core_.onEnd(A, Start);
  }
  REQUIRE(Seen <= Parts);
  REQUIRE(Port_.Reports_.size() == 1);
  REQUIRE(Core_.open() == 0);
}

// Guards against the same where an attempt fails while it is begun: a kept
// connection may turn out to be reset by its first write.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, with attempts that fail while they are begun, "
                 "answers each request once",
                 "[traffic]") {
  std::string Target = GENERATE("/stream/1", "/safe/1", "/once/1");
  CAPTURE(Target);
  Port_.OnBegin_ = [&](AttemptNumber A) {
    Core_.onFail(A, false, "reset", Start);
  };
  constexpr std::size_t Requests = 12;
  for (std::size_t I = 0; I < Requests; ++I)
    send(Target);
  Core_.tick(Start + Seconds(10));
  REQUIRE(Port_.Answers_.size() == Requests);
  REQUIRE(Core_.open() == 0);
}
