// When others' questions are answered, and how old answers say they are.

#include "hawthornroad/entry/TableRelay.h"
#include "hawthornroad/base/Error.h"

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
    R_.settle(Now_);
  }
  // After: what the asker knows of both tables, as of KnownFor ago.
  void ask(std::optional<StoreVersion> After,
           Duration KnownFor = Duration::zero(), Duration MaxAge = Seconds(1)) {
    wire::RowsAskT Q;
    Q.number = 7;
    Q.wait_ms = 700;
    for (const char *Name : {"op", "servers"}) {
      auto W = std::make_unique<wire::TableWantedT>();
      W->table = Name;
      W->listed = After.has_value();
      W->after = After.value_or(0);
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
    R_.settle(Now_);
  }
  void pass(Duration D) {
    Now_ += D;
    R_.settle(Now_);
  }
};
} // namespace

TEST_CASE_METHOD(RelayFixture,
                 "table relay, asked by one that knows nothing, answers with "
                 "all as soon as it knows both tables",
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
    "table relay, asked by one that knows all, waits for a change, "
    "a new proof or the end of the wait",
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
  SECTION("a proof that is little younger, then one that is") {
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

// An answer to the question before went out just ahead of the next proof. The
// asker must not wait for one more, or its knowledge is two rhythms old.
TEST_CASE_METHOD(RelayFixture,
                 "table relay, asked by one whose knowledge is older than a "
                 "proof it has, answers at once",
                 "[relay]") {
  know("op", 5, "a", Now_);
  know("servers", 5, "b", Now_);
  ask(5, Milliseconds(400));
  REQUIRE(Answers_.size() == 1);
}

TEST_CASE_METHOD(RelayFixture,
                 "table relay, with knowledge older than the asker can use, "
                 "holds the question until it is younger",
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
                 "table relay, without the store, says so at once", "[relay]") {
  know("op", 5, "a", Now_);
  know("servers", 5, "b", Now_);
  ask(5);
  R_.setAway(true);
  R_.settle(Now_);
  REQUIRE(Answers_.size() == 1);
  REQUIRE(Answers_[0].away);
}

// Guards against twenty followers that ask a source again and again while it
// reads its first answer after an outage.
TEST_CASE_METHOD(
    RelayFixture,
    "table relay, without the store but receiving from it, holds a "
    "question that may wait and says that it is receiving",
    "[relay]") {
  R_.setAway(true);
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
    R_.setAway(false);
    know("op", 5, "a", Now_);
    know("servers", 6, "b", Now_);
    REQUIRE(Answers_.size() == 1);
    REQUIRE_FALSE(Answers_[0].away);
  }
  SECTION("until nothing more comes") {
    R_.setReceiving(false);
    pass(Milliseconds(100));
    REQUIRE(Answers_.size() == 1);
    REQUIRE_FALSE(Answers_[0].receiving);
  }
}

TEST_CASE_METHOD(RelayFixture,
                 "table relay, given a long value, sends it deflated and the "
                 "asker has it whole",
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

TEST_CASE_METHOD(RelayFixture,
                 "table relay, asked by more than it holds, answers the oldest "
                 "early",
                 "[relay]") {
  know("op", 5, "a", Now_);
  know("servers", 5, "b", Now_);
  for (std::size_t I = 0; I <= TableRelay::MaxHeld; ++I)
    ask(5);
  REQUIRE(Answers_.size() == 1);
}

// Guards against a follower that takes an answer of its source for one of the
// store.
TEST_CASE_METHOD(RelayFixture,
                 "table relay, answering, tells how long ago the store was "
                 "reached",
                 "[relay]") {
  know("op", 5, "a", Now_);
  know("servers", 5, "b", Now_);
  R_.reached(Now_);
  // An earlier moment that comes late changes nothing.
  R_.reached(Now_ - Seconds(1));
  ask(4);
  REQUIRE(Answers_.back().reached_age_us == 0);
  pass(Milliseconds(250));
  ask(4);
  REQUIRE(Answers_.back().reached_age_us == 250000);
}
