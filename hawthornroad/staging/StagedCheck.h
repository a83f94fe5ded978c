// What an agent knows of a version's staged pieces after it has read them back,
// and what it does about those that are not as they should be.
//
//   StagedCheck C{.Pieces_ = 96, .Right_ = 95, .HoldsCopy_ = false};
//   C.repair();   // PieceRepair::FetchMissing
//
// Complete transfers free their copies after a while, so that a version was
// once held whole does not mean that its pieces can be staged again.

#ifndef HAWTHORNROAD_STAGING_STAGEDCHECK_H
#define HAWTHORNROAD_STAGING_STAGEDCHECK_H

#include <cstddef>
#include <string_view>

namespace hawthornroad {

enum class PieceRepair {
  None,
  // The engine did not answer for some of them.
  ReadAgain,
  // From the copies in memory.
  StageAgain,
  // From peers and the origin.
  FetchMissing
};

struct StagedCheck {
  std::size_t Pieces_ = 0;
  // Match their digests.
  std::size_t Right_ = 0;
  // The engine did not answer; the others are lost or spoilt.
  std::size_t Unread_ = 0;
  // All pieces are in memory.
  bool HoldsCopy_ = false;

  std::size_t spoilt() const { return Pieces_ - Right_ - Unread_; }
  PieceRepair repair() const {
    if (Right_ == Pieces_)
      return PieceRepair::None;
    if (HoldsCopy_)
      return PieceRepair::StageAgain;
    return Unread_ > 0 ? PieceRepair::ReadAgain : PieceRepair::FetchMissing;
  }
  bool operator==(const StagedCheck &) const = default;
};

inline std::string_view toString(PieceRepair R) {
  switch (R) {
  case PieceRepair::None:
    return "none";
  case PieceRepair::ReadAgain:
    return "read_again";
  case PieceRepair::StageAgain:
    return "stage_again";
  case PieceRepair::FetchMissing:
    return "fetch_missing";
  }
  return "unknown";
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_STAGEDCHECK_H
