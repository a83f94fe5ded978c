// Entries before endpoints that are cold at times, under a load that cold
// endpoints do not bear.

#include "tests/unit/ColdFleet.h"

#include <cstdio>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
constexpr Duration ColdFor = Seconds(3);

// All endpoints are cold at the start, endpoint 0 becomes cold while its row
// says that it is warm, and endpoint 1 restarts under its id.
void disturb(ColdFleet &F) {
  F.cool(0, Start + Seconds(8));
  F.restartEndpoint(1, Start + Seconds(9));
}

std::string describe(const ColdFleet &F) {
  return "requests above the bound in the worst second: " +
         std::to_string(F.excess());
}
} // namespace

// Guards the model: it exceeds the bound where nobody knows of cold endpoints.
TEST_CASE("fleet of entries, that do not know of cold endpoints, exceeds what "
          "these bear",
          "[cold-fleet]") {
  auto Entries = GENERATE(9U, 45U, 100U, 300U);
  auto IsEngine = GENERATE(true, false);
  ColdFleet F(
      {.Entries_ = Entries, .IsEngine_ = IsEngine, .KnowsCold_ = false});
  disturb(F);
  F.run(Seconds(15));
  CAPTURE(Entries, IsEngine);
  CHECK(F.excess() > 0);
}

// Guards against entries that each send little, and too much together.
TEST_CASE("fleet of entries, before engines that become cold at any moment, "
          "stays within what these bear",
          "[cold-fleet]") {
  auto Entries = GENERATE(9U, 45U, 100U, 300U);
  auto Seed = GENERATE(1U, 2U);
  ColdFleet F({.Entries_ = Entries, .Seed_ = Seed});
  disturb(F);
  F.jump(Start + Seconds(8), 2);
  F.run(Seconds(15));
  CAPTURE(Entries, Seed);
  INFO(describe(F));
  CHECK(F.excess() <= 0);
  // Warm endpoints are used meanwhile.
  CHECK(F.arrivals(2, Start + Seconds(8), Start + Seconds(13)) >= 30);
}

// Guards against plain endpoints whose granter differs from entry to entry.
TEST_CASE("fleet of entries, before plain endpoints that are cold at the "
          "start, stays within what these bear",
          "[cold-fleet]") {
  auto Entries = GENERATE(9U, 45U, 100U, 300U);
  ColdFleet F({.Entries_ = Entries, .IsEngine_ = false});
  F.run(Seconds(6));
  CAPTURE(Entries);
  INFO(describe(F));
  CHECK(F.excess() <= 0);
  CHECK(F.arrivals(0, Start, Start + ColdFor) >= 9);
}

// Guards against a load that plain endpoints go on receiving after they have
// become cold, until their rows say so.
TEST_CASE("fleet of entries, before plain endpoints that become cold without "
          "a statement, stays within what these bear and serves as much as "
          "before while all are warm",
          "[cold-fleet]") {
  auto Entries = GENERATE(2U, 9U, 45U, 100U, 300U);
  auto KnowsEntries = GENERATE(true, false);
  auto Seed = GENERATE(1U, 2U, 3U);
  auto Run = [&](bool AnswersHealth) {
    auto F = std::make_unique<ColdFleet>(
        ColdFleet::Options{.Entries_ = Entries,
                           .IsEngine_ = false,
                           .AnswersHealth_ = AnswersHealth,
                           .KnowsEntries_ = KnowsEntries,
                           .RequestsPerSecond_ = 480,
                           .Seed_ = Seed});
    F->cool(0, Start + Seconds(8));
    F->cool(3, Start + Milliseconds(8500));
    F->run(Seconds(14));
    return F;
  };
  auto Unchecked = Run(false);
  auto F = Run(true);
  CAPTURE(Entries, KnowsEntries, Seed);
  INFO(describe(*F));
  CHECK(Unchecked->excess() > 0);
  CHECK(F->excess() <= 0);
  auto WhileWarm = [](const ColdFleet &Of) {
    return static_cast<double>(
        Of.served(Start + Seconds(5), Start + Seconds(8)));
  };
  constexpr double Tolerance = 0.95;
  CHECK(WhileWarm(*F) >= Tolerance * WhileWarm(*Unchecked));
  // Four of six are warm then.
  CHECK(F->served(Start + Seconds(9), Start + Seconds(12)) >=
        Tolerance * 4 / 6 * WhileWarm(*Unchecked));
}

// Guards against an endpoint that becomes cold while nobody can ask it.
TEST_CASE("fleet of entries, before a plain endpoint that becomes cold and "
          "answers no health check, stays within what it bears and uses it "
          "again",
          "[cold-fleet]") {
  auto Entries = GENERATE(2U, 9U, 100U);
  auto HasAgents = GENERATE(true, false);
  ColdFleet F(
      {.Entries_ = Entries, .IsEngine_ = false, .HasAgents_ = HasAgents});
  constexpr TimePoint Cold = Start + Seconds(8);
  F.silenceHealth(0, Cold - Milliseconds(200), Cold + Seconds(4));
  F.cool(0, Cold);
  F.run(Seconds(18));
  CAPTURE(Entries, HasAgents);
  INFO(describe(F));
  CHECK(F.excess() <= 0);
  CHECK(F.arrivals(0, Cold + Seconds(6), Cold + Seconds(9)) >= 90);
}

// Guards against a rejected health check that counts as one that shows a warm
// endpoint: full endpoints reject them as they reject requests.
TEST_CASE(
    "fleet of entries, before plain endpoints that become cold and reject "
    "their health checks, stays within what these bear and uses them "
    "again",
    "[cold-fleet]") {
  auto Entries = GENERATE(2U, 9U, 45U, 100U, 300U);
  // Of the checks while they are warm.
  auto Rejected = GENERATE(0.0, 0.5, 1.0);
  auto Seed = GENERATE(1U, 2U, 3U);
  ColdFleet F({.Entries_ = Entries,
               .IsEngine_ = false,
               .RejectsHealthWhileCold_ = true,
               .RejectedHealth_ = Rejected,
               .RequestsPerSecond_ = 480,
               .Seed_ = Seed});
  constexpr TimePoint Cold = Start + Seconds(8);
  F.cool(0, Cold);
  F.cool(3, Cold + Milliseconds(500));
  F.run(Seconds(16));
  CAPTURE(Entries, Rejected, Seed);
  INFO(describe(F));
  CHECK(F.excess() <= 0);
  if (Rejected == 0)
    CHECK(F.arrivals(0, Cold + Seconds(5), Cold + Seconds(8)) >= 90);
}

// Guards against endpoints that are unused since a part of their health checks
// is rejected.
TEST_CASE("fleet of entries, before warm endpoints that reject a part of their "
          "health checks, serves most of what it serves without",
          "[cold-fleet]") {
  auto Entries = GENERATE(2U, 9U, 45U, 100U);
  auto Served = [&](double Rejected) {
    ColdFleet F({.Entries_ = Entries,
                 .IsEngine_ = false,
                 .RejectedHealth_ = Rejected,
                 .RequestsPerSecond_ = 480});
    F.run(Seconds(10));
    return static_cast<double>(
        F.served(Start + Seconds(5), Start + Seconds(10)));
  };
  CAPTURE(Entries, Served(0), Served(0.4));
  // The share of the checks that are answered.
  constexpr double Answered = 0.6;
  CHECK(Served(0.4) >= Answered * Served(0));
}

// Guards against a late copy of another answer that counts as a health answer.
TEST_CASE("fleet of entries, given copies of other answers to their health "
          "checks, sends as if there were none",
          "[cold-fleet]") {
  auto Run = [](bool AnswersHealth, bool SendsCopies) {
    auto F = std::make_unique<ColdFleet>(
        ColdFleet::Options{.IsEngine_ = false,
                           .AnswersHealth_ = AnswersHealth,
                           .SendsCopies_ = SendsCopies});
    F->run(Seconds(8));
    return static_cast<double>(
        F->served(Start + Seconds(4), Start + Seconds(8)));
  };
  constexpr double Tolerance = 0.95;
  CHECK(Run(true, true) >= Tolerance * Run(false, false));
}

TEST_CASE(
    "fleet of entries, whose granters are silent for a time, stays within "
    "what cold engines bear",
    "[cold-fleet]") {
  auto Entries = GENERATE(9U, 45U, 100U, 300U);
  ColdFleet F({.Entries_ = Entries});
  disturb(F);
  F.silence(0, Start + Milliseconds(500), Start + Seconds(10));
  F.silence(1, Start + Milliseconds(9500), Start + Seconds(11));
  F.run(Seconds(15));
  CAPTURE(Entries);
  INFO(describe(F));
  CHECK(F.excess() <= 0);
}

TEST_CASE("fleet of entries, whose granters restart, stays within what cold "
          "engines bear",
          "[cold-fleet]") {
  auto Entries = GENERATE(9U, 45U, 100U, 300U);
  ColdFleet F({.Entries_ = Entries});
  disturb(F);
  for (int I = 0; I < 5; ++I) {
    F.restartAgent(0, Start + Seconds(8) + I * Milliseconds(300));
    F.restartAgent(1, Start + Seconds(9) + I * Milliseconds(300));
    F.restartAgent(2, Start + I * Milliseconds(200));
  }
  F.run(Seconds(15));
  CAPTURE(Entries);
  INFO(describe(F));
  CHECK(F.excess() <= 0);
}

TEST_CASE("fleet of entries, restarted one after the other, stays within what "
          "cold engines bear",
          "[cold-fleet]") {
  auto Entries = GENERATE(9U, 45U, 100U, 300U);
  auto HasAgents = GENERATE(true, false);
  auto IsEngine = GENERATE(true, false);
  ColdFleet F(
      {.Entries_ = Entries, .IsEngine_ = IsEngine, .HasAgents_ = HasAgents});
  Duration Between = Seconds(2) / Entries;
  for (unsigned I = 0; I < Entries; ++I)
    F.restartEntry(I, Start + Milliseconds(500) + I * Between);
  F.run(Seconds(5));
  CAPTURE(Entries, HasAgents, IsEngine);
  INFO(describe(F));
  CHECK(F.excess() <= 0);
}

// Guards against entries that send everything for want of a granter, or nothing
// for good.
TEST_CASE("fleet of entries, without any agent, stays within what cold "
          "endpoints bear and uses them once they are warm",
          "[cold-fleet]") {
  auto Entries = GENERATE(9U, 45U, 100U, 300U);
  auto IsEngine = GENERATE(true, false);
  ColdFleet F(
      {.Entries_ = Entries, .IsEngine_ = IsEngine, .HasAgents_ = false});
  F.run(Seconds(6));
  CAPTURE(Entries, IsEngine);
  INFO(describe(F));
  CHECK(F.excess() <= 0);
  CHECK(F.served(Start + Seconds(4), Start + Seconds(6)) >= 200);
}

// Guards against entries whose own shares add up with what granters grant.
TEST_CASE("fleet of entries, half of which reach no agent, stays within what "
          "cold endpoints bear while entries restart",
          "[cold-fleet]") {
  auto Entries = GENERATE(9U, 45U, 100U, 300U);
  auto IsEngine = GENERATE(true, false);
  ColdFleet F(
      {.Entries_ = Entries, .IsEngine_ = IsEngine, .Agentless_ = Entries / 2});
  for (unsigned I = 0; I < Entries; ++I)
    F.restartEntry(I, Start + Milliseconds(500) + I * Milliseconds(7));
  F.run(Seconds(6));
  CAPTURE(Entries, IsEngine);
  INFO(describe(F));
  CHECK(F.excess() <= 0);
}

// Guards against warm engines that stand idle because their agents answer after
// the timeout: busy machines answer late, all at the same time.
TEST_CASE("fleet of entries, whose agents answer late, stays within what cold "
          "engines bear and uses half of what warm ones end",
          "[cold-fleet]") {
  auto Entries = GENERATE(9U, 45U, 100U, 300U);
  auto Delay = GENERATE(Milliseconds(30), Milliseconds(100));
  ColdFleet F({.Entries_ = Entries, .AgentDelay_ = Delay});
  disturb(F);
  F.run(Seconds(20));
  CAPTURE(Entries, Delay.count());
  INFO(describe(F));
  CHECK(F.excess() <= 0);
  CHECK(F.arrivals(2, Start + Seconds(10), Start + Seconds(20)) >= 50);
}

// Guards against a zone that is crashed by the load which it is to relieve, and
// against callers that wait or are sent back too early.
TEST_CASE("fleet of entries, whose zone returns cold while the load jumps, "
          "refuses at once what the others cannot take",
          "[cold-fleet]") {
  auto Entries = GENERATE(9U, 45U, 100U, 300U);
  auto IsSlowEngine = GENERATE(true, false);
  ColdFleet F({.Entries_ = Entries, .IsSlowEngine_ = IsSlowEngine});
  constexpr TimePoint Back = Start + Seconds(10);
  F.evacuate(Start + Seconds(5), Back);
  F.jump(Back, 2.5);
  F.run(Seconds(15));
  CAPTURE(Entries, IsSlowEngine);
  INFO(describe(F));
  CHECK(F.excess() <= 0);
  CHECK(F.arrivals(5, Start + Milliseconds(5100), Back) == 0);
  CHECK(F.arrivals(5, Back, Back + ColdFor) >= 10);
  // The endpoints of the other zone take what they can.
  CHECK(F.arrivals(0, Back, Back + ColdFor) >= 20);
  std::size_t Held = 0;
  Duration Slowest = Duration::zero();
  for (const ColdFleet::Refusal &Each : F.refusals()) {
    if (Each.At_ < Back)
      continue;
    Slowest = std::max(Slowest, Each.After_);
    if (Each.Cause_ != Cause::EndpointsHeld)
      continue;
    ++Held;
    CHECK(Each.RetryAfter_ >= Milliseconds(200));
  }
  CAPTURE(Held, Slowest.count());
  // A request waits no longer than its share of the goal, and one tick.
  CHECK(Slowest <= Milliseconds(150));
  if (IsSlowEngine)
    CHECK(Held > 0);
}

// Guards against a deployment without cold endpoints that is served otherwise.
TEST_CASE(
    "fleet of entries, of a service whose endpoints are never cold, takes "
    "the same actions whatever rows state",
    "[cold-fleet]") {
  auto IsEngine = GENERATE(true, false);
  auto Run = [&](Duration Stated) {
    auto F = std::make_unique<ColdFleet>(ColdFleet::Options{
        .IsEngine_ = IsEngine, .KnowsCold_ = false, .ColdFor_ = Stated});
    F->cool(0, Start + Seconds(3));
    F->run(Seconds(8));
    return F;
  };
  auto Never = Run(Duration::zero());
  auto Stated = Run(Seconds(60));
  for (unsigned I = 0; I < 6; ++I)
    CHECK(Never->arrivals(I) == Stated->arrivals(I));
  CHECK(Never->refusals().size() == Stated->refusals().size());
}

// For the documentation: build/tests/unit-tests "[cold-open]"
TEST_CASE("table of endpoints that become cold before their rows say so",
          "[.cold-open]") {
  std::puts("entries engine checks: above the bound in the worst second, "
            "served a second while all are warm, checks a request");
  for (unsigned Entries : {2U, 9U, 45U, 100U, 300U})
    for (bool IsEngine : {true, false})
      for (bool AnswersHealth : {false, true}) {
        ColdFleet F({.Entries_ = Entries,
                     .IsEngine_ = IsEngine,
                     .IsSlowEngine_ = false,
                     .AnswersHealth_ = AnswersHealth,
                     .RequestsPerSecond_ = 480});
        F.cool(0, Start + Seconds(8));
        F.run(Seconds(12));
        double Served = static_cast<double>(
            F.served(Start + Seconds(4), Start + Seconds(8)));
        std::printf("%4u %d %d: %6.1f %6.1f %5.2f\n", Entries, IsEngine,
                    AnswersHealth, F.excess(), Served / 4,
                    static_cast<double>(F.healthChecks()) /
                        static_cast<double>(F.allArrivals()));
      }
}

// For the documentation: build/tests/unit-tests "[cold-table]"
TEST_CASE("table of cold endpoints", "[.cold-table]") {
  std::puts("entries engine known: above the bound in the worst second, share "
            "of the cold rate used");
  for (unsigned Entries : {9U, 45U, 100U, 300U})
    for (bool IsEngine : {true, false})
      for (bool Knows : {false, true}) {
        double Worst = -1000;
        double Used = 0;
        constexpr unsigned Seeds = 3;
        for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
          ColdFleet F({.Entries_ = Entries,
                       .IsEngine_ = IsEngine,
                       .KnowsCold_ = Knows,
                       .Seed_ = Seed});
          if (IsEngine)
            disturb(F);
          F.run(Seconds(15));
          Worst = std::max(Worst, F.excess());
          Used += static_cast<double>(F.arrivals(0, Start, Start + ColdFor)) /
                  (15 * 3) / Seeds;
        }
        std::printf("%4u %d %d: %6.1f %5.2f\n", Entries, IsEngine, Knows, Worst,
                    Used);
      }
}
