// Attempts whose callers would leave before they can be served; no network.
//
// The links of some engines' VMs are saturated by new weights or throttled. A
// request sent there waits in the link, reaches the engine after its caller has
// left, and uses a slot for nothing. The only sign at an entry is that the
// agent on the VM, behind the same link, does not answer.

#include "tests/unit/TrafficFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
const std::string Congested = "10.0.1.0:80";

// Answers each place query to the other engine with "full" from Next on, and
// none to the congested one; returns the index of the next query.
std::size_t denyOthers(CoreFixture &F, std::size_t Next, TimePoint Now) {
  for (; Next < F.Port_.Asked_.size(); ++Next)
    if (F.Port_.Asked_[Next].Address_ != Congested)
      F.Core_.onPlaceReply(F.Port_.Asked_[Next].Attempt_,
                           {.Load_ = {2, 0}, .Version_ = 1}, Now);
  return Next;
}
} // namespace

// Guards against sending requests into a congested link because the engine
// behind it, which has sent nothing for seconds, looks empty.
TEST_CASE("traffic core, while one engine's agent does not answer and the "
          "other engine is full, sends the first only one query a second",
          "[traffic]") {
  CoreFixture F;
  F.Port_.HasAgents_ = true;
  std::size_t Next = 0;
  std::size_t SentEarly = 0;
  for (TimePoint Now = Start; Now < Start + Seconds(4);
       Now += Milliseconds(10)) {
    if ((Now - Start) % Milliseconds(100) == Duration::zero())
      F.send("/stream/1", Now);
    Next = denyOthers(F, Next, Now);
    F.Core_.tick(Now);
    if (Now == Start + Milliseconds(300))
      SentEarly = F.Port_.Begun_.size();
  }
  REQUIRE(F.Port_.Begun_.size() == SentEarly);
  std::size_t Probes = 0;
  for (const FakePort::PlaceAsked &Each : F.Port_.Asked_)
    Probes += Each.Address_ == Congested ? 1 : 0;
  REQUIRE(Probes >= 3);
  REQUIRE(Probes <= 5);
}

// Guards against attempts that begin so late that they reach the engine after
// their callers have left a stream without a first event.
TEST_CASE("traffic core, with less time left than an engine usually takes to "
          "answer, refuses at once instead of another attempt",
          "[traffic]") {
  struct Row {
    std::string Name_;
    Duration At_;
    std::size_t Begun_;
  };
  // Callers of this route leave after 2.4 s.
  for (const Row &R : std::vector<Row>{{"time enough", Milliseconds(2100), 4},
                                       {"too little", Milliseconds(2250), 3}}) {
    CAPTURE(R.Name_);
    CoreFixture F;
    for (int I = 0; I < 2; ++I)
      F.send("/stream/1");
    for (CallNumber N = 1; N <= 2; ++N) {
      AttemptNumber A = F.Port_.Begun_[N - 1].Attempt_;
      TimePoint Answered = Start + Milliseconds(250);
      F.Core_.onHead(A, F.head(N, 200, true), Answered);
      F.Core_.onBody(A, "id: 1\ndata: a\n\n", Answered);
      F.Core_.onEnd(A, Answered);
    }
    TimePoint Sent = Start + Seconds(1);
    CallNumber N = F.send("/stream/1", Sent);
    REQUIRE(F.Port_.Begun_.size() == 3);
    AttemptNumber A = F.Port_.last().Attempt_;
    F.Core_.onHead(A, F.notRun(), Sent + R.At_);
    F.Core_.onEnd(A, Sent + R.At_);
    REQUIRE(F.Port_.Begun_.size() == R.Begun_);
    if (R.Begun_ > 3)
      continue;
    REQUIRE(F.answerOf(N).Status_ == 503);
    REQUIRE(F.answerOf(N).RetryAfter_ > Duration::zero());
  }
}
