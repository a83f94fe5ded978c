// Converts between the request path's message types and the Attempt* messages
// of the wire protocol.
//
//   FrameBuffer Frame = toFrame(Begin);
//   if (auto Update = toAttemptUpdate(Received, Sender)) ...

#ifndef HAWTHORNROAD_PEERS_ATTEMPTCODEC_H
#define HAWTHORNROAD_PEERS_ATTEMPTCODEC_H

#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/routing/RequestTypes.h"

#include <optional>

namespace hawthornroad {

FrameBuffer toFrame(const BeginAttempt &B);
FrameBuffer toFrame(const CancelAttempt &C);
FrameBuffer toFrame(const QueryAttempt &A);
FrameBuffer toFrame(const AckAttempt &A);

// Nullopt when the frame carries no update about an attempt.
std::optional<AttemptUpdate> toAttemptUpdate(const wire::FrameT &Frame,
                                             Incarnation From);

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_ATTEMPTCODEC_H
