// Figures by which requests to cold endpoints are granted, and their granters.

#include "hawthornroad/traffic/ColdGrants.h"

#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
constexpr Duration ColdFor = Seconds(3);
const ProcessName Asker("entry");

struct Figures {
  double PerSecond_;
  double Factor_;
  double Slack_;
  double arrivals() const { return PerSecond_ * Factor_ + Slack_; }
};

const std::vector<Figures> Table = {
    {15, 1.5, 5},  {15, 1, 0},    {15, 1.25, 7},   {1, 1, 0},    {1, 1, 1},
    {1, 1.5, 0.1}, {0.2, 1.5, 5}, {0.5, 1, 0.4},   {2, 1.2, 3},  {4, 2, 0},
    {7, 1.1, 1.7}, {10, 1.5, 5},  {10, 1, 10},     {30, 1.5, 5}, {60, 1.05, 1},
    {100, 1.5, 5}, {100, 3, 50},  {333.3, 1.5, 5}, {1000, 1, 0}, {0, 1.5, 5},
};

struct Granter {
  GranterRole Role_;
  ColdGrants Grants_;
};

// Asks each granter as often as it can; returns the most grants in any span in
// which they may be used within one second.
std::size_t mostGranted(std::vector<Granter> &Granters, const ColdLimit &L,
                        Duration Length) {
  const EndpointStart E{EndpointId("i-1"), 7};
  std::deque<TimePoint> Last;
  std::size_t Most = 0;
  for (TimePoint Now = Start; Now < Start + Length; Now += Milliseconds(2)) {
    for (Granter &G : Granters) {
      G.Grants_.note(E, L, Now);
      while (G.Grants_.check(E, true, Asker, G.Role_, Now).IsGranted_) {
        G.Grants_.take(E);
        Last.push_back(Now);
      }
    }
    while (!Last.empty() && Now - Last.front() >= ColdWindow)
      Last.pop_front();
    Most = std::max(Most, Last.size());
  }
  return Most;
}
} // namespace

// Guards against figures by which two granters and the entries without one
// exceed together what a cold endpoint bears.
TEST_CASE("cold figures, of any two granters and all shares, stay within the "
          "arrivals of a second",
          "[cold]") {
  double T = std::chrono::duration<double>(ColdWindow).count();
  for (const Figures &F : Table) {
    CAPTURE(F.PerSecond_, F.Factor_, F.Slack_);
    double All = F.arrivals();
    auto Sum = [&](GranterRole A, GranterRole B) {
      ColdRate First = coldRate(All, A);
      ColdRate Second = coldRate(All, B);
      return T * (First.PerSecond_ + Second.PerSecond_ + coldShareRate(All)) +
             First.Burst_ + Second.Burst_;
    };
    constexpr double Rounding = 1e-9;
    CHECK(Sum(GranterRole::Beside, GranterRole::Substitute) <=
          All * (1 + Rounding));
    CHECK(Sum(GranterRole::Chosen, GranterRole::Chosen) <=
          All * (1 + Rounding));
    CHECK(coldShareRate(All) >= 0);
    for (GranterRole R :
         {GranterRole::Beside, GranterRole::Substitute, GranterRole::Chosen}) {
      ColdRate Each = coldRate(All, R);
      CHECK((Each.PerSecond_ == 0 || Each.Burst_ >= 1));
      CHECK(Each.PerSecond_ >= 0);
    }
  }
}

TEST_CASE("cold grants, of two granters at once, stay within the arrivals of a "
          "second",
          "[cold]") {
  auto IsEngine = GENERATE(true, false);
  for (const Figures &F : Table) {
    CAPTURE(F.PerSecond_, F.Factor_, F.Slack_, IsEngine);
    ColdLimit L{F.PerSecond_, F.arrivals(), ColdFor};
    // They have been running for long, so their buckets are full.
    TimePoint Started = Start - Seconds(100);
    std::vector<Granter> Granters(
        2, Granter{GranterRole::Chosen, ColdGrants(Started)});
    if (IsEngine) {
      Granters[0].Role_ = GranterRole::Beside;
      Granters[1].Role_ = GranterRole::Substitute;
    }
    CHECK(static_cast<double>(mostGranted(Granters, L, Seconds(10))) <=
          F.arrivals());
  }
}

// Guards against a bound that idles engines: one of 12 places ends ten requests
// a second while 15 a second are allowed.
TEST_CASE("cold grants, beside an engine that bears 15 a second, grant more "
          "than it ends",
          "[cold]") {
  ColdRate R = coldRate(27.5, GranterRole::Beside);
  CHECK(R.PerSecond_ >= 11);
  CHECK(R.Burst_ >= 4);
}

// Guards against a restarted granter that grants a whole burst once more.
TEST_CASE("cold grants, just restarted, grant no burst", "[cold]") {
  const EndpointStart E{EndpointId("i-1"), 7};
  ColdGrants G(Start);
  G.note(E, {15, 27.5, ColdFor}, Start);
  LimitGrants::Verdict V = G.check(E, true, Asker, GranterRole::Beside, Start);
  CHECK_FALSE(V.IsGranted_);
  CHECK(V.Wait_ > Duration::zero());
  CHECK(V.Wait_ <= Milliseconds(100));
  CHECK(G.denied() == 1);
  CHECK(G.check(E, true, Asker, GranterRole::Beside,
                Start + V.Wait_ + Milliseconds(1))
            .IsGranted_);
}

// Guards against entries that each get a burst since they know another start.
TEST_CASE("cold grants, asked for two starts of an endpoint, count both",
          "[cold]") {
  ColdGrants G(Start - Seconds(100));
  const EndpointStart Old{EndpointId("i-1"), 7};
  const EndpointStart New{EndpointId("i-1"), 8};
  ColdLimit L{15, 27.5, ColdFor};
  CHECK(G.note(Old, L, Start));
  CHECK(G.note(New, L, Start));
  CHECK_FALSE(G.note(Old, L, Start));
  CHECK_FALSE(G.find(Old, Start));
  unsigned Granted = 0;
  for (int I = 0; I < 40; ++I) {
    const EndpointStart &E = I % 2 == 0 ? Old : New;
    if (!G.check(E, false, Asker, GranterRole::Beside, Start).IsGranted_)
      continue;
    G.take(E);
    ++Granted;
  }
  CHECK(Granted == 4);
}

TEST_CASE("cold grants, once the time has passed, grant every query that "
          "states no limit",
          "[cold]") {
  const EndpointStart E{EndpointId("i-1"), 7};
  ColdGrants G(Start);
  G.note(E, {15, 27.5, ColdFor}, Start);
  TimePoint Warm = Start + ColdFor;
  CHECK_FALSE(G.find(E, Warm));
  for (int I = 0; I < 50; ++I) {
    CHECK(G.check(E, false, Asker, GranterRole::Beside, Warm).IsGranted_);
    G.take(E);
  }
}

// Guards against memory that grows with each endpoint that was ever cold.
TEST_CASE("cold grants, of more endpoints than are remembered, do not grow",
          "[cold]") {
  ColdGrants G(Start);
  constexpr std::size_t More = 64;
  for (std::size_t I = 0; I < ColdGrants::MaxKnown + More; ++I) {
    EndpointStart Each{EndpointId("i-" + std::to_string(I)), 0};
    TimePoint Now = Start + Milliseconds(static_cast<int>(I));
    G.note(Each, {15, 27.5, ColdFor}, Now);
    G.check(Each, true, Asker, GranterRole::Beside, Now);
  }
  CHECK(G.known() <= ColdGrants::MaxKnown);
}
