// How stated speeds of endpoints are kept, and what they change in the choice
// of an endpoint.

#include "tests/unit/TrafficFixture.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <limits>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
constexpr double Slow = 2.5;
const AvailabilityZone Here("z");
const AvailabilityZone There("y");

Placement::Query query(const ServiceName &Service) {
  Placement::Query Q;
  Q.Service_ = Service;
  return Q;
}

// Plain endpoints a0.. and engines m0.., the last of each in another zone.
struct SpeedFixture {
  static constexpr unsigned Each = 4;
  EndpointSet Set_;
  SharedConfig Config_;

  SpeedFixture() {
    RoutingConfig::Parts P = parts();
    P.Services_[1].Engine_->Slots_ = 12;
    Config_ = RoutingConfig::build(std::move(P));
    std::vector<Endpoint> All;
    for (unsigned I = 0; I < Each; ++I) {
      Endpoint E;
      E.Id_ = plain(I);
      E.Service_ = Api;
      E.Address_ = "10.0.0." + std::to_string(I) + ":80";
      E.Zone_ = I + 1 < Each ? Here : There;
      E.Slots_ = 16;
      All.push_back(E);
      E.Id_ = engine(I);
      E.Service_ = Model;
      E.Address_ = "10.0.1." + std::to_string(I) + ":80";
      E.HasModel_ = true;
      E.Model_ = "m";
      E.Version_ = 1;
      All.push_back(E);
    }
    Set_.listed(All, Start);
  }
  Placement placement(std::uint64_t Seed) const {
    Placement::Options O;
    O.Zone_ = Here;
    Placement P(O, Random(Seed));
    P.setEndpoints(Set_, *Config_);
    return P;
  }
  static EndpointId plain(unsigned I) {
    return EndpointId("a" + std::to_string(I));
  }
  static EndpointId engine(unsigned I) {
    return EndpointId("m" + std::to_string(I));
  }
};

// Hash over the choices of a random but fixed course of requests. State is
// called once in each step.
std::uint64_t
choicesHash(const SpeedFixture &F, std::uint64_t Seed,
            const std::function<void(Placement &, TimePoint)> &State) {
  Placement P = F.placement(Seed);
  Random R(Seed + 100);
  struct Run {
    EndpointId Id_;
    TimePoint End_;
  };
  std::deque<Run> Runs;
  std::uint64_t Hash = 14695981039346656037ULL;
  for (int Step = 0; Step < 4000; ++Step) {
    TimePoint Now = Start + Milliseconds(5 * Step);
    if (State)
      State(P, Now);
    while (!Runs.empty() && Now >= Runs.front().End_) {
      P.firstByte(Runs.front().Id_, Milliseconds(20 + R.below(60)));
      P.attemptEnded(Runs.front().Id_,
                     R.below(40) == 0 ? Placement::End::Failed
                                      : Placement::End::Good,
                     true, Now);
      Runs.pop_front();
    }
    if (R.below(6) == 0) {
      auto I = static_cast<unsigned>(R.below(SpeedFixture::Each));
      EndpointId Id = R.below(2) == 0 ? F.plain(I) : F.engine(I);
      auto Running = static_cast<unsigned>(R.below(14));
      P.updateLoad(Id, Running, static_cast<unsigned>(R.below(3)), Now);
    }
    auto Chosen = P.choose(query(R.below(2) == 0 ? Api : Model), Now);
    for (char C : Chosen ? Chosen->str() : std::string("-"))
      Hash = (Hash ^ static_cast<unsigned char>(C)) * 1099511628211ULL;
    if (Chosen) {
      P.attemptBegun(*Chosen, Now);
      Runs.push_back({*Chosen, Now + Milliseconds(120)});
    }
  }
  return Hash;
}
} // namespace

// An old figure says nothing about an endpoint whose slow period has ended, and
// an absurd one must not keep an endpoint out.
TEST_CASE("endpoint speed, by age and size of the figure, counts only what is "
          "recent and plausible",
          "[speed]") {
  struct Row {
    double Stated_;
    Duration Age_;
    double Factor_;
  };
  for (const Row &R :
       std::vector<Row>{{2.5, Milliseconds(0), 2.5},
                        {2.5, Milliseconds(300), 2.5},
                        {2.5, Milliseconds(301), 1},
                        {2.5, Seconds(10), 1},
                        {0.4, Milliseconds(0), 1},
                        {1e-30, Milliseconds(0), 1},
                        {100, Milliseconds(0), EndpointSpeed::MaxFactor},
                        {std::numeric_limits<double>::max(), Milliseconds(0),
                         EndpointSpeed::MaxFactor}}) {
    CAPTURE(R.Stated_, R.Age_.count());
    EndpointSpeed S;
    REQUIRE(S.factor(Start) == 1);
    S.note(R.Stated_, Start);
    REQUIRE(S.factor(Start + R.Age_) == R.Factor_);
    REQUIRE(S.wasStated());
  }
}

// Answers arrive out of order: a late reply of an agent must not replace the
// figure of a newer answer, nor must an answer without one.
TEST_CASE("endpoint speed, given an older figure or none, keeps the newer one",
          "[speed]") {
  EndpointSpeed S;
  S.note(Slow, Start);
  S.note(1.0, Start - Milliseconds(1));
  S.note(std::nullopt, Start + Milliseconds(1));
  REQUIRE(S.stated(Start + Milliseconds(2)) == Slow);
  S.note(1.0, Start + Milliseconds(2));
  REQUIRE(S.factor(Start + Milliseconds(2)) == 1);
}

TEST_CASE("choice by speed, with equal costs, shares in proportion to speed",
          "[speed]") {
  Random R(1);
  std::vector<SpeedCandidate> All(7, {.Cost_ = 5, .Speed_ = 16});
  All[3].Speed_ /= Slow;
  std::array<unsigned, 7> Count{};
  constexpr unsigned Draws = 64000;
  for (unsigned I = 0; I < Draws; ++I)
    ++Count.at(chooseBySpeed(All, R));
  CAPTURE(Count);
  for (std::size_t I = 0; I < Count.size(); ++I) {
    double Expected = I == 3 ? 4000 : 10000;
    REQUIRE(Count.at(I) > 0.9 * Expected);
    REQUIRE(Count.at(I) < 1.1 * Expected);
  }
}

TEST_CASE("choice by speed, with one candidate, takes it", "[speed]") {
  Random R(1);
  REQUIRE(chooseBySpeed({{.Cost_ = 5, .Speed_ = 0.1}}, R) == 0);
}

// Guards deployments that state no figure: the values were computed with the
// choice as it was before endpoints could state their speed.
TEST_CASE_METHOD(SpeedFixture,
                 "placement, without any figure or with usual ones of engines, "
                 "makes the choices that it made before figures existed",
                 "[speed]") {
  const std::array<std::uint64_t, 3> Known = {
      13346716897957605493ULL, 5422867596373277981ULL, 12768803236051194279ULL};
  for (std::size_t I = 0; I < Known.size(); ++I) {
    CAPTURE(I);
    REQUIRE(choicesHash(*this, I + 1, nullptr) == Known.at(I));
    // For engines, usual and faster ones alter nothing either.
    for (double Stated : {1.0, 0.5}) {
      auto Note = [&](Placement &P, TimePoint Now) {
        for (unsigned E = 0; E < Each; ++E)
          P.noteSlowdown(engine(E), Stated, Now);
      };
      REQUIRE(choicesHash(*this, I + 1, Note) == Known.at(I));
    }
    auto NoteSlow = [&](Placement &P, TimePoint Now) {
      P.noteSlowdown(engine(0), Slow, Now);
    };
    REQUIRE(choicesHash(*this, I + 1, NoteSlow) != Known.at(I));
  }
}

// A queue that is usually read in 60 ms takes 150 ms at a slow engine.
TEST_CASE_METHOD(SpeedFixture,
                 "placement, with a slow engine, prefers others until they "
                 "have more to read",
                 "[speed]") {
  Placement P = placement(1);
  P.noteSlowdown(engine(0), Slow, Start);
  for (unsigned I = 0; I < Each; ++I)
    P.updateLoad(engine(I), 6, 0, Start);
  std::set<EndpointId> Chosen;
  for (int I = 0; I < 50; ++I)
    Chosen.insert(*P.choose(query(Model), Start));
  REQUIRE(Chosen == std::set<EndpointId>{engine(1), engine(2)});
  // Three prompts at usual speed take as long as one at the slow engine and a
  // part of its running requests.
  for (unsigned I = 1; I < Each; ++I)
    P.updateLoad(engine(I), 9, 3, Start);
  REQUIRE(P.choose(query(Model), Start) == engine(0));
}

// Nobody sends to an endpoint that is known to be slow, so no answer can say
// that it no longer is.
TEST_CASE_METHOD(SpeedFixture,
                 "placement, when a figure is old, counts the endpoint as "
                 "usual without a new one",
                 "[speed]") {
  Placement P = placement(1);
  auto Load = [&](TimePoint Now) {
    P.updateLoad(plain(0), 2, 0, Now);
    P.updateLoad(engine(0), 2, 0, Now);
    for (unsigned I = 1; I < Each; ++I) {
      P.updateLoad(plain(I), 4, 0, Now);
      P.updateLoad(engine(I), 4, 0, Now);
    }
  };
  P.noteSlowdown(plain(0), EndpointSpeed::MaxFactor, Start);
  P.noteSlowdown(engine(0), EndpointSpeed::MaxFactor, Start);
  Load(Start);
  for (int I = 0; I < 20; ++I)
    REQUIRE(P.choose(query(Model), Start) != engine(0));
  // Of 400 choices between plain endpoints.
  auto AtPlain = [&](TimePoint Now) {
    unsigned Out = 0;
    for (int I = 0; I < 400; ++I)
      Out += P.choose(query(Api), Now) == plain(0) ? 1 : 0;
    return Out;
  };
  REQUIRE(AtPlain(Start) < 20);
  REQUIRE(P.view(plain(0), Start)->Slowdown_ == EndpointSpeed::MaxFactor);
  TimePoint Later = Start + EndpointSpeed::FreshFor + Milliseconds(1);
  Load(Later);
  REQUIRE(P.choose(query(Model), Later) == engine(0));
  REQUIRE(AtPlain(Later) > 150);
  REQUIRE_FALSE(P.view(plain(0), Later)->Slowdown_);
}

// First bytes that were slow only because of a slow period would otherwise
// raise an endpoint's cost until it is sent to again.
TEST_CASE_METHOD(SpeedFixture,
                 "placement, given first bytes of a slow period, counts their "
                 "usual time",
                 "[speed]") {
  Placement P = placement(1);
  for (int I = 0; I < 30; ++I) {
    P.firstByte(plain(0), Milliseconds(100), Slow);
    P.firstByte(plain(1), Milliseconds(40));
    P.firstByte(plain(2), Milliseconds(100), 0.5);
  }
  REQUIRE(P.usualFirstByte(plain(0)) == Milliseconds(40));
  REQUIRE(P.usualFirstByte(plain(1)) == Milliseconds(40));
  REQUIRE(P.usualFirstByte(plain(2)) == Milliseconds(100));
}

// Drawing over all zones would send half of the requests over the narrow links.
TEST_CASE_METHOD(SpeedFixture,
                 "placement, drawing by speed, draws within its zone",
                 "[speed]") {
  Placement P = placement(1);
  P.noteSlowdown(plain(0), Slow, Start);
  std::map<EndpointId, unsigned> Count;
  constexpr unsigned Draws = 1000;
  for (unsigned I = 0; I < Draws; ++I)
    ++Count[*P.choose(query(Api), Start)];
  REQUIRE(Count[plain(Each - 1)] == 0);
  REQUIRE(Count[plain(1)] > Draws / 4);
  REQUIRE(Count[plain(2)] > Draws / 4);
}

// With few endpoints, one whose answers take much longer for another reason
// would be drawn twice, and so chosen, for a ninth of the requests.
TEST_CASE_METHOD(SpeedFixture,
                 "placement, drawing by speed, leaves out an endpoint that "
                 "costs far more",
                 "[speed]") {
  Placement P = placement(1);
  for (unsigned I = 0; I < Each; ++I) {
    P.noteSlowdown(plain(I), 1, Start);
    P.firstByte(plain(I), Milliseconds(I == 1 ? 500 : 20));
  }
  for (unsigned I = 0; I < 200; ++I)
    REQUIRE(P.choose(query(Api), Start) != plain(1));
}

TEST_CASE_METHOD(CoreFixture,
                 "traffic core, told by an agent that its engine is slow, asks "
                 "the other engine while that is recent",
                 "[speed]") {
  Port_.HasAgents_ = true;
  std::string SlowOne = "10.0.1.0:80";
  TimePoint Now = Start;
  // Of 20 requests that come one after another.
  auto AskedOfSlowOne = [&](TimePoint At) {
    unsigned Out = 0;
    for (int I = 0; I < 20; ++I) {
      CallNumber N = send("/stream/1", At);
      Out += Port_.Asked_.back().Address_ == SlowOne ? 1 : 0;
      Core_.callerGone(N, At);
    }
    return Out;
  };
  SECTION("in a notice") {
    Core_.engineUpdated(SlowOne, false, 1, EndpointLoad{0, 0, Slow}, Now);
  }
  SECTION("in a reply") {
    CallNumber N = send("/stream/1");
    SlowOne = Port_.Asked_.back().Address_;
    PlaceReply Denied;
    Denied.Version_ = 1;
    Denied.Slowdown_ = Slow;
    Core_.onPlaceReply(Port_.Asked_.back().Attempt_, Denied, Now);
    Core_.callerGone(N, Now);
    // The engine that denied a place may be asked again.
    Now += Milliseconds(100);
  }
  SECTION("in a late reply") {
    CallNumber N = send("/stream/1");
    SlowOne = Port_.Asked_.back().Address_;
    AttemptNumber Asked = Port_.Asked_.back().Attempt_;
    Core_.callerGone(N, Now);
    PlaceReply Late;
    Late.Version_ = 1;
    Late.Slowdown_ = Slow;
    Now += Milliseconds(100);
    Core_.onPlaceReply(Asked, Late, Now);
  }
  REQUIRE(AskedOfSlowOne(Now) == 0);
  REQUIRE(AskedOfSlowOne(Now + EndpointSpeed::FreshFor + Milliseconds(1)) > 0);
}

TEST_CASE_METHOD(CoreFixture,
                 "traffic core, given the figure of another endpoint at the "
                 "address, ignores it",
                 "[speed]") {
  for (bool IsOther : {false, true}) {
    CAPTURE(IsOther);
    CoreFixture F;
    CallNumber N = F.send("/safe/1");
    EndpointHead H = F.head(N);
    H.Slowdown_ = Slow;
    H.IsOtherEndpoint_ = IsOther;
    EndpointId At = F.Port_.last().Params_.Endpoint_;
    F.Core_.onHead(F.Port_.last().Attempt_, H, Start);
    auto V = F.Core_.placement().view(At, Start);
    REQUIRE(V);
    REQUIRE(V->Slowdown_.has_value() == !IsOther);
  }
}
