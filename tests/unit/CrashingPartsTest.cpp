// The module alone: what is counted, cleared, blocked and passed on.

#include "hawthornroad/traffic/CrashingParts.h"
#include "hawthornroad/peers/PartCodec.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(100000)};
constexpr PromptPart Bad = 0xbad;
constexpr PromptPart Shared = 0x5a;

struct PartsFixture {
  CrashingParts Parts_{{}};
  TimePoint Now_ = Start;
  unsigned NextStart_ = 1;

  EndpointCrash crash(std::vector<PromptPart> Of) {
    Now_ += Milliseconds(10);
    return {{EndpointId("i-" + std::to_string(NextStart_++)), 0},
            Now_,
            std::move(Of)};
  }
  void crashTimes(unsigned Count, const std::vector<PromptPart> &Of) {
    for (unsigned I = 0; I < Count; ++I)
      Parts_.noteCrash(crash(Of), Now_);
  }
  void wait(Duration D) {
    Now_ += D;
    Parts_.tick(Now_);
  }
  bool isBlocked(PromptPart Part) const {
    return Parts_.blockedUntil({Part}, Now_).has_value();
  }
};
constexpr Duration Objection = CrashingParts::Options().Objection_;
constexpr Duration SameCrash = CrashingParts::Options().SameCrash_;
constexpr Duration SoundObjection = CrashingParts::Options().SoundObjection_;
constexpr Duration FirstBlock = CrashingParts::Options().FirstBlock_;
} // namespace

// Guards against a part that is refused by its first crashes, and against one
// crash that is counted for each of the processes which report it.
TEST_CASE_METHOD(PartsFixture,
                 "crashing parts, given crashes of distinct endpoints, block a "
                 "part by the fifth",
                 "[crash]") {
  for (int I = 0; I < 10; ++I)
    Parts_.noteCrash({{EndpointId("i-same"), 0}, Now_, {Bad}}, Now_);
  crashTimes(3, {Bad});
  wait(Objection);
  REQUIRE_FALSE(isBlocked(Bad));
  REQUIRE(Parts_.isSuspect({Bad}));
  crashTimes(1, {Bad});
  REQUIRE_FALSE(isBlocked(Bad));
  wait(Objection);
  REQUIRE(isBlocked(Bad));
  REQUIRE(Parts_.blocked() == 1);
  REQUIRE_FALSE(isBlocked(Shared));
}

// Guards against crashes that are not counted since the endpoint's row shows
// its new start later than it crashes again.
TEST_CASE_METHOD(PartsFixture,
                 "crashing parts, given ends of one listed start, count those "
                 "apart that are certain and far apart",
                 "[crash]") {
  EndpointCrash C{{EndpointId("i-1"), 0}, Now_, {Bad}, true};
  auto Counted = [&] { return Parts_.all().front().Crashes_.size(); };
  Parts_.noteCrash(C, Now_);
  // Another process noticed it later.
  C.At_ += Milliseconds(900);
  Parts_.noteCrash(C, Now_);
  CHECK(Counted() == 1);
  C.At_ = Now_ + SameCrash;
  C.IsCertain_ = false;
  Parts_.noteCrash(C, Now_);
  CHECK(Counted() == 1);
  C.IsCertain_ = true;
  Parts_.noteCrash(C, Now_);
  CHECK(Counted() == 2);
  CrashingParts Other({});
  Other.merge(Parts_.all().front(), Now_);
  CHECK(Other.all().front().Crashes_.size() == 2);
}

// Guards against a popular part that is blocked for its neighbour.
TEST_CASE_METHOD(PartsFixture,
                 "crashing parts, given whole answers between crashes, block "
                 "the part that never has one",
                 "[crash]") {
  for (int I = 0; I < 12; ++I) {
    crashTimes(1, {Shared, Bad});
    if (I % 3 == 2)
      Parts_.noteSound({Shared}, Now_ + Milliseconds(1));
  }
  wait(Objection);
  REQUIRE(isBlocked(Bad));
  REQUIRE_FALSE(isBlocked(Shared));
  REQUIRE_FALSE(Parts_.isSuspect({Shared}));
}

// Guards against a part that was sound before and crashes engines now, and is
// blocked by twice as many crashes as others.
TEST_CASE_METHOD(PartsFixture,
                 "crashing parts, given a part that was sound lately, block it "
                 "by the fifth crash unless it is answered whole soon",
                 "[crash]") {
  Parts_.noteSound({Bad, Shared}, Now_);
  crashTimes(2, {Bad, Shared});
  REQUIRE_FALSE(Parts_.isSuspect({Bad}));
  crashTimes(2, {Bad, Shared});
  REQUIRE(Parts_.isSuspect({Bad}));
  wait(SoundObjection);
  REQUIRE_FALSE(isBlocked(Bad));
  crashTimes(1, {Bad, Shared});
  wait(Objection);
  REQUIRE_FALSE(isBlocked(Bad));
  Now_ += Milliseconds(1);
  Parts_.noteSound({Shared}, Now_);
  wait(SoundObjection - Objection);
  REQUIRE(isBlocked(Bad));
  REQUIRE_FALSE(isBlocked(Shared));
}

// Guards against a sound part that is blocked as well since it was beside the
// culprit at each crash.
TEST_CASE_METHOD(PartsFixture,
                 "crashing parts, given a part that was sound lately beside a "
                 "blocked one, block it by crashes of its own alone",
                 "[crash]") {
  Parts_.noteSound({Shared}, Now_);
  crashTimes(6, {Bad, Shared});
  wait(SoundObjection);
  REQUIRE(isBlocked(Bad));
  REQUIRE_FALSE(isBlocked(Shared));
  // Nor later, though no request has it meanwhile.
  wait(2 * CrashingParts::Options().SoundMemory_);
  REQUIRE_FALSE(isBlocked(Shared));
  crashTimes(4, {Shared});
  wait(SoundObjection);
  REQUIRE_FALSE(isBlocked(Shared));
  crashTimes(1, {Shared});
  wait(SoundObjection);
  REQUIRE(isBlocked(Shared));
}

// Guards against a block that is kept for ever, and against five further
// crashes each time it ends.
TEST_CASE_METHOD(PartsFixture,
                 "crashing parts, after a block, block again by one crash and "
                 "for twice as long, until a whole answer",
                 "[crash]") {
  crashTimes(5, {Bad});
  wait(Objection);
  REQUIRE(isBlocked(Bad));
  // What others still report of the time before does not count.
  std::vector<PartEvidence> Before = Parts_.all();
  wait(FirstBlock);
  REQUIRE_FALSE(isBlocked(Bad));
  Parts_.merge(Before.front(), Now_);
  wait(Objection);
  REQUIRE_FALSE(isBlocked(Bad));
  crashTimes(1, {Bad});
  wait(Objection);
  REQUIRE(isBlocked(Bad));
  wait(FirstBlock);
  REQUIRE(isBlocked(Bad));
  wait(FirstBlock);
  REQUIRE_FALSE(isBlocked(Bad));
  Parts_.noteSound({Bad}, Now_);
  crashTimes(4, {Bad});
  wait(Objection);
  REQUIRE_FALSE(isBlocked(Bad));
}

// Guards against entries that each need five crashes of their own, and against
// a verdict that another entry could have refuted.
TEST_CASE_METHOD(PartsFixture,
                 "crashing parts, merged from other entries, count together "
                 "and heed objections",
                 "[crash]") {
  CrashingParts Relay({.IsRelay_ = true});
  CrashingParts Other({});
  crashTimes(2, {Bad, Shared});
  Other.noteSound({Shared}, Start - Seconds(1));
  for (int I = 0; I < 3; ++I)
    Other.noteCrash(crash({Bad, Shared}), Now_);
  // Through the wire and the relay, and back.
  auto Send = [&](CrashingParts &From, CrashingParts &To) {
    wire::PartReportT Report = encodeParts(From.takeChanged(), Now_);
    for (const PartEvidence &Each : decodeParts(Report, Now_))
      To.merge(Each, Now_);
  };
  Send(Parts_, Relay);
  Send(Other, Relay);
  CrashingParts Both = Relay;
  Send(Relay, Parts_);
  Send(Both, Other);
  wait(Objection);
  Other.tick(Now_);
  REQUIRE(isBlocked(Bad));
  REQUIRE_FALSE(isBlocked(Shared));
  REQUIRE(Other.blockedUntil({Bad}, Now_).has_value());
  REQUIRE_FALSE(Other.blockedUntil({Shared}, Now_).has_value());
  // Nothing new, so nothing is passed on.
  for (const PartEvidence &Each : Both.all())
    Relay.merge(Each, Now_);
  REQUIRE(Relay.takeChanged().empty());
  // An entry that has just started takes the block over at once.
  Send(Parts_, Relay);
  CrashingParts Started({});
  for (const PartEvidence &Each : Relay.all())
    Started.merge(Each, Now_);
  REQUIRE(Started.blockedUntil({Bad}, Now_).has_value());
}

// Guards against memory that grows with the parts that callers invent.
TEST_CASE_METHOD(PartsFixture,
                 "crashing parts, given more parts than they keep, forget the "
                 "oldest but no blocked one",
                 "[crash]") {
  crashTimes(5, {Bad});
  wait(Objection);
  for (PromptPart I = 0; I < 3 * CrashingParts::MaxParts; ++I)
    crashTimes(1, {0x100000 + I});
  REQUIRE(isBlocked(Bad));
  REQUIRE(Parts_.all().size() <= CrashingParts::MaxParts);
}

// Guards against connections that are lost for other reasons than a crash.
TEST_CASE("endpoint crashes, given lost connections, report those of endpoints "
          "that are found gone in time",
          "[crash]") {
  EndpointCrashes C;
  EndpointUse Gone{EndpointId("i-gone"), 1};
  EndpointUse Alive{EndpointId("i-alive"), 1};
  EndpointStart GoneStart{Gone.Id_, 1};
  EndpointStart AliveStart{Alive.Id_, 1};
  C.noteLost(Gone, {Bad}, LossEvidence::Strong, Start);
  C.noteLost(Gone, {}, LossEvidence::Strong, Start);
  C.noteLost(Alive, {Shared}, LossEvidence::Strong, Start);
  REQUIRE(C.take(Start).empty());
  REQUIRE(C.unconfirmed().size() == 2);
  C.noteAlive(AliveStart, Start + Milliseconds(1));
  C.noteEnd(AliveStart, EndProof::Refuses, Start + Seconds(1));
  C.noteEnd(GoneStart, EndProof::Unlisted, Start + Seconds(1));
  REQUIRE(C.take(Start + Seconds(1)) ==
          std::vector<EndpointCrash>{{GoneStart, Start, {Bad}}});
  // What is lost after that belongs to the same crash.
  C.noteLost(Gone, {Shared}, LossEvidence::Strong, Start + Seconds(2));
  REQUIRE(C.take(Start + Seconds(2)).size() == 1);
  REQUIRE(C.take(Start + Seconds(2)).empty());
  // Found gone too late.
  EndpointUse Late{EndpointId("i-late"), 1};
  C.noteLost(Late, {Bad}, LossEvidence::Strong, Start);
  REQUIRE(C.take(Start + EndpointCrashes::ConfirmWithin).empty());
  C.noteEnd({Late.Id_, 1}, EndProof::Refuses,
            Start + EndpointCrashes::ConfirmWithin);
  REQUIRE(C.take(Start + EndpointCrashes::ConfirmWithin).empty());
}

// Guards against sound requests of a queue that count for a crash because their
// endpoint left, and against a crash that is missed since the endpoint answers
// again before its row shows the new start.
TEST_CASE("endpoint crashes, given losses of each kind, need the proof that "
          "belongs to it",
          "[crash]") {
  struct Row {
    std::string Name_;
    LossEvidence Loss_;
    bool AnswersSince_;
    EndProof Proof_;
    Duration ProvedAfter_;
    bool IsCrash_;
  };
  static constexpr Duration Soon = Seconds(1);
  static constexpr Duration Late = EndpointCrashes::ListedWithin;
  auto R = GENERATE(values<Row>({
      {"begun", LossEvidence::Strong, false, EndProof::Unlisted, Soon, true},
      {"no head, row missing", LossEvidence::Weak, false, EndProof::Unlisted,
       Soon, false},
      {"no head, refuses", LossEvidence::Weak, false, EndProof::Refuses, Soon,
       true},
      {"no head, restarted", LossEvidence::Weak, false, EndProof::Restarted,
       Late, true},
      {"answers, refuses", LossEvidence::Strong, true, EndProof::Refuses, Soon,
       false},
      {"answers, restarted", LossEvidence::Strong, true, EndProof::Restarted,
       Soon, true},
      {"answers, restarted later", LossEvidence::Strong, true,
       EndProof::Restarted, Late, false},
  }));
  CAPTURE(R.Name_);
  EndpointCrashes C;
  EndpointUse U{EndpointId("i-1"), 1};
  EndpointStart E{U.Id_, 1};
  C.noteLost(U, {Bad}, R.Loss_, Start);
  if (R.AnswersSince_)
    C.noteAlive(E, Start + Milliseconds(200));
  C.noteEnd(E, R.Proof_, Start + R.ProvedAfter_);
  CHECK(C.take(Start + R.ProvedAfter_).size() == (R.IsCrash_ ? 1U : 0U));
}
