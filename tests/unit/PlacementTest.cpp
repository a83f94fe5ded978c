// Choice of an endpoint under typical load patterns; no network.

#include "hawthornroad/traffic/Placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
const ServiceName Model("lm");
const AvailabilityZone Here("zg");
const AvailabilityZone There("st");

struct PlacementFixture {
  EndpointSet Set_;
  SharedConfig Config_;
  std::vector<Endpoint> Engines_;

  explicit PlacementFixture(unsigned Near, unsigned Far, unsigned Slots = 16) {
    RoutingConfig::Parts P;
    P.Version_ = 1;
    ServiceConfig S;
    S.Name_ = Model;
    S.MaxConnections_ = 2000;
    S.Engine_ = EngineProfile{.Model_ = "m",
                              .Slots_ = Slots,
                              .StepMs_ = 6.7,
                              .PrefillTokensPerMs_ = 30.6,
                              .StepsPerPass_ = 6,
                              .MeanPromptTokens_ = 964,
                              .MeanAnswerTokens_ = 119};
    P.Services_.push_back(S);
    Config_ = RoutingConfig::build(std::move(P));
    for (unsigned I = 0; I < Near + Far; ++I) {
      Endpoint E;
      E.Id_ = EndpointId("i-" + std::to_string(I));
      E.Service_ = Model;
      E.Address_ = "10.0.0." + std::to_string(I) + ":80";
      E.Zone_ = I < Near ? Here : There;
      E.HasModel_ = true;
      E.Model_ = "m";
      E.Version_ = 1;
      Engines_.push_back(E);
    }
    Set_.listed(Engines_, Start);
  }

  Placement placement(std::uint64_t Seed = 1) const {
    Placement::Options O;
    O.Zone_ = Here;
    Placement P(O, Random(Seed));
    P.setEndpoints(Set_, *Config_);
    return P;
  }
  const EndpointId &id(unsigned I) const { return Engines_[I].Id_; }
};

Placement::Query query(WeightVersion Min = 0) {
  Placement::Query Q;
  Q.Service_ = Model;
  Q.MinVersion_ = Min;
  return Q;
}
} // namespace

// Guards against overloading an engine that has just loaded new weights: it
// reports that it is empty while its neighbours are busy, and every entry sees
// the same report. Reading a prompt takes about 38 ms, so with more than four
// or five at once all later ones miss a goal of 300 to 400 ms.
TEST_CASE("placement, when several entries see an engine return empty, sends "
          "it no more prompts at once than are read within half the goal",
          "[placement]") {
  PlacementFixture F(4, 0);
  constexpr unsigned Entries = 3;
  constexpr unsigned Each = 10;
  unsigned AtEmpty = 0;
  for (unsigned N = 0; N < Entries; ++N) {
    Placement P = F.placement(N + 1);
    P.updateLoad(F.id(0), 0, 0, Start);
    for (unsigned I = 1; I < 4; ++I)
      P.updateLoad(F.id(I), 12, 0, Start);
    for (unsigned I = 0; I < Each; ++I) {
      auto Chosen = P.choose(query(), Start);
      if (!Chosen)
        break;
      P.attemptBegun(*Chosen, Start);
      AtEmpty += *Chosen == F.id(0) ? 1 : 0;
    }
  }
  CAPTURE(AtEmpty);
  REQUIRE(AtEmpty >= 1);
  REQUIRE(AtEmpty <= 6);
}

// Guards against uneven load over equal engines whose reports are 150 ms old.
// The time to the first token depends on the prompts queued before a request;
// with random choice the fullest engine has twice the mean.
TEST_CASE("placement, under steady load with lagging reports, spreads requests "
          "evenly",
          "[placement]") {
  PlacementFixture F(6, 0);
  constexpr unsigned Entries = 3;
  std::vector<Placement> All;
  for (unsigned N = 0; N < Entries; ++N)
    All.push_back(F.placement(N + 1));
  // Requests per engine with the times of their head and end.
  struct Run {
    unsigned Entry_, Engine_;
    TimePoint Head_, End_;
    bool HadHead_ = false;
  };
  std::deque<Run> Runs;
  std::vector<unsigned> Count(6, 0);
  Random R(7);
  unsigned Refused = 0;
  for (int Ms = 0; Ms < 10000; Ms += 5) {
    TimePoint Now = Start + Milliseconds(Ms);
    if (Ms % 150 == 0)
      for (unsigned E = 0; E < 6; ++E) {
        auto At = [&](bool Head) {
          return static_cast<unsigned>(
              std::count_if(Runs.begin(), Runs.end(), [&](const Run &X) {
                return X.Engine_ == E && X.HadHead_ == Head;
              }));
        };
        for (Placement &P : All)
          P.updateLoad(F.id(E), At(true), At(false), Now);
      }
    for (Run &X : Runs)
      if (!X.HadHead_ && Now >= X.Head_) {
        X.HadHead_ = true;
        All[X.Entry_].firstByte(F.id(X.Engine_), Milliseconds(120));
      }
    std::erase_if(Runs, [&](const Run &X) {
      if (Now < X.End_)
        return false;
      All[X.Entry_].attemptEnded(F.id(X.Engine_), Placement::End::Good, true,
                                 Now);
      return true;
    });
    // 42 requests a second over six engines: 7 each, a normal load.
    for (unsigned N = 0; N < Entries; ++N) {
      if (R.unit() > 0.07)
        continue;
      auto Chosen = All[N].choose(query(), Now);
      if (!Chosen) {
        ++Refused;
        continue;
      }
      All[N].attemptBegun(*Chosen, Now);
      auto Engine = static_cast<unsigned>(std::stoul(Chosen->str().substr(2)));
      ++Count[Engine];
      Runs.push_back(
          {N, Engine, Now + Milliseconds(120), Now + Milliseconds(1100)});
    }
  }
  auto [Least, Most] = std::minmax_element(Count.begin(), Count.end());
  CAPTURE(*Least, *Most, Refused);
  REQUIRE(Refused == 0);
  REQUIRE(*Most < 1.35 * *Least);
}

TEST_CASE("placement, while endpoints of its zone can answer nearly as soon, "
          "stays in its zone",
          "[placement]") {
  PlacementFixture F(1, 1);
  Placement P = F.placement();
  P.updateLoad(F.id(0), 10, 1, Start);
  P.updateLoad(F.id(1), 0, 0, Start);
  REQUIRE(P.choose(query(), Start) == F.id(0));
  // Three more unread prompts outweigh CrossZoneCost_.
  P.updateLoad(F.id(0), 10, 4, Start);
  REQUIRE(P.choose(query(), Start) == F.id(1));
}

TEST_CASE("placement, asked for a version, excludes engines with older "
          "versions and without weights",
          "[placement]") {
  PlacementFixture F(3, 0);
  F.Engines_[0].Version_ = 0;
  F.Engines_[2].Version_ = 2;
  F.Set_.listed(F.Engines_, Start);
  Placement P = F.placement();
  REQUIRE(P.usable(query()) == 2);
  REQUIRE(P.choose(query(2), Start) == F.id(2));
  REQUIRE_FALSE(P.choose(query(3), Start));
  // An engine's own report is newer than the list.
  P.updateVersion(F.id(1), 3);
  REQUIRE(P.choose(query(3), Start) == F.id(1));
}

TEST_CASE("placement, told that an engine is unavailable, excludes it until "
          "told otherwise or until the report expires",
          "[placement]") {
  PlacementFixture F(1, 0);
  Placement P = F.placement();
  P.setAway(F.id(0), true, Start);
  REQUIRE_FALSE(P.choose(query(), Start + Seconds(3)));
  P.setAway(F.id(0), false, Start + Seconds(3));
  REQUIRE(P.choose(query(), Start + Seconds(3)));
  P.setAway(F.id(0), true, Start + Seconds(3));
  REQUIRE(P.choose(query(), Start + Seconds(7)));
}

TEST_CASE("placement, when an endpoint fails repeatedly, ejects it for a time, "
          "but never most of a service",
          "[placement]") {
  PlacementFixture F(3, 0);
  Placement P = F.placement();
  auto Fail = [&](unsigned I) {
    for (int N = 0; N < 3; ++N) {
      P.attemptBegun(F.id(I), Start);
      P.attemptEnded(F.id(I), Placement::End::Failed, false, Start);
    }
  };
  Fail(0);
  REQUIRE(P.view(F.id(0), Start)->IsEjected_);
  for (int N = 0; N < 50; ++N)
    REQUIRE(P.choose(query(), Start) != F.id(0));
  REQUIRE_FALSE(P.view(F.id(0), Start + Seconds(3))->IsEjected_);
  // When all endpoints fail, the cause is elsewhere.
  Fail(1);
  Fail(2);
  REQUIRE(P.choose(query(), Start));
}

// Guards against requests that reach an engine behind a congested link after
// their callers have left: its last report is stale, so it looks empty.
TEST_CASE("placement, when the agent of an endpoint does not answer, excludes "
          "the endpoint except for one probe a second",
          "[placement]") {
  PlacementFixture F(3, 0);
  Placement P = F.placement();
  Placement::Query Q = query();
  Q.MayAsk_ = true;
  auto Busy = [&](TimePoint Now) {
    for (unsigned I = 1; I < 3; ++I)
      P.updateLoad(F.id(I), 12, 0, Now);
    return Now;
  };
  REQUIRE(P.choose(Q, Busy(Start)) == F.id(0));
  TimePoint TimedOut = Start + Milliseconds(20);
  P.askTimedOut(F.id(0), Start, TimedOut);
  // A slight delay does not exclude the endpoint, unless the caller leaves
  // soon.
  REQUIRE(P.choose(Q, Busy(Start + Milliseconds(299))) == F.id(0));
  Placement::Query Short = Q;
  Short.TimeLeft_ = Milliseconds(999);
  REQUIRE(P.choose(Short, Busy(TimedOut)) != F.id(0));
  Short.TimeLeft_ = Milliseconds(1000);
  REQUIRE(P.choose(Short, Busy(TimedOut)) == F.id(0));
  for (int N = 0; N < 50; ++N)
    REQUIRE(P.choose(Q, Busy(Start + Milliseconds(300))) != F.id(0));
  REQUIRE(P.choose(Q, Busy(TimedOut + Milliseconds(999))) != F.id(0));
  TimePoint Probe = TimedOut + Milliseconds(1000);
  REQUIRE(P.mayAsk(F.id(0), Probe));
  REQUIRE(P.choose(Q, Busy(Probe)) == F.id(0));
  TimePoint After = Busy(Probe + Milliseconds(20));
  SECTION("the probe is not answered") {
    P.askTimedOut(F.id(0), Probe, After);
    REQUIRE(P.choose(Q, After) != F.id(0));
  }
  SECTION("the first query is answered after a second") {
    P.askAnswered(F.id(0), Milliseconds(1100));
    P.askTimedOut(F.id(0), Probe, After);
    REQUIRE(P.choose(Q, After) != F.id(0));
  }
  SECTION("the probe is answered") {
    P.askAnswered(F.id(0), Milliseconds(60));
    P.askTimedOut(F.id(0), Probe, After);
    REQUIRE(P.choose(Q, After) == F.id(0));
  }
  SECTION("the endpoint itself answers promptly") {
    P.firstByte(F.id(0), Milliseconds(200));
    P.askTimedOut(F.id(0), Probe, After);
    REQUIRE(P.choose(Q, After) == F.id(0));
  }
}

// Guards against an entry that refuses everything because its own link is slow.
TEST_CASE("placement, when most agents do not answer, keeps choosing their "
          "endpoints",
          "[placement]") {
  PlacementFixture F(3, 0);
  Placement P = F.placement();
  P.updateLoad(F.id(2), 12, 0, Start);
  P.askTimedOut(F.id(0), Start, Start);
  P.askTimedOut(F.id(1), Start, Start);
  std::set<EndpointId> Chosen;
  for (int N = 0; N < 50; ++N)
    if (auto Id = P.choose(query(), Start + Milliseconds(500)))
      Chosen.insert(*Id);
  REQUIRE(Chosen.contains(F.id(0)));
  REQUIRE(Chosen.contains(F.id(1)));
}

TEST_CASE("placement, when an endpoint turns requests away repeatedly, waits "
          "longer each time",
          "[placement]") {
  PlacementFixture F(1, 0);
  Placement P = F.placement();
  TimePoint Now = Start;
  Duration Before = Duration::zero();
  for (int N = 0; N < 4; ++N) {
    P.attemptBegun(F.id(0), Now);
    P.attemptEnded(F.id(0), Placement::End::TurnedAway, false, Now);
    TimePoint From = Now;
    while (!P.choose(query(), Now))
      Now += Milliseconds(5);
    CAPTURE(N);
    REQUIRE(Now - From > Before);
    Before = Now - From;
  }
  REQUIRE(Before <= Milliseconds(505));
}
