#include "hawthornroad/routing/LoadEstimate.h"
#include "hawthornroad/routing/ConcurrencyWindow.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace hawthornroad;

namespace {
struct LoadFixture {
  LoadEstimate L_;
  TimePoint Now_{Seconds(1000)};
  void begin(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      L_.dispatched(Now_);
  }
  // Reports each second the attempts of this entry and the others.
  void reportFor(Seconds Length, double Others) {
    for (TimePoint End = Now_ + Length; Now_ < End; Now_ += Seconds(1))
      L_.report(Others + double(L_.own()), Now_);
  }
};
} // namespace

TEST_CASE_METHOD(LoadFixture, "own attempts, once reported, count once",
                 "[load]") {
  begin(4);
  REQUIRE(L_.total(Now_, 0) == 4);
  Now_ += Seconds(20);
  reportFor(Seconds(20), 0);
  REQUIRE(L_.total(Now_, 0) == Approx(4).margin(0.1));
  reportFor(Seconds(300), 3);
  REQUIRE(L_.total(Now_, 0) == Approx(7).margin(0.1));
}

TEST_CASE_METHOD(LoadFixture,
                 "own attempts, ended since a late report, are not the others'",
                 "[load]") {
  begin(8);
  Now_ += Seconds(20);
  for (int I = 0; I < 8; ++I)
    L_.finished(Now_);
  L_.report(8, Now_); // made before they ended
  REQUIRE(L_.total(Now_, 0) == Approx(0).margin(0.1));
  L_.finished(Now_);
  REQUIRE(L_.own() == 0);
}

TEST_CASE_METHOD(LoadFixture,
                 "others' load, when reports stop, converges to the typical",
                 "[load]") {
  struct Row {
    Seconds Silent_;
    double Least_, Most_;
  };
  reportFor(Seconds(10), 8);
  TimePoint Last = Now_;
  for (Row R : {Row{Seconds(1), 7.9, 8.1}, Row{Seconds(10), 3.5, 7.0},
                Row{Seconds(60), 1.9, 2.1}}) {
    double Others = L_.others(Last + R.Silent_, 2);
    REQUIRE(Others >= R.Least_);
    REQUIRE(Others <= R.Most_);
  }
  L_.forgetReports();
  REQUIRE(L_.others(Now_, 2) == 2);
}

TEST_CASE("window, without refusals, bounds nothing", "[load]") {
  ConcurrencyWindow W;
  for (int I = 0; I < 100; ++I)
    W.answered(I);
  REQUIRE(W.allows(1e6));
}

TEST_CASE("window, refused over and over, keeps one attempt", "[load]") {
  ConcurrencyWindow W;
  for (int I = 0; I < 100; ++I)
    W.refused(50);
  REQUIRE(W.allows(0));
  REQUIRE_FALSE(W.allows(1));
}

TEST_CASE("windows, of unequal entries, even out under common refusals",
          "[load]") {
  // Two entries share 100 places and use their whole windows; when their sum
  // exceeds the places, each is refused in proportion to its attempts.
  ConcurrencyWindow Large, Small;
  Large.refused(60);
  Small.refused(4);
  auto Difference = [&] { return Large.size() - Small.size(); };
  const double Before = Difference();
  double LargeShare = 0, SmallShare = 0;
  for (int I = 0; I < 20000; ++I) {
    double Both = Large.size() + Small.size();
    auto Step = [&](ConcurrencyWindow &W, double &Due) {
      Due += W.size() / Both;
      if (Due < 1)
        return;
      Due -= 1;
      if (Both > 100)
        W.refused(W.size());
      else
        W.answered(W.size());
    };
    Step(Large, LargeShare);
    Step(Small, SmallShare);
  }
  REQUIRE(Large.size() + Small.size() == Approx(100).margin(5));
  REQUIRE(Difference() < Before / 2);
}

TEST_CASE("window, holding requests back at any size, grows", "[load]") {
  // Guards against a window that never grows again after a burst has shrunk it.
  // With a fractional window the attempts in progress can be well below its
  // size although one more is not allowed. If such a window is taken as not
  // limiting, its entry keeps callers waiting forever while endpoints are idle.
  for (double InProgress = 1; InProgress < 30; ++InProgress) {
    ConcurrencyWindow W;
    for (double Step = 0; Step < 50; ++Step) {
      W.refused(InProgress);
      double Held = std::floor(W.size());
      double Before = W.size();
      REQUIRE_FALSE(W.allows(Held));
      W.answered(Held);
      REQUIRE(W.size() > Before);
    }
  }
}
