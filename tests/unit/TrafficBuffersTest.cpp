// Endpoints that send without end and callers that read slowly, as TrafficCore
// sees them.

#include "tests/unit/TrafficFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
struct BuffersFixture : CoreFixture {
  TimePoint Now_ = Start;
  std::size_t MostHeld_ = 0;

  // Sends bytes until the attempt ends; true when it does within 100 MB.
  bool flood(AttemptNumber A) {
    const std::string Bytes(64 * 1024, 'x');
    for (int I = 0; I < 1600; ++I) {
      if (isCancelled(A))
        return true;
      Core_.onBody(A, Bytes, Now_);
      MostHeld_ = std::max(MostHeld_, Core_.heldBytes());
    }
    return false;
  }
  bool isCancelled(AttemptNumber A) const {
    const auto &All = Port_.Cancelled_;
    return std::find(All.begin(), All.end(), A) != All.end();
  }
  unsigned ownAt(const EndpointId &Id) const {
    return Core_.placement().view(Id, Now_)->Own_;
  }
  void passTime(Duration D) {
    for (TimePoint End = Now_ + D; Now_ < End;) {
      Now_ += Milliseconds(20);
      Core_.tick(Now_);
    }
  }
  CallNumber startStream() {
    CallNumber N = send("/stream/1", Now_);
    AttemptNumber A = Port_.last().Attempt_;
    Core_.onHead(A, head(N, 200, true), Now_);
    Core_.onBody(A, "id: 1\ndata: e\n\n", Now_);
    return N;
  }
};
constexpr std::size_t Megabyte = 1024 * 1024;
} // namespace

// Guards against a process that grows with an endpoint's endless bytes. The
// request has run, so only one that may run again goes elsewhere.
TEST_CASE_METHOD(BuffersFixture,
                 "traffic core, given an answer without an end, ends the "
                 "attempt at the limit and frees its place",
                 "[traffic][slow]") {
  bool MayRepeat = GENERATE(false, true);
  CallNumber N = send(MayRepeat ? "/safe/1" : "/once/1");
  AttemptNumber A = Port_.last().Attempt_;
  EndpointId At = Port_.last().Params_.Endpoint_;
  Core_.onHead(A, head(N), Now_);
  REQUIRE(flood(A));
  REQUIRE(MostHeld_ <= 8 * Megabyte);
  REQUIRE(ownAt(At) == 0);
  if (!MayRepeat) {
    REQUIRE(answerOf(N).Status_ == 502);
    REQUIRE(Port_.Reports_.back().MayHaveRun_);
    REQUIRE(Core_.heldBytes() == 0);
    return;
  }
  REQUIRE(Port_.Begun_.size() == 2);
  answer(Port_.last().Attempt_, N, "good");
  REQUIRE(answerOf(N).Body_ == "good");
}

TEST_CASE_METHOD(BuffersFixture,
                 "traffic core, given an answer below the limit, passes it on",
                 "[traffic][slow]") {
  CallNumber N = send("/once/1");
  answer(Port_.last().Attempt_, N, std::string(8 * Megabyte, 'x'));
  REQUIRE(answerOf(N).Status_ == 200);
  REQUIRE(answerOf(N).Body_.size() == 8 * Megabyte);
}

// Guards against buffering, and forwarding in pieces, an event that never ends.
TEST_CASE_METHOD(BuffersFixture,
                 "traffic core, given an event without an end, forwards none "
                 "of it and resumes at another endpoint",
                 "[traffic][slow]") {
  CallNumber N = startStream();
  AttemptNumber First = Port_.last().Attempt_;
  EndpointId At = Port_.last().Params_.Endpoint_;
  REQUIRE(flood(First));
  REQUIRE(MostHeld_ < Megabyte);
  REQUIRE(ownAt(At) == 0);
  REQUIRE(Port_.Begun_.size() == 2);
  REQUIRE(Port_.last().Params_.LastEvent_ == "1");
  AttemptNumber Second = Port_.last().Attempt_;
  SECTION("which completes the stream") {
    Core_.onHead(Second, head(N, 200, true), Now_);
    Core_.onBody(Second, "id: 2\ndata: f\n\n", Now_);
    Core_.onEnd(Second, Now_);
    REQUIRE(answerOf(N).Finished_);
  }
  SECTION("which does the same, so the answer is cut") {
    Core_.onHead(Second, head(N, 200, true), Now_);
    REQUIRE(flood(Second));
    REQUIRE(answerOf(N).Aborted_);
    REQUIRE(Core_.open() == 0);
  }
  REQUIRE(answerOf(N).Body_.find("xxx") == std::string::npos);
}

// Guards against a refusal whose body never ends: the head has said it all.
TEST_CASE_METHOD(BuffersFixture,
                 "traffic core, given a refusal with a body without an end, "
                 "holds none of it and sends the request elsewhere",
                 "[traffic][slow]") {
  CallNumber N = send("/once/1");
  AttemptNumber A = Port_.last().Attempt_;
  Core_.onHead(A, notRun(), Now_);
  REQUIRE(flood(A));
  REQUIRE(MostHeld_ == 0);
  REQUIRE(Port_.Begun_.size() == 2);
  answer(Port_.last().Attempt_, N, "good");
  REQUIRE(answerOf(N).Body_ == "good");
}

// Guards against beginning another attempt because this process does not read
// the first one, and against giving up a caller that reads slowly.
TEST_CASE_METHOD(BuffersFixture,
                 "traffic core, while an attempt is paused, neither replaces "
                 "it nor counts its caller as gone",
                 "[traffic][slow]") {
  CallNumber N = startStream();
  AttemptNumber A = Port_.last().Attempt_;
  Core_.onPaused(A, true, Now_);
  passTime(Seconds(3));
  REQUIRE(Port_.Begun_.size() == 1);
  REQUIRE_FALSE(answerOf(N).Aborted_);
  Core_.onPaused(A, false, Now_);
  passTime(Milliseconds(800));
  REQUIRE(Port_.Begun_.size() == 1);
  SECTION("and goes on with it") {
    Core_.onBody(A, "id: 2\ndata: f\n\n", Now_);
    Core_.onEnd(A, Now_);
    REQUIRE(answerOf(N).Finished_);
  }
  SECTION("but replaces it when it is silent after the pause") {
    passTime(Milliseconds(200));
    REQUIRE(Port_.Begun_.size() == 2);
  }
  SECTION("but ends it at the deadline") {
    Core_.onPaused(A, true, Now_);
    passTime(Seconds(3));
    REQUIRE(answerOf(N).Aborted_);
    REQUIRE(isCancelled(A));
  }
}

// Guards against cutting a caller's stream for the time of a pause when the
// paused attempt ends by itself.
TEST_CASE_METHOD(BuffersFixture,
                 "traffic core, when a paused attempt ends, gives the next one "
                 "the usual time",
                 "[traffic][slow]") {
  CallNumber N = startStream();
  AttemptNumber A = Port_.last().Attempt_;
  Core_.onPaused(A, true, Now_);
  passTime(Seconds(3));
  Core_.onFail(A, false, "reset", Now_);
  REQUIRE(Port_.Begun_.size() == 2);
  passTime(Milliseconds(1000));
  REQUIRE_FALSE(answerOf(N).Aborted_);
}

TEST_CASE_METHOD(BuffersFixture,
                 "traffic core, while bodies are refused, answers 503 with a "
                 "short delay to requests with a body only",
                 "[traffic][slow]") {
  Core_.refuseBodies(true);
  Call C;
  C.Id_ = "r";
  C.Host_ = "h";
  C.Target_ = "/once/1";
  C.Key_ = "key";
  C.Body_ = "body";
  Core_.arrive(900, C, Now_);
  REQUIRE(answerOf(900).Status_ == 503);
  REQUIRE(answerOf(900).Cause_ == Cause::ProcessFull);
  REQUIRE(answerOf(900).RetryAfter_ > Duration::zero());
  REQUIRE(answerOf(900).RetryAfter_ < Seconds(1));
  REQUIRE(Port_.Begun_.empty());
  send("/once/1");
  REQUIRE(Port_.Begun_.size() == 1);
  Core_.refuseBodies(false);
  Core_.arrive(901, C, Now_);
  REQUIRE(Port_.Begun_.size() == 2);
}

TEST_CASE_METHOD(BuffersFixture,
                 "traffic core, told to end a request for its buffers, answers "
                 "whether it may have run",
                 "[traffic][slow]") {
  CallNumber N = send("/once/1");
  Core_.onHead(Port_.last().Attempt_, head(N), Now_);
  Core_.onBody(Port_.last().Attempt_, std::string(Megabyte, 'x'), Now_);
  REQUIRE(Core_.heldBytes(N) == Megabyte);
  Core_.endForBuffers(N, Now_);
  REQUIRE(answerOf(N).Status_ == 502);
  REQUIRE(Core_.heldBytes() == 0);
  REQUIRE(isCancelled(Port_.last().Attempt_));
  CallNumber Stream = startStream();
  Core_.endForBuffers(Stream, Now_);
  REQUIRE(answerOf(Stream).Aborted_);
}
