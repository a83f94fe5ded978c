#include "hawthornroad/membership/MemberTable.h"
#include "hawthornroad/config/InForceSet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hawthornroad;
using State = MemberState;

namespace {

Member memberUpdate(State S, Incarnation I, Revision R = 0) {
  Member M;
  M.Process_ = ProcessName("x");
  M.Incarnation_ = I;
  M.State_ = S;
  M.Zone_ = AvailabilityZone("z");
  M.Revision_ = R;
  return M;
}

std::shared_ptr<const EndpointStatus> report(Incarnation I,
                                             std::uint64_t Sequence) {
  EndpointStatus S;
  S.Vm_ = Vm("vm");
  S.Incarnation_ = I;
  S.Sequence_ = Sequence;
  return std::make_shared<const EndpointStatus>(S);
}

struct TableFixture {
  TimePoint Now_ = TimePoint{} + Seconds(100);
  MemberTable Table_{
      Chart::load(CHARTS_DIR, "member", memberChartNames()), self(), {}};

  static Member self() {
    Member M;
    M.Process_ = ProcessName("self");
    M.Incarnation_ = 10;
    return M;
  }
  std::vector<std::string> applyUpdate(const Member &M) {
    std::vector<std::string> Out;
    for (const MemberChange &Each : Table_.applyUpdate(M, Now_))
      Out.emplace_back(toString(Each.Kind_));
    return Out;
  }
  const Member &x() { return *Table_.find(ProcessName("x")); }
  void advance(Duration D) {
    Now_ += D;
    Table_.tick(Now_);
  }
};

struct UpdateCase {
  State HeldState_;
  Incarnation HeldIncarnation_;
  State NewState_;
  Incarnation NewIncarnation_;
  State ExpectedState_;
  Incarnation ExpectedIncarnation_;
};

} // namespace

TEST_CASE_METHOD(TableFixture,
                 "update of a member is applied or ignored by state and "
                 "incarnation",
                 "[membertable]") {
  auto C = GENERATE(values<UpdateCase>({
      {State::Alive, 5, State::Alive, 4, State::Alive, 5},
      {State::Alive, 5, State::Alive, 6, State::Alive, 6},
      {State::Alive, 5, State::Suspect, 4, State::Alive, 5},
      {State::Alive, 5, State::Suspect, 5, State::Suspect, 5},
      {State::Alive, 5, State::Dead, 4, State::Alive, 5},
      // A death reported by another member is only a suspicion here.
      {State::Alive, 5, State::Dead, 5, State::Suspect, 5},
      {State::Alive, 5, State::Left, 5, State::Left, 5},
      {State::Alive, 5, State::Left, 4, State::Alive, 5},
      {State::Suspect, 5, State::Alive, 5, State::Suspect, 5},
      {State::Suspect, 5, State::Alive, 6, State::Alive, 6},
      {State::Suspect, 5, State::Dead, 5, State::Suspect, 5},
      {State::Suspect, 5, State::Suspect, 6, State::Suspect, 6},
      {State::Dead, 5, State::Alive, 5, State::Dead, 5},
      {State::Dead, 5, State::Alive, 4, State::Dead, 5},
      {State::Dead, 5, State::Alive, 6, State::Alive, 6},
      {State::Dead, 5, State::Suspect, 5, State::Dead, 5},
      {State::Dead, 5, State::Suspect, 6, State::Suspect, 6},
      {State::Dead, 5, State::Left, 5, State::Left, 5},
      {State::Left, 5, State::Alive, 5, State::Left, 5},
      {State::Left, 5, State::Dead, 5, State::Left, 5},
      {State::Left, 5, State::Alive, 6, State::Alive, 6},
  }));
  applyUpdate(memberUpdate(C.HeldState_, C.HeldIncarnation_));
  REQUIRE(x().State_ == C.HeldState_);
  for (int Times = 0; Times < 2; ++Times) {
    applyUpdate(memberUpdate(C.NewState_, C.NewIncarnation_));
    CHECK(x().State_ == C.ExpectedState_);
    CHECK(x().Incarnation_ == C.ExpectedIncarnation_);
  }
  bool Live = C.ExpectedState_ <= State::Suspect;
  CHECK(Table_.live().size() == (Live ? 1 : 0));
  CHECK(Table_.gone().size() == (Live ? 0 : 1));
}

TEST_CASE_METHOD(TableFixture,
                 "updates of one member, in any order, give the same record",
                 "[membertable]") {
  std::vector<Member> Updates = {
      memberUpdate(State::Alive, 5, 1), memberUpdate(State::Suspect, 5, 2),
      memberUpdate(State::Left, 5, 2), memberUpdate(State::Alive, 7, 3),
      memberUpdate(State::Suspect, 7, 4)};
  std::vector<std::size_t> Order = {0, 1, 2, 3, 4};
  do {
    MemberTable Table(Chart::load(CHARTS_DIR, "member", memberChartNames()),
                      self(), {});
    for (std::size_t I : Order)
      Table.applyUpdate(Updates[I], Now_);
    const Member *X = Table.find(ProcessName("x"));
    REQUIRE(X->State_ == State::Suspect);
    REQUIRE(X->Incarnation_ == 7);
    REQUIRE(X->Revision_ == 4);
  } while (std::next_permutation(Order.begin(), Order.end()));
}

TEST_CASE_METHOD(TableFixture,
                 "suspect that does not refute in time is dead, is retained, "
                 "and is then removed",
                 "[membertable]") {
  applyUpdate(memberUpdate(State::Alive, 5));
  Table_.suspect(ProcessName("x"), Now_);
  advance(Milliseconds(1400));
  CHECK(x().State_ == State::Suspect);
  // While this process is paused its clock runs on, but the time that the
  // others have to refute does not.
  Table_.shiftDeadlines(Seconds(30));
  advance(Seconds(30));
  CHECK(x().State_ == State::Suspect);
  advance(Milliseconds(101));
  CHECK(x().State_ == State::Dead);
  advance(std::chrono::hours(1));
  CHECK(applyUpdate(memberUpdate(State::Alive, 5)).empty());
  advance(std::chrono::hours(1));
  CHECK(Table_.find(ProcessName("x")) == nullptr);
  CHECK(Table_.gone().empty());
}

TEST_CASE_METHOD(TableFixture,
                 "update against this process is refuted by a higher "
                 "incarnation",
                 "[membertable]") {
  auto S = GENERATE(State::Suspect, State::Dead, State::Left);
  Member M = memberUpdate(S, 10);
  M.Process_ = ProcessName("self");
  CHECK(applyUpdate(M) == std::vector<std::string>{"refuted"});
  CHECK(Table_.self().Incarnation_ == 11);
  CHECK(applyUpdate(M).empty());
  Table_.leave();
  M.Incarnation_ = 11;
  CHECK(applyUpdate(M).empty());
}

TEST_CASE_METHOD(TableFixture,
                 "report of an endpoint, late or of a predecessor, is dropped",
                 "[membertable]") {
  Member M = memberUpdate(State::Alive, 5);
  M.Report_ = report(5, 2);
  applyUpdate(M);
  M.Report_ = report(5, 1);
  CHECK(applyUpdate(M).empty());
  M.Report_ = report(4, 9);
  CHECK(applyUpdate(M).empty());
  M.Report_ = report(5, 3);
  CHECK(applyUpdate(M) == std::vector<std::string>{"reported"});
  // A refutation keeps the report; a new process of the same name has a new
  // endpoint, so the report is dropped.
  CHECK(applyUpdate(memberUpdate(State::Alive, 6)).empty());
  CHECK(x().Report_);
  CHECK(applyUpdate(memberUpdate(State::Alive, 6 + RestartGap)) ==
        std::vector<std::string>{"restarted"});
  CHECK_FALSE(x().Report_);
}

TEST_CASE("full member table refuses new members and counts them",
          "[membertable]") {
  MemberTable Table(Chart::load(CHARTS_DIR, "member", memberChartNames()),
                    TableFixture::self(), {.MaxMembers_ = 2});
  for (int I = 0; I < 4; ++I) {
    Member M = memberUpdate(State::Alive, 1);
    M.Process_ = ProcessName("m" + std::to_string(I));
    Table.applyUpdate(M, TimePoint{});
  }
  CHECK(Table.live().size() == 2);
  CHECK(Table.refused() == 2);
}

TEST_CASE("marks of an older revision are dropped when a higher one begins",
          "[inforce]") {
  InForceSet Set;
  Set.begin(3);
  CHECK(Set.add(1));
  CHECK_FALSE(Set.add(1));
  CHECK(Set.pick(8, 2) == std::vector<std::uint32_t>{1});
  CHECK(Set.pick(8, 2) == std::vector<std::uint32_t>{1});
  CHECK(Set.pick(8, 2).empty());
  Set.begin(2);
  CHECK(Set.size() == 1);
  Set.begin(4);
  CHECK(Set.size() == 0);
}
