// Following a table of the store, through failures and lost history.

#include "hawthornroad/store/TableWatch.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};

TableWatch::Options options() {
  TableWatch::Options O;
  O.Table_ = "t";
  O.Wait_ = Milliseconds(2000);
  O.Pace_ = Milliseconds(500);
  return O;
}

StoreRow row(const std::string &Key, StoreVersion V) {
  StoreRow R;
  R.Table_ = "t";
  R.Key_ = Key;
  R.Version_ = V;
  return R;
}

struct WatchFixture {
  TableWatch W_{options()};
  TimePoint Now_ = Start;

  TableWatch::Request ask() {
    TableWatch::Request A = W_.next(Now_);
    Now_ = A.At_;
    W_.sent(A, Now_);
    return A;
  }
  std::optional<TableWatch::Update> rows(std::vector<StoreRow> Rows,
                                         StoreVersion V, bool More = false) {
    StoreRows Out;
    Out.Rows_ = std::move(Rows);
    Out.Version_ = V;
    Out.HasMore_ = More;
    return W_.onRows(std::move(Out), Now_);
  }
};
} // namespace

TEST_CASE(
    "table watch, listing in pages, follows from the first page's version",
    "[store]") {
  WatchFixture F;
  REQUIRE(F.ask().IsListing_);
  REQUIRE_FALSE(F.rows({row("a", 1), row("b", 2)}, 10, true));
  TableWatch::Request Second = F.ask();
  REQUIRE(Second.FromKey_ > "b");
  REQUIRE(Second.FromKey_ < "b!");
  auto U = F.rows({row("c", 3)}, 14);
  REQUIRE(U);
  REQUIRE(U->IsWhole_);
  REQUIRE(U->Rows_.size() == 3);
  TableWatch::Request Feed = F.ask();
  REQUIRE_FALSE(Feed.IsListing_);
  REQUIRE(Feed.After_ == 10);
}

TEST_CASE("table watch, following, requests changes after the last version "
          "received and keeps its pace",
          "[store]") {
  WatchFixture F;
  F.ask();
  F.rows({}, 10);
  F.ask();
  TimePoint Before = F.Now_;
  auto U = F.rows({row("a", 12)}, 13);
  REQUIRE(U);
  REQUIRE_FALSE(U->IsWhole_);
  TableWatch::Request Next = F.ask();
  REQUIRE(Next.After_ == 13);
  REQUIRE(Next.At_ == Before + Milliseconds(500));
  REQUIRE_FALSE(F.rows({}, 13));
}

TEST_CASE("table watch, when the history is gone, lists again and returns a "
          "whole update",
          "[store]") {
  WatchFixture F;
  F.ask();
  F.rows({row("a", 1)}, 10);
  F.ask();
  F.W_.onFailure(StoreFailure::HistoryGone, F.Now_);
  REQUIRE(F.W_.isListed());
  REQUIRE(F.W_.failures() == 0);
  REQUIRE(F.ask().IsListing_);
  auto U = F.rows({row("b", 20)}, 21);
  REQUIRE(U->IsWhole_);
}

TEST_CASE("table watch, when calls fail, pauses longer each time up to a bound",
          "[store]") {
  WatchFixture F;
  Duration Last = Duration::zero();
  for (int N = 0; N < 12; ++N) {
    F.ask();
    TimePoint Failed = F.Now_;
    F.W_.onFailure(N % 2 == 0 ? StoreFailure::Refused : StoreFailure::Silent,
                   F.Now_);
    Last = F.W_.next(F.Now_).At_ - Failed;
    CAPTURE(N);
    REQUIRE(Last >= Milliseconds(30));
    REQUIRE(Last <= Milliseconds(1120));
  }
  REQUIRE(Last >= Milliseconds(480));
  REQUIRE(F.W_.failures() == 12);
}

// The store is back after an outage and nothing has changed. If it may hold the
// next call for three seconds, the answer comes three seconds later, and until
// then the reader and all that follow it count as disconnected.
TEST_CASE("table watch, after a failure, sends a call that is answered at once",
          "[store]") {
  WatchFixture F;
  F.ask();
  F.rows({row("a", 1)}, 10);
  REQUIRE(F.ask().Wait_ > Duration::zero());
  F.W_.onFailure(StoreFailure::Silent, F.Now_);
  REQUIRE(F.ask().Wait_ == Duration::zero());
  F.rows({}, 10);
  REQUIRE(F.W_.provenAt() == F.Now_);
  REQUIRE(F.ask().Wait_ > Duration::zero());
}

// Guards against reading every missed version of a long row. After an outage of
// eight seconds, in which a long configuration changed four times a second, the
// feed sent twelve full versions one after the other, and the reader was 3.2 s
// behind when it had them.
TEST_CASE("table watch of long rows, when it has fallen behind, lists instead "
          "of reading each change",
          "[store]") {
  TableWatch::Options O = options();
  O.ListsWhenBehind_ = true;
  WatchFixture F{TableWatch(O)};
  F.ask();
  F.rows({}, 10);
  SECTION("after an outage") {
    F.ask();
    F.W_.onFailure(StoreFailure::Silent, F.Now_);
    REQUIRE_FALSE(F.ask().IsListing_);
    F.W_.onFailure(StoreFailure::Refused, F.Now_);
    REQUIRE(F.ask().IsListing_);
    // The listing covers all changes up to its version.
    auto U = F.rows({row("config", 30)}, 31);
    REQUIRE(U->IsWhole_);
    REQUIRE(F.ask().After_ == 31);
  }
  SECTION("after an answer with copies of one row") {
    F.ask();
    auto U =
        F.rows({row("config", 11), row("config", 12), row("config", 13)}, 13);
    REQUIRE(U->Rows_.size() == 3);
    REQUIRE(F.ask().IsListing_);
  }
  SECTION("not after changes of several rows, or two of one") {
    F.ask();
    F.rows({row("config", 11), row("config", 12), row("version", 13)}, 13);
    REQUIRE_FALSE(F.ask().IsListing_);
  }
}

TEST_CASE("table watch, when a page fails, begins the listing anew",
          "[store]") {
  WatchFixture F;
  F.ask();
  F.rows({row("a", 1)}, 10, true);
  F.ask();
  F.W_.onFailure(StoreFailure::Silent, F.Now_);
  TableWatch::Request Again = F.ask();
  REQUIRE(Again.IsListing_);
  REQUIRE(Again.FromKey_.empty());
  REQUIRE(F.rows({row("a", 1)}, 12)->Rows_.size() == 1);
}

// Customers' keys are accepted for as long as an answer proves the state of the
// table. An empty answer proves it up to the end of its waiting time, not up to
// its arrival, since it may have been delayed in transit.
TEST_CASE(
    "table watch, as proof of the store's state, counts no later than the "
    "store can have answered",
    "[store]") {
  struct Row {
    std::string Name_;
    Duration Took_;
    bool HasRows_;
    Duration Proof_; // after the call was sent
  };
  for (const Row &R : std::vector<Row>{
           {"empty, on time", Milliseconds(2005), false, Milliseconds(2000)},
           {"empty, delayed", Milliseconds(2800), false, Milliseconds(2000)},
           {"empty, early", Milliseconds(700), false, Milliseconds(0)},
           {"with rows", Milliseconds(1500), true, Milliseconds(0)}}) {
    CAPTURE(R.Name_);
    WatchFixture F;
    F.ask();
    F.rows({}, 10);
    F.ask();
    TimePoint Sent = F.Now_;
    F.Now_ += R.Took_;
    F.rows(R.HasRows_ ? std::vector<StoreRow>{row("a", 11)}
                      : std::vector<StoreRow>{},
           11);
    REQUIRE(F.W_.provenAt() == Sent + R.Proof_);
  }
}

// New weights are declared at an unknown time between two reads of the table.
// When their time bound was counted from the second read, a request began 37 ms
// past the bound.
TEST_CASE(
    "earliest change, with the last proof known, is that proof within a limit",
    "[store]") {
  constexpr Duration MaxAge = Milliseconds(1000);
  REQUIRE(earliestChange(Start - Milliseconds(300), Start, MaxAge) ==
          Start - Milliseconds(300));
  REQUIRE(earliestChange(Start - Seconds(9), Start, MaxAge) == Start - MaxAge);
  REQUIRE(earliestChange(std::nullopt, Start, MaxAge) == Start - MaxAge);
}

// Guards against a reader that takes over with an old state and whose first
// call is held by the store before it has proved anything, or that is sent
// every change it has missed.
TEST_CASE(
    "table watch, taking over from another process, proves its state with "
    "the first call or lists anew",
    "[store]") {
  TableWatch W({.Table_ = "op", .Wait_ = Seconds(2)});
  W.resume(7, Start);
  TableWatch::Request First = W.next(Start);
  REQUIRE_FALSE(First.IsListing_);
  REQUIRE(First.After_ == 7);
  REQUIRE(First.Wait_ == Duration::zero());
  W.sent(First, Start);
  W.onRows({.Version_ = 7}, Start + Milliseconds(5));
  REQUIRE(W.provenAt() == Start);
  REQUIRE(W.next(Start + Seconds(1)).Wait_ == Duration(Seconds(2)));
  W.list(Start + Seconds(1));
  REQUIRE(W.next(Start + Seconds(1)).IsListing_);
  REQUIRE(W.isListed());
}
