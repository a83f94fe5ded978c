#include "hawthornroad/routing/PrefixAffinity.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Combines two well-mixed hashes into a well-mixed score.
std::uint64_t scoreOf(std::uint64_t Prefix, std::uint64_t Member) {
  std::uint64_t X = Prefix ^ (Member * 0x9e3779b97f4a7c15ULL);
  X ^= X >> 32;
  X *= 0xd6e8feb86659fd93ULL;
  X ^= X >> 32;
  X *= 0xd6e8feb86659fd93ULL;
  return X ^ (X >> 32);
}
} // namespace

void PrefixAffinity::add(Member M) {
  auto At = std::lower_bound(Ring_.begin(), Ring_.end(), M);
  if (At == Ring_.end() || *At != M)
    Ring_.insert(At, M);
}

void PrefixAffinity::remove(const Member &M) {
  auto At = std::lower_bound(Ring_.begin(), Ring_.end(), M);
  if (At != Ring_.end() && *At == M)
    Ring_.erase(At);
}

PrefixAffinity::Candidates
PrefixAffinity::candidates(std::uint64_t PrefixHash) const {
  struct Scored {
    std::uint64_t Score_;
    std::size_t Handle_;
  };
  std::array<Scored, Window> Best;
  const std::size_t Count = std::min(Window, Ring_.size());
  // The caller's hash may be weak in its high bits, which determine the
  // position on the ring.
  const std::uint64_t Place = scoreOf(PrefixHash, 0);
  auto At = std::lower_bound(Ring_.begin(), Ring_.end(), Member{Place, 0});
  for (std::size_t I = 0; I < Count; ++I) {
    if (At == Ring_.end())
      At = Ring_.begin();
    Best[I] = {scoreOf(Place, At->Hash_), At->Handle_};
    ++At;
  }
  Candidates Out;
  Out.Count_ = std::min(MaxCandidates, Count);
  std::partial_sort(
      Best.begin(), Best.begin() + Out.Count_, Best.begin() + Count,
      [](const Scored &A, const Scored &B) { return A.Score_ > B.Score_; });
  for (std::size_t I = 0; I < Out.Count_; ++I)
    Out.Handles_[I] = Best[I].Handle_;
  return Out;
}

} // namespace hawthornroad
