// Zones that the operators evacuate: which they are, and where requests go.

#include "hawthornroad/config/Settings.h"
#include "hawthornroad/entry/EvacuationRows.h"
#include "hawthornroad/traffic/EvacuatedZones.h"
#include "tests/unit/SimulatedFleet.h"
#include "tests/unit/ZoneFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

using ZoneSet = std::set<AvailabilityZone>;

namespace {
StoreRow row(const std::string &Key, bool IsRemoved = false) {
  StoreRow R;
  R.Table_ = "op";
  R.Key_ = Key;
  R.IsRemoved_ = IsRemoved;
  return R;
}

// Applies an update of the operators' table as an entry does.
void apply(TrafficCore &Core, const TableWatch::Update &U, TimePoint Now) {
  auto Change = Core.evacuations().changeBy(readEvacuationRows(U).Update_);
  Core.evacuateZones(Change.Evacuated_, Now);
  Core.restoreZones(Change.Restored_, Now);
}

struct ReportPort : NullPort {
  using NullPort::report;
  std::vector<ZoneReport> Zones_;
  void report(const ZoneReport &R) override { Zones_.push_back(R); }
};
} // namespace

// Guards against an evacuation that outlives its row when the removal is only
// seen by a whole listing, and against a gap when a row is written again.
TEST_CASE("evacuated zones, given listings and changes, are those with rows",
          "[evacuation]") {
  struct Row {
    const char *Name_;
    EvacuatedZones::Update Update_;
    ZoneSet Evacuated_;
    ZoneSet Restored_;
  };
  const Row Rows[] = {
      {"whole, the same", {true, {{ZoneA}}}, {}, {}},
      {"whole, lacking it", {true, {}}, {}, {ZoneA}},
      {"whole, another", {true, {{ZoneB}}}, {ZoneB}, {ZoneA}},
      {"no change", {false, {}}, {}, {}},
      {"written again", {false, {{ZoneA}}}, {}, {}},
      {"removed", {false, {{ZoneA, true}}}, {}, {ZoneA}},
      {"removed and written", {false, {{ZoneA, true}, {ZoneA}}}, {}, {}},
      {"another written and removed",
       {false, {{ZoneB}, {ZoneB, true}}},
       {},
       {ZoneB}},
      {"an unknown one removed", {false, {{ZoneB, true}}}, {}, {}}};
  for (const Row &Each : Rows) {
    INFO(Each.Name_);
    EvacuatedZones Z;
    Z.evacuate(ZoneA, Start);
    EvacuatedZones::Change C = Z.changeBy(Each.Update_);
    CHECK(C.Evacuated_ == Each.Evacuated_);
    CHECK(C.Restored_ == Each.Restored_);
  }
}

TEST_CASE("an evacuated zone, evacuated again, keeps its first time",
          "[evacuation]") {
  EvacuatedZones Z;
  Z.evacuate(ZoneA, Start);
  Z.evacuate(ZoneA, Start + Seconds(3));
  CHECK(Z.since(ZoneA) == Start);
  Z.restore(ZoneA);
  CHECK(Z.empty());
  CHECK_FALSE(Z.since(ZoneA));
}

TEST_CASE("evacuation rows, with odd keys, name the zone after the prefix or "
          "count as unreadable",
          "[evacuation]") {
  TableWatch::Update U;
  U.IsWhole_ = true;
  U.Rows_ = {row("config"),         row("evacuate/za"),   row("evacuate/"),
             row("evacuate"),       row("evacuated/zb"),  row("Evacuate/zb"),
             row("evacuate/z b/c"), row("evacuate/\xff"), row("version/m"),
             row("evacuate/", true)};
  EvacuationRows E = readEvacuationRows(U);
  CHECK(E.Update_.IsWhole_);
  REQUIRE(E.Update_.Rows_.size() == 3);
  CHECK(E.Update_.Rows_[0].Zone_ == ZoneA);
  CHECK(E.Update_.Rows_[1].Zone_.str() == "z b/c");
  CHECK(E.Update_.Rows_[2].Zone_.str() == "\xff");
  CHECK(E.Unreadable_ == std::vector<std::string>{"evacuate/"});
  // A zone without endpoints changes no choice.
  ZoneFixture F;
  F.Core_.evacuateZones({AvailabilityZone("\xff")}, F.Now_);
  F.send("/safe/1");
  CHECK(F.zoneOf(0) == "za");
}

TEST_CASE("the bound on the operators' table is the shorter of the two",
          "[evacuation]") {
  StoreProcessSettings S;
  CHECK(S.operatorBound() == S.ApplyBound_);
  S.ApplyBound_ = Seconds(8);
  CHECK(S.operatorBound() == S.ApplyBound_);
  S.EvacuateBound_ = Seconds(1);
  CHECK(S.operatorBound() == Seconds(1));
}

// Guards against requests sent to an evacuated zone, and against running ones
// that are cut, while configurations arrive all the time.
TEST_CASE("an evacuated zone, under a storm of configurations, ends its "
          "running requests and gets no others",
          "[evacuation]") {
  ZoneFixture F;
  // Two run in za; the others are full, so one waits.
  std::vector<CallNumber> Running;
  for (int I = 0; I < 8; ++I)
    Running.push_back(F.send("/once/1"));
  CallNumber Waiting = F.send("/once/2");
  REQUIRE(F.begun() == 8);
  REQUIRE(F.zoneOf(0) == "za");
  REQUIRE(F.zoneOf(1) == "za");
  auto Storm = [&] {
    F.configure([](RoutingConfig::Parts &) {});
    F.passTime(Milliseconds(20));
  };
  Storm();
  TableWatch::Update U;
  U.Rows_ = {row("evacuate/za")};
  apply(F.Core_, U, F.Now_);
  Storm();
  // Both places of za become free; the waiting request gets neither.
  F.answer(0, Running[0]);
  F.answer(1, Running[1]);
  CHECK(F.Port_.Answers_[Running[0]].Status_ == 200);
  CHECK(F.Port_.Answers_[Running[1]].Status_ == 200);
  CHECK(F.begun() == 8);
  F.answer(2, Running[2]);
  REQUIRE(F.begun() == 9);
  CHECK(F.zoneOf(8) != "za");
  CHECK(F.isOpen(Waiting));
  for (int I = 0; I < 30; ++I) {
    Storm();
    F.send("/safe/1");
    if (F.begun() > 9)
      F.Core_.callerGone(F.Next_ - 1, F.Now_);
  }
  for (std::size_t I = 8; I < F.begun(); ++I)
    CHECK(F.zoneOf(I) != "za");
}

// Guards against an attempt in a zone that was evacuated between the query for
// its place and the reply.
TEST_CASE("a request that asks for a place, when the zone is evacuated, asks "
          "in another zone",
          "[evacuation]") {
  ZoneFixture F;
  F.Port_.HasAgents_ = true;
  F.send("/stream/1");
  REQUIRE(F.zoneAsked(0) == "za");
  F.Core_.evacuateZones({ZoneA}, F.Now_);
  F.configure([](RoutingConfig::Parts &) {});
  F.grant(0);
  CHECK(F.begun() == 0);
  REQUIRE(F.Port_.Asked_.size() == 2);
  REQUIRE(F.zoneAsked(1) != "za");
  F.grant(1);
  REQUIRE(F.begun() == 1);
  CHECK(F.zoneOf(0) != "za");
}

TEST_CASE("queued requests, when their zone is evacuated, wait for others or "
          "are refused at once when there are none",
          "[evacuation]") {
  ZoneFixture F;
  F.limitAllRoutes({East});
  F.send("/safe/1");
  F.send("/safe/2");
  CallNumber N = F.send("/safe/3");
  REQUIRE(F.begun() == 2);
  REQUIRE(F.isOpen(N));
  SECTION("another region is allowed") {
    F.limitAllRoutes({East, West});
    REQUIRE(F.begun() == 3);
  }
  SECTION("its regions have no other zone") {
    F.Core_.evacuateZones({ZoneA}, F.Now_);
    REQUIRE_FALSE(F.isOpen(N));
    CHECK(F.Port_.Answers_[N].Cause_ == Cause::NoAllowedRegion);
  }
  SECTION("every zone is evacuated") {
    F.Core_.evacuateZones({ZoneA, ZoneB, ZoneC, ZoneU}, F.Now_);
    REQUIRE_FALSE(F.isOpen(N));
    CHECK(F.Port_.Answers_[N].Status_ == 503);
    CHECK(F.Port_.Answers_[N].Cause_ == Cause::NoEndpoint);
  }
}

TEST_CASE("a stream in an evacuated zone, when it breaks, resumes elsewhere",
          "[evacuation]") {
  ZoneFixture F;
  F.startStream();
  REQUIRE(F.zoneOf(0) == "za");
  F.Core_.evacuateZones({ZoneA}, F.Now_);
  CHECK(F.Port_.Cancelled_.empty());
  F.Core_.onFail(F.Port_.last().Attempt_, false, "reset", F.Now_);
  REQUIRE(F.begun() == 2);
  CHECK(F.zoneOf(1) != "za");
}

TEST_CASE("a zone, when a whole listing lacks its row, is used again and is "
          "reported with the time of its evacuation",
          "[evacuation]") {
  ZoneFixture F;
  TableWatch::Update Listed;
  Listed.IsWhole_ = true;
  Listed.Rows_ = {row("config"), row("evacuate/za")};
  apply(F.Core_, Listed, F.Now_);
  F.send("/safe/1");
  REQUIRE(F.zoneOf(0) != "za");
  Listed.Rows_ = {row("config")};
  apply(F.Core_, Listed, F.Now_);
  F.send("/safe/2");
  CHECK(F.zoneOf(1) == "za");

  ReportPort Port;
  TrafficCore Core(ZoneFixture::options(true), Port, Random(1));
  Listed.Rows_ = {row("evacuate/za")};
  apply(Core, Listed, Start);
  apply(Core, Listed, Start + Seconds(1));
  Listed.Rows_.clear();
  apply(Core, Listed, Start + Seconds(9));
  REQUIRE(Port.Zones_.size() == 2);
  CHECK(Port.Zones_[0].IsEvacuated_);
  CHECK(Port.Zones_[0].Zone_ == ZoneA);
  CHECK_FALSE(Port.Zones_[1].IsEvacuated_);
  CHECK(Port.Zones_[1].Lasted_ == Seconds(9));
}

namespace {
struct ZonedEndpoints {
  EndpointSet Set_;
  SharedConfig Config_ = RoutingConfig::build(parts());

  ZonedEndpoints() {
    std::vector<Endpoint> All;
    for (const char *Zone : {"za", "zb", "zc"})
      All.push_back(endpoint(Zone, Api));
    // A service without endpoints in za.
    All.push_back(endpoint("zb", Model));
    All.push_back(endpoint("zc", Model));
    Set_.listed(All, Start);
  }
  static Endpoint endpoint(const std::string &Zone, const ServiceName &S) {
    Endpoint E;
    E.Id_ = EndpointId(Zone + "-" + S.str());
    E.Service_ = S;
    E.Zone_ = AvailabilityZone(Zone);
    E.Slots_ = 16;
    return E;
  }
};
} // namespace

// Guards against remaining endpoints that look less loaded than they are: the
// evacuated zone's entries send to them as well.
TEST_CASE("the estimated load of remaining endpoints counts the evacuated "
          "zone's entries, and is exactly as before without evacuation",
          "[evacuation]") {
  ZonedEndpoints E;
  Placement P({.Zone_ = ZoneB}, Random(1));
  P.setEndpoints(E.Set_, *E.Config_);
  auto Load = [&](const char *Id) {
    P.attemptBegun(EndpointId(Id), Start);
    double Out = P.view(EndpointId(Id), Start)->Load_;
    P.attemptEnded(EndpointId(Id), Placement::End::Cancelled, false, Start);
    return Out;
  };
  const double Same = Load("zb-api");
  const double Cross = Load("zc-api");
  const double Unaffected = Load("zb-lm");
  P.setEvacuated({ZoneA});
  CHECK(Load("zb-api") == Same * 3 / 2);
  CHECK(Load("zc-api") == Cross * 3 / 2);
  CHECK(Load("zb-lm") == Unaffected);
  // Also after the next change of the endpoints.
  P.setEndpoints(E.Set_, *E.Config_);
  CHECK(Load("zb-api") == Same * 3 / 2);
  P.setEvacuated({ZoneA, ZoneB});
  CHECK(Load("zc-api") == Cross * 3);
  P.setEvacuated({ZoneA, ZoneB, ZoneC});
  CHECK(Load("zc-api") == Cross);
  P.setEvacuated({});
  CHECK(Load("zb-api") == Same);
  CHECK(Load("zc-api") == Cross);
}

// Guards against a kept grant that sends the next request to the zone.
TEST_CASE("a kept grant of an endpoint in an evacuated zone is not used",
          "[evacuation]") {
  ZonedEndpoints E;
  Placement P({.Zone_ = ZoneA}, Random(1));
  P.setEndpoints(E.Set_, *E.Config_);
  P.keepGrant(EndpointId("za-api"), Start + Milliseconds(400));
  Placement::Query Q;
  Q.Service_ = Api;
  CHECK(P.choose(Q, Start) == EndpointId("za-api"));
  P.setEvacuated({ZoneA});
  CHECK(P.choose(Q, Start) != EndpointId("za-api"));
  CHECK(P.usable(Q) == 2);
  P.hold(EndpointId("zb-api"), Start + Seconds(1));
  P.hold(EndpointId("zc-api"), Start + Seconds(2));
  CHECK_FALSE(P.choose(Q, Start));
  CHECK(P.heldUntil(Q) == Start + Seconds(1));
}
