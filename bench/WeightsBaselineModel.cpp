#include "bench/WeightsModel.h"

#include <algorithm>
#include <chrono>

namespace hawthornroad {

namespace {
double inSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

// Parent of VM I in the tree of a baseline; Vms_ denotes the origin.
std::size_t parentOf(const ModelSetup &S, Baseline B, std::size_t I) {
  switch (B) {
  case Baseline::AllFromOrigin:
    return S.Vms_;
  case Baseline::Chain:
    return I == 0 ? S.Vms_ : I - 1;
  case Baseline::SeedPerZone:
    return I < S.Zones_ ? S.Vms_ : I % S.Zones_;
  }
  return S.Vms_;
}
} // namespace

double lowerBoundSeconds(const ModelSetup &S) {
  auto N = static_cast<double>(S.Vms_);
  double Copies = std::max({1 / S.OriginCopies_, 1 / S.LinkCopies_,
                            N / (S.OriginCopies_ + N * S.LinkCopies_)});
  return Copies * inSeconds(S.Window_);
}

TransferResult runBaseline(const ModelSetup &S, Baseline B) {
  double PerChunk = inSeconds(S.Window_) / S.Chunks_;
  double OriginTime = PerChunk / S.OriginCopies_;
  double LinkTime = PerChunk / S.LinkCopies_;
  std::vector<std::size_t> Sent(S.Vms_ + 1, 0);
  std::vector<double> UpFree(S.Vms_ + 1, 0);
  std::vector<double> DownFree(S.Vms_, 0);
  std::vector<double> Arrival(S.Vms_ + 1, 0);
  for (ChunkIndex C = 0; C < S.Chunks_; ++C) {
    for (std::size_t I = 0; I < S.Vms_; ++I) {
      std::size_t From = parentOf(S, B, I);
      double SendTime = From == S.Vms_ ? OriginTime : LinkTime;
      double Ready = From == S.Vms_ ? 0 : Arrival[From];
      double Start = std::max(Ready, UpFree[From]);
      UpFree[From] = Start + SendTime;
      double Begin = std::max(Start, DownFree[I]);
      DownFree[I] = std::max(UpFree[From], Begin + LinkTime);
      Arrival[I] = DownFree[I] + inSeconds(S.Latency_);
      ++Sent[From];
    }
  }
  std::vector<double> Done(Arrival.begin(), Arrival.end() - 1);
  std::sort(Done.begin(), Done.end());
  TransferResult R;
  R.Survivors_ = R.Staged_ = S.Vms_;
  R.HalfSeconds_ = Done[S.Vms_ / 2 - 1];
  R.AllButOneSeconds_ = Done[S.Vms_ - 2];
  R.AllSeconds_ = Done.back();
  R.BoundSeconds_ = lowerBoundSeconds(S);
  R.OriginCopies_ =
      static_cast<double>(Sent.back()) / static_cast<double>(S.Chunks_);
  Sent.pop_back();
  std::size_t Sum = 0;
  for (std::size_t Each : Sent)
    Sum += Each;
  R.UploadMaxOverMean_ =
      static_cast<double>(*std::max_element(Sent.begin(), Sent.end())) *
      static_cast<double>(S.Vms_) / std::max(1.0, static_cast<double>(Sum));
  return R;
}

} // namespace hawthornroad
