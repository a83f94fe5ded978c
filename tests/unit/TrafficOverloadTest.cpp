// Which requests are served, queued or refused when capacity is short.

#include "tests/unit/TrafficFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

TEST_CASE("traffic core, given a request it cannot accept, refuses at once "
          "with the right status and cause",
          "[traffic]") {
  struct Row {
    std::string Name_, Target_, Key_;
    TimePoint At_;
    unsigned Status_;
    Cause Cause_;
  };
  CoreFixture F;
  for (const Row &R : std::vector<Row>{
           {"no route", "/none/", "key", Start, 404, Cause::NoRoute},
           {"unknown key", "/safe/1", "other", Start, 401, Cause::NoKey},
           {"no key", "/safe/1", "", Start, 401, Cause::NoKey},
           {"stale lease", "/safe/1", "key", Start + Seconds(5), 503,
            Cause::KeyLeaseOver},
           {"stale lease, unknown key", "/safe/1", "other", Start + Seconds(5),
            503, Cause::KeyLeaseOver}}) {
    CAPTURE(R.Name_);
    CallNumber N = F.send(R.Target_, R.At_, R.Key_);
    REQUIRE(F.answerOf(N).Status_ == R.Status_);
    REQUIRE(F.answerOf(N).Cause_ == R.Cause_);
    REQUIRE((F.answerOf(N).RetryAfter_ > Duration::zero()) ==
            (R.Status_ == 503));
  }
  REQUIRE(F.Port_.Begun_.empty());
}

// Guards against spending the repeat budget on refused connections: endpoints
// are gone and their addresses refuse. Nothing reaches an endpoint, so these
// attempts cost no repeat, and a later real repeat is still possible.
TEST_CASE("traffic core, when connections are refused, spends no repeats",
          "[traffic]") {
  CoreFixture F;
  for (int I = 0; I < 20; ++I) {
    CallNumber N = F.send("/safe/1", Start + Seconds(I % 3));
    F.Core_.onFail(F.Port_.last().Attempt_, true, "refused", Start);
    REQUIRE(F.Port_.Answers_.count(N) == 0);
    F.Core_.callerGone(N, Start);
  }
  CallNumber N = F.send("/safe/1", Start + Seconds(3));
  std::size_t Before = F.Port_.Begun_.size();
  F.Core_.onFail(F.Port_.last().Attempt_, false, "reset", Start + Seconds(3));
  REQUIRE(F.Port_.Begun_.size() == Before + 1);
  REQUIRE(F.Port_.Answers_.count(N) == 0);
}

// Guards against long queues when there are more callers than places: a request
// that waits longer than its goal allows is worth little and delays all behind
// it.
TEST_CASE("traffic core, when all engines are full, queues few requests and "
          "refuses the others with a retry delay",
          "[traffic]") {
  CoreFixture F;
  TimePoint Now = Start;
  std::vector<CallNumber> All;
  for (int I = 0; I < 30; ++I)
    All.push_back(F.send("/stream/1", Now));
  std::size_t Begun = F.Port_.Begun_.size();
  REQUIRE(Begun >= 2);
  REQUIRE(Begun <= 8);
  for (int Ms = 0; Ms <= 300; Ms += 20)
    F.Core_.tick(Now + Milliseconds(Ms));
  for (std::size_t I = Begun; I < All.size(); ++I) {
    REQUIRE(F.answerOf(All[I]).Status_ == 503);
    REQUIRE(F.answerOf(All[I]).RetryAfter_ >= Milliseconds(250));
    REQUIRE(F.answerOf(All[I]).RetryAfter_ <= Seconds(3));
  }
}

TEST_CASE(
    "traffic core, when a place becomes free, gives it to the queued request",
    "[traffic]") {
  CoreFixture F;
  std::vector<CallNumber> All;
  for (int I = 0; I < 10; ++I)
    All.push_back(F.send("/stream/1"));
  std::size_t Begun = F.Port_.Begun_.size();
  AttemptNumber A = F.Port_.Begun_[0].Attempt_;
  F.Core_.onHead(A, F.head(All[0], 200, true), Start);
  F.Core_.onBody(A, "id: 1\ndata: a\n\n", Start);
  F.Core_.onEnd(A, Start);
  REQUIRE(F.Port_.Begun_.size() == Begun + 1);
  REQUIRE(F.Port_.last().Params_.Call_ == All[Begun]);
}

// Guards against serving late requests first in a lasting overload. A refused
// caller retries once, with less time left, and its goal has passed by then. In
// order of arrival, half of the places would go to such late answers, and as
// many first requests would be refused and return late too. The figures are for
// callers of 6 s told to retry after 0.5 to 1.8 s, and a goal of 150 ms.
TEST_CASE("traffic core, with few places left, reserves them for requests that "
          "can still be answered in time",
          "[traffic]") {
  CoreFixture F;
  for (int I = 0; I < 12; ++I) {
    CallNumber N = F.send("/stream/1", Start, "key", Seconds(6));
    F.Core_.callerGone(N, Start);
  }
  // Two engines with two places each: one place is free at each.
  for (const char *Address : {"10.0.1.0:80", "10.0.1.1:80"})
    F.Core_.engineUpdated(Address, false, 1, EndpointLoad{1, 0}, Start);
  CallNumber Late = F.send("/stream/1", Start, "key", Seconds(4));
  REQUIRE(F.answerOf(Late).Status_ == 503);
  REQUIRE(F.answerOf(Late).Cause_ == Cause::LineFull);
  REQUIRE(F.answerOf(Late).RetryAfter_ > Duration::zero());
  std::size_t Begun = F.Port_.Begun_.size();
  F.send("/stream/1", Start, "key", Seconds(6));
  REQUIRE(F.Port_.Begun_.size() == Begun + 1);
}

TEST_CASE("traffic core, with capacity to spare, serves requests that are "
          "already late",
          "[traffic]") {
  CoreFixture F;
  for (int I = 0; I < 12; ++I)
    F.Core_.callerGone(F.send("/stream/1", Start, "key", Seconds(6)), Start);
  std::size_t Begun = F.Port_.Begun_.size();
  F.send("/stream/1", Start, "key", Seconds(4));
  REQUIRE(F.Port_.Begun_.size() == Begun + 1);
}

// Guards against a customer's burst that starves others: in order of arrival,
// another customer's single request would wait for the whole burst and fail.
TEST_CASE("traffic core, with a customer's burst queued, gives the next place "
          "to another customer",
          "[traffic]") {
  CoreFixture F;
  while (F.Port_.Begun_.size() == F.Core_.open())
    F.send("/once/1");
  // One request of the burst is queued already.
  std::size_t Begun = F.Port_.Begun_.size();
  CallNumber First = F.Core_.open();
  F.send("/once/1");
  F.send("/once/1");
  CallNumber Other = F.send("/once/1", Start, "other-key");
  for (std::size_t I = 0; I < 2; ++I) {
    const FakePort::Begun &Done = F.Port_.Begun_[I];
    F.answer(Done.Attempt_, Done.Params_.Call_, "a");
  }
  REQUIRE(F.Port_.Begun_.size() == Begun + 2);
  std::set<CallNumber> Next = {F.Port_.Begun_[Begun].Params_.Call_,
                               F.Port_.Begun_[Begun + 1].Params_.Call_};
  REQUIRE(Next == std::set<CallNumber>{First, Other});
}

TEST_CASE(
    "traffic core, the longer it has refused, returns longer retry delays",
    "[traffic]") {
  CoreFixture F;
  F.Core_.endpoints().listed({}, Start);
  F.Core_.endpointsChanged(Start);
  Duration First = F.answerOf(F.send("/stream/1")).RetryAfter_;
  REQUIRE(First < Milliseconds(700));
  for (int Ms = 0; Ms < 4000; Ms += 200) {
    TimePoint At = Start + Milliseconds(Ms);
    F.Core_.lease().prove(At);
    F.send("/stream/1", At);
  }
  TimePoint Later = Start + Seconds(4);
  F.Core_.lease().prove(Later);
  REQUIRE(F.answerOf(F.send("/stream/1", Later)).RetryAfter_ >=
          Milliseconds(1100));
}

TEST_CASE("traffic core, granted a place by an engine's agent, sends the "
          "request there",
          "[traffic]") {
  CoreFixture F;
  F.Port_.HasAgents_ = true;
  F.send("/stream/1");
  REQUIRE(F.Port_.Begun_.empty());
  REQUIRE(F.Port_.Asked_.size() == 1);
  F.Core_.onPlaceReply(F.Port_.Asked_[0].Attempt_,
                       {.IsGranted_ = true, .Version_ = 1}, Start);
  REQUIRE(F.Port_.Begun_.size() == 1);
  REQUIRE(F.Port_.last().Params_.Address_ == F.Port_.Asked_[0].Address_);
}

// Guards against waiting at full engines when all places of the fleet are
// taken. At an engine the request would begin a second later; here it is
// refused after a short wait, correctly as not run, while there is time to
// retry.
TEST_CASE("traffic core, denied a place everywhere, refuses after a short wait "
          "and sends nothing",
          "[traffic]") {
  CoreFixture F;
  F.Port_.HasAgents_ = true;
  CallNumber N = F.send("/stream/1");
  TimePoint Now = Start;
  std::size_t Answered = 0;
  while (F.Port_.Answers_.count(N) == 0 && Now < Start + Seconds(1)) {
    while (Answered < F.Port_.Asked_.size())
      F.Core_.onPlaceReply(F.Port_.Asked_[Answered++].Attempt_,
                           {.Load_ = {2, 0}, .Version_ = 1}, Now);
    Now += Milliseconds(20);
    F.Core_.tick(Now);
  }
  REQUIRE(F.answerOf(N).Status_ == 503);
  REQUIRE(F.answerOf(N).RetryAfter_ > Duration::zero());
  REQUIRE(F.Port_.Begun_.empty());
  REQUIRE(Now <= Start + Milliseconds(120));
  // Both engines were asked, and neither indefinitely.
  REQUIRE(F.Port_.Asked_.size() >= 2);
  REQUIRE(F.Port_.Asked_.size() <= 8);
}

// Guards against waiting for an agent until the caller leaves: the agent's VM
// is partitioned or frozen, or new weights saturate its link.
TEST_CASE("traffic core, when an agent does not answer, sends the request to "
          "another engine",
          "[traffic]") {
  CoreFixture F;
  F.Port_.HasAgents_ = true;
  F.send("/stream/1");
  F.Core_.tick(Start + Milliseconds(25));
  REQUIRE(F.Port_.Asked_.size() == 2);
  REQUIRE(F.Port_.Asked_[1].Address_ != F.Port_.Asked_[0].Address_);
  // A late reply to the first query changes nothing.
  F.Core_.onPlaceReply(F.Port_.Asked_[0].Attempt_,
                       {.IsGranted_ = true, .Version_ = 1},
                       Start + Milliseconds(26));
  REQUIRE(F.Port_.Begun_.empty());
  F.Core_.onPlaceReply(F.Port_.Asked_[1].Attempt_,
                       {.IsGranted_ = true, .Version_ = 1},
                       Start + Milliseconds(30));
  REQUIRE(F.Port_.Begun_.size() == 1);
}

TEST_CASE("traffic core, when a caller leaves while its place is asked for, "
          "sends nothing",
          "[traffic]") {
  CoreFixture F;
  F.Port_.HasAgents_ = true;
  CallNumber N = F.send("/stream/1");
  F.Core_.callerGone(N, Start);
  F.Core_.onPlaceReply(F.Port_.Asked_[0].Attempt_,
                       {.IsGranted_ = true, .Version_ = 1}, Start);
  REQUIRE(F.Port_.Begun_.empty());
  REQUIRE(F.Core_.open() == 0);
}

// Guards against trusting the store's list about an engine that has restarted:
// it holds no weights, but the list still says that it does. Its agent knows.
TEST_CASE("traffic core, told by an agent that its engine is unavailable, "
          "sends the next request to another engine",
          "[traffic]") {
  CoreFixture F;
  F.Port_.HasAgents_ = true;
  F.send("/stream/1");
  std::string Away = F.Port_.Asked_[0].Address_;
  F.Core_.onPlaceReply(F.Port_.Asked_[0].Attempt_, {.IsAway_ = true}, Start);
  F.send("/stream/1", Start + Milliseconds(500));
  REQUIRE(F.Port_.Asked_.size() == 3);
  REQUIRE(F.Port_.Asked_[1].Address_ != Away);
  REQUIRE(F.Port_.Asked_[2].Address_ != Away);
}

// Guards against an agent that denies every place after a restart because it
// has no configuration yet, and against long prompts asked for as typical ones.
TEST_CASE("traffic core, asking for a place, states the engine's capacity and "
          "the time to read the prompt",
          "[traffic]") {
  CoreFixture F;
  F.Port_.HasAgents_ = true;
  Call C;
  C.Id_ = "r100";
  C.Host_ = "h";
  C.Target_ = "/stream/1";
  C.Key_ = "key";
  C.Tokens_ = {3000, 100};
  F.Core_.arrive(100, C, Start);
  F.send("/stream/2");
  REQUIRE(F.Port_.Asked_.size() == 2);
  const PlaceDemand &Long = F.Port_.Asked_[0].Demand_;
  const PlaceDemand &Unstated = F.Port_.Asked_[1].Demand_;
  REQUIRE(Long.Places_ == 2);
  REQUIRE(Long.Reading_ > 2 * Long.UsualReading_);
  REQUIRE(Unstated.Reading_ == Long.UsualReading_);
}

// Guards against requests that a restarted entry sends to engines without
// weights, each of which costs a repeat and ends refused.
TEST_CASE("traffic core, before the agents have reported, sends nothing to "
          "engines, and then asks them",
          "[traffic]") {
  CoreFixture F;
  F.Port_.IsConnecting_ = true;
  CallNumber N = F.send("/stream/1");
  REQUIRE(F.Port_.Begun_.empty());
  REQUIRE(F.Port_.Answers_.empty());
  SECTION("they report soon") {
    F.Port_.IsConnecting_ = false;
    F.Port_.HasAgents_ = true;
    F.Core_.engineUpdated("10.0.1.0:80", false, 1, EndpointLoad{},
                          Start + Milliseconds(20));
    REQUIRE(F.Port_.Asked_.size() == 1);
  }
  SECTION("they do not") {
    F.Core_.tick(Start + Milliseconds(60));
    REQUIRE(F.answerOf(N).Status_ == 503);
    REQUIRE(F.answerOf(N).RetryAfter_ > Duration::zero());
    REQUIRE(F.Port_.Begun_.empty());
  }
  SECTION("plain services are not affected") {
    F.send("/safe/1");
    REQUIRE(F.Port_.Begun_.size() == 1);
  }
}
