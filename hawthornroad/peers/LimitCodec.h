// Converts stated rate limits, limits of cold endpoints and slowdowns to and
// from the wire. Clocks of two processes are unrelated, so times travel as
// ages.
//
//   Ask.limit = encodeLimit(Statement, Now);
//   LimitStatement S = decodeLimit(*Ask.limit, Now);

#ifndef HAWTHORNROAD_PEERS_LIMITCODEC_H
#define HAWTHORNROAD_PEERS_LIMITCODEC_H

#include "hawthornroad/traffic/ColdLimit.h"
#include "hawthornroad/traffic/StatedLimits.h"
#include "schema/wire_generated.h"

#include <memory>
#include <optional>

namespace hawthornroad {

std::unique_ptr<wire::StatedLimitT> encodeLimit(const LimitStatement &S,
                                                TimePoint Now);
// Null for a null Statement.
std::unique_ptr<wire::StatedLimitT> encodeLimit(const LimitStatement *S,
                                                TimePoint Now);
LimitStatement decodeLimit(const wire::StatedLimitT &S, TimePoint Now);

// Null for no limit.
std::unique_ptr<wire::ColdStateT> encodeCold(const std::optional<ColdLimit> &L);
std::optional<ColdLimit> decodeCold(const wire::ColdStateT *S);
// Unset for a value that is not stated or is no positive number.
std::optional<double> decodeSlowdown(float Value);

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_LIMITCODEC_H
