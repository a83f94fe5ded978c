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
  Core_.stop();
  Core_.endAll(Start + Milliseconds(10));
  REQUIRE(Core_.open() == 0);
  REQUIRE(Port_.Answers_.at(Plain).Status_ == 502);
  REQUIRE(Port_.Answers_.at(Once).Status_ == 502);
  REQUIRE(Port_.Answers_.at(Once).Cause_ == Cause::Stopping);
  REQUIRE(Port_.Answers_.at(Stream).Aborted_);
  REQUIRE_FALSE(Port_.Answers_.at(Stream).Finished_);
  REQUIRE(Port_.Cancelled_.size() == Port_.Begun_.size());
}
