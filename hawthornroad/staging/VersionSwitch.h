// Decides whether an agent gives up a version that it is fetching for the one
// published after it.
//
//   if (supersedes({.Pieces_ = 64, .Held_ = 63, .NextHeld_ = 0,
//                   .IsLate_ = true}))
//     startNext();
//
// Load pattern: two versions are published a few seconds apart, and the origin
// is away in between. Of the first version nearly all pieces are held, of the
// second none, when the bound of the first passes. An engine that completes the
// first serves until the bound of the second; one that gives it up serves
// nobody until it holds all of the second. So a late version is given up only
// when enough is missing that it would delay the next one, or when the next one
// has caught up.
//
// No I/O, no clock, no threads.

#ifndef HAWTHORNROAD_STAGING_VERSIONSWITCH_H
#define HAWTHORNROAD_STAGING_VERSIONSWITCH_H

#include <cstddef>

namespace hawthornroad {

struct VersionProgress {
  // Pieces of a version; 0 while they are not known.
  std::size_t Pieces_ = 0;
  // Pieces held of the version in progress, and of the next one.
  std::size_t Held_ = 0;
  std::size_t NextHeld_ = 0;
  // The bound of the version in progress has passed.
  bool IsLate_ = false;
};

// A late version with at most this share of its pieces missing is completed.
inline constexpr std::size_t NearlyCompleteShare = 8;

constexpr bool supersedes(const VersionProgress &P) {
  bool IsComplete = P.Pieces_ != 0 && P.Held_ >= P.Pieces_;
  if (IsComplete)
    return false;
  bool IsNextComplete = P.Pieces_ != 0 && P.NextHeld_ >= P.Pieces_;
  if (IsNextComplete || !P.IsLate_)
    return IsNextComplete;
  std::size_t Missing = P.Pieces_ - P.Held_;
  bool IsNearlyComplete =
      P.Pieces_ != 0 && Missing * NearlyCompleteShare <= P.Pieces_;
  return !IsNearlyComplete || P.NextHeld_ >= P.Held_;
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_VERSIONSWITCH_H
