// Converts between value types of the decision modules and messages of the wire
// protocol.
//
//   wire::EndpointReportT Report = toWire(Status);
//   auto Attempt = idFromWire<AttemptId>(Begin.attempt.get());

#ifndef HAWTHORNROAD_PEERS_WIRECODEC_H
#define HAWTHORNROAD_PEERS_WIRECODEC_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/membership/EndpointStatus.h"
#include "schema/wire_generated.h"

#include <memory>

namespace hawthornroad {

wire::EndpointReportT toWire(const EndpointStatus &Status);
// An unknown phase is read as Starting, so that no request is routed there.
EndpointStatus fromWire(const wire::EndpointReportT &Report);

template <class Tag> std::unique_ptr<wire::WireId> toWire(const Id<Tag> &I) {
  return std::make_unique<wire::WireId>(I.Hi_, I.Lo_);
}

// Returns an unset id when the field is absent.
template <class IdT> IdT idFromWire(const wire::WireId *I) {
  return I == nullptr ? IdT{} : IdT{I->hi(), I->lo()};
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_WIRECODEC_H
