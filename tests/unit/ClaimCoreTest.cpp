#include "hawthornroad/routing/ClaimCore.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>

using namespace hawthornroad;

namespace {
using Kind = ClaimCallResult::Kind;

// A model of the platform's table, limited to what claims use.
struct TableModel {
  struct Row {
    std::string Value_;
    std::uint64_t Etag_ = 0;
  };
  std::map<std::string, Row> Rows_;
  std::uint64_t Next_ = 1;

  ClaimCallResult apply(const ClaimWrite &W) {
    ClaimCallResult A{W.Request_, W.Call_, Kind::Conflict, "", ""};
    auto Found = Rows_.find(W.Key_);
    bool Holds = Found == Rows_.end()
                     ? W.Etag_.empty()
                     : W.Etag_ == std::to_string(Found->second.Etag_);
    if (!Holds)
      return A;
    Rows_[W.Key_] = {W.Value_, Next_};
    A.Kind_ = Kind::Written;
    A.Etag_ = std::to_string(Next_++);
    return A;
  }
  ClaimCallResult apply(const ClaimRead &R) const {
    ClaimCallResult A{R.Request_, R.Call_, Kind::Missing, "", ""};
    auto Found = Rows_.find(R.Key_);
    if (Found == Rows_.end())
      return A;
    A.Kind_ = Kind::Found;
    A.Etag_ = std::to_string(Found->second.Etag_);
    A.Value_ = Found->second.Value_;
    return A;
  }
  ClaimPhase phase() const {
    REQUIRE(Rows_.size() == 1);
    return parseClaim(Rows_.begin()->second.Value_)->Phase_;
  }
};

// The claims of one entry; its table calls are queued until they are served.
struct Holder {
  explicit Holder(Incarnation I)
      : Core_(
            {.Holder_ = "entry", .Incarnation_ = I, .RetryPeriod_ = Seconds(1)},
            loadClaimChart(CHARTS_DIR), Random(I)) {
    Core_.setWallClock(1000000, TimePoint{Seconds(1000)});
  }

  void note(const ClaimCore::Actions &Actions) {
    for (const ClaimAction &Each : Actions) {
      if (const auto *Verdict = std::get_if<ClaimVerdict>(&Each))
        Verdicts_.push_back(*Verdict);
      else
        Calls_.push_back(Each);
    }
  }
  ClaimAction nextCall() {
    REQUIRE_FALSE(Calls_.empty());
    ClaimAction Call = Calls_.front();
    Calls_.pop_front();
    return Call;
  }
  // Executes the next call and delivers its result, or loses the reply.
  void serve(TableModel &Table, TimePoint Now, bool Lose = false) {
    ClaimAction Call = nextCall();
    ClaimCallResult A = std::holds_alternative<ClaimWrite>(Call)
                            ? Table.apply(std::get<ClaimWrite>(Call))
                            : Table.apply(std::get<ClaimRead>(Call));
    if (Lose)
      A.Kind_ = Kind::Unanswered;
    note(Core_.tableCallEnded(A, Now));
  }
  void serveAll(TableModel &Table, TimePoint Now) {
    while (!Calls_.empty())
      serve(Table, Now);
  }
  bool hasWon() const {
    return !Verdicts_.empty() &&
           std::holds_alternative<ClaimWon>(Verdicts_.back());
  }
  Problem problem() const {
    REQUIRE_FALSE(Verdicts_.empty());
    return std::get<ClaimDenied>(Verdicts_.back()).Problem_;
  }

  ClaimCore Core_;
  std::deque<ClaimAction> Calls_;
  std::vector<ClaimVerdict> Verdicts_;
};

struct ClaimFixture {
  TimePoint Now_{Seconds(1000)};
  TableModel Table_;
  Holder One_{1};
  Holder Two_{2};
  std::uint64_t Next_ = 1;

  SharedRequest request(const std::string &Body = "{}") {
    CallerRequest R;
    R.Id_ = {9, Next_++};
    R.Customer_ = Customer("rowing-club");
    R.Service_ = ServiceName("entries-api");
    R.Method_ = "POST";
    R.Target_ = "/crews";
    R.Body_ = Body;
    R.Deadline_ = Now_ + Seconds(10);
    R.Repeatable_ = false;
    R.IdempotencyKey_ = "crew-7";
    return std::make_shared<const CallerRequest>(R);
  }
  void win(Holder &H, const SharedRequest &R) {
    H.note(H.Core_.start(R, Now_));
    H.serve(Table_, Now_);
    REQUIRE(H.hasWon());
  }
  void settle(Holder &H, const SharedRequest &R, Outcome O,
              std::optional<KeptAnswer> A = std::nullopt) {
    H.note(H.Core_.settle({R->Id_, O, std::move(A)}, Now_));
    H.serveAll(Table_, Now_);
  }
  void pass(Holder &H, Duration D) {
    Now_ += D;
    H.note(H.Core_.tick(Now_));
  }
};
} // namespace

TEST_CASE("claim record, written and read again, is the same, bytes included") {
  ClaimRecord R;
  R.Phase_ = ClaimPhase::Answered;
  R.Token_ = "t";
  R.Call_ = "c";
  R.DeadlineMs_ = 5;
  R.ExpiresMs_ = 6;
  R.Answer_ = KeptAnswer{201,
                         {{"A", "b"}},
                         std::string("\xff\x00\"x", 4),
                         VersionDigest("v"),
                         true};
  REQUIRE(parseClaim(toText(R)) == R);
  REQUIRE_FALSE(parseClaim("{}").has_value());
}

TEST_CASE_METHOD(ClaimFixture,
                 "claims, of one key at two entries at once, are won by "
                 "only one") {
  SharedRequest A = request();
  SharedRequest B = request();
  One_.note(One_.Core_.start(A, Now_));
  Two_.note(Two_.Core_.start(B, Now_));
  Two_.serve(Table_, Now_);
  One_.serveAll(Table_, Now_);
  REQUIRE(Two_.hasWon());
  REQUIRE(One_.problem().Status_ == 409);
  REQUIRE(One_.problem().RetryAfter_ > Duration::zero());
}

TEST_CASE_METHOD(ClaimFixture,
                 "claim, the reply to its write lost, is won by reading "
                 "its own token back") {
  // The table applied the write, but the connection was cut before the reply.
  // Treated as a failure, the caller would get not-run and its repeat would
  // find "in progress".
  One_.note(One_.Core_.start(request(), Now_));
  One_.serve(Table_, Now_, true);
  REQUIRE_FALSE(One_.hasWon());
  One_.serve(Table_, Now_);
  REQUIRE(One_.hasWon());
}

TEST_CASE_METHOD(ClaimFixture,
                 "repeat of an answered key gets the stored answer, "
                 "another body is refused") {
  SharedRequest A = request();
  win(One_, A);
  KeptAnswer Kept{200, {}, "entered", {}, true};
  settle(One_, A, Outcome::Answered, Kept);
  Two_.note(Two_.Core_.start(request(), Now_));
  Two_.serveAll(Table_, Now_);
  REQUIRE(std::get<ClaimReplay>(Two_.Verdicts_.back()).Answer_ == Kept);
  Two_.note(Two_.Core_.start(request("{\"other\":1}"), Now_));
  Two_.serveAll(Table_, Now_);
  REQUIRE(Two_.problem().Status_ == 422);
  REQUIRE(One_.Core_.open() == 0);
}

TEST_CASE_METHOD(ClaimFixture,
                 "claim of a dead holder is in progress until its "
                 "deadline, then unknown, never free") {
  win(One_, request());
  Two_.note(Two_.Core_.start(request(), Now_));
  Two_.serveAll(Table_, Now_);
  REQUIRE(Two_.problem().Cause_ == "in_progress");
  Now_ += Seconds(30);
  Two_.note(Two_.Core_.start(request(), Now_));
  Two_.serveAll(Table_, Now_);
  REQUIRE(Two_.problem().Outcome_ == Outcome::Unknown);
  REQUIRE(Two_.problem().Status_ == 502);
}

TEST_CASE_METHOD(ClaimFixture,
                 "claim settled not-run is taken over by only one") {
  SharedRequest A = request();
  win(One_, A);
  settle(One_, A, Outcome::NotRun);
  One_.note(One_.Core_.start(request(), Now_));
  Two_.note(Two_.Core_.start(request(), Now_));
  for (int I = 0; I < 3; ++I) {
    if (!One_.Calls_.empty())
      One_.serve(Table_, Now_);
    if (!Two_.Calls_.empty())
      Two_.serve(Table_, Now_);
  }
  One_.serveAll(Table_, Now_);
  Two_.serveAll(Table_, Now_);
  REQUIRE(One_.hasWon() != Two_.hasWon());
}

TEST_CASE_METHOD(ClaimFixture,
                 "holder frozen past the retention period does not act on "
                 "a claim that was taken over") {
  // Entry 1 is frozen between its write and the reply. Two days later the
  // record has expired and entry 2 has taken it over; then entry 1 resumes and
  // reads the reply "written" from its socket.
  One_.note(One_.Core_.start(request(), Now_));
  ClaimCallResult Old = Table_.apply(std::get<ClaimWrite>(One_.nextCall()));
  Now_ += Seconds(2 * 86400);
  Two_.note(Two_.Core_.start(request(), Now_));
  Two_.serveAll(Table_, Now_);
  REQUIRE(Two_.hasWon());
  One_.note(One_.Core_.tableCallEnded(Old, Now_));
  REQUIRE_FALSE(One_.hasWon());
  One_.serveAll(Table_, Now_);
  REQUIRE_FALSE(One_.hasWon());
  REQUIRE(One_.problem().Outcome_ == Outcome::NotRun);
}

TEST_CASE_METHOD(ClaimFixture, "claim refused in an outage is set to not-run "
                               "afterwards, wherever its write got to") {
  // The caller got not-run; a repeat must not find "in progress" for ever.
  SharedRequest A = request();
  One_.note(One_.Core_.start(A, Now_));
  ClaimAction Write = One_.nextCall();
  bool LandsBefore = GENERATE(true, false);
  if (LandsBefore)
    Table_.apply(std::get<ClaimWrite>(Write));
  pass(One_, Seconds(3));
  REQUIRE(One_.problem().Outcome_ == Outcome::NotRun);
  REQUIRE(One_.problem().RetryAfter_ > Duration::zero());
  pass(One_, Seconds(3));
  One_.serveAll(Table_, Now_);
  // The delayed write must fail its condition.
  if (!LandsBefore)
    REQUIRE(Table_.apply(std::get<ClaimWrite>(Write)).Kind_ == Kind::Conflict);
  REQUIRE(Table_.phase() == ClaimPhase::NotRun);
  REQUIRE(One_.Core_.open() == 0);
  Two_.note(Two_.Core_.start(request(), Now_));
  Two_.serveAll(Table_, Now_);
  REQUIRE(Two_.hasWon());
}

TEST_CASE_METHOD(ClaimFixture, "table unreachable: after a few failures claims "
                               "are refused without a call") {
  for (int I = 0; I < 5; ++I) {
    SharedRequest R = request();
    One_.note(One_.Core_.start(R, Now_));
    if (I >= 3) {
      REQUIRE(One_.Calls_.empty());
    } else {
      std::uint64_t Call = std::get<ClaimWrite>(One_.nextCall()).Call_;
      One_.note(One_.Core_.tableCallEnded({R->Id_, Call, Kind::Unsent, "", ""},
                                          Now_));
    }
    REQUIRE(One_.problem().Cause_ == "table_unavailable");
    REQUIRE(One_.Core_.open() == 0);
  }
  pass(One_, Seconds(1));
  One_.note(One_.Core_.start(request(), Now_));
  REQUIRE(One_.Calls_.size() == 1);
}

TEST_CASE_METHOD(ClaimFixture,
                 "outcome, the reply to its write lost, is written again "
                 "until it is stored") {
  SharedRequest A = request();
  win(One_, A);
  One_.note(One_.Core_.settle({A->Id_, Outcome::Unknown, std::nullopt}, Now_));
  One_.serve(Table_, Now_, true);
  pass(One_, Seconds(3));
  One_.serveAll(Table_, Now_);
  REQUIRE(Table_.phase() == ClaimPhase::Unknown);
  REQUIRE(One_.Core_.open() == 0);
}

// Two holders and a table whose replies are lost, late or stale, in any order:
// the key is never held by both, and a claim reported as not-run was not won.
TEST_CASE("claims, under random replies, are never won twice") {
  for (std::uint64_t Seed = 1; Seed <= 500; ++Seed) {
    ClaimFixture F;
    Random Rng(Seed);
    std::vector<TableModel> History;
    std::vector<ClaimAction> LateWrites;
    std::size_t Started = 0;
    for (int Step = 0; Step < 40; ++Step) {
      Holder &H = Rng.below(2) ? F.One_ : F.Two_;
      History.push_back(F.Table_);
      if (Started < 4 && Rng.below(4) == 0) {
        H.note(H.Core_.start(F.request(), F.Now_));
        ++Started;
      }
      F.pass(H, Milliseconds(Rng.below(900)));
      if (!LateWrites.empty() && Rng.below(4) == 0) {
        // A delayed write takes effect; its reply reaches nobody.
        if (const auto *W = std::get_if<ClaimWrite>(&LateWrites.back()))
          F.Table_.apply(*W);
        LateWrites.pop_back();
      }
      if (H.Calls_.empty())
        continue;
      ClaimAction Call = H.nextCall();
      if (const auto *R = std::get_if<ClaimRead>(&Call)) {
        bool IsStale = Rng.below(4) == 0;
        const TableModel &From =
            IsStale ? History[Rng.below(History.size())] : F.Table_;
        H.note(H.Core_.tableCallEnded(From.apply(*R), F.Now_));
        continue;
      }
      const auto &W = std::get<ClaimWrite>(Call);
      if (Rng.below(4) == 0) {
        LateWrites.push_back(Call);
        H.note(H.Core_.tableCallEnded(
            {W.Request_, W.Call_, Kind::Unanswered, "", ""}, F.Now_));
        continue;
      }
      ClaimCallResult A = F.Table_.apply(W);
      if (Rng.below(4) == 0)
        A.Kind_ = Kind::Unanswered;
      H.note(H.Core_.tableCallEnded(A, F.Now_));
    }
    std::size_t Won = 0;
    for (const Holder *H : {&F.One_, &F.Two_})
      for (const ClaimVerdict &Each : H->Verdicts_)
        Won += std::holds_alternative<ClaimWon>(Each) ? 1 : 0;
    INFO("seed " << Seed);
    REQUIRE(Won <= 1);
  }
}
