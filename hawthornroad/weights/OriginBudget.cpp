#include "hawthornroad/weights/OriginBudget.h"

#include "hawthornroad/base/Error.h"

#include <algorithm>
#include <sstream>

namespace hawthornroad {

namespace {
constexpr const char *SliceKeyword = "slice";
constexpr const char *SpareKeyword = "spare";
constexpr const char *ReadKeyword = "read";
constexpr const char *LeftKeyword = "left";
} // namespace

std::string Grant::str() const {
  const char *Word = Kind_ == Kind::Slice ? SliceKeyword : SpareKeyword;
  return std::string(Word) + "/" + std::to_string(Number_);
}

OriginBudget::OriginBudget(ChunkIndex Chunks, std::uint64_t Size,
                           std::uint64_t ChunkSize, double Copies)
    : Chunks_(Chunks), Size_(Size), ChunkSize_(ChunkSize),
      Slices_(std::clamp<SliceIndex>(Chunks, 1, MaxSlices)),
      PerSpare_(std::max<ChunkIndex>(1, Chunks / SparesPerCopy)),
      SliceStates_(Slices_, SliceState::Unknown), Charged_(Chunks) {
  setCopies(Copies);
}

void OriginBudget::setCopies(double Copies) {
  if (!(Copies >= 1))
    throw Error(Step::Fetch, "origin",
                "a budget of " + std::to_string(Copies) +
                    " copies cannot stage a version");
  // Computed in bytes, counting every read as a whole chunk, so that a short
  // last chunk does not raise the budget.
  double Rest = (Copies - 1) * static_cast<double>(Size_);
  double PerGrant = static_cast<double>(PerSpare_) *
                    static_cast<double>(std::min(ChunkSize_, Size_));
  Spares_ = static_cast<std::uint32_t>(Rest / PerGrant);
  Misses_ = 0;
}

bool OriginBudget::mayRead(ChunkIndex Index) const {
  return SpareReads_ > 0 || isReader(Index);
}

bool OriginBudget::isReader(ChunkIndex Index) const {
  return SliceStates_[sliceOf(Index)] == SliceState::Mine &&
         !Charged_.has(Index);
}

void OriginBudget::spend(ChunkIndex Index) {
  if (SliceStates_[sliceOf(Index)] == SliceState::Mine && Charged_.add(Index)) {
    PaidBySpare_.erase(Index);
    return;
  }
  --SpareReads_;
  PaidBySpare_.insert(Index);
}

void OriginBudget::refund(ChunkIndex Index) {
  if (PaidBySpare_.erase(Index) > 0)
    ++SpareReads_;
  else
    Charged_.remove(Index);
}

void OriginBudget::restart() {
  Charged_ = ChunkSet(Chunks_);
  PaidBySpare_.clear();
  TriedSpares_.clear();
  SpareReads_ = 0;
  Misses_ = 0;
}

std::optional<Grant> OriginBudget::nextClaim(ChunkIndex Index, bool MaySpare,
                                             Random &R) {
  if (PendingClaim_)
    return std::nullopt;
  SliceIndex S = sliceOf(Index);
  if (SliceStates_[S] == SliceState::Unknown) {
    PendingClaim_ = Grant{Grant::Kind::Slice, S};
    return PendingClaim_;
  }
  if (!MaySpare || isSpent())
    return std::nullopt;
  if (!UnresolvedSpare_) {
    auto Number = static_cast<std::uint32_t>(R.below(Spares_));
    while (TriedSpares_.contains(Number))
      Number = (Number + 1) % Spares_;
    UnresolvedSpare_ = Grant{Grant::Kind::Spare, Number};
  }
  PendingClaim_ = UnresolvedSpare_;
  return PendingClaim_;
}

void OriginBudget::onClaim(const Grant &G, ClaimResult Result) {
  // A duplicate or late answer must not be credited twice.
  if (PendingClaim_ != G)
    return;
  // When the outcome is unknown the same grant is claimed again, so that a
  // stored claim whose answer was lost is not forfeited.
  PendingClaim_.reset();
  if (Result == ClaimResult::Unknown)
    return;
  bool Won = Result == ClaimResult::Won;
  if (G.Kind_ == Grant::Kind::Slice) {
    SliceStates_[G.Number_] = Won ? SliceState::Mine : SliceState::Taken;
    return;
  }
  UnresolvedSpare_.reset();
  TriedSpares_.insert(G.Number_);
  if (!Won) {
    ++Misses_;
    return;
  }
  SpareReads_ += PerSpare_;
  Misses_ = 0;
}

std::string OriginBudget::note() const {
  std::ostringstream Out;
  for (SliceIndex S = 0; S < Slices_; ++S)
    if (SliceStates_[S] == SliceState::Mine)
      Out << SliceKeyword << ' ' << S << '\n';
  Charged_.forEach(
      [&](ChunkIndex I) { Out << ReadKeyword << ' ' << I << '\n'; });
  for (std::uint32_t Number : TriedSpares_)
    Out << SpareKeyword << ' ' << Number << '\n';
  Out << LeftKeyword << ' ' << SpareReads_ << '\n';
  return Out.str();
}

void OriginBudget::restore(const std::string &Note) {
  std::istringstream In(Note);
  std::string Word;
  std::uint32_t Number = 0;
  while (In >> Word >> Number) {
    if (Word == SliceKeyword && Number < Slices_)
      SliceStates_[Number] = SliceState::Mine;
    else if (Word == ReadKeyword)
      Charged_.add(Number);
    else if (Word == SpareKeyword && Number < Spares_)
      TriedSpares_.insert(Number);
    else if (Word == LeftKeyword)
      SpareReads_ = Number;
  }
}

} // namespace hawthornroad
