// What a process knows of one table of the store, kept so that others may be
// told of it.
//
//   RowCopy Copy;
//   Copy.apply(Update);                       // from TableWatch or from a peer
//   TableWatch::Update U = Copy.since(After); // what a reader as of After
//   lacks
//
// The entries of a zone need the same rows. Read by each of them, a long row
// that changes once a second fills the link between two regions: 12 entries and
// 336 KB a change need 1.1 s of 28 Mbit/s, so they fall behind without end.
// Read by one and passed on within the zone it takes 0.1 s (computed; the
// entries were 7 s behind after 20 changes before).
//
// A reader is told changes while the copy still knows every removal since the
// reader's state, otherwise the whole table. At most MaxRemoved removals are
// kept.

#ifndef HAWTHORNROAD_STORE_ROWCOPY_H
#define HAWTHORNROAD_STORE_ROWCOPY_H

#include "hawthornroad/store/TableWatch.h"

#include <map>
#include <optional>

namespace hawthornroad {

class RowCopy {
public:
  // A deployment of 1,000 endpoints removes fewer in the time for which a
  // reader may be silent and still be followed up by changes.
  static constexpr std::size_t MaxRemoved = 256;

  void apply(const TableWatch::Update &U);

  // Whether the table was known as a whole at some time.
  bool isListed() const { return IsListed_; }
  // Everything up to this version is in the copy.
  StoreVersion version() const { return Version_; }
  // Whether since(After) has rows.
  bool hasNews(std::optional<StoreVersion> After) const {
    return !After || *After < LastChange_;
  }
  // Unset: the reader knows nothing. Call only when isListed().
  TableWatch::Update since(std::optional<StoreVersion> After) const;

private:
  void remove(const std::string &Key, StoreVersion At);
  void forgetOldRemovals();

  std::map<std::string, StoreRow> Rows_;
  // Removals by key, with the version as of which the row was gone.
  std::map<std::string, StoreVersion> Removed_;
  // Removals before this version are forgotten.
  StoreVersion KnownFrom_ = 0;
  StoreVersion Version_ = 0;
  StoreVersion LastChange_ = 0;
  bool IsListed_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_ROWCOPY_H
