// How many requests may be sent for one health answer, and for how long.

#include "hawthornroad/traffic/HealthCredits.h"
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
constexpr double Arrivals = 27.5;

struct CreditFixture {
  HealthCredits Credits_{{}};
  EndpointStart E_{EndpointId("i-1"), 1};

  // Requests that may be sent now, at most Most.
  unsigned spend(TimePoint Now, unsigned Most) {
    unsigned Out = 0;
    for (; Out < Most && Credits_.has(E_, Now); ++Out)
      Credits_.spend(E_);
    return Out;
  }
};
} // namespace

// Guards against entries that each send little for their last answer, and too
// much together.
TEST_CASE_METHOD(CreditFixture,
                 "health credits, of entries that share an endpoint, permit a "
                 "part of its arrivals to all of them",
                 "[cold]") {
  auto [Entries, Quota] = GENERATE(table<unsigned, unsigned>(
      {{0, 1}, {1, 9}, {2, 4}, {3, 3}, {9, 1}, {300, 1}}));
  CAPTURE(Entries);
  if (Entries > 0)
    Credits_.noteEntries(Entries);
  CHECK(Credits_.quota(Arrivals) == Quota);
  Credits_.noteAnswer(E_, Arrivals, Start);
  CHECK(spend(Start, 100) == Quota);
  CHECK_FALSE(Credits_.has(E_, Start));
}

TEST_CASE_METHOD(CreditFixture,
                 "health credits, of an answer that is old, cold or of another "
                 "start, permit nothing",
                 "[cold]") {
  Credits_.noteEntries(1);
  CHECK_FALSE(Credits_.has(E_, Start));
  Credits_.noteAnswer(E_, Arrivals, Start);
  CHECK(Credits_.has(E_, Start + Milliseconds(999)));
  CHECK_FALSE(Credits_.has(E_, Start + Seconds(1)));
  CHECK_FALSE(Credits_.has({E_.Id_, 2}, Start));
  Credits_.noteAnswer(E_, 0, Start);
  CHECK_FALSE(Credits_.has(E_, Start));
}

TEST_CASE_METHOD(CreditFixture,
                 "health credits, of an endpoint that does not answer, permit "
                 "nothing and have it read again later",
                 "[cold]") {
  Credits_.noteEntries(1);
  CHECK(Credits_.mayCheck(E_, Start));
  Credits_.noteAnswer(E_, Arrivals, Start);
  Credits_.noteSilent(E_, Start);
  CHECK_FALSE(Credits_.has(E_, Start));
  CHECK(Credits_.hasAnswered(E_));
  CHECK_FALSE(Credits_.mayCheck(E_, Start + Milliseconds(499)));
  CHECK(Credits_.mayCheck(E_, Start + Milliseconds(500)));
}

// Guards against requests that wait for an answer which could have been there.
TEST_CASE_METHOD(
    CreditFixture,
    "health credits, half used, are to be renewed where they permit "
    "more than one request",
    "[cold]") {
  Credits_.noteEntries(2);
  Credits_.noteAnswer(E_, Arrivals, Start);
  CHECK_FALSE(Credits_.isLow(E_));
  spend(Start, 2);
  CHECK(Credits_.isLow(E_));
  Credits_.noteEntries(300);
  Credits_.noteAnswer(E_, Arrivals, Start);
  spend(Start, 1);
  CHECK_FALSE(Credits_.isLow(E_));
}
