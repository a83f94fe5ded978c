// From whom an entry hears of the store, while others are frozen, cut or dead.

#include "hawthornroad/store/SourceChoice.h"
#include "hawthornroad/entry/ZoneEntries.h"

#include <catch2/catch.hpp>
#include <set>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
const PeerAddress A("10.0.0.1:7700");
const PeerAddress B("10.0.0.2:7700");

struct SourceFixture {
  SourceChoice::Options O_;
  TimePoint Now_ = Start;
  SourceChoice C_{O_, Start};

  void pass(Duration D) {
    Now_ += D;
    C_.tick(Now_);
  }
};
} // namespace

TEST_CASE_METHOD(SourceFixture,
                 "source choice, first in its zone, reads the store at once",
                 "[relay]") {
  REQUIRE_FALSE(C_.readsStore());
  C_.setPreferred({}, Now_);
  REQUIRE(C_.readsStore());
  REQUIRE_FALSE(C_.next(true, Now_));
}

TEST_CASE_METHOD(SourceFixture,
                 "source choice, when the first one answers, follows it and "
                 "leaves the store alone",
                 "[relay]") {
  C_.setPreferred({A, B}, Now_);
  REQUIRE(C_.next(true, Now_) == A);
  C_.onAnswer(A, SourceHealth::Fresh, true, Now_);
  REQUIRE(C_.source() == A);
  pass(Seconds(60));
  REQUIRE_FALSE(C_.readsStore());
  REQUIRE(C_.next(true, Now_) == A);
}

TEST_CASE_METHOD(SourceFixture,
                 "source choice, at the start, goes to the next one when the "
                 "first is not there, and to the store when none is",
                 "[relay]") {
  C_.setPreferred({A, B}, Now_);
  C_.onFailure(A, Now_);
  REQUIRE_FALSE(C_.readsStore());
  REQUIRE(C_.next(true, Now_) == B);
  SECTION("the next one answers") {
    C_.onAnswer(B, SourceHealth::Fresh, true, Now_);
    REQUIRE(C_.source() == B);
  }
  SECTION("none answers") {
    C_.onFailure(B, Now_);
    REQUIRE(C_.readsStore());
  }
}

TEST_CASE_METHOD(SourceFixture,
                 "source choice, at the start with silent peers, reads the "
                 "store after its patience",
                 "[relay]") {
  C_.setPreferred({A}, Now_);
  pass(O_.SeekTimeout_ - Milliseconds(1));
  REQUIRE_FALSE(C_.readsStore());
  pass(Milliseconds(1));
  REQUIRE(C_.readsStore());
}

// The first entry of the zone freezes. Its followers are well and must have
// each change in time, so none waits for it; yet only the next ones in the
// order read the store, or a long configuration would fill the links.
TEST_CASE_METHOD(SourceFixture,
                 "source choice, when what its source told is aging, reads the "
                 "store as one of the first and seeks another as a later one",
                 "[relay]") {
  const PeerAddress C("10.0.0.3:7700");
  SECTION("second in the order") {
    C_.setPreferred({A}, Now_);
    C_.onAnswer(A, SourceHealth::Fresh, true, Now_);
    C_.onAging(Now_);
    REQUIRE(C_.readsStore());
    REQUIRE_FALSE(C_.next(true, Now_));
  }
  SECTION("fourth in the order") {
    C_.setPreferred({A, B, C}, Now_);
    C_.onAnswer(A, SourceHealth::Fresh, true, Now_);
    C_.onAging(Now_);
    REQUIRE_FALSE(C_.readsStore());
    REQUIRE_FALSE(C_.source());
    REQUIRE(C_.next(true, Now_) == B);
    SECTION("the next one knows more") {
      C_.onAnswer(B, SourceHealth::Fresh, false, Now_);
      REQUIRE(C_.source() == B);
    }
    SECTION("the next one is without the store as well") {
      C_.onAnswer(B, SourceHealth::Without, false, Now_);
      REQUIRE(C_.next(false, Now_) == C);
    }
    SECTION("none has answered until knowledge is too old") {
      C_.onStale(Now_);
      REQUIRE(C_.readsStore());
      pass(O_.TryAgain_);
      REQUIRE(C_.next(true, Now_) == B);
      C_.onAnswer(B, SourceHealth::Fresh, true, Now_);
      REQUIRE(C_.source() == B);
    }
  }
}

// All entries of a zone read a long configuration after an outage. Together
// they fill the link between regions, all are late, and each alone would be
// right to go on reading. One that yields to the first lets it be early.
TEST_CASE_METHOD(SourceFixture,
                 "source choice, when it reads and is late, yields to one "
                 "before it that is receiving, and reads again in time",
                 "[relay]") {
  C_.setPreferred({A, B}, Now_);
  C_.onStale(Now_);
  REQUIRE(C_.readsStore());
  pass(O_.TryAgainLate_);
  REQUIRE_FALSE(C_.next(true, Now_));
  REQUIRE(C_.next(false, Now_) == A);
  SECTION("late") {
    C_.onAnswer(A, SourceHealth::Receiving, false, Now_);
    REQUIRE_FALSE(C_.readsStore());
    REQUIRE(C_.next(false, Now_) == A);
    C_.onStale(Now_);
    REQUIRE_FALSE(C_.readsStore());
    SECTION("the other catches up") {
      C_.onAnswer(A, SourceHealth::Fresh, false, Now_);
      REQUIRE(C_.source() == A);
    }
    SECTION("the other does not") {
      pass(O_.SeekTimeout_);
      REQUIRE(C_.readsStore());
    }
  }
  SECTION("not late itself") {
    C_.onAnswer(A, SourceHealth::Receiving, true, Now_);
    REQUIRE(C_.readsStore());
  }
}

TEST_CASE_METHOD(SourceFixture,
                 "source choice, while its only source is itself without the "
                 "store, reads the store and does not follow",
                 "[relay]") {
  C_.setPreferred({A}, Now_);
  C_.onAnswer(A, SourceHealth::Fresh, true, Now_);
  C_.onAnswer(A, SourceHealth::Without, true, Now_);
  REQUIRE(C_.readsStore());
  pass(O_.TryAgain_);
  REQUIRE(C_.next(true, Now_) == A);
  C_.onAnswer(A, SourceHealth::Without, true, Now_);
  REQUIRE(C_.readsStore());
  pass(O_.TryAgain_);
  C_.onAnswer(A, SourceHealth::Fresh, true, Now_);
  REQUIRE(C_.source() == A);
}

TEST_CASE_METHOD(SourceFixture,
                 "source choice, when its source is no longer listed before "
                 "it, follows it no more",
                 "[relay]") {
  C_.setPreferred({A}, Now_);
  C_.onAnswer(A, SourceHealth::Fresh, true, Now_);
  C_.setPreferred({}, Now_);
  REQUIRE(C_.readsStore());
  REQUIRE_FALSE(C_.source());
}

// Twelve entries of a zone, all fresh, one of them killed now and then: how
// many read the store. The grounds of "one reader a zone": the reads of the
// others are what filled the links between regions.
TEST_CASE("source choice, in a zone of twelve, leaves one reader, also after "
          "the first ones have died",
          "[relay]") {
  constexpr std::size_t Entries = 12;
  std::vector<PeerAddress> Names;
  std::vector<SourceChoice> All;
  std::set<std::size_t> Dead;
  TimePoint Now = Start;
  for (std::size_t I = 0; I < Entries; ++I) {
    Names.push_back(PeerAddress("10.0.0." + std::to_string(I) + ":7700"));
    All.emplace_back(SourceChoice::Options{}, Now);
  }
  for (std::size_t I = 0; I < Entries; ++I)
    All[I].setPreferred({Names.begin(), Names.begin() + I}, Now);
  auto Run = [&](Duration For) {
    for (TimePoint End = Now + For; Now < End; Now += Milliseconds(20))
      for (std::size_t I = 0; I < Entries; ++I) {
        if (Dead.contains(I))
          continue;
        All[I].tick(Now);
        auto Peer = All[I].next(true, Now);
        if (!Peer)
          continue;
        std::size_t P = 0;
        while (Names[P] != *Peer)
          ++P;
        if (Dead.contains(P))
          All[I].onFailure(*Peer, Now);
        else
          All[I].onAnswer(*Peer, SourceHealth::Fresh, true, Now);
      }
  };
  auto Readers = [&] {
    std::size_t N = 0;
    for (std::size_t I = 0; I < Entries; ++I)
      N += !Dead.contains(I) && All[I].readsStore() ? 1 : 0;
    return N;
  };
  Run(Seconds(1));
  REQUIRE(Readers() == 1);
  Dead = {0};
  Run(Seconds(8));
  REQUIRE(Readers() == 1);
  Dead = {0, 1, 2};
  Run(Seconds(8));
  REQUIRE(Readers() == 1);
}

// The first two entries of a zone's order start before the others, which come
// in any order and see those two in their first look. The first one of the zone
// then loses the store. All eleven others read it at the same moment, over one
// link between regions, and decided by an old configuration for 3 s past its
// bound.
TEST_CASE("source choice, in a zone of twelve that start in another order than "
          "the zone's, when the first one fails, makes two read the store",
          "[relay]") {
  constexpr std::size_t Count = 12;
  constexpr Duration Apart = Milliseconds(25);
  constexpr Duration Writing = Milliseconds(10);
  std::vector<ZoneEntry> All;
  for (std::size_t I = 0; I < Count; ++I)
    All.push_back({"e" + std::to_string(10 + I),
                   PeerAddress("10.0.0." + std::to_string(10 + I) + ":7700"),
                   40});
  // The first two, then the last one, the last but one, and so on.
  auto BegunAt = [&](std::size_t I) {
    auto Turn = static_cast<Duration::rep>(I < 2 ? I : Count + 1 - I);
    return Start + Apart * Turn;
  };
  auto LookAt = [&](std::size_t Self, TimePoint When) {
    std::vector<ZoneEntry> Written;
    for (std::size_t I = 0; I < Count; ++I)
      if (BegunAt(I) + Writing <= When)
        Written.push_back(All[I]);
    return entriesBefore(All[Self], Written);
  };
  std::vector<SourceChoice> Choices;
  TimePoint Settled = Start + Seconds(4);
  for (std::size_t I = 0; I < Count; ++I) {
    TimePoint Begun = BegunAt(I);
    Choices.emplace_back(SourceChoice::Options{}, Begun);
    TimePoint Look = Begun;
    for (bool IsFirst = true; Look <= Settled; IsFirst = false) {
      Choices[I].setPreferred(LookAt(I, Look), Look);
      Look += nextLookAfter(IsFirst);
    }
    if (I > 0)
      Choices[I].onAnswer(All[0].Address_, SourceHealth::Fresh, true, Settled);
  }
  REQUIRE(Choices[0].readsStore());
  std::size_t Readers = 0;
  for (std::size_t I = 1; I < Count; ++I) {
    CHECK(Choices[I].rank() == I);
    Choices[I].onAging(Settled);
    Readers += Choices[I].readsStore() ? 1 : 0;
  }
  REQUIRE(Readers == SourceChoice::Options{}.Backups_);
}
