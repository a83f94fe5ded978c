// Reads the evacuated zones from an update of the operators' table.
//
//   EvacuationRows E = readEvacuationRows(Update);
//   auto C = Zones.changeBy(E.Update_);
//   for (const std::string &Key : E.Unreadable_) log(Key);
//
// A row whose key names no zone evacuates none. The value of a row says
// nothing.

#ifndef HAWTHORNROAD_ENTRY_EVACUATIONROWS_H
#define HAWTHORNROAD_ENTRY_EVACUATIONROWS_H

#include "hawthornroad/store/TableWatch.h"
#include "hawthornroad/traffic/EvacuatedZones.h"

#include <string>
#include <vector>

namespace hawthornroad {

struct EvacuationRows {
  EvacuatedZones::Update Update_;
  // Keys of existing rows that name no zone.
  std::vector<std::string> Unreadable_;
};

EvacuationRows readEvacuationRows(const TableWatch::Update &U);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_EVACUATIONROWS_H
