#include "hawthornroad/config/ApplyProtocol.h"
#include "hawthornroad/base/Error.h"
#include "hawthornroad/config/MergePatch.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <map>

using namespace hawthornroad;
using Catch::Matchers::Contains;
using Kind = ApplyOutcome::Kind;

namespace {
// How the fake table treats a call. Calls beyond a given list are answered.
enum class CallResult {
  Answered,
  NotSent,
  LostBefore, // the answer is lost and the write has no effect
  LostAfter,  // the write takes effect, then the answer is lost
  LostLate    // the write takes effect only after the next call
};

// The platform's table in memory, with an injected result for each call.
class FakeTable {
public:
  std::map<std::string, std::string> Values_;
  std::vector<TableCall> Calls_;
  std::size_t ListLimit_ = 2;

  TableAnswer perform(const TableCall &Call, CallResult Result) {
    Calls_.push_back(Call);
    std::optional<TableCall> Late = std::exchange(Late_, std::nullopt);
    TableAnswer A = performNow(Call, Result);
    if (Late)
      write(*Late);
    return A;
  }

private:
  TableAnswer performNow(const TableCall &Call, CallResult Result) {
    if (Result == CallResult::NotSent)
      return {.Kind_ = TableAnswer::Kind::NotSent};
    if (Result == CallResult::LostBefore)
      return {.Kind_ = TableAnswer::Kind::Lost};
    if (Result == CallResult::LostLate) {
      Late_ = Call;
      return {.Kind_ = TableAnswer::Kind::Lost};
    }
    TableAnswer A = answer(Call);
    return Result == CallResult::LostAfter
               ? TableAnswer{.Kind_ = TableAnswer::Kind::Lost}
               : A;
  }

  TableAnswer answer(const TableCall &Call) {
    switch (Call.Kind_) {
    case TableCall::Kind::List:
      return list(Call.Key_);
    case TableCall::Kind::Get:
      if (!Values_.contains(Call.Key_))
        return {.Kind_ = TableAnswer::Kind::Absent};
      return {.Kind_ = TableAnswer::Kind::Done,
              .Value_ = Values_[Call.Key_],
              .Etag_ = "\"e\""};
    default:
      return {.Kind_ = write(Call) ? TableAnswer::Kind::Done
                                   : TableAnswer::Kind::Refused};
    }
  }

  bool write(const TableCall &Call) {
    return Values_.emplace(Call.Key_, Call.Value_).second;
  }

  TableAnswer list(const std::string &After) {
    TableAnswer A{.Kind_ = TableAnswer::Kind::Done};
    for (auto At = Values_.upper_bound(After); At != Values_.end(); ++At)
      if (At->first.starts_with(RevisionKeyPrefix) &&
          A.Values_.size() < ListLimit_)
        A.Values_.push_back(At->second);
    return A;
  }

  std::optional<TableCall> Late_;
};

boost::json::value textOf(const std::string &Json) {
  return boost::json::parse(Json);
}

struct ApplyFixture {
  Chart Chart_ = Chart::load(CHARTS_DIR, "apply", ApplyProtocol::chartNames());
  Random Random_{7};
  FakeTable Table_;

  ApplyRequest request(const std::string &Change, const std::string &Json,
                       std::optional<Revision> Base = std::nullopt) {
    return {.Change_ = Change,
            .Author_ = "ana",
            .Reason_ = "why",
            .Text_ = textOf(Json),
            .Base_ = Base,
            .NowMs_ = 5};
  }

  // Between runs before each call and may act as another operator.
  ApplyOutcome run(ApplyRequest R, const std::vector<CallResult> &Results = {},
                   const std::function<void(const TableCall &)> &Between = {}) {
    ApplyProtocol P(Chart_, std::move(R), Random_);
    std::optional<TableCall> Next = P.start();
    for (std::size_t I = 0; Next; ++I) {
      REQUIRE(I < 50);
      if (Between)
        Between(*Next);
      CallResult Result =
          I < Results.size() ? Results[I] : CallResult::Answered;
      Next = P.onAnswer(Table_.perform(*Next, Result));
    }
    Snapshot_ = P.snapshotCall();
    return P.outcome();
  }

  std::size_t revisions() {
    std::size_t Count = 0;
    for (const auto &[Key, Value] : Table_.Values_)
      Count += Key.starts_with(RevisionKeyPrefix) ? 1 : 0;
    return Count;
  }

  std::optional<TableCall> Snapshot_;
};

std::vector<CallResult> readsThen(CallResult Result) {
  return {CallResult::Answered, CallResult::Answered, Result};
}
} // namespace

TEST_CASE_METHOD(ApplyFixture,
                 "apply, without faults, creates the next revision",
                 "[apply]") {
  ApplyOutcome First = run(request("c1", R"({"a":1,"b":2})"));
  REQUIRE(First.Kind_ == Kind::Accepted);
  REQUIRE(First.Revision_ == 1);
  ApplyOutcome Second = run(request("c2", R"({"a":1,"b":3})"));
  REQUIRE(Second.Revision_ == 2);
  RevisionRecord Record =
      parseRevisionRecord(Table_.Values_.at("config/revision/000000000002"));
  REQUIRE(Record.Patch_ == textOf(R"({"b":3})"));
  REQUIRE(Record.Digest_ == textDigest(textOf(R"({"a":1,"b":3})")));
  REQUIRE(Record.Change_ == "c2");
  REQUIRE(Record.Author_ == "ana");
  REQUIRE(Record.AcceptedMs_ == 5);
}

TEST_CASE_METHOD(ApplyFixture, "apply, of the text in force, writes nothing",
                 "[apply]") {
  run(request("c1", R"({"a":1})"));
  ApplyOutcome O = run(request("c2", R"({"a":1})"));
  REQUIRE(O.Kind_ == Kind::Unchanged);
  REQUIRE(O.Revision_ == 1);
  REQUIRE(revisions() == 1);
}

// Lost update: two operators apply changes to revision 1. Without a
// precondition on the successor's key the later write would overwrite the
// earlier change without either of them noticing.
TEST_CASE_METHOD(ApplyFixture, "apply, base overtaken, shows both changes",
                 "[apply]") {
  run(request("c1", R"({"a":1})"));
  SECTION("before it reads") {
    run(request("c2", R"({"a":2})"));
    ApplyOutcome O = run(request("c3", R"({"a":3})", 1));
    REQUIRE(O.Kind_ == Kind::Conflict);
    REQUIRE(O.Theirs_.size() == 1);
    REQUIRE(O.Theirs_[0].Change_ == "c2");
    REQUIRE(O.Theirs_[0].Patch_ == textOf(R"({"a":2})"));
    REQUIRE(O.Ours_.Patch_ == textOf(R"({"a":3})"));
    REQUIRE(O.PatchBase_ == 1);
  }
  SECTION("between its read and its write") {
    bool IsDone = false;
    ApplyOutcome O =
        run(request("c3", R"({"a":3})"), {}, [&](const TableCall &Call) {
          if (Call.Kind_ != TableCall::Kind::Create || IsDone)
            return;
          IsDone = true;
          run(request("c2", R"({"a":2})"));
        });
    REQUIRE(O.Kind_ == Kind::Conflict);
    REQUIRE(O.Theirs_.size() == 1);
    REQUIRE(O.Theirs_[0].Change_ == "c2");
    REQUIRE(O.Ours_.Patch_ == textOf(R"({"a":3})"));
  }
  REQUIRE(revisions() == 2);
}

// After "connection lost" the operator or the tool applies the change again
// although it was accepted. A second copy would undo what another operator
// changed in between.
TEST_CASE_METHOD(ApplyFixture, "apply, answer to the write lost, applies once",
                 "[apply]") {
  for (CallResult Result :
       {CallResult::LostAfter, CallResult::LostBefore, CallResult::LostLate}) {
    CAPTURE(static_cast<int>(Result));
    Table_.Values_.clear();
    ApplyOutcome O = run(request("c1", R"({"a":1})"), readsThen(Result));
    REQUIRE(O.Kind_ == Kind::Accepted);
    REQUIRE(O.Revision_ == 1);
    REQUIRE(revisions() == 1);
  }
}

TEST_CASE_METHOD(ApplyFixture,
                 "apply, lost answer and no way to read back, claims nothing",
                 "[apply]") {
  std::vector<CallResult> Results = readsThen(CallResult::LostAfter);
  Results.resize(20, CallResult::NotSent);
  ApplyOutcome O = run(request("c1", R"({"a":1})"), Results);
  REQUIRE(O.Kind_ == Kind::Unknown);
  REQUIRE_THAT(O.Message_, Contains("not known") && Contains("c1"));

  SECTION("tried again, finds its own change") {
    ApplyOutcome Again = run(request("c1", R"({"a":1})", O.Base_));
    REQUIRE(Again.Kind_ == Kind::Accepted);
    REQUIRE(Again.WasAlreadyAccepted_);
    REQUIRE(Again.Revision_ == 1);
    REQUIRE(revisions() == 1);
  }
  SECTION("tried again after others' changes, does not undo them") {
    run(request("c2", R"({"a":2})"));
    run(request("c3", R"({"a":2,"b":3})"));
    ApplyOutcome Again = run(request("c1", R"({"a":1})", O.Base_));
    REQUIRE(Again.Kind_ == Kind::Accepted);
    REQUIRE(Again.Revision_ == 1);
    REQUIRE(revisions() == 3);
  }
  SECTION("tried again with another text, is refused") {
    ApplyOutcome Again = run(request("c1", R"({"a":9})", O.Base_));
    REQUIRE(Again.Kind_ == Kind::Refused);
    REQUIRE_THAT(Again.Message_, Contains("another text"));
    REQUIRE(revisions() == 1);
  }
}

TEST_CASE_METHOD(ApplyFixture, "apply, during an outage, says nothing written",
                 "[apply]") {
  std::size_t Reads = GENERATE(0, 1, 2);
  std::vector<CallResult> Results(Reads, CallResult::Answered);
  Results.resize(20, CallResult::NotSent);
  ApplyOutcome O = run(request("c1", R"({"a":1})"), Results);
  REQUIRE(O.Kind_ == Kind::Unavailable);
  REQUIRE(revisions() == 0);
  REQUIRE(Table_.Calls_.size() == Reads + ApplyProtocol::MaxFailures);
  REQUIRE(Table_.Calls_.back().Delay_ >= Milliseconds(400));
}

// Stale reads: the create is refused, yet the read finds no such key, so it is
// not known whose record the key holds.
TEST_CASE_METHOD(
    ApplyFixture,
    "apply, refused and with stale reads, reports that it is not known",
    "[apply]") {
  run(request("c1", R"({"a":1})"));
  ApplyProtocol P(Chart_, request("c2", R"({"a":2})"), Random_);
  P.start();
  std::optional<TableCall> Next =
      P.onAnswer({.Kind_ = TableAnswer::Kind::Absent});
  Next = P.onAnswer({.Kind_ = TableAnswer::Kind::Done}); // a stale, empty list
  while (Next) {
    bool IsWrite = Next->Kind_ == TableCall::Kind::Create;
    Next = P.onAnswer({.Kind_ = IsWrite ? TableAnswer::Kind::Refused
                                        : TableAnswer::Kind::Absent});
  }
  REQUIRE(P.outcome().Kind_ == Kind::Unknown);
}

TEST_CASE_METHOD(ApplyFixture, "apply, base not in the table, is refused",
                 "[apply]") {
  ApplyOutcome O = run(request("c1", R"({"a":1})", 4));
  REQUIRE(O.Kind_ == Kind::Refused);
  REQUIRE_THAT(O.Message_, Contains("base revision 4"));
  REQUIRE(revisions() == 0);
}

TEST_CASE_METHOD(ApplyFixture, "apply, snapshot too old, writes a new one",
                 "[apply]") {
  for (Revision N = 1; N <= ApplyProtocol::SnapshotPeriod; ++N) {
    REQUIRE_FALSE(Snapshot_.has_value());
    run(request("c" + std::to_string(N), "{\"a\":" + std::to_string(N) + "}"));
  }
  REQUIRE(Snapshot_.has_value());
  REQUIRE(Snapshot_->Kind_ == TableCall::Kind::Create);
  Table_.Values_[SnapshotKey] = Snapshot_->Value_;
  Table_.Calls_.clear();
  ApplyOutcome O = run(request("c33", R"({"a":0})"));
  REQUIRE(O.Revision_ == ApplyProtocol::SnapshotPeriod + 1);
  REQUIRE(Table_.Calls_.size() == 3);

  SECTION("a base older than the snapshot still finds its conflict") {
    ApplyOutcome Old = run(request("c34", R"({"a":9})", 3));
    REQUIRE(Old.Kind_ == Kind::Conflict);
    REQUIRE(Old.Theirs_.size() == O.Revision_ - 3);
    REQUIRE(Old.PatchBase_ == O.Revision_);
  }
  SECTION("a broken snapshot only costs reads") {
    Table_.Values_[SnapshotKey] = "{\"revision\":900}";
    REQUIRE(run(request("c34", R"({"a":9})")).Revision_ == O.Revision_ + 1);
  }
}

TEST_CASE_METHOD(ApplyFixture, "apply, on inconsistent records, is an error",
                 "[apply]") {
  run(request("c1", R"({"a":1})"));
  run(request("c2", R"({"a":2})"));
  std::string &Second = Table_.Values_.at(revisionKey(2));
  SECTION("a changed patch") {
    Second.replace(Second.find("{\"a\":2}"), 7, "{\"a\":7}");
    REQUIRE_THROWS_WITH(run(request("c3", R"({"a":3})")), Contains("digest"));
  }
  SECTION("a missing revision") {
    Table_.Values_.erase(revisionKey(1));
    REQUIRE_THROWS_WITH(run(request("c3", R"({"a":3})")),
                        Contains("after revision 0"));
  }
  SECTION("not a record") {
    Second = "{}";
    REQUIRE_THROWS_WITH(run(request("c3", R"({"a":3})")),
                        Contains("has no \"revision\""));
  }
}
