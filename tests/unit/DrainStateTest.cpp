#include "hawthornroad/routing/DrainState.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
struct DrainFixture {
  DrainState Drain_{drainChart(CHARTS_DIR),
                    {.Limit_ = Seconds(60),
                     .Linger_ = Seconds(5),
                     .MinLinger_ = Milliseconds(300)}};
  TimePoint Now_ = TimePoint() + Seconds(10);

  DrainActions pass(Duration Step, DrainState::Work Work) {
    Now_ += Step;
    return Drain_.tick(Work, Now_);
  }
};
const DrainActions Nothing;
} // namespace

TEST_CASE_METHOD(DrainFixture,
                 "drain, with attempts running, waits for them and for their "
                 "answers",
                 "[drain]") {
  REQUIRE(pass(Seconds(100), {}) == Nothing);
  REQUIRE(Drain_.isServing());
  REQUIRE(Drain_.stop(Now_) == DrainActions{DrainAction::Publish});
  REQUIRE_FALSE(Drain_.isServing());
  REQUIRE(Drain_.stop(Now_) == Nothing);
  REQUIRE(pass(Seconds(59), {1, 1}) == Nothing);
  REQUIRE(pass(Milliseconds(20), {0, 1}) == Nothing);
  REQUIRE(Drain_.name() == "lingering");
  REQUIRE(pass(Seconds(1), {0, 1}) == Nothing);
  REQUIRE(pass(Milliseconds(20), {0, 0}) == DrainActions{DrainAction::Leave});
  REQUIRE(Drain_.hasLeft());
  REQUIRE(Drain_.stop(Now_) == Nothing);
}

TEST_CASE_METHOD(DrainFixture, "drain, at its limits, gives up and leaves",
                 "[drain]") {
  Drain_.stop(Now_);
  REQUIRE(pass(Seconds(60), {2, 0}) ==
          DrainActions{DrainAction::GiveUpAttempts});
  REQUIRE(pass(Milliseconds(299), {0, 0}) == Nothing);
  REQUIRE(pass(Milliseconds(4700), {0, 3}) == Nothing);
  REQUIRE(pass(Milliseconds(1), {0, 3}) == DrainActions{DrainAction::Leave});
}
