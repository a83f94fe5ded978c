// Requests to endpoints that count as cold, in one entry.

#include "hawthornroad/traffic/LimitGrants.h"
#include "tests/unit/TrafficFixture.h"

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
constexpr Duration ColdFor = Seconds(3);
} // namespace

namespace {
// A core whose plain endpoints have a granter.
struct ColdCore : CoreFixture {
  ColdCore() : CoreFixture(false) {
    Port_.HasGranters_ = true;
    RoutingConfig::Parts P = parts();
    P.Services_[0].ColdFor_ = ColdFor;
    P.Services_[0].ColdPerSecond_ = 15;
    std::vector<Endpoint> All;
    for (int I = 0; I < 2; ++I) {
      Endpoint E;
      E.Id_ = EndpointId("a" + std::to_string(I));
      E.Service_ = Api;
      E.Address_ = "10.0.0." + std::to_string(I) + ":80";
      E.Zone_ = AvailabilityZone("z");
      E.Slots_ = 2;
      All.push_back(E);
    }
    Core_.endpoints().listed(All, Start);
    Core_.configure(RoutingConfig::build(std::move(P)), Start);
    Core_.prove(Start, Start);
  }
  void deny(Duration Wait, TimePoint Now) {
    PlaceReply R;
    R.LimitWait_ = Wait;
    Core_.onPlaceReply(Port_.Asked_.back().Attempt_, R, Now);
  }
  void grant(TimePoint Now) {
    PlaceReply R;
    R.IsGranted_ = true;
    Core_.onPlaceReply(Port_.Asked_.back().Attempt_, R, Now);
  }
};
} // namespace

TEST_CASE(
    "request, to an endpoint that counts as cold, is sent only by a grant",
    "[cold]") {
  ColdCore F;
  F.send("/safe/1");
  CHECK(F.Port_.Begun_.empty());
  REQUIRE(F.Port_.Asked_.size() == 1);
  REQUIRE(F.Port_.Asked_[0].Demand_.Cold_);
  CHECK(F.Port_.Asked_[0].Demand_.Cold_->Arrivals_ == 27.5);
  F.grant(Start);
  CHECK(F.Port_.Begun_.size() == 1);
  // Warm endpoints need none.
  F.send("/safe/1", Start + ColdFor);
  CHECK(F.Port_.Asked_.size() == 1);
  CHECK(F.Port_.Begun_.size() == 2);
}

TEST_CASE("request, denied at a cold endpoint, goes to a warm one", "[cold]") {
  ColdCore F;
  TimePoint Warm = Start + Seconds(10);
  F.Core_.prove(Warm, Warm);
  Endpoint Cold = *F.Core_.endpoints().find(EndpointId("a0"));
  Cold.ColdLeft_ = Seconds(2);
  F.Core_.endpoints().changed(Cold, Warm);
  F.Core_.endpointsChanged(Warm);
  for (int I = 0; I < 4; ++I) {
    F.send("/safe/1", Warm);
    if (F.Port_.Asked_.size() == 1 &&
        F.Port_.Begun_.size() < std::size_t(I + 1))
      F.deny(Milliseconds(300), Warm);
  }
  CHECK(F.Port_.Asked_.size() <= 1);
  for (const FakePort::Begun &Each : F.Port_.Begun_)
    CHECK(Each.Params_.Endpoint_ == EndpointId("a1"));
  CHECK_FALSE(F.Port_.Begun_.empty());
}

// Guards against requests that wait for their deadline at cold endpoints, and
// against callers that are told to return while all are still cold.
TEST_CASE("request, when all endpoints are held back as cold, is refused at "
          "once until the first one may take it",
          "[cold]") {
  ColdCore F;
  CallNumber N = F.send("/safe/1");
  F.deny(Milliseconds(1000), Start);
  F.deny(Milliseconds(600), Start);
  const FakePort::Answer &A = F.answerOf(N);
  CHECK(A.Status_ == 503);
  CHECK(A.Cause_ == Cause::EndpointsHeld);
  // The hold itself is spread by up to 35 percent.
  CHECK(A.RetryAfter_ >= Milliseconds(390));
  CHECK(F.Port_.Begun_.empty());
}

// Guards against a limit that one of the two rules alone lets through.
TEST_CASE("request, to a cold endpoint with a stated rate limit, states both",
          "[cold]") {
  ColdCore F;
  CallNumber N = F.send("/safe/1");
  F.grant(Start);
  AttemptNumber A = F.Port_.last().Attempt_;
  EndpointHead H = F.head(N);
  H.RateLimit_ = 3;
  F.Core_.onHead(A, H, Start);
  F.Core_.onEnd(A, Start);
  EndpointId At = F.Port_.last().Params_.Endpoint_;
  for (int I = 0; I < 8; ++I)
    F.send("/safe/1");
  bool IsFound = false;
  for (const FakePort::PlaceAsked &Each : F.Port_.Asked_)
    if (Each.Demand_.Endpoint_.Id_ == At && Each.Demand_.Limit_)
      IsFound |= Each.Demand_.Cold_.has_value();
  CHECK(IsFound);
}

// Guards against grants of a frozen granter that add up with those of another.
TEST_CASE("grant, to a cold endpoint, received late, is not used", "[cold]") {
  ColdCore F;
  F.send("/safe/1");
  F.grant(Start + LimitGrants::MaxGrantAge);
  CHECK(F.Port_.Begun_.empty());
}
