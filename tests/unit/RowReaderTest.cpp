// From whom an agent reads whole tables, with entries that answer or do not.

#include "hawthornroad/agent/RowReader.h"
#include "hawthornroad/entry/TableRelay.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};

struct ReaderFixture {
  // What was read from the store itself.
  int StoreReads_ = 0;
  TimePoint Now_ = Start;
  // By connection; closed ones take nothing.
  std::vector<std::pair<ConnectionId, std::uint64_t>> Asked_;
  ConnectionId Closed_ = 0;
  int Done_ = 0;
  StoreRows Got_;
  // Whom the store lists as entries of the zone, and who was dialled.
  std::vector<PeerAddress> Listed_;
  std::vector<std::pair<PeerAddress, std::uint64_t>> Dialled_;
  int Finds_ = 0;
  RowReader R_{ways(), 1};

  static std::uint64_t numberOf(const FrameBuffer &F) {
    return wire::GetFrame(F->data())->body_as_RowsAsk()->number();
  }
  RowReader::Ways ways() {
    RowReader::Ways W;
    W.Reply_ = [this](ConnectionId To, FrameBuffer F) {
      if (To == Closed_)
        return false;
      Asked_.emplace_back(To, numberOf(F));
      return true;
    };
    W.Dial_ = [this](const PeerAddress &To, FrameBuffer F) {
      Dialled_.emplace_back(To, numberOf(F));
    };
    W.ReadStore_ = [this](const std::string &, const RowReader::Done &) {
      ++StoreReads_;
    };
    W.Find_ = [this](RowReader::Ways::Found Then) {
      ++Finds_;
      Then(Listed_);
    };
    return W;
  }
  void pass(Duration D) {
    Now_ += D;
    R_.tick(Now_);
  }
  void list() {
    R_.list("op", Now_, [this](const StoreReply &R) {
      ++Done_;
      if (const auto *Rows = std::get_if<StoreRows>(&R))
        Got_ = *Rows;
    });
  }
  wire::RowsAnswerT answer(std::uint64_t Number) {
    wire::RowsAnswerT A;
    A.number = Number;
    auto T = std::make_unique<wire::RelayedTableT>();
    T->table = "op";
    T->whole = true;
    T->version = 9;
    auto Row = std::make_unique<wire::RelayedRowT>();
    Row->key = "config";
    Row->value = {'{', '}'};
    Row->length = 2;
    T->rows.push_back(std::move(Row));
    A.tables.push_back(std::move(T));
    return A;
  }
};
} // namespace

TEST_CASE_METHOD(ReaderFixture,
                 "row reader, with an entry that answers, leaves the store "
                 "alone",
                 "[relay]") {
  R_.entryCame(ProcessName("e1"), 4);
  list();
  REQUIRE(Asked_.size() == 1);
  REQUIRE(Finds_ == 0);
  R_.onAnswer(answer(Asked_[0].second));
  REQUIRE(Done_ == 1);
  REQUIRE(Got_.Rows_.at(0).Value_ == "{}");
  REQUIRE(Got_.Version_ == 9);
  R_.onAnswer(answer(Asked_[0].second));
  REQUIRE(Done_ == 1);
  pass(Seconds(2));
  REQUIRE(StoreReads_ == 0);
}

// Endpoints are replaced one after the other; each new VM's agent reads the
// configuration before any entry knows of it. Thirty that read it from the
// store at once filled the link between two regions.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, started before any entry has come, finds one in "
                 "the store and asks it",
                 "[relay]") {
  Listed_ = {PeerAddress("10.0.0.1:7700")};
  list();
  REQUIRE(Dialled_.size() == 1);
  SECTION("it answers") {
    R_.onAnswer(answer(Dialled_[0].second));
    REQUIRE(Done_ == 1);
    pass(Seconds(2));
    REQUIRE(StoreReads_ == 0);
  }
  SECTION("it is gone") {
    pass(RowReader::AnswerPatience);
    REQUIRE(StoreReads_ == 1);
  }
}

TEST_CASE_METHOD(ReaderFixture,
                 "row reader, in a zone without entries, reads the store",
                 "[relay]") {
  list();
  REQUIRE(Finds_ == 1);
  REQUIRE(StoreReads_ == 1);
}

// An entry is frozen or has lost its way to the store; the agent must have the
// origin's address all the same, and not ask the same entry first again.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, with an entry that is silent or knows nothing, "
                 "reads the store and asks another the next time",
                 "[relay]") {
  R_.entryCame(ProcessName("e1"), 4);
  R_.entryCame(ProcessName("e2"), 5);
  list();
  REQUIRE(Asked_[0].first == 5);
  SECTION("silent") {
    pass(RowReader::AnswerPatience);
    REQUIRE(StoreReads_ == 1);
    list();
    REQUIRE(Asked_[1].first == 4);
  }
  SECTION("knows nothing") {
    wire::RowsAnswerT Away;
    Away.number = Asked_[0].second;
    Away.away = true;
    R_.onAnswer(Away);
    REQUIRE(StoreReads_ == 1);
  }
}

TEST_CASE_METHOD(ReaderFixture,
                 "row reader, with a connection that is gone, asks the next "
                 "entry",
                 "[relay]") {
  R_.entryCame(ProcessName("e1"), 4);
  R_.entryCame(ProcessName("e2"), 5);
  Closed_ = 5;
  list();
  REQUIRE(Asked_.size() == 1);
  REQUIRE(Asked_[0].first == 4);
}
