// What is known of prompt parts in the store: who writes it, and who reads it
// after all processes have ended.

#include "hawthornroad/entry/PartTable.h"
#include "hawthornroad/peers/PartCodec.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace hawthornroad;

namespace {
constexpr PromptPart Bad = 0xbad;
constexpr PromptPart Other = 0x07;
constexpr Duration Objection = CrashingParts::Options().Objection_;

// A store whose answers wait until they are handed out.
struct TableFixture {
  struct Process {
    explicit Process(TableFixture &F)
        : Parts_({.IsRelay_ = false}),
          Table_(F.transport(), owner(), Random(F.NextSeed_++)) {}
    PartTable::Owner owner() {
      PartTable::Owner O;
      O.Merge_ = [this](const std::vector<PartEvidence> &Read) {
        for (const PartEvidence &Each : Read)
          Parts_.merge(Each, TimePoint(Seconds(100000)));
      };
      O.Find_ = [this](PromptPart Part) { return Parts_.find(Part); };
      O.OnUnreadable_ = [this](const std::string &Key, const std::string &) {
        Unreadable_.push_back(Key);
      };
      return O;
    }
    CrashingParts Parts_;
    std::vector<std::string> Unreadable_;
    PartTable Table_;
  };
  TimePoint Now_{Seconds(100000)};
  Duration StoreAhead_ = Seconds(7);
  std::uint64_t NextSeed_ = 1;
  std::map<std::string, StoreRow> Rows_;
  StoreVersion Version_ = 1;
  std::size_t PageSize_ = 100;
  bool IsRefusing_ = false;
  unsigned Lists_ = 0;
  unsigned Writes_ = 0;
  std::deque<std::function<void()>> Answers_;
  unsigned NextStart_ = 1;

  PartTable::Transport transport() {
    PartTable::Transport T;
    T.Clock_ = [this] { return Now_; };
    T.List_ = [this](const std::string &, const std::string &From,
                     PartTable::Transport::Done D) {
      ++Lists_;
      Answers_.push_back([this, From, D = std::move(D)] { D(list(From)); });
    };
    T.Write_ = [this](const StoreTransaction &W, PartTable::Transport::Done D) {
      ++Writes_;
      Answers_.push_back([this, W, D = std::move(D)] { D(write(W)); });
    };
    return T;
  }
  StoreReply list(const std::string &From) {
    if (IsRefusing_)
      return StoreFailure::Refused;
    StoreRows Out;
    Out.Clock_ = std::chrono::duration_cast<Milliseconds>(
        Now_.time_since_epoch() + StoreAhead_);
    for (auto At = Rows_.lower_bound(From); At != Rows_.end(); ++At) {
      Out.HasMore_ = Out.Rows_.size() == PageSize_;
      if (Out.HasMore_)
        break;
      Out.Rows_.push_back(At->second);
    }
    return Out;
  }
  StoreReply write(const StoreTransaction &W) {
    if (IsRefusing_)
      return StoreFailure::Refused;
    for (const StoreCondition &Each : W.Conditions_) {
      auto Found = Rows_.find(Each.Key_);
      if (Each.Version_ != (Found == Rows_.end() ? 0 : Found->second.Version_))
        return StoreFailure::Conflict;
    }
    ++Version_;
    for (StoreRow Each : W.Puts_) {
      Each.Version_ = Version_;
      Rows_[Each.Key_] = Each;
    }
    return StoreRows();
  }
  void answer() {
    auto Next = std::move(Answers_.front());
    Answers_.pop_front();
    Next();
  }
  // Lets these processes work for a while.
  void run(std::initializer_list<Process *> All, Duration For = Seconds(2)) {
    for (TimePoint End = Now_ + For; Now_ < End; Now_ += Milliseconds(20)) {
      for (Process *Each : All)
        Each->Table_.tick(Now_);
      while (!Answers_.empty())
        answer();
    }
  }
  void crash(Process &P, unsigned Count, PromptPart Part = Bad) {
    for (unsigned I = 0; I < Count; ++I) {
      std::string Id = "i-" + std::to_string(NextStart_++);
      P.Parts_.noteCrash({{EndpointId(Id), 0}, Now_, {Part}}, Now_);
    }
    P.Table_.changed(P.Parts_.takeChanged(), Now_);
  }
  std::size_t crashesKnown(const Process &P, PromptPart Part = Bad) const {
    const PartEvidence *E = P.Parts_.find(Part);
    return E == nullptr ? 0 : E->Crashes_.size();
  }
};
} // namespace

// Guards against evidence that ends with the processes that have seen it.
TEST_CASE_METHOD(TableFixture,
                 "part table, read by a process that has just started, has the "
                 "crashes and the block of one that has ended",
                 "[crash][part-table]") {
  {
    Process Before(*this);
    crash(Before, 4);
    crash(Before, 1, Other);
    run({&Before});
    CHECK(Rows_.size() == 1);
    crash(Before, 1);
    Now_ += Objection;
    Before.Parts_.tick(Now_);
    Before.Table_.changed(Before.Parts_.takeChanged(), Now_);
    run({&Before});
  }
  // Its clock began anew, the store's did not.
  StoreAhead_ += Seconds(500);
  Now_ -= Seconds(500);
  Process After(*this);
  After.Table_.read(Now_);
  REQUIRE_FALSE(After.Table_.isRead());
  run({&After}, Milliseconds(20));
  REQUIRE(After.Table_.isRead());
  CHECK(crashesKnown(After) == 5);
  CHECK(crashesKnown(After, Other) == 0);
  auto Until = After.Parts_.blockedUntil({Bad}, Now_);
  REQUIRE(Until);
  // Without the time that has passed since.
  CHECK(*Until - Now_ < CrashingParts::Options().FirstBlock_);
  CHECK(*Until - Now_ > CrashingParts::Options().FirstBlock_ - Seconds(10));
  After.Table_.read(Now_);
  CHECK(Answers_.empty());
}

// Guards against writers that undo each other's rows, as two agents that relay
// parts would after one of them has restarted.
TEST_CASE_METHOD(TableFixture,
                 "part table, written by two processes that know different "
                 "crashes, has those of both",
                 "[crash][part-table]") {
  Process First(*this);
  Process Second(*this);
  crash(First, 2);
  crash(Second, 3);
  // Both list before either writes.
  Now_ += Seconds(1);
  First.Table_.tick(Now_);
  Second.Table_.tick(Now_);
  REQUIRE(Answers_.size() == 2);
  run({&First, &Second}, Seconds(5));
  Process After(*this);
  After.Table_.read(Now_);
  run({&After}, Milliseconds(20));
  CHECK(crashesKnown(After) == 5);
  // Nothing new, so nothing is called.
  unsigned Calls = Lists_ + Writes_;
  run({&First, &Second}, Seconds(20));
  CHECK(Lists_ + Writes_ == Calls);
}

// Guards against a row that blocks a part which was found sound since.
TEST_CASE_METHOD(TableFixture,
                 "part table, whose part is answered whole, has no crashes of "
                 "it any more",
                 "[crash][part-table]") {
  Process P(*this);
  crash(P, 3);
  run({&P});
  P.Parts_.noteSound({Bad}, Now_);
  P.Table_.changed(P.Parts_.takeChanged(), Now_);
  run({&P});
  Process After(*this);
  After.Table_.read(Now_);
  run({&After}, Milliseconds(20));
  CHECK(crashesKnown(After) == 0);
}

// Guards against a row that stays blocked since the process which learns of a
// whole answer has not read the table yet, or could not.
TEST_CASE_METHOD(TableFixture,
                 "part table, read by a process that knows of a later whole "
                 "answer, is corrected",
                 "[crash][part-table]") {
  Process Before(*this);
  crash(Before, 5);
  Now_ += Objection;
  Before.Parts_.tick(Now_);
  Before.Table_.changed(Before.Parts_.takeChanged(), Now_);
  run({&Before});
  bool IsRefused = GENERATE(false, true);
  CAPTURE(IsRefused);
  Process Later(*this);
  IsRefusing_ = IsRefused;
  Later.Table_.read(Now_);
  Later.Parts_.noteSound({Bad}, Now_);
  Later.Table_.changed(Later.Parts_.takeChanged(), Now_);
  run({&Later}, Seconds(1));
  IsRefusing_ = false;
  run({&Later}, 2 * PartTable::MaxRetryDelay);
  Process After(*this);
  After.Table_.read(Now_);
  run({&After}, Milliseconds(20));
  CHECK(crashesKnown(After) == 0);
  CHECK_FALSE(After.Parts_.blockedUntil({Bad}, Now_));
}

// Guards against evidence that is dropped since the store was away, and against
// a call for each tick meanwhile.
TEST_CASE_METHOD(TableFixture,
                 "part table, whose store refuses, calls it ever more rarely "
                 "and has the rows soon after its return",
                 "[crash][part-table]") {
  Process P(*this);
  IsRefusing_ = true;
  P.Table_.read(Now_);
  crash(P, 2);
  run({&P}, Seconds(30));
  CHECK(Lists_ <= 20);
  CHECK_FALSE(P.Table_.isRead());
  IsRefusing_ = false;
  run({&P}, 2 * PartTable::MaxRetryDelay);
  CHECK(P.Table_.isRead());
  CHECK(Rows_.size() == 1);
}

// Guards against one row that hides all others, and against rows beyond the
// first answer.
TEST_CASE_METHOD(TableFixture,
                 "part table, with an unreadable row and more than one page, "
                 "gives all others",
                 "[crash][part-table]") {
  Process P(*this);
  for (PromptPart I = 1; I <= 7; ++I)
    crash(P, 2, I);
  run({&P});
  REQUIRE(Rows_.size() == 7);
  auto [Name, Value] = GENERATE_COPY(table<std::string, std::string>(
      {{"empty", ""},
       {"noise", "\x01\x02 no row"},
       {"cut", Rows_.at("3").Value_.substr(0, 20)},
       {"of another part", Rows_.at("4").Value_}}));
  CAPTURE(Name);
  Rows_["3"].Value_ = Value;
  PageSize_ = 3;
  Process After(*this);
  After.Table_.read(Now_);
  run({&After}, Milliseconds(20));
  CHECK(After.Table_.isRead());
  CHECK(After.Unreadable_ == std::vector<std::string>{"3"});
  for (PromptPart I = 1; I <= 7; ++I)
    CHECK(crashesKnown(After, I) == (I == 3 ? 0 : 2));
}
