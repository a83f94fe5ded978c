#include "hawthornroad/weights/OriginBudget.h"

#include "hawthornroad/base/Error.h"

#include <algorithm>
#include <sstream>

namespace hawthornroad {

namespace {
constexpr const char *SliceWord = "slice";
constexpr const char *SpareWord = "spare";
constexpr const char *ReadWord = "read";
constexpr const char *LeftWord = "left";
} // namespace

std::string Grant::str() const {
  const char *Word = Kind_ == Kind::Slice ? SliceWord : SpareWord;
  return std::string(Word) + "/" + std::to_string(Number_);
}

OriginBudget::OriginBudget(ChunkIndex Chunks, std::uint64_t Size,
                           std::uint64_t ChunkSize, double Copies)
    : Chunks_(Chunks), Size_(Size), ChunkSize_(ChunkSize),
      Slices_(std::clamp<SliceIndex>(Chunks, 1, MaxSlices)),
      PerSpare_(std::max<ChunkIndex>(1, Chunks / SparesPerCopy)),
      Fate_(Slices_, SliceFate::Unknown), Charged_(Chunks) {
  setCopies(Copies);
}

void OriginBudget::setCopies(double Copies) {
  if (!(Copies >= 1))
    throw Error(Step::Fetch, "origin",
                "a budget of " + std::to_string(Copies) +
                    " copies cannot stage a version");
  // In bytes, with every read counted as a whole chunk, so that a short last
  // chunk does not stretch the budget.
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
  return Fate_[sliceOf(Index)] == SliceFate::Mine && !Charged_.has(Index);
}

void OriginBudget::spend(ChunkIndex Index) {
  if (Fate_[sliceOf(Index)] == SliceFate::Mine && Charged_.add(Index)) {
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

std::optional<Grant> OriginBudget::nextClaim(ChunkIndex Index, bool MaySpare,
                                             Random &R) {
  if (Claiming_)
    return std::nullopt;
  SliceIndex S = sliceOf(Index);
  if (Fate_[S] == SliceFate::Unknown) {
    Claiming_ = Grant{Grant::Kind::Slice, S};
    return Claiming_;
  }
  if (!MaySpare || isSpent())
    return std::nullopt;
  if (!Unresolved_) {
    auto Number = static_cast<std::uint32_t>(R.below(Spares_));
    while (Tried_.contains(Number))
      Number = (Number + 1) % Spares_;
    Unresolved_ = Grant{Grant::Kind::Spare, Number};
  }
  Claiming_ = Unresolved_;
  return Claiming_;
}

void OriginBudget::onClaim(const Grant &G, ClaimResult Result) {
  // A doubled or late answer must not be credited twice.
  if (Claiming_ != G)
    return;
  // When the outcome is unknown the same grant is claimed again, so that a
  // claim which landed although its answer was lost is not forfeited.
  Claiming_.reset();
  if (Result == ClaimResult::Unknown)
    return;
  bool Won = Result == ClaimResult::Won;
  if (G.Kind_ == Grant::Kind::Slice) {
    Fate_[G.Number_] = Won ? SliceFate::Mine : SliceFate::Taken;
    return;
  }
  Unresolved_.reset();
  Tried_.insert(G.Number_);
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
    if (Fate_[S] == SliceFate::Mine)
      Out << SliceWord << ' ' << S << '\n';
  Charged_.forEach([&](ChunkIndex I) { Out << ReadWord << ' ' << I << '\n'; });
  for (std::uint32_t Number : Tried_)
    Out << SpareWord << ' ' << Number << '\n';
  Out << LeftWord << ' ' << SpareReads_ << '\n';
  return Out.str();
}

void OriginBudget::restore(const std::string &Note) {
  std::istringstream In(Note);
  std::string Word;
  std::uint32_t Number = 0;
  while (In >> Word >> Number) {
    if (Word == SliceWord && Number < Slices_)
      Fate_[Number] = SliceFate::Mine;
    else if (Word == ReadWord)
      Charged_.add(Number);
    else if (Word == SpareWord && Number < Spares_)
      Tried_.insert(Number);
    else if (Word == LeftWord)
      SpareReads_ = Number;
  }
}

} // namespace hawthornroad
