// Where requests are sent when their route or customer names regions.

#include "hawthornroad/traffic/RequestScope.h"
#include "tests/unit/ZoneFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

using Zones = std::set<std::string>;

// Guards against a request that is sent outside of its regions when those are
// full, and against an endpoint of unknown region that counts as allowed.
TEST_CASE("allowed regions, of route, customer or both, with more requests "
          "than places, are the only ones used",
          "[regions]") {
  struct Row {
    const char *Name_;
    std::vector<Region> Route_;
    std::vector<Region> Customer_;
    Zones Expected_;
  };
  const Row Rows[] = {
      {"none", {}, {}, {"za", "zb", "zc", "zu"}},
      {"route", {West}, {}, {"zb"}},
      {"customer", {}, {South}, {"zc"}},
      {"two of the route", {West, South}, {}, {"zb", "zc"}},
      {"both", {West, South}, {South, East}, {"zc"}},
      {"one that no zone has, and one", {Nowhere, East}, {}, {"za"}}};
  for (const Row &Each : Rows) {
    INFO(Each.Name_);
    ZoneFixture F;
    F.configure([&](RoutingConfig::Parts &P) {
      P.Routes_[0].AllowedRegions_ = Each.Route_;
      P.Customers_[0].AllowedRegions_ = Each.Customer_;
    });
    for (int I = 0; I < 12; ++I)
      F.send("/safe/1");
    CHECK(F.zonesUsed() == Each.Expected_);
  }
}

// Guards against a request that waits for a place that cannot come, and against
// a refusal that does not name its reason.
TEST_CASE("a request, with usable endpoints only in other regions, is refused "
          "at once as not run, and the cause says so",
          "[regions]") {
  auto Limits = GENERATE(
      std::pair<std::vector<Region>, std::vector<Region>>({Nowhere}, {}),
      std::pair<std::vector<Region>, std::vector<Region>>({East}, {West}));
  ZoneFixture F;
  F.configure([&](RoutingConfig::Parts &P) {
    P.Routes_[0].AllowedRegions_ = Limits.first;
    P.Customers_[0].AllowedRegions_ = Limits.second;
  });
  CallNumber N = F.send("/safe/1");
  REQUIRE_FALSE(F.isOpen(N));
  CHECK(F.Port_.Answers_[N].Status_ == 503);
  CHECK(F.Port_.Answers_[N].Cause_ == Cause::NoAllowedRegion);
  CHECK(F.Port_.Answers_[N].RetryAfter_ > Duration::zero());
  CHECK(F.begun() == 0);
  // Another route of the same service is served.
  F.send("/once/1", "other-key");
  CHECK(F.begun() == 1);
}

TEST_CASE("a request without limits, with no region known, is sent anywhere",
          "[regions]") {
  ZoneFixture F(false);
  for (int I = 0; I < 8; ++I)
    F.send("/safe/1");
  CHECK(F.zonesUsed().size() == 4);
  F.limitAllRoutes({East});
  CallNumber N = F.send("/safe/1");
  CHECK(F.Port_.Answers_[N].Cause_ == Cause::NoAllowedRegion);
}

TEST_CASE("a request with limits, after a failed attempt, is repeated in its "
          "regions",
          "[regions]") {
  ZoneFixture F;
  F.limitAllRoutes({West});
  F.send("/safe/1");
  F.Core_.onFail(F.Port_.last().Attempt_, false, "reset", F.Now_);
  REQUIRE(F.begun() == 2);
  CHECK(F.zonesUsed() == Zones{"zb"});
  CHECK(F.Port_.Begun_[0].Params_.Endpoint_ !=
        F.Port_.Begun_[1].Params_.Endpoint_);
}

TEST_CASE("a silent stream with limits is replaced in its regions",
          "[regions]") {
  ZoneFixture F;
  F.limitAllRoutes({West});
  F.startStream();
  F.passTime(Milliseconds(1200));
  REQUIRE(F.begun() == 2);
  CHECK(F.zonesUsed() == Zones{"zb"});
}

// Guards against a limit that holds for new requests only: a request keeps the
// configuration that it arrived with.
TEST_CASE("a stream that breaks after its regions changed resumes in the new "
          "ones",
          "[regions]") {
  ZoneFixture F;
  F.limitAllRoutes({West});
  CallNumber N = F.startStream();
  F.limitAllRoutes({South});
  CHECK(F.Port_.Cancelled_.empty());
  F.Core_.onFail(F.Port_.last().Attempt_, false, "reset", F.Now_);
  REQUIRE(F.begun() == 2);
  CHECK(F.zoneOf(0) == "zb");
  CHECK(F.zoneOf(1) == "zc");
  CHECK(F.Port_.Begun_[1].Params_.LastEvent_ == "1");
  CHECK_FALSE(F.Port_.Answers_[N].Aborted_);
}

TEST_CASE("a running request, when its regions change, ends whole where it "
          "runs",
          "[regions]") {
  ZoneFixture F;
  F.limitAllRoutes({West});
  CallNumber N = F.send("/once/1");
  F.limitAllRoutes({Nowhere});
  F.passTime(Milliseconds(200));
  F.answer(0, N);
  CHECK(F.Port_.Answers_[N].Status_ == 200);
  CHECK(F.Port_.Cancelled_.empty());
  CHECK(F.begun() == 1);
}

TEST_CASE("a queued request, when its regions change, is sent to the new ones "
          "or refused at once",
          "[regions]") {
  ZoneFixture F;
  F.limitAllRoutes({West});
  F.send("/safe/1");
  F.send("/safe/2");
  CallNumber N = F.send("/safe/3");
  REQUIRE(F.begun() == 2);
  REQUIRE(F.isOpen(N));
  SECTION("the new ones have places") {
    F.limitAllRoutes({South});
    REQUIRE(F.begun() == 3);
    CHECK(F.zoneOf(2) == "zc");
  }
  SECTION("no endpoint is in the new ones") {
    F.limitAllRoutes({Nowhere});
    REQUIRE_FALSE(F.isOpen(N));
    CHECK(F.Port_.Answers_[N].Cause_ == Cause::NoAllowedRegion);
    CHECK(F.begun() == 2);
  }
  SECTION("its route is gone, so its limits stay") {
    F.configure([](RoutingConfig::Parts &P) { P.Routes_.clear(); });
    CHECK(F.begun() == 2);
    F.answer(0, 1);
    REQUIRE(F.begun() == 3);
    CHECK(F.zoneOf(2) == "zb");
  }
}

// Guards against an attempt in a region that has been excluded between the
// query for its place and the reply.
TEST_CASE("a request that asks for a place, when its regions change, does not "
          "begin there",
          "[regions]") {
  ZoneFixture F;
  F.Port_.HasAgents_ = true;
  F.limitAllRoutes({West});
  CallNumber N = F.send("/stream/1");
  REQUIRE(F.Port_.Asked_.size() == 1);
  REQUIRE(F.zoneAsked(0) == "zb");
  SECTION("to others with endpoints") {
    F.limitAllRoutes({South});
    F.grant(0);
    CHECK(F.begun() == 0);
    REQUIRE(F.Port_.Asked_.size() == 2);
    CHECK(F.zoneAsked(1) == "zc");
    F.grant(1);
    REQUIRE(F.begun() == 1);
    CHECK(F.zoneOf(0) == "zc");
  }
  SECTION("to one without endpoints") {
    F.limitAllRoutes({Nowhere});
    F.grant(0);
    CHECK(F.begun() == 0);
    REQUIRE_FALSE(F.isOpen(N));
    CHECK(F.Port_.Answers_[N].Status_ == 503);
    CHECK(F.Port_.Answers_[N].Cause_ == Cause::NoAllowedRegion);
  }
}

// Guards against requests of a full region that hold back all others while
// other regions are idle.
TEST_CASE("requests that wait for a full region leave other regions' places to "
          "other requests",
          "[regions]") {
  ZoneFixture F;
  F.configure([](RoutingConfig::Parts &P) {
    P.Customers_[1].AllowedRegions_ = {West};
  });
  for (int I = 0; I < 3; ++I)
    F.send("/safe/1", "other-key");
  REQUIRE(F.begun() == 2);
  // One that arrives.
  F.send("/safe/2");
  REQUIRE(F.begun() == 3);
  CHECK(F.zoneOf(2) == "za");
  // One that waits behind.
  for (int I = 0; I < 6; ++I)
    F.send("/safe/3");
  REQUIRE(F.begun() == 8);
  F.answer(2, 4);
  REQUIRE(F.begun() == 9);
  CHECK(F.zoneOf(8) == "za");
  // The first one still has its turn.
  F.answer(0, 1);
  REQUIRE(F.begun() == 10);
  CHECK(F.zoneOf(9) == "zb");
}

// Guards against a customer's limit that is lost on routes that need no key.
TEST_CASE("the scope of a request is that of the current route and of the "
          "customer that it was accepted for or that its key names",
          "[regions]") {
  RoutingConfig::Parts Old = parts(1);
  Old.Routes_[0].AllowedRegions_ = {East, West};
  Old.Customers_[0].AllowedRegions_ = {East};
  RoutingConfig::Parts New = parts(2);
  New.Customers_.erase(New.Customers_.begin());
  New.Customers_[0].AllowedRegions_ = {West};
  auto Before = RoutingConfig::build(Old);
  auto After = RoutingConfig::build(New);
  Call C;
  C.Host_ = "h";
  C.Target_ = "/safe/1?x=/once/";
  C.Key_ = "key";
  CHECK(requestScope(*Before, *Before, C, Customer("zet")) ==
        RegionScope::of({East}));
  CHECK(requestScope(*Before, *Before, C, Customer()) ==
        RegionScope::of({East}));
  // The customer is gone: its limit stays, the route's is the new one.
  CHECK(requestScope(*After, *Before, C, Customer("zet")) ==
        RegionScope::of({East}));
  // A key that belongs to another customer now.
  C.Key_ = "other-key";
  CHECK(requestScope(*After, *Before, C, Customer("libertas")) ==
        RegionScope::of({West}));
  C.Key_.clear();
  CHECK_FALSE(requestScope(*After, *Before, C, Customer()).isLimited());
  CHECK(limitsRegions(*Before));
  CHECK_FALSE(limitsRegions(*RoutingConfig::build(parts(3))));
}

// Guards against a change of behaviour in deployments without limits.
TEST_CASE("without limits and evacuations, known regions change no choice",
          "[regions]") {
  ZoneFixture Plain(false);
  ZoneFixture Known(true);
  std::vector<std::string> Chosen[2];
  int Which = 0;
  for (ZoneFixture *F : {&Plain, &Known}) {
    if (F == &Known) {
      F->Core_.evacuateZones({}, F->Now_);
      F->Core_.restoreZones({}, F->Now_);
    }
    Random R(7);
    std::vector<std::pair<std::size_t, CallNumber>> Running;
    for (int I = 0; I < 400; ++I) {
      F->passTime(Milliseconds(20));
      std::size_t Before = F->begun();
      CallNumber N = F->send("/safe/1");
      if (F->begun() > Before)
        Running.emplace_back(F->begun() - 1, N);
      if (Running.size() > 3 || (!Running.empty() && R.below(3) == 0)) {
        std::size_t At = R.below(Running.size());
        F->answer(Running[At].first, Running[At].second);
        Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(At));
      }
    }
    for (const FakePort::Begun &Each : F->Port_.Begun_)
      Chosen[Which].push_back(Each.Params_.Endpoint_.str());
    ++Which;
  }
  CHECK(Chosen[0].size() > 300);
  CHECK(Chosen[0] == Chosen[1]);
}
