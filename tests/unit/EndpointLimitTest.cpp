// Endpoints that name a rate limit for all entries together.

#include "tests/unit/LimitFleet.h"

#include <array>
#include <cstdio>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
struct Case {
  unsigned Entries_;
  bool IsEngine_;
  double PerSecond_;
  // Requests a second that reach each entry.
  double Load_;
};
constexpr TimePoint LimitedAt = Start + Seconds(5);

LimitFleet::Options optionsOf(const Case &C) {
  return {.Entries_ = C.Entries_,
          .Endpoints_ = 6,
          .IsEngine_ = C.IsEngine_,
          .RequestsPerSecond_ = C.Load_};
}

// Limits one endpoint; returns the share of the limit that is used later on.
double usedShare(LimitFleet &F, double PerSecond) {
  F.limit(0, PerSecond, LimitedAt);
  F.run(Seconds(30));
  constexpr int Measured = 20;
  return static_cast<double>(F.arrivals(0, Start + Seconds(10),
                                        Start + Seconds(10 + Measured))) /
         (PerSecond * Measured);
}
} // namespace

// Guards against entries that read an endpoint's limit nowhere, or each use the
// whole of it.
TEST_CASE("fleet of entries, before an endpoint that names a limit for all of "
          "them, stays within it",
          "[limit]") {
  auto C = GENERATE(Case{9, true, 1, 6}, Case{9, true, 1.7, 6},
                    Case{9, false, 1, 6}, Case{9, false, 10, 60},
                    Case{300, true, 0.5, 1}, Case{300, true, 1, 1},
                    Case{300, false, 1, 1}, Case{300, false, 100, 5});
  CAPTURE(C.Entries_, C.IsEngine_, C.PerSecond_);
  LimitFleet F(optionsOf(C));
  F.limit(0, C.PerSecond_, LimitedAt);
  F.run(Seconds(20));
  CHECK(F.excess() <= 0);
}

// Guards against a limit that is hardly used: callers pay for it elsewhere.
TEST_CASE("fleet of entries, with enough to send, uses half of a limit or more",
          "[limit]") {
  auto C = GENERATE(Case{9, true, 1, 6}, Case{9, true, 10, 12},
                    Case{9, false, 1.7, 6}, Case{9, false, 10, 60},
                    Case{300, true, 0.5, 1}, Case{300, false, 1, 1},
                    Case{300, true, 10, 1}, Case{300, false, 100, 5});
  CAPTURE(C.Entries_, C.IsEngine_, C.PerSecond_);
  LimitFleet F(optionsOf(C));
  CHECK(usedShare(F, C.PerSecond_) >= 0.5);
  CHECK(F.excess() <= 0);
}

// Guards against grants that are lost because they arrive after the query's
// timeout: an endpoint with a limit would get nothing while agents are slow.
TEST_CASE(
    "fleet of entries, whose granters answer after the timeout, uses half "
    "of a limit or more and stays within it",
    "[limit]") {
  auto C = GENERATE(Case{9, false, 1.7, 6}, Case{9, false, 10, 60},
                    Case{300, false, 1, 1}, Case{300, false, 10, 1},
                    Case{9, true, 1.7, 6}, Case{300, true, 10, 1});
  auto Delay = GENERATE(Milliseconds(30), Milliseconds(100));
  CAPTURE(C.Entries_, C.IsEngine_, C.PerSecond_, Delay.count());
  LimitFleet::Options O = optionsOf(C);
  O.AgentDelay_ = Delay;
  LimitFleet F(O);
  CHECK(usedShare(F, C.PerSecond_) >= 0.5);
  CHECK(F.excess() <= 0);
}

// Guards against limits that outlast what the endpoint says.
TEST_CASE("fleet of entries, when a limit is raised and then lifted, sends as "
          "much again",
          "[limit]") {
  auto C = GENERATE(Case{9, true, 1, 6}, Case{9, false, 1, 6},
                    Case{300, true, 1, 1}, Case{300, false, 1, 1});
  CAPTURE(C.Entries_, C.IsEngine_);
  LimitFleet F(optionsOf(C));
  F.limit(0, C.PerSecond_, LimitedAt);
  F.limit(0, 4 * C.PerSecond_, Start + Seconds(15));
  F.limit(0, std::nullopt, Start + Seconds(30));
  F.run(Seconds(50));
  CHECK(F.excess() <= 0);
  auto Count = [&](unsigned Endpoint, int From, int To) {
    return F.arrivals(Endpoint, Start + Seconds(From), Start + Seconds(To));
  };
  constexpr double Raised = 4;
  CHECK(static_cast<double>(Count(0, 20, 30)) >=
        0.5 * Raised * C.PerSecond_ * 10);
  CHECK(2 * Count(0, 40, 50) >= Count(1, 40, 50));
}

// Guards against limits that are passed on for as long as anybody asks: a
// statement that counts as new with each exchange never ends.
TEST_CASE("fleet of entries, whose granters answer late, sends as much again "
          "once a limit is lifted",
          "[limit]") {
  auto C = GENERATE(Case{9, true, 1, 6}, Case{9, false, 1.7, 6},
                    Case{300, true, 10, 1}, Case{300, false, 10, 1});
  auto Delay = GENERATE(Milliseconds(30), Milliseconds(100), Milliseconds(300));
  CAPTURE(C.Entries_, C.IsEngine_, Delay.count());
  LimitFleet::Options O = optionsOf(C);
  O.AgentDelay_ = Delay;
  LimitFleet F(O);
  F.limit(0, C.PerSecond_, LimitedAt);
  F.limit(0, std::nullopt, Start + Seconds(15));
  F.run(Seconds(40));
  auto Count = [&](unsigned Endpoint) {
    return F.arrivals(Endpoint, Start + Seconds(30), Start + Seconds(40));
  };
  CHECK(2 * Count(0) >= Count(1));
  CHECK(F.excess() <= 0);
}

// Guards against entries and agents that forget a limit together.
TEST_CASE("fleet of entries, while entries and agents restart and are cut off, "
          "stays within a limit",
          "[limit]") {
  auto IsEngine = GENERATE(true, false);
  auto [Entries, PerSecond] = GENERATE(table<unsigned, double>({{3, 1.0},
                                                                {9, 0.5},
                                                                {9, 1.7},
                                                                {9, 10.0},
                                                                {45, 1.0},
                                                                {300, 0.5},
                                                                {300, 10.0}}));
  CAPTURE(IsEngine, PerSecond, Entries);
  LimitFleet F({.Entries_ = Entries,
                .Endpoints_ = 6,
                .IsEngine_ = IsEngine,
                .RequestsPerSecond_ = Entries > 100 ? 1.0 : 6.0,
                .Seed_ = Entries});
  F.limit(0, PerSecond, LimitedAt);
  for (unsigned I = 0; I < Entries / 3; ++I)
    F.restart(I, Start + Seconds(10) + I * Milliseconds(50));
  for (unsigned I = Entries / 3; I < 2 * Entries / 3; ++I)
    F.cut(I, Start + Seconds(14), Start + Seconds(20));
  for (unsigned I = 0; I < 6; ++I)
    F.restartAgent(I, Start + Seconds(12) + I * Milliseconds(900));
  F.run(Seconds(30));
  CHECK(F.excess() <= 0);
}

// Guards against granters each of whose starts grants a whole burst anew.
TEST_CASE("fleet of entries, while the agent that grants for an endpoint "
          "restarts again and again, stays within a limit",
          "[limit][restarts]") {
  auto IsEngine = GENERATE(true, false);
  auto PerSecond = GENERATE(0.5, 1.7, 10.0);
  auto Gap = GENERATE(Milliseconds(300), Milliseconds(700));
  CAPTURE(IsEngine, PerSecond, Gap.count());
  LimitFleet F({.Entries_ = 9,
                .Endpoints_ = 6,
                .IsEngine_ = IsEngine,
                .RequestsPerSecond_ = 6.0});
  F.limit(0, PerSecond, LimitedAt);
  for (unsigned Agent = 0; Agent < 6; ++Agent)
    for (int I = 0; I < 12; ++I)
      F.restartAgent(Agent, Start + Seconds(12) + I * Gap);
  F.run(Seconds(30));
  CHECK(F.excess() <= 0);
}

// Guards against entries that each fall back to the whole limit.
TEST_CASE("fleet of entries, without any agent, stays within a limit",
          "[limit]") {
  auto PerSecond = GENERATE(0.5, 1.0, 10.0, 100.0);
  auto Entries = GENERATE(9U, 300U);
  auto Seed = GENERATE(range(1, 4));
  CAPTURE(PerSecond, Entries, Seed);
  LimitFleet F({.Entries_ = Entries,
                .Endpoints_ = 6,
                .IsEngine_ = false,
                .HasAgents_ = false,
                .AssumedEntries_ = Entries,
                .RequestsPerSecond_ = Entries > 100 ? 2.0 : 60.0,
                .Seed_ = static_cast<std::uint64_t>(Seed)});
  F.limit(0, PerSecond, LimitedAt);
  F.run(Seconds(30));
  CHECK(F.excess() <= 0);
}

// Guards against callers who wait for endpoints that accept nothing, or who are
// all told to return at once.
TEST_CASE("fleet of entries, when all endpoints of a service are limited, "
          "refuses the rest at once",
          "[limit]") {
  auto IsEngine = GENERATE(true, false);
  LimitFleet F({.Entries_ = 9,
                .Endpoints_ = 6,
                .IsEngine_ = IsEngine,
                .RequestsPerSecond_ = 6});
  for (unsigned I = 0; I < 6; ++I)
    F.limit(I, 2.0, LimitedAt);
  F.run(Seconds(30));
  CHECK(F.excess() <= 0);
  std::size_t Served = F.served(Start + Seconds(10), Start + Seconds(30));
  CHECK(Served >= 0.5 * 6 * 2 * 20);
  CHECK(F.refused(Start + Seconds(10), Start + Seconds(30)) > Served);
  // Most are refused on arrival; the rest waited for their turn in the queue.
  CHECK(F.medianRefusal() <= Milliseconds(60));
}

// Prints the comparison of docs/design/endpoint-limits.md; hidden, since it
// takes a minute. Only the design in use is checked.
TEST_CASE("fleet of entries, with limits shared in four ways, is compared",
          "[.][limit-table]") {
  struct Way {
    const char *Name_;
    bool HasAgents_;
    bool GrantsAlone_;
    bool KnowsEntries_;
  };
  constexpr std::array<Way, 4> Ways = {
      {{"one granter", true, false, true},
       {"whole limit each", true, true, true},
       {"shares, N known", false, false, true},
       {"shares, N = 300", false, false, false}}};
  for (unsigned Entries : {3U, 9U, 45U, 300U})
    for (double PerSecond : {0.5, 1.0, 1.7, 10.0, 100.0})
      for (const Way &W : Ways) {
        double Worst = -1e9;
        double Used = 0;
        constexpr int Seeds = 3;
        for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
          // Each endpoint is offered three times the limit, and twenty a second
          // at least.
          LimitFleet F({.Entries_ = Entries,
                        .Endpoints_ = 6,
                        .IsEngine_ = false,
                        .HasAgents_ = W.HasAgents_,
                        .AssumedEntries_ = W.KnowsEntries_ ? Entries : 300,
                        .GrantsAlone_ = W.GrantsAlone_,
                        .RequestsPerSecond_ =
                            6 * std::max(20.0, 3 * PerSecond) / Entries,
                        .Seed_ = Seed});
          F.limit(0, PerSecond, LimitedAt);
          F.run(Seconds(40));
          Worst = std::max(Worst, F.excess());
          Used += static_cast<double>(
                      F.arrivals(0, Start + Seconds(20), Start + Seconds(40))) /
                  (PerSecond * 20 * Seeds);
        }
        std::printf("%3u entries, %5.1f a second, %-16s: %7.1f over, %.2f "
                    "used\n",
                    Entries, PerSecond, W.Name_, Worst, Used);
        if (W.HasAgents_ && !W.GrantsAlone_)
          CHECK(Worst <= 0);
      }
}

// Guards against grants that are thrown away because another query was denied.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, granted a request under a limit after another "
                 "was denied, sends it",
                 "[limit]") {
  Port_.HasAgents_ = true;
  send("/stream/1");
  send("/stream/1");
  send("/stream/1");
  REQUIRE(Port_.Asked_.size() == 3);
  // Two of the three queries went to one engine.
  auto AddressOf = [&](std::size_t I) { return Port_.Asked_[I].Address_; };
  std::size_t First = AddressOf(0) == AddressOf(1) ? 0 : 2;
  std::size_t Second = AddressOf(1) == AddressOf(First) ? 1 : 0;
  REQUIRE(AddressOf(First) == AddressOf(Second));
  std::string Address = AddressOf(First);
  PlaceReply Denied{.Version_ = 1, .LimitWait_ = Seconds(5)};
  Denied.Limit_ = LimitStatement{1.0, Start, Start};
  Core_.onPlaceReply(Port_.Asked_[First].Attempt_, Denied, Start);
  std::size_t Before = Port_.Begun_.size();
  PlaceReply Granted{.IsGranted_ = true, .Version_ = 1};
  Granted.Limit_ = Denied.Limit_;
  Core_.onPlaceReply(Port_.Asked_[Second].Attempt_, Granted, Start);
  REQUIRE(Port_.Begun_.size() == Before + 1);
  CHECK(Port_.last().Params_.Address_ == Address);
}

// Guards against a limit that is passed by because another field of the answer
// could not be read.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, given a limit beside an unreadable field, "
                 "takes the limit",
                 "[limit]") {
  CallNumber N = send("/safe/1");
  EndpointHead H = head(N);
  H.RateLimit_ = 1.0;
  H.Unreadable_ = {"another field"};
  Core_.onHead(Port_.last().Attempt_, H, Start);
  CHECK(Core_.limits().inForce() == 1);
}

// Guards against ways to a limited endpoint that need no grant.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, before endpoints with a limit and without a "
                 "granter, begins neither first nor second attempts, nor "
                 "resumed streams",
                 "[limit]") {
  // Each of the two engines states a limit with its first answer, and breaks
  // the stream.
  CallNumber N = send("/stream/1");
  for (int I = 0; I < 2; ++I) {
    REQUIRE(Port_.Begun_.size() == static_cast<std::size_t>(I + 1));
    AttemptNumber A = Port_.last().Attempt_;
    EndpointHead H = head(N, 200, true);
    H.RateLimit_ = 1.0;
    Core_.onHead(A, H, Start);
    Core_.onBody(A, "id: " + std::to_string(I + 1) + "\ndata: x\n\n", Start);
    Core_.onFail(A, false, "reset", Start);
  }
  REQUIRE(Core_.limits().inForce() == 2);
  std::size_t Before = Port_.Begun_.size();
  for (int Ms = 0; Ms < 1000; Ms += 100) {
    TimePoint Now = Start + Milliseconds(Ms);
    send("/stream/1", Now);
    Core_.tick(Now);
  }
  // The share of one of 300 entries: none in a second.
  CHECK(Port_.Begun_.size() == Before);
}

// Guards against endpoints that stay unused for minutes because no agent was
// heard at the moment of their first limited request.
TEST_CASE_METHOD(CoreFixture,
                 "traffic core, that waits for its own share of a limit, asks "
                 "for a grant once an agent is heard",
                 "[limit]") {
  for (int I = 0; I < 2; ++I) {
    CallNumber N = send("/safe/1");
    EndpointHead H = head(N);
    H.RateLimit_ = 1.0;
    Core_.onHead(Port_.last().Attempt_, H, Start);
    Core_.onEnd(Port_.last().Attempt_, Start);
  }
  REQUIRE(Core_.limits().inForce() == 2);
  CHECK(answerOf(send("/safe/1")).Cause_ == Cause::EndpointsHeld);
  Port_.HasGranters_ = true;
  TimePoint Heard = Start + Seconds(1);
  Core_.engineUpdated("10.0.1.0:80", false, 1, std::nullopt, Heard);
  send("/safe/1", Heard);
  CHECK(Port_.Asked_.size() == 1);
}
