// Tests who reads a version's digests and from whom the others get them, in
// fleets of several sizes.
//
// Guards against a rush on the origin: hundreds of VMs heard of a version
// within 5 ms, asked peers that had not heard of it yet, were told that these
// had no digests, and all connected to the origin. It accepted 48 connections
// at a time; VMs that were to read chunks waited behind those that asked for
// digests, and half of the fleet began its transfer 3.2 s after the version was
// announced.

#include "hawthornroad/weights/DigestTree.h"

#include <catch2/catch.hpp>

#include <map>
#include <queue>
#include <set>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
// Delay of a frame, and duration of a read of the digests from a narrow origin.
constexpr Duration Hop = Milliseconds(10);
constexpr Duration ReadTime = Milliseconds(30);
constexpr Duration TickPeriod = Milliseconds(30);

struct FleetSetup {
  std::size_t Vms_ = 9;
  std::size_t Zones_ = 3;
  // VMs that do not respond, although all VMs list them.
  std::set<std::size_t> Dead_ = {};
  // The origin answers from this time on.
  Duration OriginRestored_ = Duration::zero();
  // VMs of these zones and VMs of other zones cannot reach each other.
  std::set<std::size_t> CutZones_ = {};
  bool HasOriginZone_ = true;
};

// The trees of all VMs, exchanging requests and answers in model time.
class DigestFleet {
public:
  explicit DigestFleet(FleetSetup S) : Setup_(std::move(S)) {
    std::vector<SwarmPeer> All;
    for (std::size_t I = 0; I < Setup_.Vms_; ++I)
      All.push_back(peer(I));
    for (std::size_t I = 0; I < Setup_.Vms_; ++I) {
      DigestTree::Setup T;
      T.Self_ = All[I];
      T.OriginZone_ = AvailabilityZone(Setup_.HasOriginZone_ ? "z0" : "none");
      T.Version_ = "m/2";
      T.Seed_ = I + 1;
      Trees_.emplace_back(T, Start);
      Trees_.back().setPeers(All);
      Index_[All[I].Vm_] = I;
    }
    Has_.assign(Setup_.Vms_, false);
    HasAt_.assign(Setup_.Vms_, TimePoint::max());
    Reading_.assign(Setup_.Vms_, false);
    Waiters_.resize(Setup_.Vms_);
  }

  void run(Duration For) {
    for (Now_ = Start; Now_ < Start + For; Now_ += Milliseconds(1)) {
      while (!Events_.empty() && Events_.begin()->first <= Now_) {
        auto Do = std::move(Events_.begin()->second);
        Events_.erase(Events_.begin());
        Do();
      }
      if ((Now_ - Start) % TickPeriod == Duration::zero())
        for (std::size_t I = 0; I < Setup_.Vms_; ++I)
          tick(I);
    }
  }

  // Time until the last live VM had the digests; max when one never got them.
  Duration lastAfter() const {
    TimePoint Last = Start;
    for (std::size_t I = 0; I < Setup_.Vms_; ++I)
      if (!Setup_.Dead_.contains(I))
        Last = std::max(Last, HasAt_[I]);
    return Last - Start;
  }
  std::size_t reads() const { return Reads_; }
  std::size_t maxConcurrentReads() const { return MaxReads_; }
  std::size_t maxSent() const {
    std::size_t Most = 0;
    for (const auto &[Vm, Count] : Sent_)
      Most = std::max(Most, Count);
    return Most;
  }
  std::size_t indexOfReader() const {
    for (std::size_t I = 0; I < Trees_.size(); ++I)
      if (Trees_[I].isReader())
        return I;
    return Trees_.size();
  }
  std::size_t readers() const {
    std::size_t Count = 0;
    for (const DigestTree &T : Trees_)
      Count += T.isReader() ? 1 : 0;
    return Count;
  }

private:
  SwarmPeer peer(std::size_t I) const {
    return {Vm("vm-" + std::to_string(I)),
            AvailabilityZone("z" + std::to_string(I % Setup_.Zones_))};
  }
  bool isCut(std::size_t I) const {
    return Setup_.CutZones_.contains(I % Setup_.Zones_);
  }
  bool reach(std::size_t A, std::size_t B) const {
    return isCut(A) == isCut(B) && !Setup_.Dead_.contains(B);
  }
  void after(Duration D, std::function<void()> Do) {
    Events_.emplace(Now_ + D, std::move(Do));
  }
  void tick(std::size_t I) {
    if (Has_[I] || Reading_[I] || Setup_.Dead_.contains(I))
      return;
    DigestStep S = Trees_[I].next(Now_);
    if (S.Kind_ == DigestStep::Kind::Read)
      read(I);
    else if (S.Kind_ == DigestStep::Kind::Ask)
      ask(I, Index_.at(S.To_));
  }
  void read(std::size_t I) {
    Reading_[I] = true;
    ++Reads_;
    MaxReads_ = std::max(MaxReads_, ++ReadsNow_);
    // A connection attempt without an answer times out after 200 ms.
    bool Answers = Now_ - Start >= Setup_.OriginRestored_ && !isCut(I);
    after(Answers ? ReadTime : Milliseconds(200), [this, I, Answers] {
      --ReadsNow_;
      Reading_[I] = false;
      if (Answers)
        take(I);
      else
        Trees_[I].onReadFailed(Now_);
    });
  }
  void ask(std::size_t From, std::size_t To) {
    if (!reach(From, To))
      return;
    after(Hop, [this, From, To] {
      if (Has_[To])
        send(To, From);
      else
        Waiters_[To].insert(From);
    });
  }
  void send(std::size_t From, std::size_t To) {
    ++Sent_[From];
    if (reach(From, To))
      after(Hop, [this, To] { take(To); });
  }
  void take(std::size_t I) {
    if (Has_[I])
      return;
    Has_[I] = true;
    HasAt_[I] = Now_;
    for (std::size_t Each : std::exchange(Waiters_[I], {}))
      send(I, Each);
  }

  FleetSetup Setup_;
  std::vector<DigestTree> Trees_;
  std::map<Vm, std::size_t> Index_;
  std::vector<bool> Has_;
  std::vector<bool> Reading_;
  std::vector<TimePoint> HasAt_;
  std::vector<std::set<std::size_t>> Waiters_;
  std::multimap<TimePoint, std::function<void()>> Events_;
  std::map<std::size_t, std::size_t> Sent_;
  TimePoint Now_ = Start;
  std::size_t Reads_ = 0;
  std::size_t ReadsNow_ = 0;
  std::size_t MaxReads_ = 0;
};

constexpr std::size_t Sizes[] = {1, 2, 9, 58, 265, 820};
// Copies that one VM sends: to its children, and to the first VMs of other
// zones.
constexpr std::size_t MaxCopies = 8 + 4;
} // namespace

TEST_CASE("digest tree, in a healthy fleet, reads the origin once and "
          "reaches all within a few hops",
          "[weights]") {
  for (std::size_t Vms : Sizes) {
    INFO(Vms << " VMs");
    DigestFleet F({.Vms_ = Vms, .Zones_ = std::min<std::size_t>(5, Vms)});
    REQUIRE(F.readers() == 1);
    F.run(Seconds(2));
    CHECK(F.reads() == 1);
    CHECK(F.lastAfter() <= Milliseconds(150));
    CHECK(F.maxSent() <= MaxCopies);
  }
}

TEST_CASE("digest tree, when no VM is in the origin's zone, still has one "
          "reader",
          "[weights]") {
  DigestFleet F({.Vms_ = 58, .Zones_ = 3, .HasOriginZone_ = false});
  REQUIRE(F.readers() == 1);
  F.run(Seconds(2));
  CHECK(F.reads() == 1);
  CHECK(F.lastAfter() <= Milliseconds(150));
}

// The designated reader is dead but still listed: its children wait for it.
TEST_CASE("digest tree, when the reader is dead, delays the fleet by two "
          "timeouts at most",
          "[weights]") {
  for (std::size_t Vms : {9, 58, 265, 820}) {
    INFO(Vms << " VMs");
    FleetSetup S{.Vms_ = static_cast<std::size_t>(Vms), .Zones_ = 3};
    S.Dead_ = {DigestFleet(S).indexOfReader()};
    DigestFleet F(S);
    F.run(Seconds(4));
    CHECK(F.lastAfter() <= Milliseconds(1000));
    CHECK(F.reads() <= 4);
  }
}

// A third of all VMs lost power; no VM's list shows it yet.
TEST_CASE("digest tree, when a third of the VMs are dead, reaches the others "
          "and reads the origin few times",
          "[weights]") {
  for (std::size_t Vms : {9, 58, 265, 820}) {
    INFO(Vms << " VMs");
    FleetSetup S{.Vms_ = static_cast<std::size_t>(Vms), .Zones_ = 5};
    for (std::size_t I = 0; I < S.Vms_; I += 3)
      S.Dead_.insert(I);
    DigestFleet F(S);
    F.run(Seconds(6));
    CHECK(F.lastAfter() <= Milliseconds(2500));
    CHECK(F.maxConcurrentReads() <= 10);
  }
}

// The origin becomes unreachable before any VM has the digests and recovers
// after 8 s. VMs that probe it meanwhile must leave it connections for its
// readers.
TEST_CASE("digest tree, while the origin is down, probes it with few VMs and "
          "reaches all soon after it recovers",
          "[weights]") {
  for (std::size_t Vms : {9, 58, 265, 820}) {
    INFO(Vms << " VMs");
    DigestFleet F({.Vms_ = static_cast<std::size_t>(Vms),
                   .Zones_ = 5,
                   .OriginRestored_ = Seconds(8)});
    F.run(Seconds(14));
    CHECK(F.maxConcurrentReads() <= 28);
    CHECK(F.lastAfter() <= Seconds(11));
  }
}

// One zone is cut off from the other VMs and from the origin.
TEST_CASE("digest tree, with one zone cut off, reaches all others and lets few "
          "of the zone try the origin",
          "[weights]") {
  FleetSetup S{.Vms_ = 265, .Zones_ = 5, .CutZones_ = {3}};
  for (std::size_t I = 3; I < S.Vms_; I += 5)
    S.Dead_.insert(I);
  DigestFleet F(S);
  F.run(Seconds(6));
  CHECK(F.lastAfter() <= Milliseconds(600));
  CHECK(F.reads() == 1);
}
