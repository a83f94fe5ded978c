// Keeps the fleet's reads of one version from the origin within the declared
// number of copies, with no coordinator of its own.
//
//   OriginBudget B(ChunkCount, Size, ChunkSize, 3.3);
//   if (B.mayRead(7)) { B.spend(7); readOrigin(7); }
//   else if (auto G = B.nextClaim(7, Random)) claim(*G);    // in the ledger
//   B.onClaim(*G, ClaimResult::Won);
//
// Views of the fleet differ between VMs, owners die, reads are retried: no rule
// that each VM applies to its own view bounds their sum. So the right to read
// is a grant, and grants lie in the platform's table: each is one key, created
// with "only if absent", so it has at most one holder, whatever races, retries
// or replacements there are.
//
// - Slice grant S lets its holder read each chunk of slice S once. All slice
//   grants together are one copy.
// - Spare grant J lets its holder read chunksPerSpare() chunks, any of them.
//   There are as many as fit into the rest of the budget.
//
// Every read is charged before it begins, whether it then succeeds or not, and
// given back only when the origin sent nothing. What was charged outlives the
// process through note(), kept beside the chunks, so that a restarted agent
// cannot spend a grant twice; a VM that lost its note has lost its grants.
//
// Guaranteed: bytes of chunks read from the origin <= copies * size. The price:
// with the table out, no new grant can be had (the transfer goes on between
// peers and by grants already held), and when all grants are spent and a chunk
// is held by nobody that can be reached, the transfer waits, says so, and needs
// a declared budget that is larger. Manifests are not counted (docs/design).

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
  // "slice/3" or "spare/17": the end of the grant's key in the table.
  std::string str() const;
};

enum class ClaimResult {
  Won,
  // Another VM, or a predecessor without a note, holds it.
  Lost,
  // The table did not answer; the claim may or may not have landed.
  Unknown
};

class OriginBudget {
public:
  // Spare grants that make up one copy, at most: fine enough that a retry does
  // not waste a budget, coarse enough to spare the table.
  static constexpr std::uint32_t SparesPerCopy = 512;
  // Spare grants one VM claims before it counts the spares as spent: each
  // miss shows that a random one is taken.
  static constexpr std::size_t MaxMisses = 24;

  // Throws Error(Step::Fetch) when Copies is below 1: nothing could be staged.
  OriginBudget(ChunkIndex Chunks, std::uint64_t Size, std::uint64_t ChunkSize,
               double Copies);

  SliceIndex sliceCount() const { return Slices_; }
  SliceIndex sliceOf(ChunkIndex Index) const { return Index % Slices_; }
  std::uint32_t spareCount() const { return Spares_; }
  ChunkIndex chunksPerSpare() const { return PerSpare_; }

  bool mayRead(ChunkIndex Index) const;
  // Whether the slice's own grant, held here, still pays for Index: this VM is
  // the one that shall read it.
  bool isReader(ChunkIndex Index) const;
  // Whether, for all this VM knows, the slice's grant may still be had.
  bool isUnclaimed(SliceIndex S) const {
    return Fate_[S] == SliceFate::Unknown;
  }
  // Charges one read. Call only when mayRead(Index).
  void spend(ChunkIndex Index);
  // The origin sent no byte of the read that was charged.
  void refund(ChunkIndex Index);

  // The grant to ask the ledger for, so that Index may be read: the slice's,
  // if its fate is not known yet, else a spare one when MaySpare. Nullopt while
  // a claim of this VM is under way, or when nothing is left.
  std::optional<Grant> nextClaim(ChunkIndex Index, bool MaySpare, Random &R);
  void onClaim(const Grant &G, ClaimResult Result);
  // Whether this VM has given up on finding a spare grant.
  bool isSpent() const { return Misses_ >= MaxMisses || allTried(); }
  // A larger declared budget adds spare grants.
  void setCopies(double Copies);

  // What was won and charged, for a successor on the same VM.
  std::string note() const;
  // Takes a predecessor's note; ignores one it cannot read, which only makes
  // this VM poorer.
  void restore(const std::string &Note);

private:
  enum class SliceFate : std::uint8_t { Unknown, Mine, Taken };
  bool allTried() const { return Tried_.size() >= Spares_; }

  ChunkIndex Chunks_;
  std::uint64_t Size_;
  std::uint64_t ChunkSize_;
  SliceIndex Slices_ = 1;
  ChunkIndex PerSpare_ = 1;
  std::uint32_t Spares_ = 0;
  std::vector<SliceFate> Fate_;
  // Chunks whose one read under a slice grant has been charged.
  ChunkSet Charged_;
  // Reads left under spare grants won.
  std::uint32_t SpareReads_ = 0;
  // Chunks whose last read a spare grant paid for.
  std::set<ChunkIndex> PaidBySpare_;
  std::set<std::uint32_t> Tried_;
  std::size_t Misses_ = 0;
  // The claim under way, and a spare grant whose fate is not known yet.
  std::optional<Grant> Claiming_;
  std::optional<Grant> Unresolved_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_ORIGINBUDGET_H
