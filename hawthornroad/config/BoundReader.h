// Reads figures that somebody else's settings hand on to ours: operators'
// bounds and limits of a VM.
//
//   readBound(R, "stop_bound", Milliseconds(1000), S.StopBound_);
//   readFigure(R, "repeat_slack", S.RepeatSlack_);
//
// Such figures are whole numbers, fractions or absent, and nobody here chooses
// them. A process that ends because one of them is a fraction, or larger than
// was foreseen, serves nobody, so these readers refuse only what has no
// meaning: a text, a list, true, a negative number.
//
// An absent or false figure leaves the default, which is a working one. So does
// a bound or a rate of zero: it means that none is set. An allowance of zero is
// meant as it stands. A smaller bound than this product can keep is raised to
// the least one: it is kept as well as it can be.

#ifndef HAWTHORNROAD_CONFIG_BOUNDREADER_H
#define HAWTHORNROAD_CONFIG_BOUNDREADER_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/config/ObjectReader.h"

#include <string>

namespace hawthornroad {

// Longer bounds are lowered to this one: timers add them to the clock, and no
// process of a fleet that is rebuilt every night sees the end of it.
constexpr Duration LongestBound = Seconds(30 * 86400);

// Reads Name_ms or Name_s, milliseconds or seconds; fractions are kept to the
// microsecond. Both members in one object are a fault.
void readBound(ObjectReader &R, const std::string &Name, Duration Least,
               Duration &Value);

// Reads an allowance, zero included, in the unit of Value.
void readFigure(ObjectReader &R, const std::string &Name, double &Value);

// Reads a rate of something that must go on, in the unit of Value.
void readRate(ObjectReader &R, const std::string &Name, double &Value);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_BOUNDREADER_H
