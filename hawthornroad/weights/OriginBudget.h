// Limits the fleet's reads of one version from the origin to the declared
// number of copies, without a coordinator of its own.
//
//   OriginBudget B(ChunkCount, Size, ChunkSize, 3.3);
//   if (B.mayRead(7)) { B.spend(7); readOrigin(7); }
//   else if (auto G = B.nextClaim(7, Random)) claim(*G);    // in the ledger
//   B.onClaim(*G, ClaimResult::Won);
//
// Views of the fleet differ between VMs, owners die, reads are retried: no rule
// that each VM applies to its own view can bound the total. Therefore each
// right to read is a grant, stored in the platform's table: a grant is one key,
// created with "only if absent", so it has at most one holder despite races,
// retries and replaced VMs.
//
// - Slice grant S allows its holder to read each chunk of slice S once. All
//   slice grants together make up one copy.
// - Spare grant J allows its holder to read any chunksPerSpare() chunks. There
//   are as many spare grants as fit into the rest of the budget.
//
// Every read is charged before it begins, whether or not it succeeds, and
// refunded only when the origin sent nothing. Charges survive a restart of the
// process through note(), which is stored beside the chunks, so that a
// restarted agent cannot use a grant twice; a VM that lost its note has lost
// its grants.
//
// Guarantee: chunk bytes read from the origin <= copies * size. Limits: while
// the table is unavailable, no new grant can be claimed (the transfer continues
// between peers and with grants already held). When all grants are used up and
// no reachable peer holds a chunk, the transfer waits and reports that it needs
// a larger declared budget. Manifests are not counted (docs/design).

#ifndef HAWTHORNROAD_WEIGHTS_ORIGINBUDGET_H
#define HAWTHORNROAD_WEIGHTS_ORIGINBUDGET_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/weights/ChunkSet.h"
#include "hawthornroad/weights/Owners.h"

#include <optional>
#include <set>
#include <string>

namespace hawthornroad {

struct Grant {
  enum class Kind { Slice, Spare };
  Kind Kind_ = Kind::Slice;
  std::uint32_t Number_ = 0;
  auto operator<=>(const Grant &) const = default;
  // "slice/3" or "spare/17": the last part of the grant's key in the table.
  std::string str() const;
};

enum class ClaimResult {
  Won,
  // Another VM, or a predecessor whose note was lost, holds it.
  Lost,
  // The table did not answer; the claim may or may not have been stored.
  Unknown
};

class OriginBudget {
public:
  // Maximum number of spare grants for one copy: small enough grants that a
  // retry does not waste the budget, few enough to limit the load on the table.
  static constexpr std::uint32_t SparesPerCopy = 512;
  // After this many lost claims in a row a VM takes the spare grants as used
  // up: each lost claim shows that a randomly picked grant is taken.
  static constexpr std::size_t MaxMisses = 24;

  // Throws Error(Step::Fetch) when Copies is below 1, which does not suffice to
  // stage a version.
  OriginBudget(ChunkIndex Chunks, std::uint64_t Size, std::uint64_t ChunkSize,
               double Copies);

  SliceIndex sliceCount() const { return Slices_; }
  SliceIndex sliceOf(ChunkIndex Index) const { return Index % Slices_; }
  std::uint32_t spareCount() const { return Spares_; }
  ChunkIndex chunksPerSpare() const { return PerSpare_; }

  bool mayRead(ChunkIndex Index) const;
  // Whether this VM holds the slice's grant and it still covers Index, so that
  // this VM is the one to read it.
  bool isReader(ChunkIndex Index) const;
  // Whether the slice's grant may still be available as far as this VM knows.
  bool isUnclaimed(SliceIndex S) const {
    return SliceStates_[S] == SliceState::Unknown;
  }
  // Charges one read. Requires mayRead(Index).
  void spend(ChunkIndex Index);
  // Refunds a charged read for which the origin sent no byte.
  void refund(ChunkIndex Index);

  // The origin was replaced by another, which has sent nothing yet: what was
  // charged for the former one is refunded. For owners without a ledger only,
  // since won grants are kept nowhere else. Requires that no read is in
  // progress.
  void restart();

  // The next grant to claim so that Index may be read: the slice's grant while
  // its state is unknown, else a spare grant when MaySpare. Nullopt while a
  // claim of this VM is in progress, or when no grant is left.
  std::optional<Grant> nextClaim(ChunkIndex Index, bool MaySpare, Random &R);
  void onClaim(const Grant &G, ClaimResult Result);
  // Whether this VM has stopped looking for a spare grant.
  bool isSpent() const { return Misses_ >= MaxMisses || allSparesTried(); }
  // Applies a new declared budget; a larger one adds spare grants.
  void setCopies(double Copies);

  // Serializes grants won and reads charged, for a successor on the same VM.
  std::string note() const;
  // Restores a predecessor's note. A note that cannot be parsed is ignored,
  // which only leaves this VM with fewer reads.
  void restore(const std::string &Note);

private:
  enum class SliceState : std::uint8_t { Unknown, Mine, Taken };
  bool allSparesTried() const { return TriedSpares_.size() >= Spares_; }

  ChunkIndex Chunks_;
  std::uint64_t Size_;
  std::uint64_t ChunkSize_;
  SliceIndex Slices_ = 1;
  ChunkIndex PerSpare_ = 1;
  std::uint32_t Spares_ = 0;
  std::vector<SliceState> SliceStates_;
  // Chunks whose single read under a slice grant has been charged.
  ChunkSet Charged_;
  // Remaining reads under spare grants won.
  std::uint32_t SpareReads_ = 0;
  // Chunks whose last read was charged to a spare grant.
  std::set<ChunkIndex> PaidBySpare_;
  std::set<std::uint32_t> TriedSpares_;
  std::size_t Misses_ = 0;
  // The claim in progress, and a spare grant whose claim has an unknown
  // outcome.
  std::optional<Grant> PendingClaim_;
  std::optional<Grant> UnresolvedSpare_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_ORIGINBUDGET_H
