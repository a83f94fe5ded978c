// Which endpoints count as cold, and until when.

#include "hawthornroad/traffic/ColdEndpoints.h"
#include "hawthornroad/peers/LimitCodec.h"
#include "hawthornroad/traffic/ColdGrants.h"
#include "tests/unit/TrafficFixture.h"

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
constexpr Duration ColdFor = Seconds(3);

Endpoint endpoint(const std::string &Id, std::uint64_t Born = 1) {
  Endpoint E;
  E.Id_ = EndpointId(Id);
  E.Service_ = Model;
  E.Zone_ = AvailabilityZone(Id.substr(0, 1));
  E.Born_ = Born;
  E.HasModel_ = true;
  return E;
}

// ColdEndpoints of one process, with a service of engines.
struct Fixture {
  ColdEndpoints Cold_{{}, Random(1)};
  EndpointSet Set_;
  RoutingConfig::Parts Parts_ = parts();

  explicit Fixture(double AnswerTokens = 0) {
    ServiceConfig &S = Parts_.Services_[1];
    S.ColdFor_ = ColdFor;
    S.ColdPerSecond_ = 15;
    S.Engine_->Slots_ = 12;
    S.Engine_->StepMs_ = 20;
    S.Engine_->MeanAnswerTokens_ = AnswerTokens;
  }
  void row(const Endpoint &E, TimePoint Now) {
    Set_.changed(E, Now);
    list(Now);
  }
  void list(TimePoint Now) {
    Cold_.listed(Set_, *RoutingConfig::build(RoutingConfig::Parts(Parts_)),
                 Now);
  }
};
} // namespace

// Guards against a cold time that grows with each exchange, by the time on the
// way, and so never ends.
TEST_CASE("cold time, exchanged between entries and a granter without pause, "
          "ends",
          "[cold]") {
  auto OnTheWay =
      GENERATE(Milliseconds(1), Milliseconds(40), Milliseconds(200));
  CAPTURE(OnTheWay.count());
  Endpoint E = endpoint("a-1");
  std::vector<Fixture> Entries(3);
  for (Fixture &F : Entries)
    F.row(E, Start);
  ColdGrants G(Start);
  TimePoint Now = Start;
  unsigned Next = 0;
  while (Now < Start + Seconds(20)) {
    Fixture &F = Entries[Next++ % Entries.size()];
    TimePoint AskedAt = Now;
    auto Stated = F.Cold_.find(E, Now);
    Now += OnTheWay;
    if (Stated)
      G.note(startOf(E), *Stated, Now);
    auto Known = G.find(startOf(E), Now);
    Now += OnTheWay;
    F.Cold_.noteGranter(startOf(E), Known, AskedAt, Now);
  }
  CHECK_FALSE(G.find(startOf(E), Start + ColdFor + Seconds(1)));
  for (Fixture &F : Entries)
    CHECK(F.Cold_.coldUntil(E) <= Start + ColdFor + Seconds(1));
}

// Guards against a new process that takes unknown endpoints for warm.
TEST_CASE("cold endpoint, first seen, counts as cold for the service's time",
          "[cold]") {
  Fixture F;
  Endpoint E = endpoint("a-1");
  F.row(E, Start);
  auto L = F.Cold_.find(E, Start);
  REQUIRE(L);
  CHECK(L->PerSecond_ == 15);
  CHECK(L->Arrivals_ == 27.5);
  CHECK(L->Left_ == ColdFor);
  // Further changes of the list do not prolong it.
  F.list(Start + Seconds(2));
  F.row(E, Start + Seconds(2));
  CHECK(F.Cold_.isCold(E, Start + ColdFor - Milliseconds(1)));
  CHECK_FALSE(F.Cold_.find(E, Start + ColdFor));
}

TEST_CASE("cold endpoint, whose row states a time, counts as cold from when "
          "the row was seen",
          "[cold]") {
  Fixture F;
  Endpoint E = endpoint("a-1");
  F.row(E, Start);
  TimePoint Later = Start + Seconds(10);
  CHECK_FALSE(F.Cold_.isCold(E, Later));
  E.ColdLeft_ = Seconds(2);
  F.row(E, Later);
  CHECK(F.Cold_.isCold(E, Later + Milliseconds(1999)));
  // The list changes, this row does not.
  F.list(Later + Seconds(1));
  CHECK_FALSE(F.Cold_.isCold(E, Later + Seconds(2)));
  // The same row is read again: it became cold once more.
  F.row(E, Later + Seconds(5));
  CHECK(F.Cold_.isCold(E, Later + Seconds(6)));
  // An earlier end does not shorten it.
  E.ColdLeft_ = Milliseconds(100);
  F.row(E, Later + Seconds(6));
  CHECK(F.Cold_.isCold(E, Later + Milliseconds(6900)));
}

TEST_CASE("cold endpoint, restarted under its id, counts as cold anew",
          "[cold]") {
  Fixture F;
  F.row(endpoint("a-1", 1), Start);
  TimePoint Later = Start + Seconds(10);
  Endpoint Again = endpoint("a-1", 2);
  F.row(Again, Later);
  CHECK(F.Cold_.isCold(Again, Later + Seconds(2)));
  // Statements on the earlier start do not count for the new one.
  F.Cold_.noteAnswer({Again.Id_, 1}, Seconds(60), Later);
  CHECK_FALSE(F.Cold_.isCold(Again, Later + ColdFor));
}

TEST_CASE("cold endpoint, by an answer or a granter, counts as cold for the "
          "stated time",
          "[cold]") {
  Fixture F;
  Endpoint E = endpoint("a-1");
  F.row(E, Start);
  TimePoint Later = Start + Seconds(10);
  F.Cold_.noteAnswer(startOf(E), std::nullopt, Later);
  CHECK_FALSE(F.Cold_.isCold(E, Later));
  F.Cold_.noteAnswer(startOf(E), Milliseconds(700), Later);
  CHECK(F.Cold_.isCold(E, Later + Milliseconds(699)));
  CHECK_FALSE(F.Cold_.isCold(E, Later + Milliseconds(700)));
  F.Cold_.noteGranter(startOf(E), ColdLimit{15, 27.5, Seconds(2)}, Later,
                      Later + Milliseconds(2));
  CHECK(F.Cold_.isCold(E, Later + Milliseconds(2001)));
  CHECK_FALSE(F.Cold_.isCold(E, Later + Milliseconds(2002)));
}

// Guards against endpoints that are held back although they have just stated
// to be warm, and against an answer that ends what a later row states.
TEST_CASE("cold endpoint, whose answer states no cold time, is known to be "
          "warm unless it was stated as cold",
          "[cold]") {
  Fixture F;
  Endpoint E = endpoint("a-1");
  F.row(E, Start);
  F.Cold_.noteAnswer(startOf(E), Duration::zero(), Start + Milliseconds(5));
  CHECK_FALSE(F.Cold_.isCold(E, Start + Milliseconds(5)));
  Endpoint Stated = endpoint("a-2");
  Stated.ColdLeft_ = Seconds(2);
  F.row(Stated, Start);
  F.Cold_.noteAnswer(startOf(Stated), Duration::zero(),
                     Start + Milliseconds(5));
  CHECK(F.Cold_.isCold(Stated, Start + Seconds(1)));
  CHECK_FALSE(F.Cold_.isCold(Stated, Start + Seconds(2)));
}

TEST_CASE("cold endpoints, of a restored zone, count as cold, those of others "
          "do not",
          "[cold]") {
  Fixture F;
  Endpoint A = endpoint("a-1");
  Endpoint B = endpoint("b-1");
  F.row(A, Start);
  F.row(B, Start);
  TimePoint Later = Start + Seconds(10);
  F.Cold_.zonesRestored({AvailabilityZone("b")}, F.Set_, Later);
  CHECK_FALSE(F.Cold_.isCold(A, Later));
  CHECK(F.Cold_.isCold(B, Later + ColdFor - Milliseconds(1)));
  CHECK_FALSE(F.Cold_.isCold(B, Later + ColdFor));
}

// Guards against a list that is empty for a moment, after which every endpoint
// would count as unknown.
TEST_CASE("cold endpoint, missing from the list for a moment, is remembered",
          "[cold]") {
  Fixture F;
  Endpoint E = endpoint("a-1");
  F.row(E, Start);
  TimePoint Later = Start + Seconds(10);
  F.Cold_.takeReports(Later);
  F.Set_.removed({E.Id_}, Later);
  F.list(Later);
  F.row(E, Later + Seconds(30));
  CHECK_FALSE(F.Cold_.isCold(E, Later + Seconds(30)));
}

// Guards against a permanent bound that costs an engine requests which it could
// serve, and against engines that are unlimited until their row arrives.
TEST_CASE(
    "cold endpoint, of engines that end fewer requests than they bear, is "
    "limited at all times",
    "[cold]") {
  struct Case {
    double AnswerTokens_;
    bool IsPermanent_;
  };
  // Ten, 15 and 15.1 requests a second; none known.
  auto C = GENERATE(
      values<Case>({{60, true}, {40, true}, {39.7, false}, {0, false}}));
  CAPTURE(C.AnswerTokens_);
  Fixture F(C.AnswerTokens_);
  Endpoint E = endpoint("a-1");
  F.row(E, Start);
  TimePoint Warm = Start + Seconds(10);
  auto L = F.Cold_.find(E, Warm);
  CHECK(L.has_value() == C.IsPermanent_);
  if (L)
    CHECK(L->Left_ == Duration::zero());
  CHECK_FALSE(F.Cold_.isCold(E, Warm));
  // Without a granter, it is then used without limit.
  CHECK(F.Cold_.shareAt(E, Warm) <= Warm);
}

TEST_CASE("cold endpoints, of a service without a cold rate, are never limited",
          "[cold]") {
  Fixture F(60);
  F.Parts_.Services_[1].ColdPerSecond_ = 0;
  Endpoint E = endpoint("a-1");
  E.ColdLeft_ = Seconds(60);
  F.row(E, Start);
  F.Cold_.noteAnswer(startOf(E), Seconds(60), Start);
  CHECK_FALSE(F.Cold_.find(E, Start));
  CHECK_FALSE(F.Cold_.isCold(E, Start));
  CHECK(F.Cold_.takeReports(Start).empty());
}

TEST_CASE("cold endpoint, is reported once when it becomes cold and once when "
          "it is warm",
          "[cold]") {
  Fixture F;
  Endpoint E = endpoint("a-1");
  F.row(E, Start);
  auto First = F.Cold_.takeReports(Start);
  REQUIRE(First.size() == 1);
  CHECK(First[0].IsCold_);
  CHECK(First[0].Source_ == "first_seen");
  CHECK(First[0].For_ == ColdFor);
  CHECK(F.Cold_.cold(Start) == 1);
  CHECK(F.Cold_.takeReports(Start + Seconds(1)).empty());
  auto Second = F.Cold_.takeReports(Start + ColdFor);
  REQUIRE(Second.size() == 1);
  CHECK_FALSE(Second[0].IsCold_);
  CHECK(Second[0].For_ == ColdFor);
  CHECK(F.Cold_.cold(Start + ColdFor) == 0);
}

TEST_CASE("cold state, encoded by one process and decoded by another, is the "
          "same",
          "[cold]") {
  ColdLimit L{15, 27.5, Milliseconds(1234)};
  CHECK(decodeCold(encodeCold(L).get()) == L);
  CHECK_FALSE(decodeCold(encodeCold(std::nullopt).get()));
}
