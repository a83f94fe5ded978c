// Detection of retries by the time that callers state, and the retry delay of
// refused callers.

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

  Duration note(std::int64_t Ms, bool NoRefusals) {
    Now_ += Milliseconds(20);
    return Ages_.note(Route, Milliseconds(Ms), NoRefusals, Now_);
  }
  // First requests of callers that state between Least and Most.
  void noteFirstRequests(std::int64_t Least, std::int64_t Most,
                         unsigned Count) {
    for (unsigned I = 0; I < Count; ++I)
      note(Least + (Most - Least) * (I % 10) / 9, true);
  }
};
} // namespace

TEST_CASE_METHOD(AgesFixture,
                 "caller age, when all first requests state one time, returns "
                 "the elapsed time of a shorter one",
                 "[traffic]") {
  noteFirstRequests(6000, 6000, 20);
  REQUIRE(note(6000, false) == Duration::zero());
  REQUIRE(note(5400, false) == Milliseconds(600));
}

TEST_CASE_METHOD(AgesFixture,
                 "caller age, when first requests differ, counts only requests "
                 "shorter than all of them as retries",
                 "[traffic]") {
  noteFirstRequests(5100, 6000, 40);
  for (std::int64_t Ms : {5200, 5500, 6000}) {
    CAPTURE(Ms);
    REQUIRE(note(Ms, false) == Duration::zero());
  }
  REQUIRE(note(4200, false) == Milliseconds(1800));
}

// Guards against learning the times of retries. An entry that starts while
// callers are being refused sees first requests and retries mixed. If it
// learned from them, every request would count as a first one or, with one
// stray long time, none.
TEST_CASE_METHOD(AgesFixture,
                 "caller age, started in an overload, counts only clearly "
                 "shorter times as retries",
                 "[traffic]") {
  for (int I = 0; I < 20; ++I) {
    note(6000, false);
    REQUIRE(note(5000, false) == Duration::zero());
    REQUIRE(note(4200, false) == Milliseconds(1800));
  }
}

TEST_CASE_METHOD(AgesFixture,
                 "caller age, given a few strays without refusals, keeps the "
                 "least of the others",
                 "[traffic]") {
  noteFirstRequests(5100, 6000, 60);
  note(900, true);
  REQUIRE(note(5200, false) == Duration::zero());
  REQUIRE(note(4200, false) > Duration::zero());
}

TEST_CASE_METHOD(AgesFixture,
                 "caller age, when callers of a route state other times, "
                 "learns the new times",
                 "[traffic]") {
  noteFirstRequests(6000, 6000, 64);
  noteFirstRequests(3000, 3000, 64);
  REQUIRE(note(3000, false) == Duration::zero());
}

TEST_CASE("overload, the longer it has lasted, is expected to last the longer",
          "[traffic]") {
  Overload O;
  REQUIRE_FALSE(O.isActive(Start));
  for (int Ms = 0; Ms <= 4000; Ms += 500)
    O.refused(Start + Milliseconds(Ms));
  REQUIRE(O.elapsed(Start + Seconds(4)) == Seconds(4));
  TimePoint After = Start + Seconds(4) + Overload::QuietPeriod;
  REQUIRE_FALSE(O.isActive(After));
  O.refused(After);
  REQUIRE(O.elapsed(After) == Duration::zero());
}
