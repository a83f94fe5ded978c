// A local copy of one table of the store that can serve updates to other
// processes.
//
//   RowCopy Copy;
//   Copy.apply(Update);                // from TableWatch or from a peer
//   TableWatch::Update U = Copy.updateSince(After);
//
// The entries of a zone need the same rows. If each of them reads the store, a
// long row that changes once a second saturates the link between two regions:
// 12 entries and 336 KB for each change need 1.1 s of 28 Mbit/s, so they fall
// further and further behind (7 s after 20 changes). If one entry reads the row
// and passes it on within the zone, it takes 0.1 s.
//
// updateSince() returns only changes while the copy still knows every removal
// since the reader's version, and the whole table otherwise. At most MaxRemoved
// removals are kept.

#ifndef HAWTHORNROAD_STORE_ROWCOPY_H
#define HAWTHORNROAD_STORE_ROWCOPY_H

#include "hawthornroad/store/TableWatch.h"

#include <map>
#include <optional>

namespace hawthornroad {

class RowCopy {
public:
  // A deployment of 1,000 endpoints removes fewer rows during the longest
  // silence after which a reader is still sent changes only.
  static constexpr std::size_t MaxRemoved = 256;

  void apply(const TableWatch::Update &U);

  // Whether a listing of the whole table has been applied.
  bool isListed() const { return IsListed_; }
  // The copy holds all changes up to this version.
  StoreVersion version() const { return Version_; }
  // Whether updateSince(After) may return rows.
  bool hasChangesSince(std::optional<StoreVersion> After) const {
    return !After || *After < LastChange_;
  }
  // What a reader at version After lacks; unset: the reader has no rows.
  // Requires isListed().
  TableWatch::Update updateSince(std::optional<StoreVersion> After) const;

private:
  void remove(const std::string &Key, StoreVersion At);
  void dropOldRemovals();

  std::map<std::string, StoreRow> Rows_;
  // Removed keys, each with the version of its removal.
  std::map<std::string, StoreVersion> Removed_;
  // Removals before this version are no longer kept.
  StoreVersion RemovalsKnownFrom_ = 0;
  StoreVersion Version_ = 0;
  StoreVersion LastChange_ = 0;
  bool IsListed_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_ROWCOPY_H
