// The end of a process with requests open.

#include "tests/unit/TrafficFixture.h"

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

// Guards against requests that end without an answer when the time of a planned
// stop is over.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, at the end of its process, answers what has no "
                 "answer yet and aborts what has begun",
                 "[traffic]") {
  CallNumber Plain = send("/safe/1");
  CallNumber Once = send("/once/1");
  CallNumber Stream = send("/stream/1");
  AttemptNumber A = Port_.last().Attempt_;
  Core_.onHead(A, head(Stream, 200, true), Start);
  Core_.onBody(A, "id: 1\ndata: one\n\n", Start);
  REQUIRE(Port_.Answers_.at(Stream).Streamed_);
  Core_.stop({Start, Start + Milliseconds(10)});
  Core_.endAll(Start + Milliseconds(10));
  REQUIRE(Core_.open() == 0);
  REQUIRE(Port_.Answers_.at(Plain).Status_ == 502);
  REQUIRE(Port_.Answers_.at(Once).Status_ == 502);
  REQUIRE(Port_.Answers_.at(Once).Cause_ == Cause::Stopping);
  REQUIRE(Port_.Answers_.at(Stream).Aborted_);
  REQUIRE_FALSE(Port_.Answers_.at(Stream).Finished_);
  REQUIRE(Port_.Cancelled_.size() == Port_.Begun_.size());
}

// Guards against a process that is held up while it stops, takes requests late
// in its grace and cuts them at the end.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, told to stop, passes requests on until the "
                 "balancer has noticed and refuses those read later",
                 "[traffic]") {
  Core_.stop({Start + Milliseconds(2600), Start + Milliseconds(7400)});
  send("/once/1", Start + Milliseconds(2599));
  REQUIRE(Port_.Begun_.size() == 1);
  CallNumber Late = send("/once/1", Start + Milliseconds(2600));
  REQUIRE(Port_.Begun_.size() == 1);
  REQUIRE(Port_.Answers_.at(Late).Status_ == 503);
  REQUIRE(Port_.Answers_.at(Late).Cause_ == Cause::Stopping);
}

// Guards against attempts that begin so late in a planned stop that they run
// and are cut before they can be answered.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, told to stop sooner than an engine usually "
                 "answers, refuses at once instead of an attempt",
                 "[traffic]") {
  for (int I = 0; I < 2; ++I)
    send("/stream/1");
  for (CallNumber N = 1; N <= 2; ++N) {
    AttemptNumber A = Port_.Begun_[N - 1].Attempt_;
    TimePoint Answered = Start + Milliseconds(250);
    Core_.onHead(A, head(N, 200, true), Answered);
    Core_.onBody(A, "id: 1\ndata: a\n\n", Answered);
    Core_.onEnd(A, Answered);
  }
  Core_.stop({Start + Seconds(2), Start + Milliseconds(1200)});
  std::size_t Begun = Port_.Begun_.size() + 1;
  send("/stream/1", Start + Milliseconds(500));
  CHECK(Port_.Begun_.size() == Begun);
  CallNumber Refused = send("/stream/1", Start + Seconds(1));
  CHECK(Port_.Begun_.size() == Begun);
  CHECK(Port_.Answers_.at(Refused).Status_ == 503);
  CHECK(Port_.Answers_.at(Refused).Cause_ == Cause::Stopping);
}
