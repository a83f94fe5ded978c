// Reads numeric settings that the platform fills in from its own data: the
// operators' bounds and the limits of a VM.
//
//   readBound(R, "stop_bound", Milliseconds(1000), S.StopBound_);
//   readAllowance(R, "repeat_slack", S.RepeatSlack_);
//
// Such values are integers, fractions or absent, and whoever writes the
// settings does not choose them. A process that exits because a value is a
// fraction or unexpectedly large serves no requests, so these readers reject
// only values without meaning: strings, lists, objects, null, true and negative
// numbers.
//
// An absent or false value keeps the default. So does a bound or a rate of
// zero, which means "not set". An allowance of zero means zero. A bound below
// the minimum that this program can keep is raised to that minimum.

#ifndef HAWTHORNROAD_CONFIG_BOUNDREADER_H
#define HAWTHORNROAD_CONFIG_BOUNDREADER_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/config/ObjectReader.h"

#include <string>

namespace hawthornroad {

// Upper limit of bounds; longer ones are lowered to it. Timers add bounds to
// the clock, so a huge one would overflow. No process runs this long: the fleet
// is rebuilt every night.
constexpr Duration LongestBound = Seconds(30 * 86400);

// Reads the member Name_ms (milliseconds) or Name_s (seconds), rounded to the
// microsecond and raised to Least. Giving both members is a fault.
void readBound(ObjectReader &R, const std::string &Name, Duration Least,
               Duration &Value);

// Reads an allowance, such as a number of extra requests, in the unit of Value.
// Zero is a valid allowance.
void readAllowance(ObjectReader &R, const std::string &Name, double &Value);

// Reads a rate that must be positive, in the unit of Value. Zero keeps the
// default.
void readRate(ObjectReader &R, const std::string &Name, double &Value);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_BOUNDREADER_H
