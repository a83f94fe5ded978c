// Which requests an engine's agent holds back for more urgent ones, and for how
// long.

#include "hawthornroad/staging/PriorityGate.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
constexpr Duration Hold = PriorityGate::Options().Hold_;

PriorityGate::Query query(int Rank, PlaceKind Kind = PlaceKind::First,
                          bool IsOwed = false) {
  return {Kind, Rank, IsOwed};
}
PriorityGate::Query unstated(PlaceKind Kind = PlaceKind::First) {
  return {Kind, std::nullopt, false};
}
} // namespace

// Guards against places that go to the least urgent requests because these ask
// first, and against holding back what must not wait.
TEST_CASE("priority gate, after a request was refused, holds back less urgent "
          "ones that are not exempt",
          "[staging][priority]") {
  struct Row {
    std::string Name_;
    PriorityGate::Query Refused_;
    PriorityGate::Query Asks_;
    Duration After_;
    bool IsPermitted_;
  };
  constexpr Duration At = Milliseconds(1);
  for (const Row &R : std::vector<Row>{
           {"less urgent", query(0), query(1), At, false},
           {"much less urgent", query(0), query(9), At, false},
           {"same priority", query(1), query(1), At, true},
           {"more urgent", query(1), query(0), At, true},
           {"just before the end", query(0), query(2), Hold - At, false},
           {"at the end", query(0), query(2), Hold, true},
           {"less urgent and late", query(0), query(2, PlaceKind::Late), At,
            false},
           {"resumed", query(0), query(2, PlaceKind::Resumed), At, true},
           {"owed", query(0), query(2, PlaceKind::First, true), At, true},
           {"asks without a priority", query(0), unstated(), At, true},
           {"refused without a priority", unstated(), query(2), At, true},
           {"refused late", query(0, PlaceKind::Late), query(2), At, true},
           {"refused resumed", query(0, PlaceKind::Resumed), query(2), At,
            false},
           {"refused owed counts by its own priority",
            query(2, PlaceKind::First, true), query(1), At, true},
           {"out of range", query(-3), query(200), At, false},
       }) {
    CAPTURE(R.Name_);
    PriorityGate Gate;
    Gate.refused(R.Refused_, Start);
    REQUIRE(Gate.permits(R.Asks_, Start + R.After_) == R.IsPermitted_);
  }
}

TEST_CASE("priority gate, without a refusal, permits every priority",
          "[staging][priority]") {
  PriorityGate Gate;
  for (int Rank = 0; Rank < 10; ++Rank)
    REQUIRE(Gate.permits(query(Rank), Start));
}

// Guards against the middle priority losing its place to the lowest one while
// both are held back.
TEST_CASE("priority gate, that held a request back, holds less urgent ones "
          "back as long again",
          "[staging][priority]") {
  PriorityGate Gate;
  Gate.refused(query(0), Start);
  TimePoint Later = Start + Hold - Milliseconds(1);
  REQUIRE_FALSE(Gate.permits(query(1), Later));
  Gate.refused(query(1), Later);
  REQUIRE(Gate.permits(query(1), Start + Hold));
  REQUIRE_FALSE(Gate.permits(query(2), Start + Hold));
  REQUIRE(Gate.permits(query(2), Later + Hold));
}

// Guards against a changed order where priorities do not differ: then no
// request states one, and all must be answered in the order of their arrival.
TEST_CASE("priority gate, given requests together, orders the more urgent "
          "first and leaves unstated ones as they came",
          "[staging][priority]") {
  auto Order = [](const PriorityGate::Query &Q) {
    return PriorityGate::order(Q);
  };
  REQUIRE(Order(unstated()) == Order(unstated(PlaceKind::Late)));
  REQUIRE(Order(unstated()) == Order(unstated(PlaceKind::Resumed)));
  REQUIRE(Order(query(5, PlaceKind::Resumed)) < Order(query(0)));
  REQUIRE(Order(query(5, PlaceKind::First, true)) == Order(query(0)));
  for (int Rank = 1; Rank < 10; ++Rank)
    REQUIRE(Order(query(Rank - 1)) < Order(query(Rank)));
}

// Guards against a log line for each request while the gate closes and opens
// several times a second.
TEST_CASE("priority gate, closing and opening often, reports each priority at "
          "most once a second",
          "[staging][priority]") {
  PriorityGate Gate;
  std::size_t Reported = 0;
  for (int Ms = 0; Ms < 10000; Ms += 50) {
    TimePoint Now = Start + Milliseconds(Ms);
    if (Ms % 500 == 0)
      Gate.refused(query(0), Now);
    if (!Gate.permits(query(2), Now))
      Gate.refused(query(2), Now);
    for (const PriorityGate::Change &Each : Gate.takeChanges(Now)) {
      REQUIRE(Each.Rank_ == 2);
      ++Reported;
    }
  }
  REQUIRE(Reported >= 2);
  REQUIRE(Reported <= 10);
}

TEST_CASE("priority gate, closed and opened once, reports both",
          "[staging][priority]") {
  PriorityGate Gate;
  Gate.refused(query(0), Start);
  REQUIRE(Gate.takeChanges(Start).empty());
  Gate.refused(query(2), Start);
  auto Closed = Gate.takeChanges(Start);
  REQUIRE(Closed.size() == 1);
  REQUIRE(Closed[0].Rank_ == 2);
  REQUIRE(Closed[0].IsClosed_);
  REQUIRE(Closed[0].Behind_ == 0);
  REQUIRE(Closed[0].Withheld_ == 1);
  REQUIRE(Gate.takeChanges(Start + Milliseconds(900)).empty());
  auto Opened = Gate.takeChanges(Start + Seconds(1));
  REQUIRE(Opened.size() == 1);
  REQUIRE_FALSE(Opened[0].IsClosed_);
}
