// Models a fleet in model time: the decision modules of weights/ on every VM
// and links of limited rate between them. Deterministic: the same setup gives
// the same result (but for CpuMilliseconds_).
//
//   TransferResult R = runSwarm({.Vms_ = 128, .Zones_ = 3});
//
// Links: the origin sends one chunk after another, in the order of the
// requests, at OriginCopies_ copies per window. A VM sends one chunk after
// another at LinkCopies_ copies per window and receives at the same rate; a
// chunk occupies both ends. Messages take Latency_ and use no capacity. A VM
// that dies sends nothing more; the others drop it from their view after
// DetectAfter_. Not modelled: shared links between zones, loss, time to hash
// and store, and live traffic (the window stands for the capacity that live
// traffic leaves).

#ifndef HAWTHORNROAD_BENCH_WEIGHTSMODEL_H
#define HAWTHORNROAD_BENCH_WEIGHTSMODEL_H

#include "hawthornroad/weights/Swarm.h"

#include <cstdint>

namespace hawthornroad {

struct ModelSetup {
  std::size_t Vms_ = 16;
  std::size_t Zones_ = 3;
  ChunkIndex Chunks_ = 2048;
  RolloutPreference Preference_ = RolloutPreference::Time;
  double Budget_ = 3.3;
  // Share of the VMs that die at random times during the transfer.
  double DeadShare_ = 0;
  double OriginCopies_ = 4;
  double LinkCopies_ = 2;
  Duration Window_ = Seconds(180);
  Duration Latency_ = Milliseconds(1);
  Duration DetectAfter_ = Seconds(2);
  std::uint64_t Seed_ = 1;
  ChunkPlan::Limits Plan_ = {};
  HaveExchange::Limits Exchange_ = {};
  // Models a fleet whose origin has little bandwidth: swarms are configured as
  // agents configure theirs (weights/OriginSwarm), there is no ledger, and the
  // origin is in the first zone. Plan_, Exchange_, Preference_ and Budget_ are
  // then ignored.
  bool HasNarrowOrigin_ = false;
};

struct TransferResult {
  std::size_t Survivors_ = 0;
  std::size_t Staged_ = 0;
  // Seconds until half, all but one, and all survivors hold every chunk;
  // negative when that was not reached.
  double HalfSeconds_ = -1;
  double AllButOneSeconds_ = -1;
  double AllSeconds_ = -1;
  // Lower bound of AllSeconds_ for these links.
  double BoundSeconds_ = 0;
  double OriginCopies_ = 0;
  // Chunks sent by the busiest VM, divided by the mean of all VMs.
  double UploadMaxOverMean_ = 0;
  // Mean per VM, without the bytes of chunks.
  double Messages_ = 0;
  double MessageBytes_ = 0;
  // Processor time spent in the decision modules, per VM.
  double CpuMilliseconds_ = 0;
};

// max(S/origin, S/down, N*S/(origin + N*up)).
double lowerBoundSeconds(const ModelSetup &S);

TransferResult runSwarm(const ModelSetup &S);

// Baselines: fixed trees in which each VM receives all chunks, in order, from
// one parent.
enum class Baseline { AllFromOrigin, Chain, SeedPerZone };
TransferResult runBaseline(const ModelSetup &S, Baseline B);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_WEIGHTSMODEL_H
