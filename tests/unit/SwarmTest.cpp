// Simulates the decision modules of four VMs in model time: messages and the
// ledger take no time, reads of the origin take ReadTime_. For a zone that is
// cut off from the origin or the table, reads and claims fail.

#include "hawthornroad/weights/Swarm.h"

#include "hawthornroad/base/Hash.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>

using namespace hawthornroad;

namespace {
constexpr ChunkIndex Chunks = 10;
constexpr auto TickPeriod = Milliseconds(50);
const AvailabilityZone CutOffZone("zone-b");

Manifest manifest(const std::string &Blob) {
  std::string Digest = sha256(Blob);
  std::string Text = R"({"format":1,"model":"m","size":10000,)"
                     R"("chunk_size":1000,"digest":")" +
                     Digest + R"(","blob":"/b","chunks":[)";
  for (ChunkIndex I = 0; I < Chunks; ++I)
    Text += (I == 0 ? "\"" : ",\"") + Digest + "\"";
  Text += "]}";
  return Manifest::parse(Text, VersionDigest(sha256(Text)), "test");
}

struct SwarmFixture {
  Duration ReadTime_ = Milliseconds(20);
  // What VMs of CutOffZone cannot reach.
  bool CutFromOrigin_ = false;
  bool CutFromTable_ = false;

  void start(const std::string &Blob, double Copies) {
    *this = SwarmFixture{.ReadTime_ = ReadTime_,
                         .CutFromOrigin_ = CutFromOrigin_,
                         .CutFromTable_ = CutFromTable_};
    Manifest M = manifest(Blob);
    for (std::size_t I = 0; I < 4; ++I)
      All_.push_back({Vm("vm-" + std::to_string(I)),
                      AvailabilityZone(I % 2 == 0 ? "zone-a" : "zone-b")});
    for (const SwarmPeer &P : All_) {
      auto [At, New] = Swarms_.try_emplace(
          P.Vm_,
          Swarm::Setup{.Self_ = P,
                       .Preference_ = RolloutPreference::OriginBytes,
                       .OriginCopies_ = Copies},
          M, ChunkSet(Chunks), Now_);
      At->second.setPeers(All_, Now_);
    }
  }

  // Runs until all VMs hold every chunk, for at most Limit; returns false when
  // it takes longer.
  bool allDoneWithin(Duration Limit) {
    for (TimePoint End = Now_ + Limit; Now_ < End; Now_ += TickPeriod) {
      for (auto Due = Reads_.begin(); Due != Reads_.end() && Due->first <= Now_;
           Due = Reads_.erase(Due))
        Due->second();
      bool AllDone = true;
      for (const SwarmPeer &P : All_) {
        act(P, Swarms_.at(P.Vm_).tick(Now_));
        AllDone = AllDone && Swarms_.at(P.Vm_).isDone();
      }
      if (AllDone)
        return true;
    }
    return false;
  }

  bool reachesOrigin(const SwarmPeer &P) const {
    return !CutFromOrigin_ || P.Zone_ != CutOffZone;
  }
  bool reachesTable(const SwarmPeer &P) const {
    return !CutFromTable_ || P.Zone_ != CutOffZone;
  }
  void act(const SwarmPeer &P, const std::vector<SwarmAction> &Actions) {
    for (const SwarmAction &A : Actions)
      std::visit([&](const auto &Each) { act(P, Each); }, A);
  }
  void act(const SwarmPeer &P, const RequestChunk &A) {
    Swarm &S = Swarms_.at(P.Vm_);
    if (Swarms_.at(A.Fetch_.From_).held().has(A.Fetch_.Chunk_))
      S.onChunk(A.Fetch_.Chunk_, A.Fetch_.From_, Now_);
    else
      S.onRefused(A.Fetch_.Chunk_, A.Fetch_.From_, FetchResult::Missing, Now_);
  }
  void act(const SwarmPeer &P, const ReadOrigin &A) {
    bool Good = reachesOrigin(P);
    Sent_ += Good ? 1 : 0;
    Reads_.emplace(Now_ + ReadTime_, [this, P, Good, C = A.Chunk_] {
      Swarms_.at(P.Vm_).onOrigin(
          C, Good ? OriginReadResult::Good : OriginReadResult::Nothing, Now_);
    });
  }
  void act(const SwarmPeer &P, const ClaimGrant &A) {
    ClaimResult R = ClaimResult::Unknown;
    if (reachesTable(P))
      R = Holders_.try_emplace(A.Grant_, P).first->second == P
              ? ClaimResult::Won
              : ClaimResult::Lost;
    Swarms_.at(P.Vm_).onClaim(A.Grant_, R, Now_);
  }
  void act(const SwarmPeer &P, const CheckOrigin &) {
    Swarms_.at(P.Vm_).onOriginChecked(reachesOrigin(P), Now_);
  }
  void act(const SwarmPeer &P, const AskHave &A) {
    Swarms_.at(A.To_).onAsk(P.Vm_, Now_);
  }
  void act(const SwarmPeer &P, const TellHave &A) {
    Swarm &To = Swarms_.at(A.Update_.To_);
    if (A.Update_.IsFullBitmap_)
      To.onHave(P.Vm_, Swarms_.at(P.Vm_).held(), 0, Now_);
    else
      To.onAdded(P.Vm_, A.Update_.Added_, 0, Now_);
  }

  TimePoint Now_{};
  std::vector<SwarmPeer> All_ = {};
  std::map<Vm, Swarm> Swarms_ = {};
  std::multimap<TimePoint, std::function<void()>> Reads_ = {};
  std::map<Grant, SwarmPeer> Holders_ = {};
  // Chunks sent by the origin.
  std::size_t Sent_ = 0;
};
} // namespace

TEST_CASE_METHOD(SwarmFixture,
                 "swarm, when a zone with owners is cut off from origin and "
                 "table, is staged by the other zone with one copy",
                 "[weights]") {
  // Of the slices, one chunk each, about half have their first or their first
  // two VMs in the zone that is cut off. The others are read at once; after
  // that no new chunk of any slice is seen, and no slice can fall behind. When
  // all ranks in turn waited for silence across the whole fleet, this took over
  // 40 s.
  CutFromOrigin_ = CutFromTable_ = true;
  for (int Round = 0; Round < 20; ++Round) {
    INFO("round " << Round);
    start("blob " + std::to_string(Round), 1.1);
    CHECK(allDoneWithin(Seconds(20)));
    CHECK(Sent_ == Chunks);
  }
}

TEST_CASE_METHOD(SwarmFixture,
                 "swarm, when the origin takes long for each chunk, reads one "
                 "copy although spare ones are granted",
                 "[weights]") {
  // With a slow origin every slice is silent for longer than its timeout; a VM
  // that took this for a dead owner would read chunks that are already being
  // read.
  ReadTime_ = Seconds(9);
  for (int Round = 0; Round < 20; ++Round) {
    INFO("round " << Round);
    start("blob " + std::to_string(Round), 3.3);
    CHECK(allDoneWithin(Seconds(200)));
    CHECK(Sent_ == Chunks);
  }
}

TEST_CASE_METHOD(SwarmFixture,
                 "swarm, when a zone is cut off from the origin only, takes "
                 "no slice of another VM into that zone",
                 "[weights]") {
  // A VM that reaches the table but not the origin could win the grant of a
  // slice that it does not own, and nobody could read that slice any more
  // without a spare grant.
  CutFromOrigin_ = true;
  ReadTime_ = Seconds(9);
  for (int Round = 0; Round < 20; ++Round) {
    INFO("round " << Round);
    start("blob " + std::to_string(Round), 3.3);
    CHECK(allDoneWithin(Seconds(300)));
    for (const auto &[G, Holder] : Holders_) {
      if (G.Kind_ != Grant::Kind::Slice || Holder.Zone_ != CutOffZone)
        continue;
      Owners O(manifest("blob " + std::to_string(Round)).version(), Chunks,
               Holder);
      O.setPeers(All_);
      CHECK(O.rank(G.Number_) == 0);
    }
  }
}
