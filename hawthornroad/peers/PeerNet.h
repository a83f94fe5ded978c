// Framed TCP connections between the processes of the system.
//
//   PeerNet Net(Io, Self, {.OnFrame_ = [](const PeerContext &From,
//                                         const wire::Frame &F) {...}});
//   std::uint16_t Port = Net.listen("127.0.0.1", 0);
//   Net.send(PeerAddress("127.0.0.1:7001"), Lane::Requests, makeFrame(Msg));
//   Net.reply(From.Connection_, makeFrame(Answer));
//
// A frame is a 4-byte little-endian length and a verified FlatBuffers
// wire::Frame. Frames to one (address, lane) share a connection, opened on
// demand; separate lanes keep bulk weights from delaying requests and
// heartbeats.
//
// Silent connections: each side pings a connection on which it has received
// nothing for PingAfter and closes it after DeadAfter, so a path whose state a
// middlebox has lost is detected within DeadAfter and not when TCP gives up.
// sendOnNewConnection() does not wait for that: it closes the old connection
// and opens another.
// Lane::Control reaches many peers, each of them seldom. There only the
// dialling side pings, and only while a frame that it sent is unanswered; it
// closes an unused connection after ControlIdleAfter. So a process's
// connections and bytes are bounded by its own sends and not by the size of
// the fleet.
//
// Dead peers: a frame is never written to a connection whose end of stream has
// arrived; it goes over a new one, so that a refused connection attempt proves
// that the frame was not sent.
//
// Bounds: a received frame above MaxFrame closes the connection, and so does a
// send that takes the connection's unsent bytes above MaxBacklog.

#ifndef HAWTHORNROAD_PEERS_PEERNET_H
#define HAWTHORNROAD_PEERS_PEERNET_H

#include "hawthornroad/base/Error.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/runtime/Io.h"
#include "hawthornroad/runtime/Metrics.h"
#include "schema/wire_generated.h"

#include <flatbuffers/flatbuffers.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hawthornroad {

// An encoded frame, shared so that one buffer can go to many peers.
using FrameBuffer = std::shared_ptr<const flatbuffers::DetachedBuffer>;

// Encodes a message of the object API (wire::PingT and so on) as a frame.
template <class MessageT> FrameBuffer makeFrame(MessageT Message) {
  wire::FrameT Frame;
  Frame.body.Set(std::move(Message));
  flatbuffers::FlatBufferBuilder Builder(1024);
  Builder.Finish(wire::Frame::Pack(Builder, &Frame));
  return std::make_shared<flatbuffers::DetachedBuffer>(Builder.Release());
}

enum class Lane : std::uint8_t { Control, Requests, Weights };

using ConnectionId = std::uint64_t;

// What a receiver knows of a frame's sender.
struct PeerContext {
  ConnectionId Connection_ = 0;
  // From the peer's Hello; empty until that is received.
  ProcessName Process_;
  Incarnation Incarnation_ = 0;
  // The peer's own listener from its Hello, or the dialled address.
  PeerAddress Address_;
  Lane Lane_ = Lane::Control;
};

class PeerNet {
public:
  struct Self {
    ProcessName Process_;
    Incarnation Incarnation_ = 0;
    AvailabilityZone Zone_;
    std::string Role_;
    // Address announced to peers in place of the listener's; may be empty.
    std::string Advertise_;
  };
  struct Limits {
    std::size_t MaxFrame_ = 16 * 1024 * 1024;
    std::size_t MaxBacklog_ = 32 * 1024 * 1024;
    Duration ConnectTimeout_ = Milliseconds(500);
    Duration PingAfter_ = Milliseconds(500);
    Duration DeadAfter_ = Milliseconds(2000);
    // A connection that carried only pings for this long is closed.
    Duration IdleAfter_ = Seconds(60);
    // The same on Lane::Control.
    Duration ControlIdleAfter_ = Seconds(5);
  };
  // All run on the IoThread and must not block.
  struct Callbacks {
    std::function<void(const PeerContext &, const wire::Frame &)> OnFrame_;
    // A dialled connection could not be made or was lost; frames not yet
    // written to it are gone. May be empty.
    std::function<void(const PeerContext &, const Error &)> OnLost_;
  };

  PeerNet(IoThread &Io, Self S, Limits L, Callbacks C);
  // Closes all connections. No callback is running or runs after it returns; on
  // another thread than the IoThread it waits for the one that is running.
  ~PeerNet();
  PeerNet(const PeerNet &) = delete;
  PeerNet &operator=(const PeerNet &) = delete;

  // Throws Error(Step::Listen). Call before any send.
  std::uint16_t listen(const std::string &Ip, std::uint16_t Port);
  void closeListener();

  // Thread-safe. False when the IoThread's ring is full: nothing was sent.
  // True means only that the frame was queued; its loss is reported by OnLost_.
  // OnQueued runs on the IoThread once the frame is queued on its connection
  // and before any later loss of that connection is reported. May be empty.
  bool send(const PeerAddress &To, Lane L, FrameBuffer Frame,
            std::function<void()> OnQueued = {});
  // Like send(), over a newly opened connection.
  bool sendOnNewConnection(const PeerAddress &To, Lane L, FrameBuffer Frame);
  // Sends on the connection a frame came in on; lost if that is closed.
  bool reply(ConnectionId To, FrameBuffer Frame);
  // Unsent bytes of a connection; call on the IoThread. 0 when unknown.
  std::size_t backlog(ConnectionId Id) const;
  // Time since the last byte received on the dialled connection to a peer, also
  // in the middle of a frame; call on the IoThread. Unset without a connection.
  std::optional<Duration> silence(const PeerAddress &To, Lane L) const;
  // Sets the revision announced in later Hellos.
  void setRevision(Revision R);

  // Bytes of a lane sent and received so far: frames, Hellos and pings with
  // their lengths. The Hello an acceptor sends counts as Control.
  std::uint64_t bytesSent(Lane L) const;
  std::uint64_t bytesReceived(Lane L) const;
  // Sets hawthornroad_peer_bytes_sent_total and _received_total of a lane.
  void updateByteMetrics(Metrics &M, Lane L) const;

  struct State;

private:
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_PEERNET_H
