// Grants under a rate limit that an endpoint states.

#include "hawthornroad/traffic/LimitGrants.h"
#include "hawthornroad/peers/LimitCodec.h"
#include "hawthornroad/traffic/LimitShare.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
// Grants of this span may be used within the rule's four seconds.
constexpr Duration Window = Seconds(4) + LimitGrants::MaxGrantAge;
// Start of a granter that has run for long.
constexpr TimePoint LongBefore = Start - Seconds(600);
const EndpointStart E{EndpointId("i-1"), 7};

double allowed(double PerSecond) { return 1.5 * 4 * PerSecond + 5; }

LimitStatement statement(std::optional<double> PerSecond, TimePoint At) {
  return {PerSecond, At, At};
}

struct Granter {
  GranterRole Role_;
  LimitGrants Grants_;
};

// Asks each granter as often as it can; returns the most grants in any window.
std::size_t mostGranted(std::vector<Granter> &Granters, Duration Length) {
  std::deque<TimePoint> Last;
  std::size_t Most = 0;
  for (TimePoint Now = Start; Now < Start + Length; Now += Milliseconds(2)) {
    for (Granter &G : Granters)
      while (
          G.Grants_.check(E, ProcessName("entry"), G.Role_, Now).IsGranted_) {
        G.Grants_.take(E);
        Last.push_back(Now);
      }
    while (!Last.empty() && Now - Last.front() >= Window)
      Last.pop_front();
    Most = std::max(Most, Last.size());
  }
  return Most;
}
} // namespace

// Guards against a limit that is exceeded while entries disagree on the
// granter.
TEST_CASE("limit grants, of two granters at once, stay within the limit",
          "[limit]") {
  auto PerSecond = GENERATE(0.0, 0.5, 1.0, 1.7, 10.0, 100.0);
  auto IsEngine = GENERATE(true, false);
  CAPTURE(PerSecond, IsEngine);
  std::vector<Granter> Granters(
      2, Granter{GranterRole::Chosen, LimitGrants(LongBefore)});
  if (IsEngine) {
    Granters[0].Role_ = GranterRole::Beside;
    Granters[1].Role_ = GranterRole::Substitute;
  }
  for (Granter &G : Granters)
    G.Grants_.note(E, statement(PerSecond, Start));
  CHECK(static_cast<double>(mostGranted(Granters, Seconds(30))) <=
        allowed(PerSecond));
}

// Guards against a limit of zero that nobody finds to have ended.
TEST_CASE("limit grants, at a limit of zero, still grant a request now and "
          "then",
          "[limit]") {
  LimitGrants G(LongBefore);
  G.note(E, statement(0, Start));
  std::size_t Granted = 0;
  for (TimePoint Now = Start; Now < Start + Seconds(60); Now += Seconds(1))
    if (G.check(E, ProcessName("entry"), GranterRole::Chosen, Now).IsGranted_) {
      G.take(E);
      ++Granted;
    }
  CHECK(Granted >= 5);
}

// Guards against hundreds of entries that ask without pause.
TEST_CASE("limit grants, asked by many entries, tell each to wait longer",
          "[limit]") {
  LimitGrants G(LongBefore);
  G.note(E, statement(1, Start));
  Duration Longest = Duration::zero();
  for (int I = 0; I < 300; ++I) {
    LimitGrants::Verdict V =
        G.check(E, ProcessName("entry-" + std::to_string(I)),
                GranterRole::Chosen, Start);
    if (V.IsGranted_)
      G.take(E);
    else
      Longest = std::max(Longest, V.Wait_);
  }
  CHECK(Longest == LimitGrants::Options().MaxWait_);
}

TEST_CASE("limit grants, once the limit has ended, grant everything",
          "[limit]") {
  LimitGrants G(LongBefore);
  G.note(E, statement(1, Start));
  CHECK(G.note(E, statement(std::nullopt, Start + Seconds(1))));
  for (int I = 0; I < 100; ++I)
    CHECK(G.check(E, ProcessName("entry"), GranterRole::Chosen,
                  Start + Seconds(1))
              .IsGranted_);
}

// Guards against entries that all send at once after a pause.
TEST_CASE("limit share, not used at its time, is forfeited", "[limit]") {
  LimitShare S({.Entries_ = 10}, Random(1));
  TimePoint First = S.nextAt(E, 1, Start);
  CHECK(First >= Start);
  CHECK(S.nextAt(E, 1, First) == First);
  TimePoint Late = First + Seconds(10);
  CHECK(S.nextAt(E, 1, Late) > Late);
}

TEST_CASE("limit share, when the limit is raised, comes sooner", "[limit]") {
  LimitShare S({.Entries_ = 300}, Random(1));
  S.take(E, 0.5, Start);
  CHECK(S.nextAt(E, 100, Start) <= Start + Seconds(6));
}

TEST_CASE("stated limit, encoded by one process and decoded by another, keeps "
          "its ages",
          "[limit]") {
  LimitStatement S{1.7, Start - Milliseconds(300), Start - Milliseconds(100)};
  constexpr TimePoint Elsewhere{Seconds(5)};
  auto Encoded = encodeLimit(S, Start);
  LimitStatement Decoded = decodeLimit(*Encoded, Elsewhere);
  CHECK(Decoded == LimitStatement{1.7, Elsewhere - Milliseconds(300),
                                  Elsewhere - Milliseconds(100)});
  CHECK(encodeLimit(static_cast<const LimitStatement *>(nullptr), Start) ==
        nullptr);
}

// Guards against memory that grows with each endpoint that ever had a limit.
TEST_CASE("limit grants, of more endpoints than are remembered, do not grow",
          "[limit]") {
  LimitGrants G(LongBefore);
  constexpr std::size_t More = 64;
  for (std::size_t I = 0; I < StatedLimits::MaxKnown + More; ++I) {
    EndpointStart Each{EndpointId("i-" + std::to_string(I)), 0};
    TimePoint Now = Start + Milliseconds(static_cast<int>(I));
    G.note(Each, statement(1, Now));
    G.check(Each, ProcessName("entry"), GranterRole::Beside, Now);
  }
  CHECK(G.counted() <= StatedLimits::MaxKnown);
}

TEST_CASE("limit share, of more endpoints than are remembered, forgets those "
          "whose time has passed",
          "[limit]") {
  LimitShare S({.Entries_ = 1}, Random(1));
  for (std::size_t I = 0; I < StatedLimits::MaxKnown; ++I)
    S.nextAt({EndpointId("i-" + std::to_string(I)), 0}, 1, Start);
  // The draw of a new endpoint lies within one span, not after it.
  TimePoint Later = Start + Seconds(60);
  bool IsDrawn = false;
  for (int I = 0; I < 20; ++I)
    IsDrawn |= S.nextAt({EndpointId("new-" + std::to_string(I)), 0}, 1, Later) <
               Later + Seconds(2);
  CHECK(IsDrawn);
}
