#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Error.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using Catch::Matchers::Contains;

namespace {
struct ChartFixture {
  ChartNames Names_{.States_ = {"waiting", "running", "done"},
                    .Events_ = {"accepted", "ended"},
                    .Guards_ = {"is_whole"},
                    .Actions_ = {"answer", "count"}};
  enum State : std::size_t { Waiting, Running, Done };
  enum Event : std::size_t { Accepted, Ended };

  std::string Good_ = R"({
    // A comment, as in every file of the system.
    "chart": "attempt", "initial": "waiting",
    "states": {
      "waiting": {"on": {"accepted": {"to": "running"}}},
      "running": {"on": {"ended": [
        {"if": "is_whole", "to": "done", "do": ["answer", "count"]},
        {"to": "waiting"}]}},
      "done": {"final": true}}})";

  Chart parse(const std::string &Text) {
    return Chart::parse(Text, "attempt.json", Names_);
  }
  std::string faultsOf(const std::string &Text) {
    try {
      parse(Text);
    } catch (const Error &E) {
      REQUIRE(E.step() == Step::Chart);
      REQUIRE(E.peer() == "attempt.json");
      return E.message();
    }
    return "";
  }
  std::string replaced(const std::string &From, const std::string &To) {
    std::string Text = Good_;
    Text.replace(Text.find(From), From.size(), To);
    return Text;
  }
};
} // namespace

TEST_CASE_METHOD(ChartFixture,
                 "chart, first transition whose guard holds, is taken",
                 "[chart]") {
  Chart C = parse(Good_);
  REQUIRE(C.initial() == Waiting);
  REQUIRE(C.isFinal(Done));
  REQUIRE_FALSE(C.isFinal(Running));
  Chart::Step Whole =
      C.fire(Running, Ended, [](std::size_t Guard) { return Guard == 0; });
  REQUIRE(Whole.Next_ == Done);
  REQUIRE(Whole.Actions_ == std::vector<std::size_t>{0, 1});
  Chart::Step Short = C.fire(Running, Ended, [](std::size_t) { return false; });
  REQUIRE(Short.Next_ == Waiting);
  REQUIRE(Short.Actions_.empty());
  REQUIRE(Short.Taken_);
}

TEST_CASE_METHOD(ChartFixture, "chart, event without a transition, is ignored",
                 "[chart]") {
  Chart C = parse(Good_);
  auto Never = [](std::size_t) -> bool {
    throw std::logic_error("no guard to ask");
  };
  for (std::size_t State : {Waiting, Done}) {
    Chart::Step S = C.fire(State, Ended, Never);
    REQUIRE(S.Next_ == State);
    REQUIRE(S.Actions_.empty());
    REQUIRE_FALSE(S.Taken_);
  }
}

TEST_CASE_METHOD(ChartFixture, "chart, negated guard, holds when it does not",
                 "[chart]") {
  Chart C = parse(replaced("\"is_whole\"", "\"!is_whole\""));
  REQUIRE(C.fire(Running, Ended, [](std::size_t) { return false; }).Next_ ==
          Done);
  REQUIRE(C.fire(Running, Ended, [](std::size_t) { return true; }).Next_ ==
          Waiting);
}

TEST_CASE_METHOD(ChartFixture, "chart, bad file, names the fault", "[chart]") {
  struct Case {
    std::string Text_;
    std::string Expected_;
  };
  const std::vector<Case> Cases = {
      {"[]", "expected an object"},
      {"{", "not JSON"},
      {replaced("\"initial\": \"waiting\"", "\"initial\": 3"),
       "\"initial\" must be a text"},
      {replaced("\"initial\": \"waiting\"", "\"initial\": \"asleep\""),
       "initial: unknown state \"asleep\""},
      {replaced("\"final\": true", "\"final\": true, \"on\": {\"ended\": "
                                   "{\"to\": \"waiting\"}}"),
       "state \"done\": is final and has transitions"},
      {replaced("{\"to\": \"waiting\"}]", "{\"to\": \"lost\"}]"),
       "state \"running\", event \"ended\": unknown state \"lost\""},
      {replaced("\"is_whole\"", "\"is_half\""), "unknown guard \"is_half\""},
      {replaced("\"count\"", "\"shout\""), "unknown action \"shout\""},
      {replaced(", \"count\"", ""), "action \"count\" is declared by the code"},
      {replaced("\"if\": \"is_whole\", ", ""), "is never taken"},
      {replaced("\"to\": \"done\"", "\"to\": \"running\""),
       "state \"done\": cannot be reached"},
      {replaced("\"accepted\"", "\"begun\""), "unknown event \"begun\""},
      {replaced("\"final\"", "\"last\""), "unknown key \"last\""},
      {replaced("\"do\": [\"answer\", \"count\"]", "\"do\": \"answer\""),
       "\"do\" must be a list"},
      {replaced("\"to\": \"running\"", "\"do\": []"), "\"to\" must be a text"},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.Text_);
    REQUIRE_THAT(faultsOf(Each.Text_), Contains(Each.Expected_));
  }
}

TEST_CASE_METHOD(ChartFixture, "chart, several faults, reports all at once",
                 "[chart]") {
  std::string Text = replaced("\"is_whole\"", "\"is_half\"");
  Text.replace(Text.find("\"accepted\""), 10, "\"begun\"");
  REQUIRE_THAT(faultsOf(Text), Contains("is_half") && Contains("begun"));
}
