// Which requests an engine's agent grants a place, when many entries see the
// same engine idle at the same moment.

#include "hawthornroad/staging/PlaceGrants.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};

struct GrantsFixture {
  PlaceGrants Grants_;
  // Twelve requests at once; a typical prompt is processed in 55 ms.
  PlaceGrants::Pace Pace_{.Places_ = 12, .Reading_ = Milliseconds(55)};

  unsigned granted(unsigned Asked, TimePoint Now,
                   PlaceKind Kind = PlaceKind::First) {
    unsigned Out = 0;
    for (unsigned I = 0; I < Asked; ++I)
      Out += Grants_.ask(Kind, Pace_, Now) ? 1 : 0;
    return Out;
  }
};
} // namespace

// Forty entries see one engine idle, after a load or when many requests have
// ended. Each would send to it on its own view, and the last requests would
// start two seconds later. The agent admits only what can be processed soon.
TEST_CASE_METHOD(GrantsFixture,
                 "place grants, asked by forty entries at once, admit what "
                 "is processed soon",
                 "[staging]") {
  Grants_.onReport(4, 0, Start);
  REQUIRE(granted(40, Start) == 2);
  // The granted requests are running; the report shows them.
  Grants_.onReport(6, 0, Start + Milliseconds(120));
  REQUIRE(granted(40, Start + Milliseconds(120)) == 2);
}

TEST_CASE_METHOD(GrantsFixture,
                 "place grants, with one place left, grant it once",
                 "[staging]") {
  Grants_.onReport(11, 0, Start);
  REQUIRE(granted(40, Start) == 1);
}

// A request in transit is in no report yet: a report asked for before it can
// have arrived must not free its place.
TEST_CASE_METHOD(GrantsFixture,
                 "place grants, reported before a granted request can have "
                 "arrived, count its place as taken",
                 "[staging]") {
  Grants_.onReport(11, 0, Start);
  REQUIRE(granted(1, Start + Milliseconds(1)) == 1);
  Grants_.onReport(11, 0, Start + Milliseconds(5));
  REQUIRE(granted(1, Start + Milliseconds(6)) == 0);
}

TEST_CASE_METHOD(GrantsFixture,
                 "place grants, when a granted request never arrives, grant "
                 "its place again",
                 "[staging]") {
  Grants_.onReport(11, 0, Start);
  REQUIRE(granted(1, Start) == 1);
  Grants_.onReport(11, 0, Start + Milliseconds(30));
  REQUIRE(granted(1, Start + Milliseconds(30)) == 1);
}

TEST_CASE_METHOD(GrantsFixture,
                 "place grants, by kind of request, keep places for those "
                 "that lose most",
                 "[staging]") {
  struct Row {
    unsigned Running_;
    PlaceKind Kind_;
    bool IsGranted_;
  };
  for (const Row &R : std::vector<Row>{{8, PlaceKind::Late, true},
                                       {9, PlaceKind::Late, false},
                                       {9, PlaceKind::First, true},
                                       {12, PlaceKind::First, false},
                                       {12, PlaceKind::Resumed, true},
                                       {14, PlaceKind::Resumed, false}}) {
    CAPTURE(R.Running_, static_cast<int>(R.Kind_));
    PlaceGrants Each;
    Each.onReport(R.Running_, 0, Start);
    REQUIRE(Each.ask(R.Kind_, Pace_, Start) == R.IsGranted_);
  }
}

TEST_CASE_METHOD(GrantsFixture,
                 "place grants, with an old report or none, ask the engine "
                 "first",
                 "[staging]") {
  REQUIRE_FALSE(Grants_.isFresh(Start));
  Grants_.onReport(1, 0, Start);
  REQUIRE(Grants_.isFresh(Start + Milliseconds(10)));
  REQUIRE_FALSE(Grants_.isFresh(Start + Milliseconds(30)));
}

// A queue that is usually read in 60 ms takes 150 ms at a slow engine. A figure
// of an engine that no longer answers must not keep it out.
TEST_CASE_METHOD(GrantsFixture,
                 "place grants, with an engine that states to be slow, count "
                 "the time that its queue takes now",
                 "[staging][speed]") {
  auto Ask = [&](TimePoint Now) {
    return Grants_.ask(PlaceKind::First, Pace_, Now, Milliseconds(60));
  };
  SECTION("slow now") {
    Grants_.onReport(4, 0, Start, 2.5);
    REQUIRE(Ask(Start));
    REQUIRE_FALSE(Ask(Start));
  }
  SECTION("usual, faster or not stated") {
    for (std::optional<double> Stated :
         {std::optional<double>(1), std::optional<double>(0.2),
          std::optional<double>()}) {
      PlaceGrants Each;
      Each.onReport(4, 0, Start, Stated);
      for (bool IsGranted : {true, true, false})
        REQUIRE(Each.ask(PlaceKind::First, Pace_, Start, Milliseconds(60)) ==
                IsGranted);
    }
  }
  SECTION("slow when it last answered") {
    Grants_.onReport(4, 0, Start, 2.5);
    TimePoint Later = Start + EndpointSpeed::FreshFor + Milliseconds(1);
    REQUIRE(Ask(Later));
    REQUIRE(Ask(Later));
  }
  SECTION("slow in every report, for seconds, and idle") {
    unsigned Granted = 0;
    for (int Ms = 0; Ms < 5000; Ms += 100) {
      TimePoint Now = Start + Milliseconds(Ms);
      Grants_.onReport(4, 0, Now, 2.5);
      Granted += Ask(Now) ? 1 : 0;
    }
    REQUIRE(Granted == 50);
  }
  SECTION("absurdly slow") {
    Grants_.onReport(4, 0, Start, 1e6);
    REQUIRE(Ask(Start));
    REQUIRE_FALSE(Ask(Start));
  }
}

// Guards against requests that wait behind two long prompts taken for typical
// ones, and against an engine that stays idle behind two short ones.
TEST_CASE_METHOD(GrantsFixture,
                 "place grants, with prompts of very different lengths, count "
                 "the time to read them",
                 "[staging]") {
  Grants_.onReport(4, 0, Start);
  auto Ask = [&](int Ms) {
    return Grants_.ask(PlaceKind::First, Pace_, Start, Milliseconds(Ms));
  };
  SECTION("long ones") {
    REQUIRE(Ask(120));
    REQUIRE_FALSE(Ask(10));
  }
  SECTION("short ones") {
    for (int I = 0; I < 8; ++I)
      REQUIRE(Ask(12));
    // All places are taken.
    REQUIRE_FALSE(Ask(12));
  }
  SECTION("a long one that the engine reports as waiting") {
    REQUIRE(Ask(20));
    REQUIRE(Ask(120));
    TimePoint Later = Start + Milliseconds(30);
    Grants_.onReport(5, 1, Later);
    REQUIRE(Grants_.queuedReading(Pace_) == Milliseconds(120));
    REQUIRE_FALSE(
        Grants_.ask(PlaceKind::First, Pace_, Later, Milliseconds(10)));
    Grants_.onReport(6, 0, Later + Milliseconds(20));
    REQUIRE(Grants_.queuedReading(Pace_) == Duration::zero());
  }
  SECTION("one that it reports as waiting and that was not granted here") {
    Grants_.onReport(4, 1, Start);
    REQUIRE(Grants_.queuedReading(Pace_) == Pace_.Reading_);
  }
}
