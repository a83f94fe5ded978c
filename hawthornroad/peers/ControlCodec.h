// Converts control messages to and from frames of the wire protocol.
//
//   FrameBuffer Frame = encodeControl(Message);
//   std::optional<ControlMessage> M = decodeControl(Frame);
//
// Decoding bounds the memory that a peer can make this process use: it takes at
// most MaxMembersInMessage members of a message and skips members with a name
// or address longer than MaxNameBytes.

#ifndef HAWTHORNROAD_PEERS_CONTROLCODEC_H
#define HAWTHORNROAD_PEERS_CONTROLCODEC_H

#include "hawthornroad/membership/ControlMessages.h"
#include "hawthornroad/peers/PeerNet.h"

#include <optional>

namespace hawthornroad {

constexpr std::size_t MaxMembersInMessage = 512;
constexpr std::size_t MaxNameBytes = 256;

FrameBuffer encodeControl(const ControlMessage &Message);
// Nullopt when the frame is not a control message.
std::optional<ControlMessage> decodeControl(const wire::FrameT &Frame);

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_CONTROLCODEC_H
