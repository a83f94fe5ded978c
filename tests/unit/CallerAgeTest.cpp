// Which requests have been here before, told by the time their callers name,
// and when refused callers are told to come back.

#include "hawthornroad/traffic/CallerAge.h"
#include "hawthornroad/traffic/Overload.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
const std::string Route = "draft";

struct AgesFixture {
  CallerAge Ages_;
  TimePoint Now_ = Start;

  Duration note(std::int64_t Ms, bool IsCalm) {
    Now_ += Milliseconds(20);
    return Ages_.note(Route, Milliseconds(Ms), IsCalm, Now_);
  }
  // First requests of callers that name between Least and Most.
  void calm(std::int64_t Least, std::int64_t Most, unsigned Count) {
    for (unsigned I = 0; I < Count; ++I)
      note(Least + (Most - Least) * (I % 10) / 9, true);
  }
};
} // namespace

TEST_CASE_METHOD(AgesFixture,
                 "caller age, where all first requests name one time, tells "
                 "what has gone of a shorter one",
                 "[traffic]") {
  calm(6000, 6000, 20);
  REQUIRE(note(6000, false) == Duration::zero());
  REQUIRE(note(5400, false) == Milliseconds(600));
}

TEST_CASE_METHOD(AgesFixture,
                 "caller age, where first requests differ, takes only what is "
                 "shorter than all of them for come back",
                 "[traffic]") {
  calm(5100, 6000, 40);
  for (std::int64_t Ms : {5200, 5500, 6000}) {
    CAPTURE(Ms);
    REQUIRE(note(Ms, false) == Duration::zero());
  }
  REQUIRE(note(4200, false) == Milliseconds(1800));
}

// An entry that starts while callers are being refused sees first requests and
// others mixed. Were it to learn from these, every caller would seem to be a
// first one, or, with a stray long time, none.
TEST_CASE_METHOD(AgesFixture,
                 "caller age, started in an overload, takes only clearly "
                 "shorter times for come back",
                 "[traffic]") {
  for (int I = 0; I < 20; ++I) {
    note(6000, false);
    REQUIRE(note(5000, false) == Duration::zero());
    REQUIRE(note(4200, false) == Milliseconds(1800));
  }
}

TEST_CASE_METHOD(AgesFixture,
                 "caller age, given a few strays in calm times, keeps the "
                 "least of the others",
                 "[traffic]") {
  calm(5100, 6000, 60);
  note(900, true);
  REQUIRE(note(5200, false) == Duration::zero());
  REQUIRE(note(4200, false) > Duration::zero());
}

TEST_CASE_METHOD(AgesFixture,
                 "caller age, when callers of a route name other times, learns "
                 "them anew",
                 "[traffic]") {
  calm(6000, 6000, 64);
  calm(3000, 3000, 64);
  REQUIRE(note(3000, false) == Duration::zero());
}

TEST_CASE("overload, the longer it has lasted, is expected to last the longer",
          "[traffic]") {
  Overload O;
  REQUIRE_FALSE(O.isOn(Start));
  for (int Ms = 0; Ms <= 4000; Ms += 500)
    O.refused(Start + Milliseconds(Ms));
  REQUIRE(O.lasts(Start + Seconds(4)) == Seconds(4));
  TimePoint After = Start + Seconds(4) + Overload::Quiet;
  REQUIRE_FALSE(O.isOn(After));
  O.refused(After);
  REQUIRE(O.lasts(After) == Duration::zero());
}
