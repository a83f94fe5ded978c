#include "hawthornroad/routing/RetryBudget.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
const ServiceName S("copywriter-lm");

// Retries granted over Length when every request of a steady Rate fails and
// every failure asks for a retry.
std::size_t granted(double Rate, Seconds Length) {
  RetryBudget B({.Share_ = 0.1, .Floor_ = 1.0});
  TimePoint Now{Seconds(500)};
  auto Gap = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / Rate));
  std::size_t Out = 0;
  for (TimePoint End = Now + Length; Now < End; Now += Gap) {
    B.noteRequest(S, Now);
    Out += B.take(S, Now) ? 1 : 0;
  }
  return Out;
}
} // namespace

TEST_CASE("retry budget, when everything fails, gives the larger of share and "
          "floor",
          "[retry]") {
  struct Row {
    double Rate_;
    std::size_t Least_, Most_;
  };
  // 100 s; the floor alone is 100, a tenth of the traffic 10 * Rate.
  for (Row R : {Row{0.5, 40, 50}, Row{2, 90, 105}, Row{11, 100, 115},
                Row{50, 480, 510}, Row{1000, 9800, 10100}}) {
    std::size_t N = granted(R.Rate_, Seconds(100));
    CAPTURE(R.Rate_, N);
    REQUIRE(N >= R.Least_);
    REQUIRE(N <= R.Most_);
  }
}

TEST_CASE("retry budget, after a busy time, fades with the window", "[retry]") {
  RetryBudget B;
  TimePoint Now{Seconds(500)};
  for (int I = 0; I < 1000; ++I)
    B.noteRequest(S, Now);
  Now += Seconds(60);
  std::size_t Granted = 0;
  while (B.take(S, Now))
    ++Granted;
  REQUIRE(Granted <= 1);
}

TEST_CASE("retry budget, with time standing or going back, earns nothing",
          "[retry]") {
  RetryBudget B;
  TimePoint Now{Seconds(500)};
  REQUIRE(B.take(S, Now));
  REQUIRE_FALSE(B.take(S, Now));
  REQUIRE_FALSE(B.take(S, Now - Seconds(100)));
  REQUIRE(B.take(ServiceName("panel-api"), Now));
}
