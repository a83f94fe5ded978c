// What the fault soak takes for a lost answer, and what excuses one.

#include "tests/soak/SoakFate.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr Duration StopBound = Seconds(6);
constexpr auto Endpoint = "i-1";

struct SoakFateFixture {
  TimePoint Start_ = TimePoint() + Seconds(100);
  SoakRecord Record_;
  SoakRequest Request_{.Id_ = "r",
                       .Kind_ = SoakKind::Stream,
                       .SentAt_ = Start_,
                       .Process_ = "entry-1#2",
                       .Deadline_ = Seconds(9),
                       .Timeout_ = Seconds(8)};
  SoakOutcome Outcome_{.End_ = SoakOutcome::End::Closed,
                       .WrittenAt_ = Start_,
                       .EndedAt_ = Start_ + Seconds(2)};

  void run(SoakRun::End End, Duration To, const std::string &At = Endpoint) {
    std::size_t N = Record_.beginRun("r", At, Start_ + Milliseconds(1));
    Record_.endRun("r", N, End, Start_ + To);
  }
  SoakFate fate() const {
    return fateOf(Request_, Outcome_, Record_, StopBound);
  }
};
} // namespace

TEST_CASE_METHOD(SoakFateFixture,
                 "soak fate, of a request cut while its endpoint is at work, "
                 "is lost") {
  run(SoakRun::End::Cut, Seconds(2));
  REQUIRE(fate() == SoakFate::Lost);
}

TEST_CASE_METHOD(SoakFateFixture,
                 "soak fate, of a request whose run was whole and whose answer "
                 "was not, is lost") {
  run(SoakRun::End::Whole, Seconds(1));
  REQUIRE(fate() == SoakFate::Lost);
}

TEST_CASE_METHOD(SoakFateFixture,
                 "soak fate, of a request that was not passed on, depends on "
                 "when its connection ended") {
  REQUIRE(fate() == SoakFate::Lost);
  Outcome_.EndedAt_ = Start_ + LostSlack;
  REQUIRE(fate() == SoakFate::NotTaken);
  Outcome_.EndedAt_ = Start_ + Seconds(2);
  Outcome_.WrittenAt_.reset();
  REQUIRE(fate() == SoakFate::NotTaken);
}

TEST_CASE_METHOD(SoakFateFixture,
                 "soak fate, of a request with a disruption of its process, is "
                 "excused only within the contact time") {
  run(SoakRun::End::Cut, Seconds(2));
  Record_.beginDisruption("entry-1", Start_ - ContactTime - Seconds(1));
  Record_.endDisruption("entry-1", Start_ - ContactTime - Milliseconds(1));
  Record_.beginDisruption("entry-2", Start_);
  Record_.beginDisruption("entry-1", Start_ + Seconds(3));
  REQUIRE(fate() == SoakFate::Lost);
  Outcome_.EndedAt_ = Start_ + Seconds(3);
  REQUIRE(fate() == SoakFate::ProcessDisrupted);
}

TEST_CASE_METHOD(SoakFateFixture,
                 "soak fate, of a request that an endpoint broke off, is "
                 "excused unless another one ran it after that") {
  run(SoakRun::End::BrokenOff, Seconds(1));
  REQUIRE(fate() == SoakFate::EndpointBrokeOff);
  run(SoakRun::End::Rejected, Seconds(1), "i-2");
  REQUIRE(fate() == SoakFate::EndpointBrokeOff);
  run(SoakRun::End::Cut, Seconds(2), "i-3");
  REQUIRE(fate() == SoakFate::Lost);
}

TEST_CASE_METHOD(SoakFateFixture,
                 "soak fate, of a request with two runs side by side, depends "
                 "on the one that ended last") {
  run(SoakRun::End::BrokenOff, Seconds(2));
  run(SoakRun::End::Cut, Seconds(1), "i-2");
  REQUIRE(fate() == SoakFate::EndpointBrokeOff);
  run(SoakRun::End::Cut, Seconds(2), "i-3");
  REQUIRE(fate() == SoakFate::Lost);
}

TEST_CASE_METHOD(SoakFateFixture,
                 "soak fate, of a request whose endpoint's path was cut, is "
                 "excused") {
  run(SoakRun::End::Cut, Seconds(2));
  Record_.beginDisruption("i-2", Start_);
  REQUIRE(fate() == SoakFate::Lost);
  Record_.beginDisruption(Endpoint, Start_);
  REQUIRE(fate() == SoakFate::PathCut);
}

TEST_CASE_METHOD(SoakFateFixture,
                 "soak fate, of a request at work when the stop bound ends, is "
                 "excused if it was sent soon after the signal") {
  Record_.stopSignal("entry-1#2", Start_ - Seconds(3) - Milliseconds(500));
  Outcome_.EndedAt_ = Start_ + Seconds(2);
  run(SoakRun::End::Cut, Seconds(2));
  REQUIRE(fate() == SoakFate::Lost);
  Request_.SentAt_ = Start_ - Seconds(1);
  REQUIRE(fate() == SoakFate::StopBoundReached);
  // A second signal does not end the stop bound sooner.
  Record_.stopSignal("entry-1#2", Start_ - Seconds(1));
  Outcome_.EndedAt_ = Start_;
  REQUIRE(fate() == SoakFate::Lost);
}

TEST_CASE_METHOD(SoakFateFixture,
                 "soak fate, of a request that reached its route's timeout, is "
                 "excused") {
  run(SoakRun::End::Cut, Seconds(8));
  Outcome_.EndedAt_ = Start_ + Seconds(8) - Milliseconds(1);
  REQUIRE(fate() == SoakFate::Lost);
  Outcome_.EndedAt_ = Start_ + Seconds(8);
  REQUIRE(fate() == SoakFate::DeadlineReached);
}
