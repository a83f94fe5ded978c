// Simulates the distribution of one version to a fleet in model time, with the
// decision modules of every VM. The origin takes 4.3 s to send one version, a
// VM 2.6 s to receive one.
//
// Guards against duplicate reads and uneven slices: in fleets of 58 VMs and
// more a third of the version was read twice from the origin, because readers
// that had finished read chunks which their owners were reading, and some of
// eight readers owned twice as many slices as others. All VMs waited for this
// on the bottleneck link.

#include "bench/WeightsModel.h"
#include "hawthornroad/weights/Owners.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace hawthornroad;

namespace {
ModelSetup fleet(std::size_t Vms, std::size_t Zones) {
  ModelSetup S;
  S.Vms_ = Vms;
  S.Zones_ = Zones;
  S.Chunks_ = 96;
  S.HasNarrowOrigin_ = true;
  S.Window_ = Milliseconds(4310);
  S.OriginCopies_ = 1;
  S.LinkCopies_ = 4.31 / 2.59;
  return S;
}

std::vector<SwarmPeer> peers(std::size_t Vms, std::size_t Zones) {
  std::vector<SwarmPeer> Out;
  for (std::size_t I = 0; I < Vms; ++I)
    Out.push_back({Vm("vm-" + std::to_string(I)),
                   AvailabilityZone("z" + std::to_string(I % Zones))});
  return Out;
}
} // namespace

TEST_CASE("narrow origin, in a healthy fleet, sends a version once and all "
          "have it soon after its last byte",
          "[weights]") {
  struct Row {
    std::size_t Vms_, Zones_;
    double MaxOverBound_;
  };
  for (const Row &R : {Row{9, 3, 1.25}, Row{58, 3, 1.4}, Row{265, 5, 1.55}}) {
    INFO(R.Vms_ << " VMs");
    TransferResult M = runSwarm(fleet(R.Vms_, R.Zones_));
    CHECK(M.Staged_ == M.Survivors_);
    CHECK(M.OriginCopies_ <= 1.05);
    CHECK(M.AllSeconds_ <= R.MaxOverBound_ * M.BoundSeconds_);
  }
}

TEST_CASE(
    "narrow origin, when a twentieth of the fleet dies meanwhile, sends at "
    "most a quarter more",
    "[weights]") {
  for (std::size_t Vms : {58, 265}) {
    INFO(Vms << " VMs");
    ModelSetup S = fleet(Vms, 5);
    S.DeadShare_ = 0.05;
    TransferResult M = runSwarm(S);
    CHECK(M.Staged_ == M.Survivors_);
    CHECK(M.OriginCopies_ <= 1.25);
    CHECK(M.AllSeconds_ <= 1.7 * M.BoundSeconds_);
  }
}

TEST_CASE(
    "owners, near the origin, own equally many slices and are the same in "
    "every VM's view",
    "[weights]") {
  for (std::size_t Vms : {9, 58, 265}) {
    INFO(Vms << " VMs");
    std::vector<SwarmPeer> All = peers(Vms, 3);
    std::map<Vm, std::size_t> Owned;
    std::map<SliceIndex, Vm> ByFirst;
    for (std::size_t Self : {std::size_t(0), Vms / 2, Vms - 1}) {
      Owners O(VersionDigest("m/2"), MaxSlices, All[Self],
               AvailabilityZone("z0"));
      O.setPeers(All);
      for (SliceIndex S = 0; S < MaxSlices; ++S) {
        if (Self == 0)
          ++Owned[O.owner(S)];
        CHECK(ByFirst.try_emplace(S, O.owner(S)).first->second == O.owner(S));
      }
    }
    std::size_t Readers = std::min(Owners::MaxReaders, (Vms + 2) / 3);
    CHECK(Owned.size() == Readers);
    for (const auto &[Vm, Count] : Owned) {
      CHECK(Count >= MaxSlices / Readers);
      CHECK(Count <= MaxSlices / Readers + 1);
    }
  }
}

// All VMs that fetch across zones share the link between two regions. When
// every VM of a zone fetched chunks over it, configuration reads had a
// thirtieth of the link.
TEST_CASE("owners, of a zone far from the origin, limit the VMs that fetch "
          "across zones",
          "[weights]") {
  std::vector<SwarmPeer> All = peers(265, 5);
  std::size_t Fetchers = 0;
  for (const SwarmPeer &Self : All) {
    if (Self.Zone_ != AvailabilityZone("z1"))
      continue;
    Owners O(VersionDigest("m/2"), MaxSlices, Self, AvailabilityZone("z0"));
    O.setPeers(All);
    bool Crosses = false;
    for (SliceIndex S = 0; S < MaxSlices; ++S)
      Crosses |= O.zoneRank(S) == 0;
    Fetchers += Crosses ? 1 : 0;
  }
  CHECK(Fetchers == Owners::MaxCrossZoneFetchers);
}
