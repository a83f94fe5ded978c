// What endpoints ask for in their answers: rest, or nothing more at all.

#include "hawthornroad/traffic/EndpointHolds.h"
#include "platform/RequestWire.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
const EndpointStart E{EndpointId("i-1"), 7};
} // namespace

// Guards against a rest that is misread, or that refuses an answer.
TEST_CASE("endpoint's refusal, with a rest in any form, is decoded as seconds "
          "or ignored",
          "[rest]") {
  struct Row {
    unsigned Status_;
    std::vector<std::string> Values_;
    std::optional<Duration> Rest_;
    bool IsUnreadable_;
  };
  auto R = GENERATE(values<Row>({
      {503, {}, std::nullopt, false},
      {503, {"3"}, Seconds(3), false},
      {503, {"0.25"}, Milliseconds(250), false},
      {503, {" 1.5 "}, Milliseconds(1500), false},
      {503, {"0"}, Duration::zero(), false},
      {503, {"99999999999999999999"}, Seconds(86400), false},
      // Only a 503 asks for rest.
      {200, {"3"}, std::nullopt, false},
      {429, {"3"}, std::nullopt, false},
      {503, {""}, std::nullopt, true},
      {503, {"-3"}, std::nullopt, true},
      {503, {"soon"}, std::nullopt, true},
      {503, {"3s"}, std::nullopt, true},
      {503, {"inf"}, std::nullopt, true},
      {503, {"Thu, 03 Dec 2026 20:00:00 GMT"}, std::nullopt, true},
      {503, {"3", "5"}, std::nullopt, true},
  }));
  HeaderFields Fields = {{"X-Hawthornroad-Not-Executed", "1"}};
  for (const std::string &Value : R.Values_)
    Fields.push_back({"retry-after", Value});
  CAPTURE(R.Status_, R.Values_);
  EndpointHead H = platform::decodeAnswer(R.Status_, Fields);
  CHECK(H.Rest_ == R.Rest_);
  CHECK(H.Unreadable_.empty() == !R.IsUnreadable_);
  CHECK(H.NotRun_);
}

TEST_CASE(
    "endpoint's answer, stating that it leaves in any form, is decoded or "
    "ignored",
    "[rest]") {
  struct Row {
    std::string Value_;
    bool IsLeaving_;
    bool IsUnreadable_;
  };
  auto R = GENERATE(values<Row>({{"1", true, false},
                                 {" 1 ", true, false},
                                 {"0", false, false},
                                 {"", false, true},
                                 {"yes", false, true}}));
  EndpointHead H =
      platform::decodeAnswer(200, {{"X-Hawthornroad-Server-Stamp", "s"},
                                   {"Server-Leaving", R.Value_}});
  CAPTURE(R.Value_);
  CHECK(H.IsLeaving_ == R.IsLeaving_);
  CHECK(H.Unreadable_.empty() == !R.IsUnreadable_);
}

// Guards against a short rest that ends a longer one.
TEST_CASE("endpoint holds, given rests that overlap, keep the longest",
          "[rest]") {
  EndpointHolds H;
  CHECK(H.rest(E, Start + Seconds(3)));
  CHECK_FALSE(H.rest(E, Start + Seconds(1)));
  CHECK(H.restsUntil(E) == Start + Seconds(3));
  CHECK(H.rest(E, Start + Seconds(4)));
  CHECK(H.takeEnded(Start + Seconds(3)).empty());
  CHECK(H.takeEnded(Start + Seconds(4)) == std::vector<EndpointStart>{E});
  CHECK(H.takeEnded(Start + Seconds(5)).empty());
}

// Guards against an endpoint that restarts under its id and is left out for
// what its predecessor said.
TEST_CASE("endpoint holds, of one start of an endpoint, do not hold back the "
          "next",
          "[rest]") {
  EndpointHolds H;
  H.rest(E, Start + Seconds(3));
  H.leave(E, Start);
  EndpointStart Next{E.Id_, E.Born_ + 1};
  CHECK(H.isLeaving(E));
  CHECK_FALSE(H.isLeaving(Next));
  CHECK(H.restsUntil(Next) == TimePoint());
}

TEST_CASE("endpoint holds, of more endpoints than are remembered, do not grow",
          "[rest]") {
  EndpointHolds H;
  for (std::size_t I = 0; I < EndpointHolds::MaxKnown; ++I)
    CHECK(H.leave({EndpointId("i-" + std::to_string(I)), 0}, Start));
  CHECK_FALSE(H.leave({EndpointId("one-more"), 0}, Start));
  H.takeEnded(Start + EndpointHolds::LeavingMemory);
  CHECK(H.leave({EndpointId("one-more"), 0}, Start));
}
