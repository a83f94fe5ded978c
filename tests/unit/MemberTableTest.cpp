#include "hawthornroad/membership/MemberTable.h"
#include "hawthornroad/config/InForceSet.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hawthornroad;
using State = MemberState;

namespace {

Member word(State S, Incarnation I, Revision R = 0) {
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
  std::vector<std::string> hear(const Member &M) {
    std::vector<std::string> Out;
    for (const MemberChange &Each : Table_.hear(M, Now_))
      Out.emplace_back(toString(Each.Kind_));
    return Out;
  }
  const Member &x() { return *Table_.find(ProcessName("x")); }
  void pass(Duration D) {
    Now_ += D;
    Table_.tick(Now_);
  }
};

struct WordCase {
  State Held_;
  Incarnation HeldAt_;
  State Heard_;
  Incarnation HeardAt_;
  State Then_;
  Incarnation ThenAt_;
};

} // namespace

TEST_CASE_METHOD(TableFixture,
                 "word of a member, by state and incarnation, is believed or "
                 "not",
                 "[membertable]") {
  auto C = GENERATE(values<WordCase>({
      {State::Alive, 5, State::Alive, 4, State::Alive, 5},
      {State::Alive, 5, State::Alive, 6, State::Alive, 6},
      {State::Alive, 5, State::Suspect, 4, State::Alive, 5},
      {State::Alive, 5, State::Suspect, 5, State::Suspect, 5},
      {State::Alive, 5, State::Dead, 4, State::Alive, 5},
      // Hearsay of a death is only a suspicion here.
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
  hear(word(C.Held_, C.HeldAt_));
  REQUIRE(x().State_ == C.Held_);
  for (int Times = 0; Times < 2; ++Times) {
    hear(word(C.Heard_, C.HeardAt_));
    CHECK(x().State_ == C.Then_);
    CHECK(x().Incarnation_ == C.ThenAt_);
  }
  bool Live = C.Then_ <= State::Suspect;
  CHECK(Table_.live().size() == (Live ? 1 : 0));
  CHECK(Table_.gone().size() == (Live ? 0 : 1));
}

TEST_CASE_METHOD(TableFixture,
                 "words of one member, in any order, end in the same record",
                 "[membertable]") {
  std::vector<Member> Words = {
      word(State::Alive, 5, 1), word(State::Suspect, 5, 2),
      word(State::Left, 5, 2), word(State::Alive, 7, 3),
      word(State::Suspect, 7, 4)};
  std::vector<std::size_t> Order = {0, 1, 2, 3, 4};
  do {
    MemberTable Table(Chart::load(CHARTS_DIR, "member", memberChartNames()),
                      self(), {});
    for (std::size_t I : Order)
      Table.hear(Words[I], Now_);
    const Member *X = Table.find(ProcessName("x"));
    REQUIRE(X->State_ == State::Suspect);
    REQUIRE(X->Incarnation_ == 7);
    REQUIRE(X->Revision_ == 4);
  } while (std::next_permutation(Order.begin(), Order.end()));
}

TEST_CASE_METHOD(TableFixture,
                 "suspect that does not refute in time is dead, is kept, and "
                 "then forgotten",
                 "[membertable]") {
  hear(word(State::Alive, 5));
  Table_.accuse(ProcessName("x"), Now_);
  pass(Milliseconds(1400));
  CHECK(x().State_ == State::Suspect);
  // The clock of a paused process moves on; the others' time to refute not.
  Table_.shift(Seconds(30));
  pass(Seconds(30));
  CHECK(x().State_ == State::Suspect);
  pass(Milliseconds(101));
  CHECK(x().State_ == State::Dead);
  pass(std::chrono::hours(1));
  CHECK(hear(word(State::Alive, 5)).empty());
  pass(std::chrono::hours(1));
  CHECK(Table_.find(ProcessName("x")) == nullptr);
  CHECK(Table_.gone().empty());
}

TEST_CASE_METHOD(TableFixture,
                 "word against this process is refuted by a higher incarnation",
                 "[membertable]") {
  auto S = GENERATE(State::Suspect, State::Dead, State::Left);
  Member M = word(S, 10);
  M.Process_ = ProcessName("self");
  CHECK(hear(M) == std::vector<std::string>{"refuted"});
  CHECK(Table_.self().Incarnation_ == 11);
  CHECK(hear(M).empty());
  Table_.leave();
  M.Incarnation_ = 11;
  CHECK(hear(M).empty());
}

TEST_CASE_METHOD(TableFixture,
                 "report of an endpoint, late or of a predecessor, is dropped",
                 "[membertable]") {
  Member M = word(State::Alive, 5);
  M.Report_ = report(5, 2);
  hear(M);
  M.Report_ = report(5, 1);
  CHECK(hear(M).empty());
  M.Report_ = report(4, 9);
  CHECK(hear(M).empty());
  M.Report_ = report(5, 3);
  CHECK(hear(M) == std::vector<std::string>{"reported"});
  // A refutation keeps it; a new process under the name has another endpoint.
  CHECK(hear(word(State::Alive, 6)).empty());
  CHECK(x().Report_);
  CHECK(hear(word(State::Alive, 6 + RestartGap)) ==
        std::vector<std::string>{"restarted"});
  CHECK_FALSE(x().Report_);
}

TEST_CASE("table that is full refuses new members and counts them",
          "[membertable]") {
  MemberTable Table(Chart::load(CHARTS_DIR, "member", memberChartNames()),
                    TableFixture::self(), {.MaxMembers_ = 2});
  for (int I = 0; I < 4; ++I) {
    Member M = word(State::Alive, 1);
    M.Process_ = ProcessName("m" + std::to_string(I));
    Table.hear(M, TimePoint{});
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
