// Detecting that a store is reachable again after an outage.

#include "hawthornroad/store/StoreProbe.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
} // namespace

TEST_CASE("store probe, while the store is unreachable and silent, is due at "
          "its interval",
          "[relay]") {
  StoreProbe P;
  REQUIRE_FALSE(P.isDue(false, false, Start));
  REQUIRE_FALSE(P.isDue(true, true, Start));
  REQUIRE(P.isDue(true, false, Start));
  P.send(0, Start);
  REQUIRE_FALSE(
      P.isDue(true, false, Start + StoreProbe::Interval - Milliseconds(1)));
  REQUIRE(P.isDue(true, false, Start + StoreProbe::Interval));
}

// Guards against discarding a long answer while it arrives, and against waiting
// for an answer that was lost in a network cut.
TEST_CASE(
    "store probe, when it is answered, resends only calls that have been lost",
    "[relay]") {
  struct Row {
    std::string Name_;
    Duration SentBefore_;
    std::uint64_t Received_;
    bool IsStale_;
  };
  for (const Row &R : std::vector<Row>{
           {"sent in the cut", Milliseconds(600), 300, true},
           {"its answer is arriving", Milliseconds(600), 60000, false},
           {"sent just before", Milliseconds(100), 300, false},
           {"sent after", -Milliseconds(50), 300, false}}) {
    CAPTURE(R.Name_);
    StoreProbe P;
    StoreProbe::Sent First = P.send(1000, Start);
    P.send(1000, Start + StoreProbe::Interval);
    REQUIRE(First.shouldResend(Start - R.SentBefore_, 1000 + R.Received_) ==
            R.IsStale_);
  }
}
