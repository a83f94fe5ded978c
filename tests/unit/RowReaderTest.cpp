// Where an agent reads whole tables from, with entries that answer or do not.

#include "hawthornroad/agent/RowReader.h"
#include "hawthornroad/entry/TableRelay.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};

struct ReaderFixture {
  // Reads that went to the store itself.
  int StoreReads_ = 0;
  TimePoint Now_ = Start;
  // Questions by connection; a closed connection accepts none.
  std::vector<std::pair<ConnectionId, std::uint64_t>> Asked_;
  wire::TableWantedT LastWanted_;
  ConnectionId Closed_ = 0;
  int Done_ = 0;
  StoreRows Got_;
  // Entries of the zone as listed in the store, and the dialled ones.
  std::vector<PeerAddress> Listed_;
  std::vector<std::pair<PeerAddress, std::uint64_t>> Dialled_;
  int EntryLookups_ = 0;
  RowReader R_{transport(), 1};

  static std::uint64_t numberOf(const FrameBuffer &F) {
    return wire::GetFrame(F->data())->body_as_RowsAsk()->number();
  }
  RowReader::Transport transport() {
    RowReader::Transport W;
    W.Reply_ = [this](ConnectionId To, FrameBuffer F) {
      if (To == Closed_)
        return false;
      Asked_.emplace_back(To, numberOf(F));
      wire::FrameT Unpacked;
      wire::GetFrame(F->data())->UnPackTo(&Unpacked);
      LastWanted_ = *Unpacked.body.AsRowsAsk()->tables.at(0);
      return true;
    };
    W.Dial_ = [this](const PeerAddress &To, FrameBuffer F) {
      Dialled_.emplace_back(To, numberOf(F));
    };
    W.ReadStore_ = [this](const std::string &, const RowReader::Done &) {
      ++StoreReads_;
    };
    W.FindEntries_ = [this](RowReader::Transport::Found Then) {
      ++EntryLookups_;
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
                 "row reader, with an entry that answers, does not read the "
                 "store",
                 "[relay]") {
  R_.onEntryConnected(ProcessName("e1"), 4, Now_);
  list();
  REQUIRE(Asked_.size() == 1);
  REQUIRE(EntryLookups_ == 0);
  R_.onAnswer(answer(Asked_[0].second));
  REQUIRE(Done_ == 1);
  REQUIRE(Got_.Rows_.at(0).Value_ == "{}");
  REQUIRE(Got_.Version_ == 9);
  R_.onAnswer(answer(Asked_[0].second));
  REQUIRE(Done_ == 1);
  pass(Seconds(2));
  REQUIRE(StoreReads_ == 0);
}

// Endpoints are replaced one after the other, and each new VM's agent reads the
// configuration before any entry knows of it. Thirty agents that read it from
// the store at once saturated the link between two regions.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, started before any entry has connected, finds "
                 "one in the store and asks it",
                 "[relay]") {
  Listed_ = {PeerAddress("10.0.0.1:7700")};
  list();
  REQUIRE(EntryLookups_ == 0);
  pass(RowReader::EntryWait);
  REQUIRE(Dialled_.size() == 1);
  SECTION("it answers") {
    R_.onAnswer(answer(Dialled_[0].second));
    REQUIRE(Done_ == 1);
    pass(Seconds(2));
    REQUIRE(StoreReads_ == 0);
  }
  SECTION("it is gone") {
    pass(RowReader::AnswerTimeout);
    REQUIRE(StoreReads_ == 1);
  }
}

// Hundreds of agents start together, and entries connect to each of them soon.
// An agent that looked for an entry in the store at once cost the store a call.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, when an entry connects soon after its start, "
                 "asks it and does not call the store",
                 "[relay]") {
  R_ = RowReader(transport(), 1, RowReader::FirstEntryWait);
  list();
  pass(Milliseconds(500));
  REQUIRE(Asked_.empty());
  R_.onEntryConnected(ProcessName("e1"), 4, Now_);
  REQUIRE(Asked_.size() == 1);
  pass(Milliseconds(500));
  R_.onAnswer(answer(Asked_[0].second));
  REQUIRE(Done_ == 1);
  pass(Seconds(2));
  REQUIRE(EntryLookups_ == 0);
  REQUIRE(StoreReads_ == 0);
}

// During a transfer each of 265 agents wants the list of endpoints every
// second, and nearly all of its rows are the same as a second ago.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, with a table read before, asks for what has "
                 "changed and returns the whole table",
                 "[relay]") {
  R_.onEntryConnected(ProcessName("e1"), 4, Now_);
  list();
  CHECK_FALSE(LastWanted_.listed);
  R_.onAnswer(answer(Asked_[0].second));
  list();
  CHECK(LastWanted_.listed);
  CHECK(LastWanted_.after == 9);
  wire::RowsAnswerT Change = answer(Asked_[1].second);
  Change.tables[0]->whole = false;
  Change.tables[0]->version = 12;
  Change.tables[0]->rows[0]->key = "more";
  Change.tables[0]->rows[0]->version = 12;
  R_.onAnswer(Change);
  REQUIRE(Done_ == 2);
  REQUIRE(Got_.Rows_.size() == 2);
  CHECK(Got_.Rows_[0].Key_ == "config");
  CHECK(Got_.Rows_[1].Key_ == "more");
  CHECK(Got_.Version_ == 12);
}

// The store is down for eight seconds during a transfer. Each agent wants the
// list of endpoints every second, its entries cannot reach the store, and 265
// agents called it every second without result, although calls are costly.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, while its entry cannot reach the store, "
                 "returns what it has and asks another entry next",
                 "[relay]") {
  R_.onEntryConnected(ProcessName("e1"), 4, Now_);
  R_.onEntryConnected(ProcessName("e2"), 5, Now_);
  list();
  R_.onAnswer(answer(Asked_[0].second));
  list();
  wire::RowsAnswerT Away;
  Away.number = Asked_[1].second;
  Away.away = true;
  R_.onAnswer(Away);
  REQUIRE(Done_ == 2);
  REQUIRE(Got_.Rows_.size() == 1);
  REQUIRE(StoreReads_ == 0);
  list();
  REQUIRE(Asked_[2].first != Asked_[1].first);
}

TEST_CASE_METHOD(ReaderFixture,
                 "row reader, sent changes of a table that it never read, "
                 "reads the store",
                 "[relay]") {
  R_.onEntryConnected(ProcessName("e1"), 4, Now_);
  list();
  wire::RowsAnswerT Change = answer(Asked_[0].second);
  Change.tables[0]->whole = false;
  R_.onAnswer(Change);
  REQUIRE(StoreReads_ == 1);
  REQUIRE(Done_ == 0);
}

TEST_CASE_METHOD(ReaderFixture,
                 "row reader, in a zone without entries, reads the store",
                 "[relay]") {
  list();
  pass(RowReader::EntryWait);
  REQUIRE(EntryLookups_ == 1);
  REQUIRE(StoreReads_ == 1);
}

// An entry hangs or has lost its connection to the store; the agent must still
// learn the origin's address, and not ask the same entry first again.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, with an entry that is silent or has no rows, "
                 "reads the store and asks another the next time",
                 "[relay]") {
  R_.onEntryConnected(ProcessName("e1"), 4, Now_);
  R_.onEntryConnected(ProcessName("e2"), 5, Now_);
  list();
  ConnectionId First = Asked_[0].first;
  SECTION("silent") {
    pass(RowReader::AnswerTimeout);
    REQUIRE(StoreReads_ == 1);
    list();
    REQUIRE(Asked_.size() == 2);
    REQUIRE(Asked_[1].first != First);
  }
  SECTION("knows nothing") {
    wire::RowsAnswerT Away;
    Away.number = Asked_[0].second;
    Away.away = true;
    R_.onAnswer(Away);
    REQUIRE(StoreReads_ == 1);
  }
}

// Guards against hundreds of agents that all read a long table from the store
// right after a restart, so that the entries get it seconds later.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, whose entry is receiving its first rows, asks "
                 "again and leaves the store alone",
                 "[relay]") {
  Listed_ = {PeerAddress("10.0.0.1:7700")};
  bool IsConnected = GENERATE(true, false);
  if (IsConnected)
    R_.onEntryConnected(ProcessName("e1"), 4, Now_);
  list();
  if (!IsConnected)
    pass(RowReader::EntryWait);
  auto LastNumber = [&] {
    return IsConnected ? Asked_.back().second : Dialled_.back().second;
  };
  auto Questions = [&] { return Asked_.size() + Dialled_.size(); };
  wire::RowsAnswerT NoData;
  NoData.away = true;
  NoData.receiving = true;
  NoData.number = LastNumber();
  R_.onAnswer(NoData);
  REQUIRE(StoreReads_ == 0);
  pass(RowReader::DataRetryDelay);
  REQUIRE(Questions() == 2);
  REQUIRE(EntryLookups_ == (IsConnected ? 0 : 1));
  SECTION("it has them later") {
    R_.onAnswer(answer(LastNumber()));
    REQUIRE(Done_ == 1);
    pass(Seconds(10));
    REQUIRE(StoreReads_ == 0);
  }
  SECTION("it never has them") {
    for (TimePoint End = Now_ + RowReader::DataTimeout; Now_ < End;) {
      NoData.number = LastNumber();
      R_.onAnswer(NoData);
      pass(RowReader::DataRetryDelay);
    }
    REQUIRE(StoreReads_ == 1);
  }
  SECTION("it falls silent") {
    pass(RowReader::EntryWait + RowReader::AnswerTimeout);
    REQUIRE(StoreReads_ == 1);
  }
}

TEST_CASE_METHOD(ReaderFixture,
                 "row reader, with a closed connection, asks the next entry",
                 "[relay]") {
  Closed_ = GENERATE(ConnectionId(4), ConnectionId(5));
  R_.onEntryConnected(ProcessName("e1"), 4, Now_);
  R_.onEntryConnected(ProcessName("e2"), 5, Now_);
  list();
  REQUIRE(Asked_.size() == 1);
  REQUIRE(Asked_[0].first != Closed_);
}

// Guards against engines that are added under load and serve a second late,
// since their agents wait for an entry to connect, for each table anew.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, of an agent added later, asks an entry within "
                 "200 ms, and at once for the next table",
                 "[relay]") {
  Listed_ = {PeerAddress("10.0.0.1:7700"), PeerAddress("10.0.0.2:7700")};
  list();
  pass(Milliseconds(200));
  REQUIRE(Dialled_.size() == 1);
  R_.onAnswer(answer(Dialled_[0].second));
  REQUIRE(Done_ == 1);
  list();
  REQUIRE(Dialled_.size() == 2);
  REQUIRE(EntryLookups_ == 1);
  R_.onAnswer(answer(Dialled_[1].second));
  REQUIRE(Done_ == 2);
  REQUIRE(StoreReads_ == 0);
}

// Guards against agents that keep asking an entry that has ended.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, when an entry found in the store is silent, "
                 "looks for another one the next time",
                 "[relay]") {
  Listed_ = {PeerAddress("10.0.0.1:7700")};
  list();
  pass(RowReader::EntryWait);
  pass(RowReader::EntryWait + RowReader::AnswerTimeout);
  REQUIRE(StoreReads_ == 1);
  Listed_ = {PeerAddress("10.0.0.2:7700")};
  list();
  pass(RowReader::EntryWait);
  REQUIRE(EntryLookups_ == 2);
  REQUIRE(Dialled_.back().first == Listed_[0]);
}

TEST_CASE_METHOD(ReaderFixture,
                 "row reader, at the first start of the whole deployment, "
                 "waits longer for an entry to connect",
                 "[relay]") {
  RowReader R(transport(), 1, RowReader::FirstEntryWait);
  R.list("op", Now_, [](const StoreReply &) {});
  R.tick(Now_ + RowReader::FirstEntryWait - Milliseconds(1));
  REQUIRE(EntryLookups_ == 0);
  R.tick(Now_ + RowReader::FirstEntryWait);
  REQUIRE(EntryLookups_ == 1);
}

// The agents of a zone have the same entries; if all asked the one that
// connected last, they would saturate its link.
TEST_CASE_METHOD(ReaderFixture,
                 "row reader, of many agents with the same entries, spread "
                 "their questions",
                 "[relay]") {
  std::map<ConnectionId, int> Asked;
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    ReaderFixture One;
    RowReader R(One.transport(), Seed);
    for (ConnectionId Each = 1; Each <= 6; ++Each)
      R.onEntryConnected(ProcessName("e" + std::to_string(Each)), Each, Now_);
    R.list("op", Now_, [](const StoreReply &) {});
    ++Asked[One.Asked_.at(0).first];
  }
  REQUIRE(Asked.size() == 6);
  for (const auto &[Entry, Count] : Asked)
    CHECK(Count <= 25);
}
