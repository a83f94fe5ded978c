#include "hawthornroad/rollout/RolloutTurn.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
const VersionDigest V1("sha256:one"), V2("sha256:two"), V3("sha256:three");
const VersionDigest None;
constexpr Duration Step = Milliseconds(100);

// A simulated engine that follows orders: it loads in one second, or fails to
// load.
struct FakeEngine {
  EngineReading Shown_;
  std::optional<TimePoint> LoadedAt_;
  bool Answers_ = true;
  bool LosesOrders_ = false;
  VersionDigest Fails_;
  std::vector<VersionDigest> Ordered_;

  void order(const EngineOrder &O, TimePoint Now) {
    Ordered_.push_back(O.EngineTarget_.Version_);
    if (LosesOrders_)
      return;
    Shown_ = {EngineState::Loading, O.EngineTarget_.Version_, O.Fencing_, ""};
    LoadedAt_ = Now + Seconds(1);
  }
  void pass(TimePoint Now) {
    if (!LoadedAt_ || Now < *LoadedAt_)
      return;
    LoadedAt_.reset();
    bool Failed = Shown_.Version_ == Fails_;
    Shown_.State_ = Failed ? EngineState::Failed : EngineState::Ready;
    Shown_.Error_ = Failed ? "bad layer" : "";
  }
};

// One endpoint, driven in steps of 100 ms; its engine is read in each step.
struct TurnFixture {
  Random Random_{3};
  FakeEngine Engine_;
  TimePoint Now_{Seconds(1000)};
  std::size_t Attempts_ = 0;
  bool Confirms_ = true;
  Service Service_;
  RolloutTurn Turn_{
      {Vm("lm-1"), AvailabilityZone("za"), 0, {}},
      Chart::load(CHARTS_DIR, "rollout", RolloutTurn::chartNames()),
      Random_};

  TurnFixture() {
    Service_.Name_ = ServiceName("lm");
    Service_.Kind_ = ServiceKind::Model;
    Service_.Rollout_.MaxUnavailable_ = 1;
    Service_.Rollout_.HaltAfterFailures_ = 2;
  }
  void declare(const VersionDigest &V, Revision R) {
    Service_.Model_ = ModelDeclaration{"/m.json", V};
    Turn_.declare(&Service_, R, Now_);
  }
  void stage(const VersionDigest &V) { Turn_.stage(V, "/w/" + V.str()); }
  void engineServes(const VersionDigest &V) {
    Engine_.Shown_ = {EngineState::Ready, V, {}, ""};
  }
  void step() {
    Now_ += Step;
    Engine_.pass(Now_);
    if (Engine_.Answers_)
      Turn_.onReading(Engine_.Shown_, Now_);
    auto Asked = Confirms_ ? std::optional(Now_) : std::nullopt;
    auto Order = Turn_.tick(Now_, Attempts_, Asked);
    if (!Order)
      return;
    Engine_.order(*Order, Now_);
    Turn_.onReply(Order->Fencing_,
                  Engine_.LosesOrders_ ? OrderReply::Unknown
                                       : OrderReply::Accepted,
                  Now_);
  }
  void run(Duration For) {
    for (TimePoint End = Now_ + For; Now_ < End;)
      step();
  }
  bool runUntil(const std::string &State, Duration Longest = Seconds(60)) {
    for (TimePoint End = Now_ + Longest; Now_ < End;) {
      step();
      if (Turn_.stateName() == State)
        return true;
    }
    return false;
  }
  EndpointStatus other(const std::string &V, EndpointPhase P,
                       const std::string &Rollout = "serving") {
    EndpointStatus S;
    S.Vm_ = Vm(V);
    S.Zone_ = AvailabilityZone("za");
    S.Service_ = Service_.Name_;
    S.Phase_ = P;
    S.Rollout_ = Rollout;
    return S;
  }
  EndpointStatus failing(const std::string &V, const VersionDigest &Version) {
    EndpointStatus S = other(V, EndpointPhase::Ready, "serving");
    S.FailedVersion_ = Version;
    S.Detail_ = "could not load";
    return S;
  }
  // Serves V1, declared at revision 1, for a long time.
  void serveFirst() {
    engineServes(V1);
    stage(V1);
    declare(V1, 1);
    run(Seconds(20));
    REQUIRE(Turn_.phase() == EndpointPhase::Ready);
    REQUIRE(Engine_.Ordered_.empty());
  }
};
} // namespace

TEST_CASE_METHOD(TurnFixture,
                 "empty engine loads the staged version without a turn",
                 "[rollout]") {
  declare(V1, 1);
  run(Seconds(2));
  REQUIRE(Turn_.phase() == EndpointPhase::Starting);
  REQUIRE(Engine_.Ordered_.empty());
  stage(V1);
  REQUIRE(runUntil("serving", Seconds(3)));
  REQUIRE(Turn_.version() == V1);
  REQUIRE(Turn_.phase() == EndpointPhase::Ready);
  REQUIRE(Engine_.Ordered_ == std::vector{V1});
}

TEST_CASE_METHOD(
    TurnFixture,
    "engine that serves another version keeps serving it until its turn",
    "[rollout]") {
  engineServes(V1);
  declare(V2, 1);
  run(Seconds(20));
  REQUIRE(Turn_.version() == V1);
  REQUIRE(Turn_.stateName() == "serving");
  stage(V2);
  REQUIRE(runUntil("waiting_turn", Seconds(1)));
  REQUIRE(Turn_.phase() == EndpointPhase::Ready);
  Turn_.setFleet({other("lm-2", EndpointPhase::Draining, "loading")}, Now_);
  run(Seconds(30));
  REQUIRE(Turn_.stateName() == "waiting_turn");
  Turn_.setFleet({other("lm-2", EndpointPhase::Ready)}, Now_);
  Attempts_ = 1;
  REQUIRE(runUntil("draining", Seconds(1)));
  REQUIRE(Turn_.phase() == EndpointPhase::Draining);
  run(Seconds(30));
  REQUIRE(Engine_.Ordered_.empty());
  Attempts_ = 0;
  REQUIRE(runUntil("serving", Seconds(5)));
  REQUIRE(Turn_.version() == V2);
  REQUIRE(Engine_.Ordered_ == std::vector{V2});
}

TEST_CASE_METHOD(TurnFixture, "endpoint is ready only when its engine says so",
                 "[rollout]") {
  struct Row {
    const char *Name_;
    EngineReading Shown_;
    bool Ready_;
  };
  const std::vector<Row> Rows = {
      {"empty", {EngineState::Empty, None, {}, ""}, false},
      {"loading names the version", {EngineState::Loading, V1, {}, ""}, false},
      {"failed names the version", {EngineState::Failed, V1, {}, ""}, false},
      {"ready without a version", {EngineState::Ready, None, {}, ""}, false},
      {"ready", {EngineState::Ready, V1, {}, ""}, true}};
  declare(V1, 1);
  for (const Row &Each : Rows) {
    INFO(Each.Name_);
    Engine_.Shown_ = Each.Shown_;
    run(Seconds(1));
    REQUIRE((Turn_.phase() == EndpointPhase::Ready) == Each.Ready_);
    REQUIRE(Turn_.version() == (Each.Ready_ ? V1 : None));
  }
  Engine_.Answers_ = false;
  run(Seconds(2));
  REQUIRE(Turn_.phase() == EndpointPhase::Ready);
  run(Seconds(2));
  REQUIRE(Turn_.phase() == EndpointPhase::Starting);
  REQUIRE(Turn_.version() == None);
  Engine_.Answers_ = true;
  step();
  REQUIRE(Turn_.phase() == EndpointPhase::Ready);
  Turn_.onUnreachable(Now_);
  REQUIRE(Turn_.phase() == EndpointPhase::Starting);
}

TEST_CASE_METHOD(
    TurnFixture,
    "engine restarted or changed by someone else is followed and loaded again",
    "[rollout]") {
  serveFirst();
  Engine_.Shown_ = {};
  step();
  REQUIRE(Turn_.phase() == EndpointPhase::Starting);
  REQUIRE(runUntil("serving", Seconds(5)));
  REQUIRE(Engine_.Ordered_ == std::vector{V1});
  engineServes(V3);
  step();
  REQUIRE(Turn_.version() == V3);
  REQUIRE(runUntil("loading"));
  REQUIRE(runUntil("serving"));
  REQUIRE(Turn_.version() == V1);
}

TEST_CASE_METHOD(TurnFixture, "orders lost in transit are sent again",
                 "[rollout]") {
  serveFirst();
  declare(V2, 2);
  stage(V2);
  Engine_.LosesOrders_ = true;
  REQUIRE(runUntil("loading"));
  run(Seconds(10));
  REQUIRE(Engine_.Ordered_.size() > 2);
  REQUIRE(Turn_.phase() == EndpointPhase::Draining);
  Engine_.LosesOrders_ = false;
  REQUIRE(runUntil("serving"));
  REQUIRE(Turn_.version() == V2);
}

TEST_CASE_METHOD(TurnFixture,
                 "version that fails to load gives way to the old one, and its "
                 "tries are bounded",
                 "[rollout]") {
  serveFirst();
  Engine_.Fails_ = V2;
  declare(V2, 2);
  stage(V2);
  REQUIRE(runUntil("loading"));
  REQUIRE(runUntil("serving", Seconds(5)));
  REQUIRE(Engine_.Ordered_ == std::vector{V2, V1});
  REQUIRE(Turn_.version() == V1);
  REQUIRE(Turn_.failedVersion() == V2);
  REQUIRE_THAT(Turn_.detail(), Catch::Contains("bad layer"));
  run(Seconds(1200));
  auto Tries = std::count(Engine_.Ordered_.begin(), Engine_.Ordered_.end(), V2);
  REQUIRE(Tries == VersionChoice::Limits().MaxTries_);
  REQUIRE(Turn_.version() == V1);

  SECTION("a later revision with the same version changes nothing") {
    declare(V2, 3);
    run(Seconds(600));
    REQUIRE(Turn_.version() == V1);
    REQUIRE(Turn_.failedVersion() == V2);
  }
  SECTION("another version is taken up") {
    declare(V3, 3);
    REQUIRE(Turn_.failedVersion() == None);
    stage(V3);
    run(Seconds(30));
    REQUIRE(Turn_.version() == V3);
  }
}

TEST_CASE_METHOD(TurnFixture,
                 "version that fails to load where nothing else serves is "
                 "tried again soon",
                 "[rollout]") {
  Engine_.Fails_ = V1;
  declare(V1, 1);
  stage(V1);
  run(Seconds(60));
  REQUIRE(Turn_.stateName() == "failed");
  REQUIRE(Turn_.phase() == EndpointPhase::Starting);
  REQUIRE(Engine_.Ordered_.size() > VersionChoice::Limits().MaxTries_);
  Engine_.Fails_ = None;
  REQUIRE(runUntil("serving", Seconds(90)));
  REQUIRE(Turn_.failedVersion() == None);
}

// Two endpoints could not load the new version. If a third one drained for it
// as well, the service would lose another endpoint, and so on through the
// fleet.
TEST_CASE_METHOD(TurnFixture,
                 "rollout, after enough failures elsewhere, halts by itself",
                 "[rollout]") {
  serveFirst();
  declare(V2, 2);
  stage(V2);
  REQUIRE(runUntil("waiting_turn"));

  SECTION("while waiting") {
    Turn_.setFleet({failing("lm-2", V2), failing("lm-3", V2)}, Now_);
  }
  SECTION("while draining") {
    Attempts_ = 1;
    REQUIRE(runUntil("draining"));
    Turn_.setFleet({failing("lm-2", V2), failing("lm-3", V2)}, Now_);
  }
  step();
  REQUIRE(Turn_.stateName() == "halted");
  REQUIRE(Turn_.phase() == EndpointPhase::Ready);
  REQUIRE_THAT(Turn_.detail(), Catch::Contains("lm-2: could not load") &&
                                   Catch::Contains("lm-3: could not load"));
  Attempts_ = 0;
  Turn_.setFleet({}, Now_);
  run(Seconds(600));
  REQUIRE(Turn_.stateName() == "halted");
  REQUIRE(Engine_.Ordered_.empty());
  declare(V2, 3);
  step();
  REQUIRE(Turn_.stateName() == "halted");
  declare(V3, 4);
  stage(V3);
  run(Seconds(30));
  REQUIRE(Turn_.version() == V3);
}

TEST_CASE_METHOD(TurnFixture, "halt while loading goes back to the old version",
                 "[rollout]") {
  serveFirst();
  declare(V2, 2);
  stage(V2);
  REQUIRE(runUntil("loading"));
  Turn_.setFleet({failing("lm-2", V2), failing("lm-3", V2)}, Now_);
  REQUIRE(runUntil("halted", Seconds(10)));
  REQUIRE(Turn_.version() == V1);
  REQUIRE(Engine_.Ordered_ == std::vector{V2, V1});
}

TEST_CASE_METHOD(TurnFixture,
                 "rollback in mid-load is ordered at once, under a higher "
                 "number",
                 "[rollout]") {
  serveFirst();
  declare(V2, 2);
  stage(V2);
  REQUIRE(runUntil("loading"));
  auto Before = Turn_.orders().number();
  declare(V1, 3);
  REQUIRE(runUntil("serving", Seconds(5)));
  REQUIRE(Turn_.version() == V1);
  REQUIRE(Turn_.orders().number() > Before);
}

TEST_CASE_METHOD(TurnFixture, "older revision, arriving late, is ignored",
                 "[rollout]") {
  serveFirst();
  declare(V2, 5);
  stage(V2);
  declare(V1, 4);
  REQUIRE(runUntil("loading"));
  REQUIRE(runUntil("serving"));
  REQUIRE(Turn_.version() == V2);
}

// An agent is frozen in its turn; the zone counts it as dead and another
// endpoint leaves service. If the resumed agent continued its turn, two
// endpoints would be out of service; if it sent an order at once, the order
// could name a version that is no longer declared.
TEST_CASE_METHOD(TurnFixture,
                 "agent that resumes after a freeze gives up its turn and "
                 "sends no order before its configuration is confirmed",
                 "[rollout]") {
  serveFirst();
  Confirms_ = false;
  declare(V2, 2);
  stage(V2);
  Attempts_ = 1;
  REQUIRE(runUntil("draining"));
  Attempts_ = 0;
  Now_ += Seconds(60);
  step();
  REQUIRE(Turn_.phase() == EndpointPhase::Ready);
  REQUIRE(Turn_.pause().pauses() == 1);
  run(Seconds(4));
  REQUIRE(Engine_.Ordered_.empty());
  REQUIRE(Turn_.stateName() == "waiting_turn");
  declare(V1, 3);
  run(Seconds(30));
  REQUIRE(Engine_.Ordered_.empty());
  REQUIRE(Turn_.version() == V1);
}

// As above, but the engine was restarted during the freeze. An empty engine is
// loaded without a turn, so only the missing confirmation withholds an order
// for a version that may no longer be declared.
TEST_CASE_METHOD(TurnFixture,
                 "agent that resumes after a freeze with an empty engine loads "
                 "it only after its configuration is confirmed",
                 "[rollout]") {
  serveFirst();
  Confirms_ = false;
  Now_ += Seconds(60);
  Engine_.Shown_ = {};
  run(Seconds(5));
  REQUIRE(Engine_.Ordered_.empty());
  SECTION("by an answer") { Confirms_ = true; }
  SECTION("by the confirm timeout") { run(Seconds(2)); }
  run(Seconds(2));
  REQUIRE(Turn_.version() == V1);
}

TEST_CASE_METHOD(TurnFixture,
                 "engine that follows a later revision gets no orders until "
                 "the own revision is as late",
                 "[rollout]") {
  engineServes(V2);
  Engine_.Shown_.Fencing_ = FencingNumber::make(7, 0, 0);
  declare(V1, 5);
  stage(V1);
  run(Seconds(60));
  REQUIRE(Turn_.version() == V2);
  REQUIRE(Turn_.stateName() == "serving");
  REQUIRE(Engine_.Ordered_.empty());
  declare(V1, 8);
  run(Seconds(30));
  REQUIRE(Turn_.version() == V1);
}

TEST_CASE_METHOD(TurnFixture,
                 "VM given to another service does not serve the old one's "
                 "model under the new name",
                 "[rollout]") {
  serveFirst();
  Service_.Name_ = ServiceName("other-lm");
  declare(V2, 2);
  REQUIRE(Turn_.phase() == EndpointPhase::Starting);
  run(Seconds(5));
  REQUIRE(Turn_.phase() == EndpointPhase::Starting);
  REQUIRE(Engine_.Ordered_.empty());
  stage(V2);
  REQUIRE(runUntil("serving", Seconds(5)));
  REQUIRE(Turn_.version() == V2);
}

TEST_CASE_METHOD(TurnFixture,
                 "replacement agent lets its predecessor's load finish",
                 "[rollout]") {
  Engine_.Shown_ = {EngineState::Loading, V1, FencingNumber::make(1, 5, 0), ""};
  Engine_.LoadedAt_ = Now_ + Seconds(20);
  declare(V1, 1);
  stage(V1);
  REQUIRE(runUntil("serving"));
  REQUIRE(Engine_.Ordered_.empty());
}
