// Requests must not be decided by a configuration that may no longer be in
// force, whatever caused the delay.

#include "hawthornroad/traffic/ConfigFence.h"

#include "hawthornroad/base/Random.h"
#include "tests/unit/TrafficFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
using State = ConfigFence::State;

struct FenceFixture {
  ConfigFence::Options O_{.ProofValidity_ = Milliseconds(2400),
                          .UnreachableAfter_ = Milliseconds(1000),
                          .CatchUp_ = Milliseconds(1500),
                          .ContactMemory_ = Milliseconds(6000)};
  ConfigFence Fence_{O_};

  FenceFixture() { Fence_.prove(Start, Start); }
  void reachedAt(std::initializer_list<int> Ms) {
    for (int Each : Ms)
      Fence_.reached(Start + Milliseconds(Each));
  }
  State at(int Ms) const { return Fence_.state(Start + Milliseconds(Ms)); }
};
} // namespace

TEST_CASE_METHOD(FenceFixture,
                 "config fence, with a proof younger than the bound, permits "
                 "everything",
                 "[traffic]") {
  REQUIRE(at(2399) == State::Current);
  REQUIRE(Fence_.permitsDenial(Start + Milliseconds(2399)));
  REQUIRE(Fence_.age(Start + Seconds(1)) == Duration(Seconds(1)));
}

// Guards against decisions by an old configuration while the store is reached.
TEST_CASE_METHOD(FenceFixture,
                 "config fence, with the store reached but no proof within the "
                 "bound, permits nothing until there is one",
                 "[traffic]") {
  reachedAt({500, 1000, 1500, 2000, 2300});
  REQUIRE(at(2400) == State::Behind);
  reachedAt({2500});
  REQUIRE(at(2501) == State::Behind);
  SECTION("another expired proof changes nothing") {
    Fence_.prove(Start + Milliseconds(100), Start + Milliseconds(2600));
    REQUIRE(at(2600) == State::Behind);
  }
  SECTION("a valid proof ends it") {
    Fence_.prove(Start + Milliseconds(2550), Start + Milliseconds(2600));
    REQUIRE(at(2600) == State::Current);
    REQUIRE(at(2550 + 2399) == State::Current);
    REQUIRE(at(2550 + 2400) == State::Isolated);
  }
}

// Guards against a zone that stops serving because it is partitioned.
TEST_CASE_METHOD(FenceFixture,
                 "config fence, without the store, permits requests but no "
                 "denial",
                 "[traffic]") {
  reachedAt({500, 900});
  REQUIRE(at(2400) == State::Isolated);
  REQUIRE(at(60000) == State::Isolated);
  REQUIRE(Fence_.permits(Start + Seconds(60)));
  REQUIRE_FALSE(Fence_.permitsDenial(Start + Seconds(60)));
}

TEST_CASE_METHOD(FenceFixture,
                 "config fence, when the store is reached again, permits "
                 "requests for the time that it has to catch up",
                 "[traffic]") {
  reachedAt({900, 5000});
  REQUIRE(at(5000) == State::CatchingUp);
  REQUIRE_FALSE(Fence_.permitsDenial(Start + Milliseconds(5000)));
  REQUIRE(at(5000 + 1499) == State::CatchingUp);
  REQUIRE(at(5000 + 1500) == State::Behind);
}

// Guards against a saturated link: answers arrive occasionally, and each could
// be taken for the store's return.
TEST_CASE_METHOD(FenceFixture,
                 "config fence, with intermittent answers, grants the time for "
                 "catching up once",
                 "[traffic]") {
  reachedAt({900, 5000, 6500, 8500, 12000});
  for (int Ms : {6500, 8500, 10000, 12000, 17999})
    REQUIRE(at(Ms) == State::Behind);
  Fence_.prove(Start + Milliseconds(17000), Start + Milliseconds(17100));
  REQUIRE(at(17100) == State::Current);
}

// Guards against a zone that is partitioned twice and does not serve in
// between.
TEST_CASE_METHOD(FenceFixture,
                 "config fence, behind when the store is lost again, permits "
                 "requests after a long time without answers",
                 "[traffic]") {
  reachedAt({900, 5000, 6400, 7000});
  REQUIRE(at(7000 + 5999) == State::Behind);
  REQUIRE(at(7000 + 6000) == State::Isolated);
  reachedAt({15000});
  REQUIRE(at(15000) == State::CatchingUp);
}

// Guards against an entry that counts its neighbours' last contact with the
// store as its own: it would refuse requests throughout a partition.
TEST_CASE_METHOD(
    FenceFixture,
    "config fence, given a time before its last contact, ignores it",
    "[traffic]") {
  reachedAt({900, 800, 300, 900});
  REQUIRE(at(2400) == State::Isolated);
}

TEST_CASE("config fence, for any bound, detects a partition before the last "
          "proof expires and has caught up within the bound",
          "[traffic]") {
  for (int Ms : {500, 2000, 3000, 4000, 10000}) {
    Duration Bound = Milliseconds(Ms);
    ConfigFence::Options O = ConfigFence::optionsFor(Bound);
    CAPTURE(Ms);
    REQUIRE(O.ProofValidity_ < Bound);
    REQUIRE(O.UnreachableAfter_ < O.ProofValidity_);
    REQUIRE(O.CatchUp_ < Bound);
    REQUIRE(O.ContactMemory_ > Bound);
  }
}

// Covers the class of faults rather than one cause: answers and proofs are
// delayed at random between two outages of the store. Whenever the store was
// reached within UnreachableAfter_ and has been reached for CatchUp_, a request
// is decided by a configuration that was in force within the bound, or refused.
TEST_CASE("config fence, under any network delays, never permits a "
          "configuration older than the bound while the store is reached",
          "[traffic]") {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    CAPTURE(Seed);
    Random R(Seed);
    FenceFixture F;
    TimePoint Proven = Start;
    std::optional<TimePoint> ReachedSince;
    TimePoint LastReached{};
    for (int Ms = 0; Ms < 60000; Ms += 50) {
      TimePoint Now = Start + Milliseconds(Ms);
      bool IsPartitioned = Ms % 20000 >= 8000 && Ms % 20000 < 14000;
      if (!IsPartitioned && R.below(10) < 5) {
        if (!ReachedSince || Now - LastReached >= F.O_.UnreachableAfter_)
          ReachedSince = Now;
        LastReached = Now;
        F.Fence_.reached(Now);
      }
      if (!IsPartitioned && R.below(100) < 4) {
        TimePoint AsOf = Now - Milliseconds(R.below(5000));
        Proven = std::max(Proven, AsOf);
        F.Fence_.prove(AsOf, Now);
      }
      bool IsReached =
          ReachedSince && Now - LastReached < F.O_.UnreachableAfter_;
      bool HadTime = IsReached && Now - *ReachedSince >= F.O_.CatchUp_;
      if (HadTime && Now - Proven >= F.O_.ProofValidity_)
        REQUIRE_FALSE(F.Fence_.permits(Now));
      if (Now - Proven >= F.O_.ProofValidity_)
        REQUIRE_FALSE(F.Fence_.permitsDenial(Now));
      else
        REQUIRE(F.Fence_.permitsDenial(Now));
    }
  }
}

// Guards against an entry that is behind and answers 404 or 401, or serves
// callers by the former target of a route.
TEST_CASE("traffic core, behind the configuration in force, refuses requests "
          "that depend on it",
          "[traffic]") {
  struct Row {
    std::string Name_, Target_, Key_;
    bool IsReached_;
    unsigned Status_;
  };
  // After the bound on configurations and before the key lease expires.
  TimePoint Now = Start + Seconds(3);
  for (const Row &R : std::vector<Row>{
           {"a route, reached", "/safe/1", "key", true, 503},
           {"no route, reached", "/none/", "key", true, 503},
           {"unknown key, reached", "/safe/1", "other", true, 503},
           {"a route, cut off", "/safe/1", "key", false, 0},
           {"no route, cut off", "/none/", "key", false, 503},
           {"unknown key, cut off", "/safe/1", "other", false, 503}}) {
    CAPTURE(R.Name_);
    CoreFixture F;
    if (R.IsReached_)
      for (int Ms = 0; Ms <= 3000; Ms += 300)
        F.Core_.reached(Start + Milliseconds(Ms));
    CallNumber N = F.send(R.Target_, Now, R.Key_);
    if (R.Status_ == 0) {
      REQUIRE(F.Port_.Begun_.size() == 1);
      continue;
    }
    REQUIRE(F.Port_.Begun_.empty());
    REQUIRE(F.answerOf(N).Status_ == R.Status_);
    REQUIRE(F.answerOf(N).Cause_ == Cause::ConfigBehind);
    REQUIRE(F.answerOf(N).RetryAfter_ > Duration::zero());
    REQUIRE_FALSE(F.Port_.Reports_.back().MayHaveRun_);
  }
}
