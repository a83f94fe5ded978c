// What an endpoint's answers state of its rate limit, and which statement is in
// force.

#include "hawthornroad/traffic/StatedLimits.h"
#include "platform/RequestWire.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
const EndpointStart E{EndpointId("i-1"), 7};

TimePoint at(int Ms) { return Start + Milliseconds(Ms); }

LimitStatement statement(std::optional<double> PerSecond, int Begun, int At) {
  return {PerSecond, at(Begun), at(At)};
}
} // namespace

// Guards against limits that are misread, or that refuse an answer.
TEST_CASE("endpoint's answer, with a rate limit in any form, is decoded as a "
          "decimal number or ignored",
          "[limit]") {
  struct Row {
    std::vector<std::string> Values_;
    std::optional<double> Limit_;
    bool IsUnreadable_;
  };
  auto R = GENERATE(values<Row>({
      {{}, std::nullopt, false},
      {{"1"}, 1.0, false},
      {{"1.7"}, 1.7, false},
      {{" 0.5\t"}, 0.5, false},
      {{"0"}, 0.0, false},
      {{"100000"}, 100000.0, false},
      {{""}, std::nullopt, true},
      {{" "}, std::nullopt, true},
      {{"-1"}, std::nullopt, true},
      {{"1e3"}, std::nullopt, true},
      {{"inf"}, std::nullopt, true},
      {{"nan"}, std::nullopt, true},
      {{"99999999999999999999"}, std::nullopt, true},
      {{"ten"}, std::nullopt, true},
      {{"1, 2"}, std::nullopt, true},
      {{"Thu, 03 Dec 2026 20:00:00 GMT"}, std::nullopt, true},
      {{"1", "2"}, std::nullopt, true},
  }));
  HeaderFields Fields = {{"X-Hawthornroad-Server-Stamp", "s"}};
  for (const std::string &Value : R.Values_)
    Fields.push_back({"server-limit", Value});
  CAPTURE(R.Values_);
  EndpointHead H = platform::decodeAnswer(200, Fields);
  CHECK(H.RateLimit_ == R.Limit_);
  CHECK(H.Unreadable_.empty() == !R.IsUnreadable_);
  CHECK(H.IsSigned_);
}

// Guards against old answers that end a limit, and limits that never end.
TEST_CASE("stated limits, given statements in any order, keep the one that was "
          "made last",
          "[limit]") {
  struct Row {
    std::vector<LimitStatement> Statements_;
    std::optional<double> InForce_;
  };
  auto R = GENERATE(values<Row>({
      // None was ever stated.
      {{statement(std::nullopt, 0, 10)}, std::nullopt},
      {{statement(1, 0, 10)}, 1.0},
      // Changed by answers of later attempts.
      {{statement(1, 0, 10), statement(3, 20, 30)}, 3.0},
      {{statement(3, 0, 10), statement(1, 5, 30)}, 1.0},
      {{statement(1, 0, 10), statement(std::nullopt, 20, 30)}, std::nullopt},
      // An answer begun before the limit was stated does not end or raise it.
      {{statement(1, 20, 30), statement(std::nullopt, 5, 40)}, 1.0},
      {{statement(1, 20, 30), statement(3, 29, 40)}, 1.0},
      // A statement from before the end does not bring it back.
      {{statement(1, 0, 10), statement(std::nullopt, 20, 30),
        statement(1, 5, 15)},
       std::nullopt},
      // Confirmed meanwhile.
      {{statement(1, 0, 10), statement(1, 20, 30),
        statement(std::nullopt, 25, 35)},
       1.0},
  }));
  StatedLimits L;
  for (const LimitStatement &S : R.Statements_)
    L.note(E, S);
  const LimitStatement *Found = L.find(E);
  CHECK((Found != nullptr ? Found->PerSecond_ : std::nullopt) == R.InForce_);
}

// Guards against a limit of an ended endpoint that binds its successor.
TEST_CASE("stated limits, of an endpoint that restarts under its id, start "
          "without one",
          "[limit]") {
  StatedLimits L;
  CHECK(L.note(E, statement(1, 0, 10)));
  CHECK(L.find({E.Id_, E.Born_ + 1}) == nullptr);
  CHECK(L.inForce() == 1);
}

TEST_CASE("stated limits, of more endpoints than are remembered, forget the "
          "oldest",
          "[limit]") {
  StatedLimits L;
  for (std::size_t I = 0; I <= StatedLimits::MaxKnown; ++I)
    L.note({EndpointId("i-" + std::to_string(I)), 0},
           statement(1, static_cast<int>(I), static_cast<int>(I)));
  CHECK(L.inForce() == StatedLimits::MaxKnown);
  CHECK(L.find({EndpointId("i-0"), 0}) == nullptr);
}
