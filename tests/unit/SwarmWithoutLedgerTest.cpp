// Tests of Swarm without a ledger that records who may read the origin.

#include "hawthornroad/weights/Swarm.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
constexpr ChunkIndex Chunks = 12;
const AvailabilityZone Zone("z");

ContentShape shape() {
  return {VersionDigest("m/2"), Chunks, Chunks * 100, 100};
}

Swarm::Setup setup(const std::string &Self, Duration HelpAfter) {
  Swarm::Setup S;
  S.HelpAfter_ = HelpAfter;
  S.Self_ = {Vm(Self), Zone};
  S.OriginCopies_ = 2;
  S.WatchOwners_ = true;
  S.SliceTimeout_ = Milliseconds(900);
  S.OriginReads_ = 1;
  return S;
}

// One VM that gets every grant it claims, and an origin that answers at once.
struct SingleReader {
  Swarm Swarm_;
  TimePoint Now_ = Start;
  std::vector<ChunkIndex> Reads_;
  // Results of the coming reads, in order; Good when used up.
  std::vector<OriginReadResult> Ends_;

  explicit SingleReader(const std::vector<std::string> &Others,
                        Duration HelpAfter = Duration::zero())
      : Swarm_(setup("self", HelpAfter), shape(), ChunkSet(Chunks), Start) {
    std::vector<SwarmPeer> Peers;
    for (const std::string &O : Others)
      Peers.push_back({Vm(O), Zone});
    Swarm_.setPeers(Peers, Start);
  }
  void run(const std::vector<SwarmAction> &Actions) {
    for (const SwarmAction &A : Actions) {
      if (const auto *Claim = std::get_if<ClaimGrant>(&A))
        Swarm_.onClaim(Claim->Grant_, ClaimResult::Won, Now_);
      else if (std::holds_alternative<CheckOrigin>(A))
        Swarm_.onOriginChecked(true, Now_);
      else if (const auto *Read = std::get_if<ReadOrigin>(&A)) {
        OriginReadResult End = OriginReadResult::Good;
        if (Reads_.size() < Ends_.size())
          End = Ends_[Reads_.size()];
        Reads_.push_back(Read->Chunk_);
        Swarm_.onOrigin(Read->Chunk_, End, Now_);
      }
    }
  }
  void runUntil(Duration D) {
    for (TimePoint End = Start + D; Now_ < End; Now_ += Milliseconds(30))
      run(Swarm_.tick(Now_));
  }
};
} // namespace

// The origin sends one invalid answer. The slice's own grant covered one read
// of each chunk; a second read must still be possible, or the version never
// becomes complete.
TEST_CASE("swarm without a ledger, after an invalid read of the origin, reads "
          "that chunk again",
          "[swarm]") {
  SingleReader R({});
  R.Ends_ = {OriginReadResult::Good, OriginReadResult::Wasted,
             OriginReadResult::Wasted};
  R.runUntil(Seconds(12));
  REQUIRE(R.Swarm_.isDone());
  REQUIRE(R.Reads_.size() == Chunks + 2);
}

// The owners of most slices are frozen and send nothing. Their slices must be
// taken over, although their grants cannot be passed on.
TEST_CASE(
    "swarm without a ledger, when the owners of slices stay silent, reads "
    "in their place after a timeout for each rank",
    "[swarm]") {
  SingleReader R({"a", "b"});
  R.runUntil(Milliseconds(800));
  std::size_t Own = R.Reads_.size();
  REQUIRE(Own < Chunks);
  R.runUntil(Seconds(10));
  CAPTURE(Own, R.Reads_.size());
  REQUIRE(R.Swarm_.isDone());
  REQUIRE(R.Reads_.size() == Chunks);
}

TEST_CASE("swarm without a ledger, while an owner shows new chunks, leaves its "
          "slices to it",
          "[swarm]") {
  SingleReader R({"a"});
  R.Swarm_.onAsk(Vm("a"), Start);
  ChunkSet Have(Chunks);
  // "a" announces one more of its chunks every half second.
  std::vector<ChunkIndex> Others;
  // Its own slices are read by then.
  R.runUntil(Milliseconds(700));
  for (ChunkIndex I = 0; I < Chunks; ++I)
    if (std::find(R.Reads_.begin(), R.Reads_.end(), I) == R.Reads_.end())
      Others.push_back(I);
  REQUIRE(Others.size() >= 3);
  std::size_t Own = R.Reads_.size();
  for (std::size_t N = 0; N < Others.size(); ++N) {
    Have.add(Others[N]);
    R.Swarm_.onHave(Vm("a"), Have, 0, R.Now_);
    R.runUntil(R.Now_ - Start + Milliseconds(500));
  }
  CAPTURE(R.Reads_, Others);
  REQUIRE(R.Reads_.size() == Own);
}

// The link of a VM that owns a part of the version has lost bandwidth: it reads
// a chunk every half second and announces it, so it is never silent, and the
// whole fleet waits for it. A VM that has read its own chunks must read the
// rest.
TEST_CASE(
    "swarm without a ledger, when an owner is slow, reads for it once its "
    "own chunks are read",
    "[swarm]") {
  SingleReader R({"a"}, Milliseconds(150));
  R.Swarm_.onAsk(Vm("a"), Start);
  R.runUntil(Milliseconds(120));
  std::size_t Own = R.Reads_.size();
  REQUIRE(Own < Chunks);
  R.runUntil(Milliseconds(1000));
  CAPTURE(Own, R.Reads_.size());
  REQUIRE(R.Swarm_.isDone());
  REQUIRE(R.Reads_.size() == Chunks);
}

// A VM that never reached the origin cannot help: it would only hold one of the
// origin's few connections.
TEST_CASE("swarm without a ledger, when an owner is slow, does not read for it "
          "without an answer of the origin",
          "[swarm]") {
  SingleReader R({"a"}, Milliseconds(150));
  R.Ends_.assign(200, OriginReadResult::Nothing);
  R.runUntil(Milliseconds(700));
  for (ChunkIndex I : R.Reads_)
    REQUIRE(I == R.Reads_.front());
}

TEST_CASE(
    "swarm without a ledger, while an owner keeps pace, leaves its slices "
    "to it",
    "[swarm]") {
  SingleReader R({"a"}, Milliseconds(150));
  R.Swarm_.onAsk(Vm("a"), Start);
  R.runUntil(Milliseconds(30));
  std::size_t Own = R.Reads_.size();
  ChunkSet Have(Chunks);
  std::vector<ChunkIndex> Others;
  for (ChunkIndex I = 0; I < Chunks; ++I)
    if (!R.Swarm_.held().has(I))
      Others.push_back(I);
  // The owner announces four chunks every 30 ms, and they arrive here at once.
  for (std::size_t N = 0; N < Others.size(); ++N) {
    Have.add(Others[N]);
    R.Swarm_.onHave(Vm("a"), Have, 0, R.Now_);
    R.Swarm_.onChunk(Others[N], Vm("a"), R.Now_);
    if (N % 4 == 3)
      R.runUntil(R.Now_ - Start + Milliseconds(30));
  }
  REQUIRE(R.Swarm_.isDone());
  REQUIRE(R.Reads_.size() == Own);
}

// The slow VM has read a chunk but cannot send it because its link is full. No
// other VM has the chunk, so all VMs wait for it.
TEST_CASE("swarm without a ledger, when the only VM that has a chunk does not "
          "deliver it, reads it",
          "[swarm]") {
  SingleReader R({"a"}, Milliseconds(150));
  R.Swarm_.onAsk(Vm("a"), Start);
  R.runUntil(Milliseconds(90));
  ChunkSet Have(Chunks);
  for (ChunkIndex I = 0; I < Chunks; ++I)
    if (!R.Swarm_.held().has(I))
      Have.add(I);
  REQUIRE(Have.count() > 0);
  R.Swarm_.onHave(Vm("a"), Have, 0, R.Now_);
  R.runUntil(Seconds(3));
  CAPTURE(R.Reads_, R.Swarm_.held().count());
  REQUIRE(R.Swarm_.isDone());
  REQUIRE(R.Reads_.size() == Chunks);
}

// Guards against a budget that a lost origin has used up: nothing was read from
// the origin that replaces it.
TEST_CASE("swarm without a ledger, whose reads were spent on a lost origin, "
          "reads what it lacks from the one that replaces it",
          "[swarm]") {
  SingleReader R({});
  R.Ends_.assign(4 * Chunks, OriginReadResult::Wasted);
  R.Ends_[0] = OriginReadResult::Good;
  R.runUntil(Seconds(60));
  std::size_t Spent = R.Reads_.size();
  REQUIRE(Spent == 2 * Chunks);
  REQUIRE_FALSE(R.Swarm_.isDone());
  R.Ends_.clear();
  R.Swarm_.onOriginMoved(Zone, R.Now_);
  R.runUntil(Seconds(62));
  CHECK(R.Swarm_.isDone());
  CHECK(R.Reads_.size() == Spent + Chunks - 1);
}

// Guards against slices that stay with VMs near the former origin, or that all
// VMs take over at once because the former origin was silent.
TEST_CASE("swarm without a ledger, when the origin moves to another zone, "
          "leaves the slices to the VMs there at first",
          "[swarm]") {
  Swarm::Setup S = setup("self", Duration::zero());
  S.OriginZone_ = Zone;
  const AvailabilityZone Other("other");
  Swarm W(S, shape(), ChunkSet(Chunks), Start);
  W.setPeers({{Vm("a"), Other}, {Vm("b"), Other}}, Start);
  auto ReadsAt = [&](TimePoint Now) {
    std::size_t Reads = 0;
    for (const SwarmAction &A : W.tick(Now)) {
      if (const auto *Claim = std::get_if<ClaimGrant>(&A))
        W.onClaim(Claim->Grant_, ClaimResult::Won, Now);
      else if (const auto *Read = std::get_if<ReadOrigin>(&A)) {
        ++Reads;
        W.onOrigin(Read->Chunk_, OriginReadResult::Nothing, Now);
      }
    }
    return Reads;
  };
  TimePoint Now = Start;
  std::size_t Before = 0;
  for (; Now < Start + Seconds(5); Now += Milliseconds(30))
    Before += ReadsAt(Now);
  CHECK(Before > 0);
  W.onOriginMoved(Other, Now);
  std::size_t After = 0;
  for (TimePoint End = Now + Milliseconds(800); Now < End;
       Now += Milliseconds(30))
    After += ReadsAt(Now);
  CHECK(After == 0);
}
