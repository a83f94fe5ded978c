// When TableRelay answers queries, and which age its answers state.

#include "hawthornroad/entry/TableRelay.h"
#include "hawthornroad/base/Error.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};

struct RelayFixture {
  TableRelay R_{{"op", "servers"}};
  TimePoint Now_ = Start;
  std::vector<wire::RowsAnswerT> Answers_;

  void know(const std::string &Table, StoreVersion V, const std::string &Value,
            TimePoint AsOf) {
    StoreRow Row{Table, "k", Value, V, false};
    R_.apply(Table, {true, {Row}, V});
    R_.prove(Table, AsOf);
    R_.answerDue(Now_);
  }
  // After: the client's version of both tables, confirmed KnownFor ago.
  void ask(std::optional<StoreVersion> After,
           Duration KnownFor = Duration::zero(), Duration MaxAge = Seconds(1),
           bool AcceptsPacked = false) {
    wire::RowsAskT Q;
    Q.number = 7;
    Q.wait_ms = 700;
    for (const char *Name : {"op", "servers"}) {
      auto W = std::make_unique<wire::TableWantedT>();
      W->table = Name;
      W->listed = After.has_value();
      W->after = After.value_or(0);
      W->accepts_packed = AcceptsPacked;
      W->age_us = static_cast<std::uint64_t>(KnownFor.count() / 1000);
      W->max_age_us = static_cast<std::uint64_t>(MaxAge.count() / 1000);
      Q.tables.push_back(std::move(W));
    }
    R_.ask(
        std::move(Q),
        [this](FrameBuffer F) {
          wire::FrameT Unpacked;
          wire::GetFrame(F->data())->UnPackTo(&Unpacked);
          Answers_.push_back(std::move(*Unpacked.body.AsRowsAnswer()));
        },
        Now_);
    R_.answerDue(Now_);
  }
  void pass(Duration D) {
    Now_ += D;
    R_.answerDue(Now_);
  }
};
} // namespace

TEST_CASE_METHOD(RelayFixture,
                 "table relay, queried by a client without a copy, answers "
                 "with all rows as soon as it has both tables",
                 "[relay]") {
  ask(std::nullopt);
  know("op", 5, "a", Now_);
  REQUIRE(Answers_.empty());
  pass(Milliseconds(30));
  know("servers", 6, "b", Now_ - Milliseconds(10));
  REQUIRE(Answers_.size() == 1);
  const wire::RowsAnswerT &A = Answers_[0];
  REQUIRE(A.number == 7);
  REQUIRE_FALSE(A.away);
  REQUIRE(A.held_us == 30000);
  REQUIRE(A.tables[0]->age_us == 30000);
  REQUIRE(A.tables[1]->age_us == 10000);
  TableWatch::Update U = decodeRelayed(*A.tables[0]);
  REQUIRE(U.IsWhole_);
  REQUIRE(U.Rows_.at(0).Value_ == "a");
}

TEST_CASE_METHOD(
    RelayFixture,
    "table relay, queried by a client that is up to date, waits for a "
    "change, a new proof or the end of the wait",
    "[relay]") {
  know("op", 5, "a", Now_);
  know("servers", 6, "b", Now_);
  ask(6);
  REQUIRE(Answers_.empty());
  SECTION("a change") {
    pass(Milliseconds(50));
    know("op", 9, "c", Now_);
    REQUIRE(Answers_.size() == 1);
    REQUIRE(decodeRelayed(*Answers_[0].tables[0]).Rows_.at(0).Value_ == "c");
    REQUIRE(Answers_[0].tables[1]->rows.empty());
  }
  SECTION("a slightly newer proof, then a sufficiently newer one") {
    pass(Milliseconds(100));
    R_.prove("op", Now_);
    pass(Milliseconds(0));
    REQUIRE(Answers_.empty());
    pass(Milliseconds(300));
    R_.prove("op", Now_);
    pass(Milliseconds(0));
    REQUIRE(Answers_.size() == 1);
  }
  SECTION("nothing") {
    pass(Milliseconds(699));
    REQUIRE(Answers_.empty());
    pass(Milliseconds(1));
    REQUIRE(Answers_.size() == 1);
    REQUIRE(Answers_[0].tables[0]->age_us == 700000);
  }
}

// The answer to the previous query was sent just before the next proof arrived.
// If the relay then waited for one more proof, the client's copy would be two
// proof intervals old.
TEST_CASE_METHOD(RelayFixture,
                 "table relay, queried by a client whose copy is older than "
                 "the last proof, answers at once",
                 "[relay]") {
  know("op", 5, "a", Now_);
  know("servers", 5, "b", Now_);
  ask(5, Milliseconds(400));
  REQUIRE(Answers_.size() == 1);
}

TEST_CASE_METHOD(RelayFixture,
                 "table relay, with a copy older than the client accepts, "
                 "holds the query until a newer proof",
                 "[relay]") {
  know("op", 5, "a", Now_ - Seconds(2));
  know("servers", 5, "b", Now_);
  ask(std::nullopt);
  REQUIRE(Answers_.empty());
  pass(Milliseconds(200));
  R_.prove("op", Now_);
  pass(Milliseconds(0));
  REQUIRE(Answers_.size() == 1);
}

TEST_CASE_METHOD(RelayFixture,
                 "table relay, without the store, reports it at once",
                 "[relay]") {
  know("op", 5, "a", Now_);
  know("servers", 5, "b", Now_);
  ask(5);
  R_.setStoreUnavailable(true);
  R_.answerDue(Now_);
  REQUIRE(Answers_.size() == 1);
  REQUIRE(Answers_[0].away);
}

// Guards against twenty followers that query a source in a tight loop while it
// receives its first answer after an outage: each query would be answered at
// once with "away".
TEST_CASE_METHOD(
    RelayFixture,
    "table relay, without the store but receiving from it, holds a "
    "query that may wait and reports that it is receiving",
    "[relay]") {
  R_.setStoreUnavailable(true);
  R_.setReceiving(true);
  ask(std::nullopt);
  REQUIRE(Answers_.empty());
  SECTION("until the end of the wait") {
    pass(Milliseconds(700));
    REQUIRE(Answers_.size() == 1);
    REQUIRE(Answers_[0].receiving);
  }
  SECTION("until it has both tables") {
    pass(Milliseconds(200));
    R_.setStoreUnavailable(false);
    know("op", 5, "a", Now_);
    know("servers", 6, "b", Now_);
    REQUIRE(Answers_.size() == 1);
    REQUIRE_FALSE(Answers_[0].away);
  }
  SECTION("until it no longer receives") {
    R_.setReceiving(false);
    pass(Milliseconds(100));
    REQUIRE(Answers_.size() == 1);
    REQUIRE_FALSE(Answers_[0].receiving);
  }
}

TEST_CASE_METHOD(RelayFixture,
                 "table relay, given a long value, sends it deflated and the "
                 "client restores it",
                 "[relay]") {
  std::string Long;
  for (int I = 0; I < 2000; ++I)
    Long += "{\"host\":\"h" + std::to_string(I) + ".example\"},";
  know("op", 5, Long, Now_);
  know("servers", 5, "b", Now_);
  ask(std::nullopt);
  ask(std::nullopt);
  REQUIRE(Answers_.size() == 2);
  wire::RelayedTableT &T = *Answers_[1].tables[0];
  REQUIRE(T.rows.at(0)->value.size() * 3 < Long.size());
  REQUIRE(decodeRelayed(T).Rows_.at(0).Value_ == Long);
  T.rows.at(0)->value.resize(100);
  REQUIRE_THROWS_AS(decodeRelayed(T), Error);
}

// Guards against a list of thousands of endpoints that is sent in full length
// to each of a zone's entries.
TEST_CASE_METHOD(RelayFixture,
                 "table relay, given many short rows, packs them for clients "
                 "that accept it",
                 "[relay]") {
  TableWatch::Update All{true, {}, 3000};
  for (int I = 0; I < 3000; ++I)
    All.Rows_.push_back({"servers", "i-" + std::to_string(I),
                         "{\"service\":\"s\",\"address\":\"10.1.2." +
                             std::to_string(I) + ":80\",\"state\":\"ready\"}",
                         static_cast<StoreVersion>(I + 1), false});
  know("op", 3000, "a", Now_);
  R_.apply("servers", All);
  R_.prove("servers", Now_);
  ask(std::nullopt);
  wire::RelayedTableT Plain = *Answers_.at(0).tables.at(1);
  REQUIRE(Plain.rows.size() == 3000);
  ask(std::nullopt, Duration::zero(), Seconds(1), true);
  wire::RelayedTableT Packed = *Answers_.at(1).tables.at(1);
  REQUIRE(Packed.rows.empty());
  std::size_t PlainBytes = 0;
  for (const auto &Row : Plain.rows)
    PlainBytes += Row->key.size() + Row->value.size();
  REQUIRE(Packed.packed.size() * 3 < PlainBytes);
  TableWatch::Update U = decodeRelayed(Packed);
  REQUIRE(U.IsWhole_);
  REQUIRE(U.Rows_.size() == 3000);
  for (const StoreRow &Row : All.Rows_)
    REQUIRE(std::count(U.Rows_.begin(), U.Rows_.end(), Row) == 1);
  SECTION("changes since a version") {
    TableWatch::Update Changes{false, {}, 3100};
    for (int I = 0; I < 100; ++I) {
      Changes.Rows_.push_back(All.Rows_[I]);
      Changes.Rows_.back().Version_ = static_cast<StoreVersion>(3001 + I);
    }
    R_.apply("servers", Changes);
    R_.prove("servers", Now_);
    ask(3000, Duration::zero(), Seconds(1), true);
    TableWatch::Update Newer = decodeRelayed(*Answers_.at(2).tables.at(1));
    REQUIRE_FALSE(Newer.IsWhole_);
    REQUIRE(Newer.Rows_.size() == 100);
  }
  SECTION("a later version") {
    know("servers", 3001, "b", Now_);
    ask(std::nullopt, Duration::zero(), Seconds(1), true);
    REQUIRE(decodeRelayed(*Answers_.at(2).tables.at(1)).Rows_.size() == 1);
  }
  SECTION("cut short") {
    Packed.packed.resize(Packed.packed.size() / 2);
    REQUIRE_THROWS_AS(decodeRelayed(Packed), Error);
  }
  SECTION("of another length") {
    --Packed.unpacked_size;
    REQUIRE_THROWS_AS(decodeRelayed(Packed), Error);
  }
}

TEST_CASE_METHOD(RelayFixture,
                 "table relay, given more queries than it holds, answers the "
                 "oldest early",
                 "[relay]") {
  know("op", 5, "a", Now_);
  know("servers", 5, "b", Now_);
  for (std::size_t I = 0; I <= TableRelay::MaxPending; ++I)
    ask(5);
  REQUIRE(Answers_.size() == 1);
}

// Guards against a follower that counts an answer of its source as contact with
// the store.
TEST_CASE_METHOD(
    RelayFixture,
    "table relay, in its answers, states how long ago the store was "
    "reached",
    "[relay]") {
  know("op", 5, "a", Now_);
  know("servers", 5, "b", Now_);
  R_.reached(Now_);
  // An earlier time that is reported late has no effect.
  R_.reached(Now_ - Seconds(1));
  ask(4);
  REQUIRE(Answers_.back().reached_age_us == 0);
  pass(Milliseconds(250));
  ask(4);
  REQUIRE(Answers_.back().reached_age_us == 250000);
}
