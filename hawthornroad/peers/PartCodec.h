// Converts what is known of prompt parts to and from the wire. Clocks of two
// processes are unrelated, so times travel as ages.
//
//   FrameBuffer F = makeFrame(encodeParts(Evidence, Now));
//   std::vector<PartEvidence> E = decodeParts(*Frame.body.AsPartReport(), Now);
//
// A row of the store outlives the processes, whose clocks may begin anew: its
// ages are as of a time of the store's own clock.

#ifndef HAWTHORNROAD_PEERS_PARTCODEC_H
#define HAWTHORNROAD_PEERS_PARTCODEC_H

#include "hawthornroad/traffic/CrashingParts.h"
#include "schema/wire_generated.h"

#include <string>

namespace hawthornroad {

wire::PartReportT encodeParts(const std::vector<PartEvidence> &Parts,
                              TimePoint Now);
// Adds endpoints that have ended.
void encodeEnded(const std::vector<EndpointStart> &Ended,
                 wire::PartReportT &Report);
std::vector<EndpointStart> decodeEnded(const wire::PartReportT &Report);
std::vector<PartEvidence> decodeParts(const wire::PartReportT &Report,
                                      TimePoint Now);

// The value of a row that holds E at the store's time WrittenAt, which is Now
// here.
std::string encodePartRow(const PartEvidence &E, Milliseconds WrittenAt,
                          TimePoint Now);
// The store's time is StoreNow. Throws Error(Step::Table) when the value is not
// a part's row.
PartEvidence decodePartRow(const std::string &Value, Milliseconds StoreNow,
                           TimePoint Now);

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_PARTCODEC_H
