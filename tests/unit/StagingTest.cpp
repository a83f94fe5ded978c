// How an engine is updated to a new version, and when it loads.

#include "hawthornroad/staging/EngineUpdater.h"
#include "hawthornroad/staging/LoadSchedule.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
constexpr TimePoint Never = TimePoint::max();
constexpr StagedCheck Whole{.Pieces_ = 4, .Right_ = 4};
constexpr StagedCheck Spoilt{.Pieces_ = 4, .Right_ = 3};

EngineUpdater::Options options() {
  EngineUpdater::Options O;
  O.CloseLead_ = Milliseconds(1300);
  return O;
}

struct UpdaterFixture {
  EngineUpdater D_{options()};
  TimePoint Now_ = Start;

  EngineReport state(WeightVersion V, unsigned Running = 0, bool Busy = false,
                     std::uint64_t Orders = 0) const {
    EngineReport S;
    S.Loaded_ = {"m", V};
    S.Running_ = Running;
    S.IsBusy_ = Busy;
    S.Orders_ = Orders;
    return S;
  }
  void report(EngineReport S) { D_.onReport(std::move(S), Now_); }
  EngineStep next(TimePoint LoadAt = Start,
                  TimePoint ExpectedCompleteAt = Never) const {
    return D_.next(LoadAt, ExpectedCompleteAt, Now_);
  }
};
} // namespace

TEST_CASE("engine updater, from an empty engine to a loaded one, fetches, "
          "verifies and orders at once",
          "[staging]") {
  UpdaterFixture F;
  REQUIRE(F.next() == EngineStep::Report);
  F.D_.setWanted({"m", 2});
  F.report(F.state(0));
  REQUIRE(F.next(Never) == EngineStep::Fetch);
  F.D_.setStaged(true);
  REQUIRE(F.next(Never) == EngineStep::Verify);
  F.D_.onVerifyStarted();
  REQUIRE(F.next(Never) == EngineStep::Nothing);
  F.D_.onVerified(Whole, F.Now_);
  REQUIRE(F.next(Never) == EngineStep::Order);
  F.D_.onOrderSent();
  F.D_.onOrderAnswered(EngineUpdater::OrderResult::Begun, F.Now_);
  REQUIRE(F.D_.isAway());
  REQUIRE(F.next(Never) == EngineStep::Report);
  F.report(F.state(0, 0, true, 1));
  REQUIRE(F.next(Never) == EngineStep::Nothing);
  F.report(F.state(2, 0, false, 1));
  REQUIRE(F.D_.isDone());
  REQUIRE_FALSE(F.D_.isAway());
}

TEST_CASE("engine updater, with an engine that serves, closes it before its "
          "load time and orders when it is idle or the time is over",
          "[staging]") {
  UpdaterFixture F;
  F.D_.setWanted({"m", 2});
  F.D_.setStaged(true);
  TimePoint LoadAt = Start + Seconds(3);
  F.report(F.state(1, 9));
  REQUIRE(F.next(LoadAt) == EngineStep::Nothing);
  F.Now_ = LoadAt - Milliseconds(1300);
  F.report(F.state(1, 9));
  REQUIRE(F.next(LoadAt) == EngineStep::Close);
  F.D_.onClosed(F.Now_);
  REQUIRE(F.D_.isAway());
  F.Now_ += Milliseconds(500);
  F.report(F.state(1, 4));
  REQUIRE(F.next(LoadAt) == EngineStep::Nothing);
  SECTION("idle") { F.report(F.state(1, 0)); }
  SECTION("time over") {
    F.Now_ += Milliseconds(700);
    F.report(F.state(1, 2));
  }
  REQUIRE(F.next(LoadAt) == EngineStep::Verify);
}

// The last pieces were expected and do not arrive, because the origin is
// unreachable. An engine that stays closed for them serves nothing to no avail;
// so does one that reopens and closes again at once on the same forecast.
TEST_CASE("engine updater, closed for pieces that do not arrive, reopens "
          "until they have",
          "[staging]") {
  UpdaterFixture F;
  F.D_.setWanted({"m", 2});
  F.report(F.state(1, 9));
  REQUIRE(F.next(Start, Start + Seconds(2)) == EngineStep::Fetch);
  REQUIRE(F.next(Start, Start + Seconds(1)) == EngineStep::Close);
  F.D_.onClosed(F.Now_);
  REQUIRE_FALSE(F.D_.reopenIfOverdue(Start + Milliseconds(1900)));
  REQUIRE(F.D_.reopenIfOverdue(Start + Milliseconds(2000)));
  REQUIRE_FALSE(F.D_.isAway());
  REQUIRE_FALSE(F.D_.reopenIfOverdue(Start + Milliseconds(2100)));
  F.Now_ = Start + Milliseconds(2100);
  F.report(F.state(1, 9));
  REQUIRE(F.next(Start, F.Now_) == EngineStep::Fetch);
  F.D_.setStaged(true);
  REQUIRE(F.next(Start, F.Now_) == EngineStep::Close);
  SECTION("a later version is forecast anew") {
    F.D_.setStaged(false);
    F.D_.setWanted({"m", 3});
    REQUIRE(F.next(Start, F.Now_) == EngineStep::Close);
  }
}

// The engine's process dies after it accepted an order, and restarts under its
// id before any report shows a smaller order count. The order is lost; if it
// counted as in progress, it would be awaited forever.
TEST_CASE("engine updater, when the engine restarts, verifies and orders "
          "again",
          "[staging]") {
  UpdaterFixture F;
  F.D_.setWanted({"m", 2});
  F.D_.setStaged(true);
  F.report(F.state(0));
  F.D_.onVerified(Whole, F.Now_);
  F.D_.onOrderSent();
  F.D_.onOrderAnswered(EngineUpdater::OrderResult::Begun, F.Now_);
  EngineReport Restarted = F.state(0);
  Restarted.Born_ = 1700000000000ULL;
  F.report(Restarted);
  REQUIRE(F.next() == EngineStep::Verify);
}

// The origin becomes unreachable while a closed engine waits for its last
// pieces. No piece has arrived for a while, so the engine reopens at once.
TEST_CASE("engine updater, closed for a stalled transfer, reopens at once",
          "[staging]") {
  UpdaterFixture F;
  F.D_.setWanted({"m", 2});
  F.report(F.state(1, 9));
  F.D_.onClosed(F.Now_);
  REQUIRE_FALSE(F.D_.reopenIfOverdue(Start + Milliseconds(100), false));
  REQUIRE(F.D_.reopenIfOverdue(Start + Milliseconds(100), true));
  F.D_.setStaged(true);
  F.D_.onClosed(F.Now_);
  REQUIRE_FALSE(F.D_.reopenIfOverdue(Start + Milliseconds(200), true));
}

// The origin was unreachable until after the bound of a version. No engine may
// serve the previous version any more, and each gets the pieces only now.
// Requests are refused until the first engine has loaded, so neither the
// schedule nor the closing time is waited for.
TEST_CASE("engine updater, with all pieces only after the bound, verifies "
          "and orders at once",
          "[staging]") {
  UpdaterFixture F;
  F.D_.setWanted({"m", 2});
  F.D_.setObsoleteAt(Start);
  F.report(F.state(1, 9));
  REQUIRE(F.next(Never) == EngineStep::Fetch);
  F.D_.setStaged(true);
  REQUIRE(F.next(Never) == EngineStep::Verify);
  F.D_.onVerified(Whole, F.Now_);
  REQUIRE(F.next(Never) == EngineStep::Order);
  SECTION("a later version has a bound of its own") {
    F.D_.setWanted({"m", 3});
    F.D_.setStaged(true);
    REQUIRE(F.next(Never) == EngineStep::Nothing);
  }
}

// An order got no answer and may have been accepted: the next one must name the
// engine's order count as read after it.
TEST_CASE("engine updater, after an order without an answer, reads the "
          "engine's state before anything else",
          "[staging]") {
  UpdaterFixture F;
  F.D_.setWanted({"m", 2});
  F.D_.setStaged(true);
  F.report(F.state(0));
  F.D_.onVerified(Whole, F.Now_);
  REQUIRE(F.next() == EngineStep::Order);
  F.D_.onOrderSent();
  F.D_.onOrderAnswered(EngineUpdater::OrderResult::Unknown, F.Now_);
  F.Now_ += Seconds(1);
  REQUIRE(F.next() == EngineStep::Report);
  F.report(F.state(0, 0, true, 1));
  REQUIRE(F.next() == EngineStep::Nothing);
  F.report(F.state(0, 0, false, 1));
  // A verification from before the order no longer counts.
  REQUIRE(F.next() == EngineStep::Verify);
}

TEST_CASE("engine updater, when staged pieces are corrupted, does not order",
          "[staging]") {
  UpdaterFixture F;
  F.D_.setWanted({"m", 2});
  F.D_.setStaged(true);
  F.report(F.state(0));
  F.D_.onVerifyStarted();
  F.D_.onVerified(Spoilt, F.Now_);
  REQUIRE(F.next() == EngineStep::Fetch);
  // A verification that is half a second old is repeated.
  F.D_.setStaged(true);
  F.D_.onVerified(Whole, F.Now_);
  F.Now_ += Milliseconds(500);
  F.report(F.state(0));
  REQUIRE(F.next() == EngineStep::Verify);
}

TEST_CASE("engine updater, asked for an older version, keeps the newer one",
          "[staging]") {
  UpdaterFixture F;
  REQUIRE(F.D_.setWanted({"m", 3}));
  REQUIRE_FALSE(F.D_.setWanted({"m", 2}));
  REQUIRE_FALSE(F.D_.setWanted({"m", 3}));
  REQUIRE(F.D_.wanted()->Version_ == 3);
}

// While two waves of loads overlapped, two fifths of a zone's engines were
// unavailable in a fleet that needed nine tenths of them, and a third of the
// answers were late. An engine is unavailable for 1.5 s: closing notice, load,
// and the notice that it serves again.
TEST_CASE("load schedule, for a zone's members, is even, differs with the "
          "version and ends within the bound",
          "[staging]") {
  constexpr Duration Away = Milliseconds(1500);
  struct Row {
    std::size_t Members_;
    Duration Bound_, Transfer_;
    // Most engines that are unavailable at one moment.
    std::size_t MostAway_;
  };
  for (const Row &R :
       std::vector<Row>{{1, Milliseconds(7400), Milliseconds(4100), 1},
                        {3, Milliseconds(7400), Milliseconds(4100), 2},
                        {10, Milliseconds(7400), Milliseconds(4100), 5},
                        {10, Milliseconds(7400), Milliseconds(9000), 10},
                        {20, Milliseconds(12800), Milliseconds(6900), 6},
                        {53, Milliseconds(12800), Milliseconds(6900), 15}}) {
    LoadSchedule T({.Bound_ = R.Bound_, .Transfer_ = R.Transfer_});
    CAPTURE(R.Members_);
    std::vector<std::string> Members;
    for (std::size_t I = 0; I < R.Members_; ++I)
      Members.push_back("10.0.0." + std::to_string(I));
    std::set<std::size_t> Positions;
    std::vector<TimePoint> Turns;
    unsigned Moved = 0;
    for (const std::string &M : Members) {
      LoadPosition P = T.position(M, Members, "m/2");
      REQUIRE(P.Members_ == R.Members_);
      Positions.insert(P.Index_);
      Moved += P != T.position(M, Members, "m/3") ? 1 : 0;
      Turns.push_back(T.at(P, Start));
      REQUIRE(Turns.back() >= Start + R.Transfer_);
      REQUIRE(Turns.back() <=
              Start + std::max(R.Bound_ - Milliseconds(500), R.Transfer_));
    }
    REQUIRE(Positions.size() == R.Members_);
    REQUIRE(*Positions.rbegin() == R.Members_ - 1);
    REQUIRE((R.Members_ == 1 || Moved > 0));
    for (TimePoint Each : Turns) {
      auto Together = std::count_if(Turns.begin(), Turns.end(), [&](auto At) {
        return At <= Each && Each < At + Away;
      });
      REQUIRE(static_cast<std::size_t>(Together) <= R.MostAway_);
    }
  }
}

TEST_CASE("load schedule, for a member that the list does not name yet, "
          "counts it as one more",
          "[staging]") {
  LoadSchedule T({});
  LoadPosition P = T.position("10.0.0.9", {"10.0.0.1", "10.0.0.2"}, "m/2");
  REQUIRE(P.Members_ == 3);
  REQUIRE(P.Index_ < 3);
}
