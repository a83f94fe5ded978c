// A fleet in model time: the decision modules of weights/ on every VM, shaped
// links between them. Deterministic: same setup, same result.
//
//   ModelResult R = runSwarm({.Vms_ = 128, .Zones_ = 3});
//
// The links. The origin sends one chunk after another, in the order of the
// requests, OriginCopies_ copies a window. A VM sends one chunk after another
// at LinkCopies_ copies a window and receives likewise; a chunk occupies both
// ends. Messages take Latency_ and no capacity. A VM that dies falls silent;
// the others drop it from their view after DetectAfter_. What the model leaves
// out: shared links between zones, loss, time to hash and store, live traffic
// (the window is what live traffic leaves).

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
  // Share of the VMs that die at random moments of the transfer.
  double DeadShare_ = 0;
  double OriginCopies_ = 4;
  double LinkCopies_ = 2;
  Duration Window_ = Seconds(180);
  Duration Latency_ = Milliseconds(1);
  Duration DetectAfter_ = Seconds(2);
  std::uint64_t Seed_ = 1;
  ChunkPlan::Limits Plan_ = {};
  HaveExchange::Limits Exchange_ = {};
  // The fleet of a narrow origin: the swarms are set as agents set theirs
  // (weights/OriginSwarm), there is no ledger, the origin is in the first zone.
  // Plan_, Exchange_, Preference_ and Budget_ do not count then.
  bool HasNarrowOrigin_ = false;
};

struct ModelResult {
  std::size_t Survivors_ = 0;
  std::size_t Staged_ = 0;
  // Seconds until half, all but one, and all survivors hold every chunk;
  // negative when it never came to that.
  double HalfSeconds_ = -1;
  double AllButOneSeconds_ = -1;
  double AllSeconds_ = -1;
  // Lower bound of AllSeconds_ on these links.
  double BoundSeconds_ = 0;
  double OriginCopies_ = 0;
  // Chunks sent by the busiest VM over the mean.
  double UploadMaxOverMean_ = 0;
  // Of one VM on average, chunk bytes left out.
  double Messages_ = 0;
  double MessageBytes_ = 0;
  // Time of the processor spent in the decision modules, a VM.
  double CpuMilliseconds_ = 0;
};

// max(S/origin, S/down, N*S/(origin + N*up)).
double lowerBoundSeconds(const ModelSetup &S);

ModelResult runSwarm(const ModelSetup &S);

// Baselines: fixed trees, each VM fed by one parent, chunks in order.
enum class Baseline { AllFromOrigin, Chain, SeedPerZone };
ModelResult runBaseline(const ModelSetup &S, Baseline B);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_WEIGHTSMODEL_H
