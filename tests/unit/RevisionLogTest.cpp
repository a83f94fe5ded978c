#include "hawthornroad/config/ConfigFollower.h"
#include "hawthornroad/config/MergePatch.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;
using Outcome = RevisionLog::Outcome;
namespace json = boost::json;

namespace {

// The accepted history: revision N sets "n" to N.
struct History {
  std::vector<RevisionRecord> Records_;

  explicit History(Revision Count) {
    json::value Text = json::object();
    for (Revision N = 1; N <= Count; ++N) {
      json::value Next = Text;
      Next.as_object()["n"] = N;
      RevisionRecord R;
      R.Revision_ = N;
      R.Patch_ = makeMergePatch(Text, Next);
      R.Digest_ = textDigest(Next);
      Records_.push_back(R);
      Text = Next;
    }
  }
  ConfigChange change(Revision N) const {
    return toConfigChange(Records_[N - 1]);
  }
  std::vector<std::string> texts(Revision From, Revision To) const {
    std::vector<std::string> Out;
    for (Revision N = From; N <= To; ++N)
      Out.push_back(toText(Records_[N - 1]));
    return Out;
  }
  RevisionLog logAt(Revision N) const {
    RevisionLog Log({});
    for (Revision I = 1; I <= N; ++I)
      Log.apply(change(I));
    return Log;
  }
};

ConfigChange tampered(ConfigChange Change) {
  Change.Patch_ = R"({"n":"other"})";
  return Change;
}

} // namespace

TEST_CASE("revision log, given late, duplicate, early or modified changes, "
          "never falls and stays correct",
          "[revisionlog]") {
  History H(5);
  RevisionLog Log = H.logAt(3);
  struct Case {
    ConfigChange Change_;
    Outcome Outcome_;
  };
  ConfigChange Malformed = H.change(4);
  Malformed.Patch_ = "{";
  std::vector<Case> Cases = {{H.change(1), Outcome::Old},
                             {H.change(3), Outcome::Old},
                             {tampered(H.change(3)), Outcome::Old},
                             {H.change(5), Outcome::Gap},
                             {tampered(H.change(4)), Outcome::BadDigest},
                             {Malformed, Outcome::Malformed}};
  for (const Case &Each : Cases) {
    CHECK(Log.apply(Each.Change_) == Each.Outcome_);
    CHECK(Log.revision() == 3);
    CHECK(Log.text().at("n") == 3);
  }
  CHECK(Log.apply(H.change(4)) == Outcome::Applied);
  CHECK(Log.text().at("n") == 4);
}

TEST_CASE("revision log takes a snapshot only when it is higher and valid",
          "[revisionlog]") {
  History H(5);
  RevisionLog Log = H.logAt(3);
  CHECK(Log.applySnapshot(H.logAt(2).snapshot()) == Outcome::Old);
  CHECK(Log.applySnapshot(H.logAt(3).snapshot()) == Outcome::Old);
  CHECK(Log.applySnapshot("nonsense") == Outcome::Malformed);
  json::object Changed = json::parse(H.logAt(5).snapshot()).as_object();
  Changed["text"] = {{"n", 7}};
  CHECK(Log.applySnapshot(json::serialize(Changed)) == Outcome::BadDigest);
  CHECK(Log.revision() == 3);
  CHECK(Log.applySnapshot(H.logAt(5).snapshot()) == Outcome::Applied);
  CHECK(Log.revision() == 5);
}

TEST_CASE("revision log gives a lagging peer changes, or a snapshot when the "
          "gap is too large",
          "[revisionlog]") {
  History H(100);
  RevisionLog Log({.MaxChanges_ = 10, .MaxPush_ = 5});
  for (Revision N = 1; N <= 100; ++N)
    Log.apply(H.change(N));
  struct Case {
    Revision After_;
    std::size_t Changes_;
    bool Snapshot_;
  };
  for (Case C : std::vector<Case>{{100, 0, false},
                                  {101, 0, false},
                                  {99, 1, false},
                                  {95, 5, false},
                                  {94, 0, true},
                                  {3, 0, true},
                                  {0, 0, true}}) {
    INFO(C.After_);
    PushMessage M = Log.since(C.After_);
    CHECK(M.Changes_.size() == C.Changes_);
    CHECK(M.Snapshot_.empty() != C.Snapshot_);
    if (!M.Changes_.empty())
      CHECK(M.Changes_.front().Revision_ == C.After_ + 1);
  }
}

namespace {

struct FollowerFixture {
  TimePoint Now_ = TimePoint{} + Seconds(100);
  ConfigFollower Follower_{Random(1), {}};
  ConfigFollower::Output Out_;
  PeerAddress Peer_{"peer"};

  ConfigRead read(bool IsReader = true) {
    Out_ = {};
    for (int I = 0; I < 2000 && !Out_.Read_; ++I) {
      Follower_.tick(IsReader, Now_, Out_);
      if (!Out_.Read_)
        Now_ += Milliseconds(10);
    }
    REQUIRE(Out_.Read_);
    return *Out_.Read_;
  }
  void answer(const ConfigRead &Read, std::vector<std::string> Values) {
    Out_ = {};
    Follower_.tableAnswered({Read.Id_, true, std::move(Values)}, Now_, Out_);
  }
  void fail(const ConfigRead &Read) {
    Out_ = {};
    Follower_.tableAnswered({Read.Id_, false, {}}, Now_, Out_);
  }
  // Reads an empty table to its end.
  void begin() {
    answer(read(), {});
    answer(read(), {});
    REQUIRE(Follower_.hasReadTable());
  }
  void push(std::vector<ConfigChange> Changes, std::string Snapshot = {}) {
    Out_ = {};
    Follower_.handle(Peer_, PushMessage{Snapshot, 0, std::move(Changes)}, Now_,
                     Out_);
  }
  // The revision after which changes were pulled; nullopt without a pull.
  std::optional<Revision> pulled() const {
    for (const ControlSend &Each : Out_.Sends_)
      if (const auto *M = std::get_if<PullMessage>(&Each.Message_))
        return M->After_;
    return std::nullopt;
  }
  Revision held() const { return Follower_.log().revision(); }
};

} // namespace

TEST_CASE_METHOD(FollowerFixture,
                 "follower reads the snapshot, then doubling pages, then the "
                 "next key each period",
                 "[follower]") {
  History H(60);
  ConfigRead First = read();
  CHECK(First.Kind_ == ConfigRead::Kind::Snapshot);
  answer(First, {H.logAt(10).snapshot()});
  CHECK(held() == 10);
  ConfigRead Page = read();
  CHECK(Page.Key_ == revisionKey(10));
  CHECK(Page.Limit_ == 16);
  answer(Page, H.texts(11, 26));
  Page = read();
  CHECK(Page.Limit_ == 32);
  answer(Page, H.texts(27, 50));
  CHECK(Follower_.hasReadTable());
  ConfigRead Next = read();
  CHECK(Next.Kind_ == ConfigRead::Kind::Next);
  CHECK(Next.Key_ == revisionKey(51));
  SECTION("an answer comes twice") {
    answer(Next, H.texts(51, 51));
    answer(Next, H.texts(51, 51));
    CHECK(held() == 51);
  }
  SECTION("an old copy has no next key") {
    answer(Next, {});
    CHECK(held() == 50);
  }
}

TEST_CASE_METHOD(FollowerFixture,
                 "follower that is not a reader reads the table only once",
                 "[follower]") {
  begin();
  for (int I = 0; I < 1000; ++I) {
    Out_ = {};
    Follower_.tick(false, Now_ += Milliseconds(100), Out_);
    CHECK_FALSE(Out_.Read_);
  }
}

// During a platform outage of minutes there is one read at a time, with growing
// waits between reads; an answer to a read that has already failed is dropped.
TEST_CASE_METHOD(FollowerFixture,
                 "follower backs off while the table fails, and returns soon "
                 "after",
                 "[follower]") {
  begin();
  std::size_t Reads = 0;
  ConfigRead Last;
  for (TimePoint Until = Now_ + Seconds(120); Now_ < Until; ++Reads) {
    Last = read();
    Out_ = {};
    Follower_.tick(true, Now_, Out_);
    CHECK_FALSE(Out_.Read_);
    fail(Last);
  }
  CHECK(Reads <= 32);
  CHECK(Follower_.platform().FailuresInRow_ == Reads);
  answer(Last, History(1).texts(1, 1));
  CHECK(held() == 0);
  TimePoint Before = Now_;
  answer(read(), History(1).texts(1, 1));
  CHECK(held() == 1);
  CHECK(Now_ - Before <= Seconds(15));
  CHECK(Follower_.platform().FailuresInRow_ == 0);
}

TEST_CASE_METHOD(FollowerFixture,
                 "follower pulls from peers that hold more, one at a time, and "
                 "pushes new changes",
                 "[follower]") {
  History H(4);
  Follower_.observeRevision(Peer_, 0, Now_, Out_);
  CHECK_FALSE(pulled());
  Follower_.observeRevision(Peer_, 3, Now_, Out_);
  CHECK(pulled() == 0);
  Out_ = {};
  Follower_.observeRevision(Peer_, 3, Now_, Out_);
  CHECK_FALSE(pulled());
  push({}, H.logAt(2).snapshot());
  CHECK(held() == 2);
  CHECK(Out_.Advanced_);
  push({H.change(3)});
  CHECK(Out_.Advanced_);
  REQUIRE(Out_.Update_.Changes_.size() == 1);
  push({H.change(3)});
  CHECK_FALSE(Out_.Advanced_);
  // The answer to a pull is lost: the pull is repeated after its timeout.
  Follower_.observeRevision(Peer_, 4, Now_, Out_);
  Out_ = {};
  Now_ += Milliseconds(501);
  Follower_.tick(false, Now_, Out_);
  Follower_.observeRevision(Peer_, 4, Now_, Out_);
  CHECK(pulled() == 3);
}

TEST_CASE_METHOD(FollowerFixture,
                 "follower that misses a change or receives an invalid one "
                 "fetches what it lacks",
                 "[follower]") {
  History H(5);
  push({}, H.logAt(2).snapshot());
  push({H.change(4)});
  CHECK(pulled() == 2);
  push({tampered(H.change(3))});
  CHECK(held() == 2);
  CHECK(pulled() == 0);
  push({}, H.logAt(5).snapshot());
  CHECK(held() == 5);
  CHECK(Follower_.refused() == 1);
}

// The text in memory is damaged, or the process adopted a wrong one earlier, so
// the next change of the table fails its digest check. The process has to read
// the table again from the start, without lowering its revision meanwhile.
TEST_CASE_METHOD(FollowerFixture,
                 "follower whose text does not match the table's next change "
                 "reads the table again",
                 "[follower]") {
  History H(4);
  begin();
  json::object Wrong = json::parse(H.logAt(2).snapshot()).as_object();
  Wrong["text"] = {{"n", 2}, {"stray", 1}};
  Wrong["digest"] = textDigest(Wrong["text"]);
  push({}, json::serialize(Wrong));
  REQUIRE(held() == 2);
  answer(read(), H.texts(3, 3));
  CHECK(held() == 2);
  answer(read(), {});
  CHECK(held() == 2);
  answer(read(), H.texts(1, 4));
  CHECK(held() == 4);
  CHECK(Follower_.log().text() == H.logAt(4).text());
}

TEST_CASE("readers of the table are few in each zone and never none",
          "[poll]") {
  std::vector<std::string> Live;
  for (int I = 0; I < 50; ++I)
    Live.push_back("p" + std::to_string(I));
  std::size_t Readers = 0;
  for (const std::string &Each : Live)
    Readers += isReader(ProcessName(Each), AvailabilityZone("z"), Live, 3);
  CHECK(Readers == 3);
  CHECK(isReader(ProcessName("p0"), AvailabilityZone("z"), {"p0"}, 3));
}
