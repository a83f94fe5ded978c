#include "hawthornroad/rollout/OrderState.h"
#include "hawthornroad/base/Error.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
const VersionDigest V1("sha256:one");
const VersionDigest V2("sha256:two");
const EngineTarget Target1{V1, "/w/one"};
const EngineTarget Target2{V2, "/w/two"};
// Nanoseconds since the epoch, in 2027.
constexpr Incarnation Start = 1800000000ULL * 1000000000ULL;
constexpr Incarnation Second = 1000000000ULL;

// An order state whose engine is simulated by the test, with half a minute
// between steps so that all resend waits have passed.
struct OrderFixture {
  Random Random_{7};
  OrderState Orders_{Start, {}, Random_};
  TimePoint Now_{Seconds(1000)};

  void read(EngineState S, VersionDigest V = {}, FencingNumber F = {},
            std::string Error = {}) {
    Now_ += Seconds(30);
    Orders_.onReading({S, std::move(V), F, std::move(Error)}, Now_);
  }
  std::optional<EngineOrder> next() { return Orders_.next(Now_); }
  // Takes the order that is due and reports its result.
  FencingNumber send(OrderReply Reply = OrderReply::Accepted) {
    auto Order = next();
    REQUIRE(Order);
    Orders_.onReply(Order->Fencing_, Reply, Now_);
    return Order->Fencing_;
  }
};
} // namespace

TEST_CASE("fencing number rises with revision, then epoch, then order",
          "[fencing]") {
  auto N = [](Revision R, std::uint64_t E, std::uint64_t O) {
    return FencingNumber::make(R, E, O);
  };
  constexpr auto MaxE = FencingNumber::MaxEpoch;
  constexpr auto MaxO = FencingNumber::MaxOrder;
  REQUIRE(N(5, MaxE, MaxO) < N(6, 0, 0));
  REQUIRE(N(5, 7, MaxO) < N(5, 8, 0));
  REQUIRE(N(5, 7, 1) < N(5, 7, 2));
  REQUIRE(N(5, 7, 2).revision() == 5);
  REQUIRE(N(5, 7, 2).epoch() == 7);
  REQUIRE(N(5, 7, 2).order() == 2);
  REQUIRE(N(FencingNumber::MaxRevision, MaxE, MaxO).value() < (1ULL << 63));
  REQUIRE_THROWS_AS(N(FencingNumber::MaxRevision + 1, 0, 0), Error);
  REQUIRE_THROWS_AS(N(1, 0, MaxO + 1), Error);
  REQUIRE(FencingNumber::epochOf(Start) <
          FencingNumber::epochOf(Start + Second));
  REQUIRE(FencingNumber::epochOf(1) == 0);
}

TEST_CASE_METHOD(OrderFixture, "order, before the engine was read, is not sent",
                 "[orders]") {
  Orders_.setTarget(Target1, 5);
  REQUIRE_FALSE(next());
  read(EngineState::Empty);
  auto Order = next();
  REQUIRE(Order);
  REQUIRE(Order->EngineTarget_ == Target1);
  REQUIRE(Order->Fencing_ == Orders_.number());
}

TEST_CASE_METHOD(OrderFixture,
                 "order, accepted but not read back, is not in force",
                 "[orders]") {
  read(EngineState::Empty);
  Orders_.setTarget(Target1, 5);
  FencingNumber N = send();
  REQUIRE(Orders_.orderStatus() == OrderStatus::Open);
  REQUIRE_FALSE(next());
  read(EngineState::Loading, V1, N);
  REQUIRE(Orders_.orderStatus() == OrderStatus::Loading);
  REQUIRE_FALSE(next());
  read(EngineState::Ready, V1, N);
  REQUIRE(Orders_.orderStatus() == OrderStatus::InForce);
  REQUIRE_FALSE(next());
}

TEST_CASE_METHOD(OrderFixture,
                 "order, lost or its reply lost, is sent again under the same "
                 "number only after a reading",
                 "[orders]") {
  read(EngineState::Ready, V1);
  Orders_.setTarget(Target2, 5);
  FencingNumber First = send(OrderReply::Unknown);
  Now_ += Seconds(60);
  REQUIRE_FALSE(next());
  read(EngineState::Ready, V1);
  REQUIRE(send() == First);
  read(EngineState::Ready, V2, First);
  REQUIRE(Orders_.orderStatus() == OrderStatus::InForce);
}

TEST_CASE_METHOD(
    OrderFixture,
    "order, whose reply never comes, counts as ended and is sent again",
    "[orders]") {
  read(EngineState::Empty);
  Orders_.setTarget(Target1, 5);
  REQUIRE(next());
  read(EngineState::Empty);
  REQUIRE_FALSE(next());
  read(EngineState::Empty);
  REQUIRE(next());
}

TEST_CASE_METHOD(OrderFixture, "order resends wait longer, up to the cap",
                 "[orders]") {
  read(EngineState::Empty);
  Orders_.setTarget(Target1, 5);
  std::vector<Duration> Waits;
  for (int I = 0; I < 8; ++I) {
    send(OrderReply::Unknown);
    TimePoint Sent = Now_;
    do {
      Now_ += Milliseconds(100);
      Orders_.onReading({.State_ = EngineState::Empty}, Now_);
      REQUIRE(Now_ - Sent < Seconds(14));
    } while (!OrderState(Orders_).next(Now_));
    Waits.push_back(Now_ - Sent);
  }
  REQUIRE(Waits.front() <= Milliseconds(700));
  REQUIRE(Waits.back() >= Seconds(7));
}

// Guards against callers that get the old version after the new one was in
// force. An order for the old version, delayed in a connection, reaches the
// engine after the order for the new one. An engine that checks numbers refuses
// it; one that does not loads it, which only a reading shows.
TEST_CASE_METHOD(OrderFixture,
                 "older order of the same agent, arriving late, is undone",
                 "[orders]") {
  read(EngineState::Empty);
  Orders_.setTarget(Target1, 5);
  FencingNumber Old = send(OrderReply::Unknown);
  Orders_.setTarget(Target2, 6);
  FencingNumber New = send();
  REQUIRE(New > Old);
  Orders_.onReply(Old, OrderReply::Accepted, Now_);
  read(EngineState::Ready, V2, New);
  REQUIRE(Orders_.orderStatus() == OrderStatus::InForce);
  read(EngineState::Ready, V1, Old);
  REQUIRE(Orders_.orderStatus() == OrderStatus::Open);
  REQUIRE(send() == New);
}

TEST_CASE_METHOD(OrderFixture,
                 "order back to the old version at one revision has a higher "
                 "number",
                 "[orders]") {
  read(EngineState::Ready, V1);
  Orders_.setTarget(Target2, 5);
  FencingNumber New = send();
  read(EngineState::Failed, V2, New, "bad layer");
  REQUIRE(Orders_.orderStatus() == OrderStatus::Failed);
  REQUIRE(Orders_.detail() == "bad layer");
  REQUIRE_FALSE(next());
  Orders_.setTarget(Target1, 5);
  REQUIRE(send() > New);
}

// Two agents send orders to one engine: one was frozen with revision 5 and
// resumes after its replacement has put revision 6 into force. A caller would
// get the old version after the new one. The engine ignores numbers but reports
// the last one it was given, by which the old agent detects that it is
// superseded.
TEST_CASE_METHOD(OrderFixture,
                 "order, when the engine shows a higher number, is withheld "
                 "until the own revision is higher",
                 "[orders]") {
  struct Row {
    const char *Name_;
    FencingNumber Shown_;
    OrderStatus Expected_;
  };
  auto Epoch = FencingNumber::epochOf(Start);
  const std::vector<Row> Rows = {
      {"later revision", FencingNumber::make(6, 0, 0), OrderStatus::Superseded},
      {"later agent at the own revision", FencingNumber::make(5, Epoch + 9, 0),
       OrderStatus::Superseded},
      {"earlier agent at the own revision",
       FencingNumber::make(5, Epoch - 9, 3), OrderStatus::Open},
      {"earlier revision", FencingNumber::make(4, Epoch + 9, 0),
       OrderStatus::Open}};
  for (const Row &Each : Rows) {
    INFO(Each.Name_);
    OrderState Orders(Start, {}, Random_);
    Orders.onReading({.State_ = EngineState::Ready, .Version_ = V2}, Now_);
    Orders.setTarget(Target1, 5);
    Orders.onReading({EngineState::Ready, V2, Each.Shown_, ""}, Now_);
    REQUIRE(Orders.orderStatus() == Each.Expected_);
    bool IsSuperseded = Each.Expected_ == OrderStatus::Superseded;
    REQUIRE(Orders.outranked(Each.Shown_, 5) == IsSuperseded);
    REQUIRE(Orders.next(Now_).has_value() != IsSuperseded);
    REQUIRE_FALSE(Orders.outranked(Each.Shown_, 7));
  }
}

TEST_CASE_METHOD(OrderFixture,
                 "replacement started in the same second, or with its clock "
                 "set back, still outranks its predecessor",
                 "[orders]") {
  read(EngineState::Ready, V1);
  Orders_.setTarget(Target2, 5);
  FencingNumber Old = send();
  for (Incarnation Later : {Start, Start - 500 * Second}) {
    OrderState Replacement(Later, {}, Random_);
    Replacement.onReading({EngineState::Ready, V1, Old, ""}, Now_);
    Replacement.setTarget(Target2, 5);
    auto Order = Replacement.next(Now_);
    REQUIRE(Order);
    REQUIRE(Order->Fencing_ > Old);
    REQUIRE(Orders_.outranked(Order->Fencing_, 5));
  }
}

TEST_CASE_METHOD(OrderFixture,
                 "order, engine that crashes on every load, fails",
                 "[orders]") {
  read(EngineState::Empty);
  Orders_.setTarget(Target1, 5);
  for (unsigned I = 0; I < OrderState::Limits().MaxAccepted_; ++I) {
    send();
    read(EngineState::Empty);
  }
  REQUIRE(Orders_.orderStatus() == OrderStatus::Failed);
  REQUIRE_FALSE(next());
  FencingNumber Before = Orders_.number();
  Orders_.retry();
  REQUIRE(send() > Before);
}

TEST_CASE_METHOD(OrderFixture, "order, engine that never ends loading, fails",
                 "[orders]") {
  read(EngineState::Empty);
  Orders_.setTarget(Target1, 5);
  FencingNumber N = send();
  read(EngineState::Loading, V1, N);
  Now_ += OrderState::Limits().LoadTimeout_;
  read(EngineState::Loading, V1, N);
  REQUIRE(Orders_.orderStatus() == OrderStatus::Failed);
  read(EngineState::Ready, V1, N);
  REQUIRE(Orders_.orderStatus() == OrderStatus::InForce);
}

TEST_CASE_METHOD(OrderFixture,
                 "order numbers used up at one revision fail, never wrap",
                 "[orders]") {
  read(EngineState::Empty);
  for (std::uint64_t I = 0; I <= FencingNumber::MaxOrder + 1; ++I)
    Orders_.setTarget(I % 2 ? Target1 : Target2, 5);
  REQUIRE(Orders_.orderStatus() == OrderStatus::Failed);
  Orders_.setTarget(Target1, 6);
  REQUIRE(Orders_.orderStatus() == OrderStatus::Open);
}
