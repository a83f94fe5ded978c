// How many requests may be sent for one health answer, and for how long.

#include "hawthornroad/traffic/WarmProofs.h"
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
constexpr double Arrivals = 27.5;

struct ProofFixture {
  WarmProofs Proofs_{{}};
  EndpointStart E_{EndpointId("i-1"), 1};

  // Requests that may be sent now, at most Most.
  unsigned spend(TimePoint Now, unsigned Most) {
    unsigned Out = 0;
    for (; Out < Most && Proofs_.permits(E_, Now); ++Out)
      Proofs_.take(E_);
    return Out;
  }
};
} // namespace

// Guards against entries that each send little for their last answer, and too
// much together.
TEST_CASE_METHOD(ProofFixture,
                 "warm proofs, of entries that share an endpoint, permit a "
                 "part of its arrivals to all of them",
                 "[cold]") {
  auto [Entries, Quota] = GENERATE(table<unsigned, unsigned>(
      {{0, 1}, {1, 9}, {2, 4}, {3, 3}, {9, 1}, {300, 1}}));
  CAPTURE(Entries);
  if (Entries > 0)
    Proofs_.noteEntries(Entries);
  CHECK(Proofs_.quota(Arrivals) == Quota);
  Proofs_.prove(E_, Arrivals, Start);
  CHECK(spend(Start, 100) == Quota);
  CHECK_FALSE(Proofs_.permits(E_, Start));
}

TEST_CASE_METHOD(ProofFixture,
                 "warm proofs, of an answer that is old, cold or of another "
                 "start, permit nothing",
                 "[cold]") {
  Proofs_.noteEntries(1);
  CHECK_FALSE(Proofs_.permits(E_, Start));
  Proofs_.prove(E_, Arrivals, Start);
  CHECK(Proofs_.permits(E_, Start + Milliseconds(999)));
  CHECK_FALSE(Proofs_.permits(E_, Start + Seconds(1)));
  CHECK_FALSE(Proofs_.permits({E_.Id_, 2}, Start));
  Proofs_.prove(E_, 0, Start);
  CHECK_FALSE(Proofs_.permits(E_, Start));
}

TEST_CASE_METHOD(ProofFixture,
                 "warm proofs, of an endpoint that does not answer, permit "
                 "nothing and have it read again later",
                 "[cold]") {
  Proofs_.noteEntries(1);
  CHECK(Proofs_.mayRead(E_, Start));
  Proofs_.prove(E_, Arrivals, Start);
  Proofs_.noteSilent(E_, Start);
  CHECK_FALSE(Proofs_.permits(E_, Start));
  CHECK(Proofs_.hasAnswered(E_));
  CHECK_FALSE(Proofs_.mayRead(E_, Start + Milliseconds(499)));
  CHECK(Proofs_.mayRead(E_, Start + Milliseconds(500)));
}

// Guards against requests that wait for an answer which could have been there.
TEST_CASE_METHOD(ProofFixture,
                 "warm proofs, half used, are to be renewed where they permit "
                 "more than one request",
                 "[cold]") {
  Proofs_.noteEntries(2);
  Proofs_.prove(E_, Arrivals, Start);
  CHECK_FALSE(Proofs_.isLow(E_));
  spend(Start, 2);
  CHECK(Proofs_.isLow(E_));
  Proofs_.noteEntries(300);
  Proofs_.prove(E_, Arrivals, Start);
  spend(Start, 1);
  CHECK_FALSE(Proofs_.isLow(E_));
}
