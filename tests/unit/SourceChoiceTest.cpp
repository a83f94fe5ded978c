// Selects the source of the tables while other entries are frozen, cut off or
// dead.

#include "hawthornroad/store/SourceChoice.h"
#include "hawthornroad/entry/ZoneEntries.h"
#include "hawthornroad/store/ReceiveMonitor.h"

#include <algorithm>
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
                 "store after its seek timeout",
                 "[relay]") {
  C_.setPreferred({A}, Now_);
  pass(O_.SeekTimeout_ - Milliseconds(1));
  REQUIRE_FALSE(C_.readsStore());
  pass(Milliseconds(1));
  REQUIRE(C_.readsStore());
}

// The first entry of the zone freezes. Its followers are healthy and need each
// change in time, so none of them may wait for it. Only the next ones in the
// order may read the store, since a long configuration read by all would
// saturate the links.
TEST_CASE_METHOD(
    SourceFixture,
    "source choice, when the data from its source is aging, reads the store as "
    "one of the first and seeks another source as a later one",
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
    SECTION("the next one has fresh data") {
      C_.onAnswer(B, SourceHealth::Fresh, false, Now_);
      REQUIRE(C_.source() == B);
    }
    SECTION("the next one is disconnected from the store as well") {
      C_.onAnswer(B, SourceHealth::Disconnected, false, Now_);
      REQUIRE(C_.next(false, Now_) == C);
    }
    SECTION("none has answered until the data is too old") {
      C_.onStale(Now_);
      REQUIRE(C_.readsStore());
      pass(O_.PeerRetryDelay_);
      REQUIRE(C_.next(true, Now_) == B);
      C_.onAnswer(B, SourceHealth::Fresh, true, Now_);
      REQUIRE(C_.source() == B);
    }
  }
}

// After an outage all entries of a zone read a long configuration. Together
// they saturate the link between regions and all are late, although reading on
// is right for each one taken alone. Entries that yield to the first one let it
// finish early.
TEST_CASE_METHOD(SourceFixture,
                 "source choice, when it reads and is late, yields to one "
                 "before it that is receiving, and reads again in time",
                 "[relay]") {
  C_.setPreferred({A, B}, Now_);
  C_.onStale(Now_);
  REQUIRE(C_.readsStore());
  pass(O_.LatePeerRetryDelay_);
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
                 "source choice, while its only source is disconnected from "
                 "the store, reads the store and does not follow",
                 "[relay]") {
  C_.setPreferred({A}, Now_);
  C_.onAnswer(A, SourceHealth::Fresh, true, Now_);
  C_.onAnswer(A, SourceHealth::Disconnected, true, Now_);
  REQUIRE(C_.readsStore());
  pass(O_.PeerRetryDelay_);
  REQUIRE(C_.next(true, Now_) == A);
  C_.onAnswer(A, SourceHealth::Disconnected, true, Now_);
  REQUIRE(C_.readsStore());
  pass(O_.PeerRetryDelay_);
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

TEST_CASE("source health, given what a source reports of itself, puts "
          "receiving before being disconnected from the store",
          "[relay]") {
  REQUIRE(sourceHealth(true, false) == SourceHealth::Fresh);
  REQUIRE(sourceHealth(true, true) == SourceHealth::Fresh);
  REQUIRE(sourceHealth(false, true) == SourceHealth::Receiving);
  REQUIRE(sourceHealth(false, false) == SourceHealth::Disconnected);
}

// Guards against entries that wait for a source whose store only refuses calls.
TEST_CASE("receive monitor, given the bytes of a call that failed, does not "
          "count as receiving",
          "[relay]") {
  ReceiveMonitor M;
  REQUIRE_FALSE(M.isReceiving(Start));
  M.onBytes(1000, Start);
  REQUIRE(M.isReceiving(Start + Milliseconds(399)));
  REQUIRE_FALSE(M.isReceiving(Start + Milliseconds(400)));
  M.onBytes(1100, Start + Milliseconds(500));
  M.onFailedCall(1200);
  REQUIRE_FALSE(M.isReceiving(Start + Milliseconds(500)));
  M.onBytes(1200, Start + Milliseconds(520));
  REQUIRE_FALSE(M.isReceiving(Start + Milliseconds(520)));
  M.onBytes(1300, Start + Milliseconds(540));
  REQUIRE(M.isReceiving(Start + Milliseconds(540)));
}

// Counts the entries that read the store in a zone of twelve fresh entries of
// which some are killed. One reader for each zone is required because the reads
// of the others saturate the links between regions.
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

// Guards against a zone in which all followers read the store at once. The
// first two of the zone's order start before the others, which start
// in any order and find those two in their first look. When the first one then
// loses the store, all eleven others would read it at the same time over one
// link between regions and decide by an old configuration for 3 s past its
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
  // Start order: the first two, then the others from the last one backwards.
  auto BegunAt = [&](std::size_t I) {
    auto Turn = static_cast<Duration::rep>(I < 2 ? I : Count + 1 - I);
    return Start + Apart * Turn;
  };
  auto LookAt = [&](std::size_t Self, TimePoint When) {
    std::vector<ZoneEntry> Written;
    for (std::size_t I = 0; I < Count; ++I)
      if (BegunAt(I) + Writing <= When)
        Written.push_back(All[I]);
    return precedingEntries(All[Self], Written);
  };
  std::vector<SourceChoice> Choices;
  TimePoint Settled = Start + Seconds(4);
  for (std::size_t I = 0; I < Count; ++I) {
    TimePoint Begun = BegunAt(I);
    Choices.emplace_back(SourceChoice::Options{}, Begun);
    TimePoint Look = Begun;
    for (bool IsFirst = true; Look <= Settled; IsFirst = false) {
      Choices[I].setPreferred(LookAt(I, Look), Look);
      Look += nextListingDelay(IsFirst);
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

// Guards against entries that wait for one that will not start.
TEST_CASE_METHOD(SourceFixture,
                 "source choice, that starts while its parent refuses "
                 "connections, waits for it briefly, then goes up the tree",
                 "[relay]") {
  std::vector<PeerAddress> Before;
  for (int I = 0; I < 20; ++I)
    Before.push_back(PeerAddress("10.0.1." + std::to_string(I) + ":7700"));
  C_.setPreferred(Before, Now_);
  PeerAddress Parent = Before[2];
  REQUIRE(C_.next(false, Now_) == Parent);
  C_.onRefused(Parent, Now_);
  CHECK_FALSE(C_.next(false, Now_));
  pass(O_.RefusedRetryDelay_);
  CHECK(C_.next(false, Now_) == Parent);
  pass(O_.StartSpread_ - O_.RefusedRetryDelay_);
  C_.onRefused(Parent, Now_);
  CHECK(C_.next(false, Now_) == Before[0]);
  SECTION("which has data") {
    C_.onAnswer(Before[0], SourceHealth::Fresh, false, Now_);
    CHECK(C_.source() == Before[0]);
    C_.onRefused(Before[0], Now_);
    CHECK(C_.next(false, Now_ + O_.RefusedRetryDelay_) != Before[0]);
  }
  SECTION("where nobody runs") {
    pass(O_.SeekTimeout_ - O_.StartSpread_);
    CHECK(C_.readsStore());
  }
}

// Guards against load that stays at the first entry after failures of others.
TEST_CASE_METHOD(SourceFixture,
                 "source choice, whose preferred source has failed, returns to "
                 "it later, and only when it has fresh data",
                 "[relay]") {
  std::vector<PeerAddress> Before;
  for (int I = 0; I < 20; ++I)
    Before.push_back(PeerAddress("10.0.1." + std::to_string(I) + ":7700"));
  C_.setPreferred(Before, Now_);
  REQUIRE(C_.depth() == 2);
  PeerAddress Parent = Before[2];
  REQUIRE(C_.next(true, Now_) == Parent);
  C_.onAnswer(Parent, SourceHealth::Fresh, true, Now_);
  C_.onFailure(Parent, Now_);
  REQUIRE(C_.next(true, Now_) == Before[0]);
  C_.onAnswer(Before[0], SourceHealth::Fresh, true, Now_);
  pass(O_.ParentRetryDelay_);
  REQUIRE(C_.isProbingParent(Now_));
  REQUIRE(C_.next(true, Now_) == Parent);
  SECTION("it has fresh data") {
    C_.onAnswer(Parent, SourceHealth::Fresh, true, Now_);
    REQUIRE(C_.source() == Parent);
    REQUIRE_FALSE(C_.isProbingParent(Now_));
  }
  SECTION("it does not answer") {
    C_.onFailure(Parent, Now_);
    REQUIRE(C_.source() == Before[0]);
    REQUIRE(C_.next(true, Now_) == Before[0]);
  }
  SECTION("it is receiving") {
    C_.onAnswer(Parent, SourceHealth::Receiving, true, Now_);
    REQUIRE(C_.source() == Before[0]);
    REQUIRE(C_.next(true, Now_) == Before[0]);
  }
}
