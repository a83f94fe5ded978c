// Control messages to and from frames of the wire.
//
//   FrameBuffer Frame = encodeControl(Message);
//   std::optional<ControlMessage> M = decodeControl(Frame);
//
// Decoding bounds what a peer can make this process hold: at most
// MaxMembersInMessage members of one message are taken, and names and addresses
// longer than MaxNameBytes make a member be left out.

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
