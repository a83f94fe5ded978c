// Converts stated rate limits to and from the wire. Clocks of two processes are
// unrelated, so times travel as ages.
//
//   Ask.limit = encodeLimit(Statement, Now);
//   LimitStatement S = decodeLimit(*Ask.limit, Now);

#ifndef HAWTHORNROAD_PEERS_LIMITCODEC_H
#define HAWTHORNROAD_PEERS_LIMITCODEC_H

#include "hawthornroad/traffic/StatedLimits.h"
#include "schema/wire_generated.h"

#include <memory>

namespace hawthornroad {

std::unique_ptr<wire::StatedLimitT> encodeLimit(const LimitStatement &S,
                                                TimePoint Now);
// Null for a null Statement.
std::unique_ptr<wire::StatedLimitT> encodeLimit(const LimitStatement *S,
                                                TimePoint Now);
LimitStatement decodeLimit(const wire::StatedLimitT &S, TimePoint Now);

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_LIMITCODEC_H
