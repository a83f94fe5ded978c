// Checks that no request is sent to an endpoint of an evacuated zone, or of a
// region that its route or its customer does not allow.
//
//   for (const std::string &Each : findZoneFaults(Record, Requests, Bound)) ...
//   for (const std::string &Each : findRegionFaults(Record, Requests)) ...
//
// A request may be sent to the zone until Bound after the store acknowledged
// the row, and again once the row is removed. It is excused while the entry
// that sent it has not been in contact with the store, and at work, for Bound
// at a time since then, by what the soak did. What it has read stays in force
// when it loses the store, and a restarted entry reads the table before it
// serves.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKZONES_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKZONES_H

#include "tests/soak/SoakRecord.h"
#include "tests/soak/SoakRequest.h"

#include <map>
#include <string>
#include <vector>

namespace hawthornroad {

std::vector<std::string>
findZoneFaults(const SoakRecord &Record,
               const std::map<std::string, SoakRequest> &Requests,
               Duration EvacuateBound);

// The limits do not change, so nothing excuses a request in another region.
std::vector<std::string>
findRegionFaults(const SoakRecord &Record,
                 const std::map<std::string, SoakRequest> &Requests);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKZONES_H
