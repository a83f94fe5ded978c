// Which requests an engine's agent gives a place. The load: many entries that
// see the same engine empty at the same moment.

#include "hawthornroad/staging/PlaceGrants.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};

struct GrantsFixture {
  PlaceGrants Grants_;
  // Twelve requests at once; a usual prompt is read in 55 ms.
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

// Forty entries see one engine free, after a load or an end of many requests.
// Each by its own view sends there; the last ones are begun two seconds later.
// The agent lets in what can be read soon and no more.
TEST_CASE_METHOD(GrantsFixture,
                 "place grants, asked by forty entries at once, let in what is "
                 "read soon",
                 "[staging]") {
  Grants_.reported(4, 0, Start);
  REQUIRE(granted(40, Start) == 2);
  // They are being read; the report shows it.
  Grants_.reported(6, 0, Start + Milliseconds(120));
  REQUIRE(granted(40, Start + Milliseconds(120)) == 2);
}

TEST_CASE_METHOD(GrantsFixture,
                 "place grants, with one place left, give it once",
                 "[staging]") {
  Grants_.reported(11, 0, Start);
  REQUIRE(granted(40, Start) == 1);
}

// A request that is on its way is in no report yet: a report asked for before
// it can have arrived must not free its place.
TEST_CASE_METHOD(GrantsFixture,
                 "place grants, reported before a granted request can have "
                 "arrived, count its place as taken",
                 "[staging]") {
  Grants_.reported(11, 0, Start);
  REQUIRE(granted(1, Start + Milliseconds(1)) == 1);
  Grants_.reported(11, 0, Start + Milliseconds(5));
  REQUIRE(granted(1, Start + Milliseconds(6)) == 0);
}

TEST_CASE_METHOD(GrantsFixture,
                 "place grants, when a granted request never comes, give its "
                 "place again",
                 "[staging]") {
  Grants_.reported(11, 0, Start);
  REQUIRE(granted(1, Start) == 1);
  Grants_.reported(11, 0, Start + Milliseconds(30));
  REQUIRE(granted(1, Start + Milliseconds(30)) == 1);
}

TEST_CASE_METHOD(GrantsFixture,
                 "place grants, by who asks, leave places to those who lose "
                 "most",
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
    Each.reported(R.Running_, 0, Start);
    REQUIRE(Each.ask(R.Kind_, Pace_, Start) == R.IsGranted_);
  }
}

TEST_CASE_METHOD(GrantsFixture,
                 "place grants, with an old report or none, ask the engine "
                 "first",
                 "[staging]") {
  REQUIRE_FALSE(Grants_.isFresh(Start));
  Grants_.reported(1, 0, Start);
  REQUIRE(Grants_.isFresh(Start + Milliseconds(10)));
  REQUIRE_FALSE(Grants_.isFresh(Start + Milliseconds(30)));
}
