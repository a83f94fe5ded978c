// What the answer to a health check permits, in one entry.

#include "tests/unit/TrafficFixture.h"

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
constexpr Duration ColdFor = Seconds(3);
// When the endpoint no longer counts as cold after the entry's start.
constexpr TimePoint Warm = Start + Seconds(10);

// A core with one plain endpoint that may become cold at any moment.
struct WatchedCore : CoreFixture {
  EndpointId Id_{"a0"};

  WatchedCore() : CoreFixture(false) {
    RoutingConfig::Parts P = parts();
    P.Services_[0].ColdFor_ = ColdFor;
    P.Services_[0].ColdPerSecond_ = 15;
    P.Services_[0].HealthPath_ = "/health";
    Endpoint E;
    E.Id_ = Id_;
    E.Service_ = Api;
    E.Address_ = "10.0.0.1:80";
    E.Zone_ = AvailabilityZone("z");
    E.Slots_ = 8;
    Core_.endpoints().listed({E}, Start);
    Core_.configure(RoutingConfig::build(std::move(P)), Start);
    Core_.prove(Warm, Warm);
  }
  // Sends a request; how many checks are begun for it and those in the queue.
  std::size_t checksBegun(TimePoint Now) {
    std::size_t Before = Port_.HealthChecks_.size();
    Core_.prove(Now, Now);
    Core_.tick(Now);
    send("/safe/1", Now);
    return Port_.HealthChecks_.size() - Before;
  }
  // A request that waits for the answer to a new check.
  void sendChecked(TimePoint Now) { REQUIRE(checksBegun(Now) == 1); }
  void answer(const EndpointHead &H, TimePoint Now) {
    Core_.onHealth(Port_.HealthChecks_.back().Attempt_, H, Now);
  }
  EndpointHead success() const {
    EndpointHead H;
    H.Status_ = 200;
    H.EndpointId_ = Id_.str();
    return H;
  }
  EndpointHead rejection() const {
    EndpointHead H = success();
    H.Status_ = 503;
    H.NotRun_ = true;
    return H;
  }
};
} // namespace

// Guards against an endpoint that is full and cold, and counts as warm since it
// rejects its health check as it rejects requests.
TEST_CASE("request, awaiting a health check, is sent only after a success of "
          "the endpoint itself",
          "[health]") {
  struct Row {
    std::string Name_;
    unsigned Status_;
    bool NotRun_;
    std::string Endpoint_, Request_;
    std::optional<Duration> ColdLeft_;
    bool IsSent_;
  };
  for (const Row &R : std::vector<Row>{
           {"success", 200, false, "a0", "", {}, true},
           {"success, warm", 200, false, "a0", "", Duration::zero(), true},
           {"success, cold", 200, false, "a0", "", Seconds(1), false},
           {"success of another", 200, false, "a1", "", {}, false},
           {"success of a request", 200, false, "a0", "r1", {}, false},
           {"full", 503, true, "a0", "", {}, false},
           {"full, stated as warm", 503, true, "a0", "", Duration::zero(),
            false},
           {"full, unnamed", 503, true, "", "", {}, false},
           {"too many", 429, true, "a0", "", {}, false},
           {"leaving", 503, false, "a0", "", {}, false},
           {"failed", 500, false, "a0", "", {}, false}}) {
    CAPTURE(R.Name_);
    WatchedCore F;
    // It has a health check that answers.
    F.sendChecked(Warm);
    F.answer(F.success(), Warm);
    REQUIRE(F.Port_.Begun_.size() == 1);
    TimePoint Now = Warm + Milliseconds(200);
    F.sendChecked(Now);
    EndpointHead H;
    H.Status_ = R.Status_;
    H.NotRun_ = R.NotRun_;
    H.EndpointId_ = R.Endpoint_;
    H.RequestId_ = R.Request_;
    H.ColdLeft_ = R.ColdLeft_;
    F.answer(H, Now);
    CHECK(F.Port_.Begun_.size() == (R.IsSent_ ? 2 : 1));
  }
}

// Guards against an endpoint that has rejected all of its health checks, and is
// used as one that has none.
TEST_CASE("request, awaiting the first health check of an endpoint, is not "
          "sent when that is rejected",
          "[health]") {
  WatchedCore F;
  F.sendChecked(Warm);
  F.answer(F.rejection(), Warm);
  CHECK(F.Port_.Begun_.empty());
  F.send("/safe/1", Warm + Milliseconds(1));
  CHECK(F.Port_.Begun_.empty());
  CHECK(F.Port_.HealthChecks_.size() == 1);
}

// Guards against an endpoint that is unused for long after one rejection, and
// against many checks of one that rejects them all.
TEST_CASE("health check, rejected, is repeated soon and then less often",
          "[health]") {
  WatchedCore F;
  TimePoint At = Warm;
  for (int Pause : {30, 60, 120, 240, 480}) {
    CAPTURE(Pause);
    F.sendChecked(At);
    F.answer(F.rejection(), At);
    CHECK(F.checksBegun(At + Milliseconds(Pause - 1)) == 0);
    CHECK(F.Port_.Begun_.empty());
    At += Milliseconds(Pause);
  }
  F.sendChecked(At);
  F.answer(F.success(), At);
  CHECK_FALSE(F.Port_.Begun_.empty());
  At += Milliseconds(200);
  F.sendChecked(At);
  F.answer(F.rejection(), At);
  F.sendChecked(At + Milliseconds(30));
}

// Guards against an endpoint that is never used since it rejects its health
// checks, and nothing else.
TEST_CASE("endpoint, that rejects all of its health checks, is used as a cold "
          "one",
          "[health]") {
  WatchedCore F;
  F.Port_.HasGranters_ = true;
  TimePoint At = Warm;
  for (int Pause : {30, 60, 120, 240, 480, 500}) {
    CAPTURE(Pause);
    F.sendChecked(At);
    CHECK(F.Port_.Asked_.empty());
    F.answer(F.rejection(), At);
    At += Milliseconds(Pause);
  }
  // What waited asks for a grant.
  REQUIRE_FALSE(F.Port_.Asked_.empty());
  CHECK(F.Port_.Asked_[0].Demand_.Cold_);
}
