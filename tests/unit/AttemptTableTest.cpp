#include "hawthornroad/routing/AttemptTable.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {

const VersionDigest V1("sha256:one");
const VersionDigest V2("sha256:two");
constexpr RequesterId EntryA = 11;
constexpr RequesterId EntryB = 22;

AttemptId id(std::uint64_t Number) { return {Number, Number}; }

// A ready model endpoint of capacity 4 with one place in its queue, and a
// manually advanced clock.
struct TableFixture {
  AttemptLimits Limits_{.Buffer_ = 8, .Keep_ = Seconds(60)};
  AttemptTable Table_{attemptChart(CHARTS_DIR), Limits_};
  EndpointFacts Facts_{ServiceName("copywriter-lm"),
                       true,
                       EndpointPhase::Ready,
                       V1,
                       4,
                       Milliseconds(5)};
  TimePoint Now_ = TimePoint() + Seconds(1000);

  TableFixture() { Table_.setEndpoint(Facts_); }

  AttemptSpec spec(std::uint64_t Number, bool Repeatable = true) {
    return {.Attempt_ = id(Number),
            .Request_ = {7, Number},
            .Service_ = ServiceName("copywriter-lm"),
            .Customer_ = Customer("hp-travel"),
            .Repeatable_ = Repeatable,
            .Deadline_ = Seconds(30),
            .BodyBytes_ = 10};
  }
  AttemptActions begin(std::uint64_t Number, bool Repeatable = true,
                       RequesterId From = EntryA) {
    return Table_.handle(BeginReceived{spec(Number, Repeatable), From}, Now_);
  }
  AttemptActions head(std::uint64_t Number, unsigned Status = 200,
                      VersionDigest Version = V1) {
    return Table_.handle(HeadReceived{id(Number), {Status, {}, Version}}, Now_);
  }
  AttemptActions data(std::uint64_t Number, std::string Bytes) {
    return Table_.handle(DataReceived{id(Number), std::move(Bytes)}, Now_);
  }
  AttemptActions whole(std::uint64_t Number) {
    return Table_.handle(RunEnded{id(Number), std::nullopt, true}, Now_);
  }
  AttemptActions broken(std::uint64_t Number, bool Sent) {
    return Table_.handle(
        RunEnded{id(Number), Error(Step::Receive, "e", "reset"), Sent}, Now_);
  }
  AttemptActions query(std::uint64_t Number, std::uint64_t Offset,
                       RequesterId From = EntryB) {
    return Table_.handle(QueryReceived{id(Number), Offset, From}, Now_);
  }
  AttemptActions ack(std::uint64_t Number, std::uint64_t Offset) {
    return Table_.handle(AckReceived{id(Number), Offset}, Now_);
  }
  AttemptActions lose(RequesterId From) {
    return Table_.handle(RequesterLost{From}, Now_);
  }
  AttemptActions advance(Duration Step) {
    Now_ += Step;
    return Table_.tick(Now_);
  }
};

template <class ActionT> std::vector<ActionT> all(const AttemptActions &From) {
  std::vector<ActionT> Found;
  for (const AttemptAction &Each : From)
    if (auto *Match = std::get_if<ActionT>(&Each))
      Found.push_back(*Match);
  return Found;
}

template <class ActionT> ActionT only(const AttemptActions &From) {
  auto Found = all<ActionT>(From);
  REQUIRE(Found.size() == 1);
  return Found.front();
}

std::uint64_t hashOf(std::string_view Text) {
  Fnv1a Hash;
  Hash.update(Text);
  return Hash.value();
}

} // namespace

// Guards against running a duplicated request: the network delivers a Begin
// twice (on the same or another connection), the agent takes the copy for new
// work, and a client is billed twice.
TEST_CASE_METHOD(TableFixture, "attempt, begun twice, runs once", "[attempt]") {
  REQUIRE(begin(1) ==
          AttemptActions{SendAccepted{EntryA, id(1)}, StartRun{id(1)}});
  REQUIRE(begin(1).empty());
  REQUIRE(begin(1, true, EntryB).empty());
  whole(1);
  REQUIRE(begin(1).empty());
  REQUIRE(Table_.running() == 0);
}

// The entry queried on a new connection, received NeverSeen and answered its
// caller "not run"; then the Begin, delayed on the old connection, arrives.
TEST_CASE_METHOD(TableFixture,
                 "begin, late after its attempt was denied, is refused",
                 "[attempt]") {
  REQUIRE(only<SendState>(query(1, 0)).Phase_ == AttemptPhase::NeverSeen);
  AttemptActions Late = begin(1);
  REQUIRE(all<StartRun>(Late).empty());
  only<SendRefused>(Late);
  advance(Seconds(59));
  REQUIRE(all<StartRun>(begin(1)).empty());
  REQUIRE(only<SendState>(query(1, 0)).Phase_ == AttemptPhase::NeverSeen);
}

// As above, with a cancel that overtakes its Begin, or a refusal followed by a
// copy of the Begin when capacity is available again: a request reported as
// "not run" must not run.
TEST_CASE_METHOD(TableFixture,
                 "begin, repeated after a refusal or a cancel, is refused "
                 "again",
                 "[attempt]") {
  Table_.handle(CancelReceived{id(1)}, Now_);
  REQUIRE(all<StartRun>(begin(1)).empty());
  Facts_.Phase_ = EndpointPhase::Starting;
  Table_.setEndpoint(Facts_);
  REQUIRE(only<SendRefused>(begin(2)).Reason_ == AttemptRefusal::NotReady);
  Facts_.Phase_ = EndpointPhase::Ready;
  Table_.setEndpoint(Facts_);
  REQUIRE(only<SendRefused>(begin(2)).Reason_ == AttemptRefusal::NotReady);
  advance(Seconds(1199));
  REQUIRE(all<StartRun>(begin(2)).empty());
  advance(Seconds(1));
  REQUIRE(all<StartRun>(begin(2)).size() == 1);
}

// An entry is suspended for minutes while its attempt runs and ends, then
// resumes and queries it. The answer NeverSeen would let it report "not run"
// for a crew entry that was made; a late copy of the Begin would make it twice.
TEST_CASE_METHOD(TableFixture,
                 "attempt, forgotten after it ran, is not called unseen and "
                 "does not run again",
                 "[attempt]") {
  begin(1);
  whole(1);
  advance(Seconds(300));
  REQUIRE(Table_.finished() == 0);
  AttemptActions Asked = query(1, 0);
  REQUIRE(only<SendState>(Asked).Phase_ == AttemptPhase::Finished);
  REQUIRE_FALSE(only<SendFailed>(Asked).Failure_.NotRun_);
  AttemptActions Late = begin(1);
  REQUIRE(all<StartRun>(Late).empty());
  REQUIRE_FALSE(only<SendFailed>(Late).Failure_.NotRun_);
  AttemptActions Dropped = Table_.handle(BeginDropped{id(1), EntryA}, Now_);
  REQUIRE(all<SendRefused>(Dropped).empty());
}

// The process drops the second copy of a Begin while the first one runs: a
// refusal would report a running attempt as "not run".
TEST_CASE_METHOD(TableFixture,
                 "dropped begin, while its first copy runs, is not refused",
                 "[attempt]") {
  begin(1);
  REQUIRE(Table_.handle(BeginDropped{id(1), EntryA}, Now_).empty());
  only<SendRefused>(Table_.handle(BeginDropped{id(2), EntryA}, Now_));
  REQUIRE(all<StartRun>(begin(2)).empty());
}

TEST_CASE_METHOD(TableFixture, "begin, against each limit, names its refusal",
                 "[attempt]") {
  struct Row {
    std::function<void(EndpointFacts &, AttemptSpec &)> Change_;
    AttemptRefusal Reason_;
  };
  auto Case = GENERATE(values<Row>(
      {{[](auto &F, auto &) { F.Phase_ = EndpointPhase::Draining; },
        AttemptRefusal::Draining},
       {[](auto &F, auto &) { F.Phase_ = EndpointPhase::Starting; },
        AttemptRefusal::NotReady},
       {[](auto &, auto &S) { S.Service_ = ServiceName("panel-api"); },
        AttemptRefusal::WrongService},
       {[](auto &, auto &S) { S.Version_ = V2; }, AttemptRefusal::WrongVersion},
       {[](auto &, auto &S) { S.Deadline_ = Milliseconds(9); },
        AttemptRefusal::DeadlineTooShort},
       {[](auto &F, auto &S) {
          F.Step_ = Seconds(2);
          S.Deadline_ = Seconds(1);
        },
        AttemptRefusal::DeadlineTooShort},
       {[](auto &, auto &S) { S.BodyBytes_ = 1 << 30; },
        AttemptRefusal::Overloaded}}));
  AttemptSpec Spec = spec(1);
  Case.Change_(Facts_, Spec);
  Table_.setEndpoint(Facts_);
  AttemptActions Actions = Table_.handle(BeginReceived{Spec, EntryA}, Now_);
  REQUIRE(Actions.size() == 1);
  REQUIRE(only<SendRefused>(Actions).Reason_ == Case.Reason_);
}

TEST_CASE_METHOD(TableFixture,
                 "begin, beyond capacity and queue, is refused until one ends",
                 "[attempt]") {
  for (std::uint64_t N = 1; N <= 5; ++N)
    REQUIRE(all<StartRun>(begin(N)).size() == 1);
  SendRefused Full = only<SendRefused>(begin(6));
  REQUIRE(Full.Reason_ == AttemptRefusal::Overloaded);
  REQUIRE(Full.RetryAfter_ > Duration::zero());
  whole(1);
  REQUIRE(all<StartRun>(begin(7)).size() == 1);
}

TEST_CASE_METHOD(TableFixture, "answer, whole, ends with its length and hash",
                 "[attempt]") {
  begin(1);
  REQUIRE(only<SendHead>(head(1)).Head_.Status_ == 200);
  REQUIRE(only<SendData>(data(1, "ab")) == SendData{EntryA, id(1), 0, "ab"});
  REQUIRE(only<SendData>(data(1, "c")) == SendData{EntryA, id(1), 2, "c"});
  Now_ += Milliseconds(40);
  AttemptActions End = whole(1);
  REQUIRE(only<SendEnd>(End) == SendEnd{EntryA, id(1), 3, hashOf("abc")});
  AttemptEnded Ended = only<AttemptEnded>(End);
  REQUIRE(Ended.RunTime_ == Milliseconds(40));
  REQUIRE(Ended.FirstByte_ == Duration::zero());
  REQUIRE_FALSE(Ended.Failure_.has_value());
}

TEST_CASE_METHOD(TableFixture,
                 "answer, cut short, ends in a failure and no end",
                 "[attempt]") {
  begin(1);
  head(1);
  data(1, "ab");
  AttemptActions Cut = broken(1, true);
  REQUIRE(all<SendEnd>(Cut).empty());
  REQUIRE_FALSE(only<SendFailed>(Cut).Failure_.NotRun_);
  REQUIRE(whole(1).empty());
  REQUIRE(data(1, "c").empty());
  only<SendFailed>(query(1, 0));
}

TEST_CASE_METHOD(TableFixture,
                 "failure, with nothing sent or an engine's 503, says not run",
                 "[attempt]") {
  begin(1);
  REQUIRE(only<SendFailed>(broken(1, false)).Failure_.NotRun_);
  begin(2);
  AttemptActions Declined = head(2, 503, VersionDigest());
  REQUIRE(only<SendFailed>(Declined).Failure_.NotRun_);
  REQUIRE(only<StopRun>(Declined).Attempt_ == id(2));
  // The 503 of a plain service is a regular answer.
  Facts_.IsModel_ = false;
  Table_.setEndpoint(Facts_);
  begin(3);
  REQUIRE(only<SendHead>(head(3, 503, VersionDigest())).Head_.Status_ == 503);
}

// Guards against text of two versions in one answer: the engine was reloaded
// between the acceptance of a request and its run.
TEST_CASE_METHOD(TableFixture,
                 "answer, of another version than the pinned one, passes no "
                 "byte",
                 "[attempt]") {
  VersionDigest Named = GENERATE(values({V2, VersionDigest()}));
  begin(1);
  AttemptActions Wrong = head(1, 200, Named);
  REQUIRE(all<SendHead>(Wrong).empty());
  only<StopRun>(Wrong);
  REQUIRE_FALSE(only<SendFailed>(Wrong).Failure_.NotRun_);
  REQUIRE(data(1, "ab").empty());
}

TEST_CASE_METHOD(TableFixture,
                 "run, whose answer is not fetched, pauses and goes on after "
                 "acknowledgement",
                 "[attempt]") {
  begin(1);
  head(1);
  REQUIRE(all<PauseRun>(data(1, "1234567")).empty());
  only<PauseRun>(data(1, "8"));
  // Bytes already read before the pause took effect are kept too.
  REQUIRE(only<SendData>(data(1, "9")).Offset_ == 8);
  AttemptActions Early = ack(1, 4);
  REQUIRE(all<ResumeRun>(Early).empty());
  REQUIRE(only<ReleaseRun>(Early).Offset_ == 4);
  AttemptActions Enough = ack(1, 6);
  only<ResumeRun>(Enough);
  REQUIRE(only<ReleaseRun>(Enough).Offset_ == 6);
  // Duplicate and out of order: nothing more is freed.
  REQUIRE(ack(1, 6).empty());
  REQUIRE(ack(1, 4).empty());
}

// The entry's connection goes silent. It queries on a new one and must get the
// missing bytes once, and all that follow; the old connection gets nothing.
TEST_CASE_METHOD(TableFixture,
                 "query, of a running attempt, moves the answer to its "
                 "connection",
                 "[attempt]") {
  begin(1);
  head(1);
  data(1, "abcd");
  AttemptActions Found = query(1, 2);
  REQUIRE(only<SendState>(Found) ==
          SendState{EntryB, id(1), AttemptPhase::Running, 4});
  only<SendHead>(Found);
  REQUIRE(only<SendData>(Found) == SendData{EntryB, id(1), 2, "cd"});
  REQUIRE(only<SendData>(data(1, "e")).To_ == EntryB);
  lose(EntryA);
  REQUIRE(only<SendEnd>(whole(1)).To_ == EntryB);
  AttemptActions Again = query(1, 0, EntryA);
  REQUIRE(only<SendState>(Again).Phase_ == AttemptPhase::Finished);
  REQUIRE(all<SendData>(Again).size() == 2);
  REQUIRE(only<SendEnd>(Again).Hash_ == hashOf("abcde"));
}

TEST_CASE_METHOD(TableFixture,
                 "query, for bytes already freed, fails and gives no gap",
                 "[attempt]") {
  begin(1);
  head(1);
  data(1, "abcd");
  ack(1, 4);
  whole(1);
  AttemptActions Below = query(1, 2);
  REQUIRE(all<SendEnd>(Below).empty());
  only<SendFailed>(Below);
  only<SendEnd>(query(1, 4));
}

// An entry fails with an invoice in progress: if the attempt were stopped, it
// would be unknown whether it ran. A request to a model may be repeated.
TEST_CASE_METHOD(TableFixture,
                 "attempt, with its entry lost, goes on when it may not be "
                 "repeated",
                 "[attempt]") {
  begin(1, true);
  begin(2, false);
  lose(EntryA);
  REQUIRE(advance(Milliseconds(9999)).empty());
  AttemptActions Due = advance(Milliseconds(1));
  REQUIRE(only<StopRun>(Due).Attempt_ == id(1));
  REQUIRE(all<SendFailed>(Due).empty());
  advance(Seconds(100));
  REQUIRE(Table_.running() == 1);
  head(2);
  REQUIRE(all<SendData>(data(2, "ab")).empty());
  whole(2);
  REQUIRE(only<SendEnd>(query(2, 0)).Length_ == 2);
}

TEST_CASE_METHOD(TableFixture,
                 "attempt, asked after within the grace, is not given up",
                 "[attempt]") {
  begin(1);
  lose(EntryA);
  advance(Seconds(9));
  query(1, 0);
  REQUIRE(advance(Seconds(9)).empty());
  REQUIRE(only<StopRun>(advance(Seconds(13))).Attempt_ == id(1));
}

TEST_CASE_METHOD(TableFixture,
                 "attempt that may not be repeated, paused past its deadline, "
                 "frees its place",
                 "[attempt]") {
  begin(1, false);
  head(1);
  data(1, "12345678");
  REQUIRE(advance(Seconds(30)).empty());
  only<StopRun>(advance(Seconds(1)));
  REQUIRE(Table_.running() == 0);
}

TEST_CASE_METHOD(TableFixture, "cancel stops the run, once", "[attempt]") {
  begin(1);
  AttemptActions Cancelled = Table_.handle(CancelReceived{id(1)}, Now_);
  only<StopRun>(Cancelled);
  REQUIRE(Table_.handle(CancelReceived{id(1)}, Now_).empty());
  REQUIRE(begin(1).empty());
  only<SendFailed>(query(1, 0));
}

TEST_CASE_METHOD(TableFixture,
                 "finished attempts are bounded in time, count and bytes",
                 "[attempt]") {
  Limits_.MaxFinished_ = 3;
  Limits_.MaxFinishedBytes_ = 8;
  AttemptTable Small(attemptChart(CHARTS_DIR), Limits_);
  Small.setEndpoint(Facts_);
  for (std::uint64_t N = 1; N <= 5; ++N) {
    Small.handle(BeginReceived{spec(N), EntryA}, Now_);
    Small.handle(HeadReceived{id(N), {200, {}, V1}}, Now_);
    Small.handle(DataReceived{id(N), "abcd"}, Now_);
    Small.handle(RunEnded{id(N), std::nullopt, true}, Now_);
  }
  REQUIRE(Small.finished() == 3);
  REQUIRE(Small.finishedBytes() == 8);
  REQUIRE(Small.unacknowledged() == 2);
  auto Ask = [&](std::uint64_t N) {
    return Small.handle(QueryReceived{id(N), 0, EntryB}, Now_);
  };
  only<SendFailed>(Ask(3));
  only<SendEnd>(Ask(4));
  Small.handle(AckReceived{id(4), 4}, Now_);
  Small.handle(AckReceived{id(4), 4}, Now_);
  Small.handle(AckReceived{id(5), 4}, Now_);
  REQUIRE(Small.unacknowledged() == 0);
  REQUIRE(Small.finishedBytes() == 0);
  Small.tick(Now_ + Seconds(60));
  REQUIRE(Small.finished() == 0);
}

TEST_CASE("past attempts, beyond the bound, forget the oldest and count it",
          "[attempt]") {
  PastAttempts Past(Seconds(60), 2);
  TimePoint Now;
  for (std::uint64_t N = 1; N <= 3; ++N)
    Past.addRefused(id(N), AttemptRefusal::Draining, Now);
  Past.addRan(id(3), Now);
  REQUIRE(Past.size() == 2);
  REQUIRE(Past.evictedEarly() == 1);
  REQUIRE_FALSE(Past.find(id(1)).has_value());
  REQUIRE(Past.find(id(3))->Refusal_ == AttemptRefusal::Draining);
  Past.expire(Now + Seconds(60));
  REQUIRE(Past.size() == 0);
}
