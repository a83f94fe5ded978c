// One framed TCP connection of a PeerNet, and the state that a PeerNet shares
// among its connections. Internal to PeerNet. Everything here runs on the net's
// IoThread.

#ifndef HAWTHORNROAD_PEERS_PEERCONNECTION_H
#define HAWTHORNROAD_PEERS_PEERCONNECTION_H

#include "hawthornroad/peers/PeerNet.h"

#include <array>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace hawthornroad {

constexpr std::size_t LaneCount = 3;

inline std::size_t indexOf(Lane L) { return static_cast<std::size_t>(L); }

class PeerConnection;

// A PeerNet's listener, connections and byte counters.
struct PeerNet::State : std::enable_shared_from_this<PeerNet::State> {
  using Key = std::pair<PeerAddress, Lane>;

  State(IoThread &Io, Self S, Limits L, Callbacks C)
      : Io_(Io), Self_(std::move(S)), Limits_(L), Callbacks_(std::move(C)) {}

  boost::asio::awaitable<void> acceptLoop();
  std::shared_ptr<PeerConnection> dial(const Key &K);
  void sendNow(const Key &K, const FrameBuffer &Frame, bool OnNewConnection);
  void forget(PeerConnection &C);
  FrameBuffer hello(Lane L) const;

  IoThread &Io_;
  Self Self_;
  Limits Limits_;
  Callbacks Callbacks_;
  std::string ListenAddress_;
  std::optional<boost::asio::ip::tcp::acceptor> Acceptor_;
  bool Closing_ = false;
  ConnectionId NextId_ = 1;
  std::atomic<Revision> Revision_{0};
  // Byte counts by lane.
  std::array<std::atomic<std::uint64_t>, LaneCount> Sent_{};
  std::array<std::atomic<std::uint64_t>, LaneCount> Received_{};
  std::map<Key, std::shared_ptr<PeerConnection>> Dialled_;
  std::unordered_map<ConnectionId, std::shared_ptr<PeerConnection>> ById_;
};

// One framed TCP connection.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  using NetState = PeerNet::State;
  using Limits = PeerNet::Limits;

  PeerConnection(std::shared_ptr<NetState> Net,
                 boost::asio::ip::tcp::socket Socket, PeerContext Context,
                 bool Dialled)
      : Net_(std::move(Net)), Socket_(std::move(Socket)),
        WriteSignal_(Net_->Io_.context(), TimePoint::max()),
        SilenceTimer_(Net_->Io_.context()), Context_(std::move(Context)),
        IsDialled_(Dialled) {}

  PeerContext &context() { return Context_; }
  bool isDialled() const { return IsDialled_; }
  std::size_t backlog() const { return Backlog_; }
  bool isConnected() const { return Connected_; }
  // Time since the last received byte.
  Duration silence() const {
    return std::chrono::steady_clock::now() - LastReceived_;
  }

  // Whether the socket already holds an unread end of stream or reset. A
  // process that dies closes its sockets at once, but a busy IoThread reads
  // the end of stream only later. A frame written in between is lost, and its
  // sender could only report that it may have been read. Peers close both
  // directions together, so a peer that has closed reads nothing more. Cost:
  // one system call.
  bool isClosedByPeer();

  // Connects to Target, or serves the accepted socket when Target is empty.
  void start(std::optional<boost::asio::ip::tcp::endpoint> Target);

  // Sends a frame of the owner; the class's own pings and pongs use enqueue().
  void send(FrameBuffer Frame);

  // Closes the connection when the backlog exceeds its limit.
  void enqueue(FrameBuffer Frame);

  // Removes the connection and reports the reason to the owner; a second call
  // does nothing.
  void close(Step Where, const std::string &Reason);

private:
  boost::asio::awaitable<void>
  run(std::optional<boost::asio::ip::tcp::endpoint> Target);

  boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::endpoint Target);

  boost::asio::awaitable<void> writeLoop();

  boost::asio::awaitable<void> readLoop();

  // Reads in pieces, so that a large frame on a slow link counts as a sign of
  // life from the peer while it is still arriving.
  boost::asio::awaitable<bool> readBody(std::vector<std::uint8_t> &Bytes);

  bool dispatch(const std::vector<std::uint8_t> &Bytes);

  void recordReceived();

  void applyHello(const wire::Hello &Hello);

  // Detects a path that no longer delivers anything, on which TCP would
  // retransmit for minutes. Pings after PingAfter without received bytes, and
  // closes the connection after DeadAfter.
  void scheduleSilenceCheck();

  void checkSilence();

  // Probes leave connections open to many members; pinging each of them would
  // cost a process more the more members there are. So only the dialling side
  // pings, and only while a frame that it sent is unanswered: a push or report
  // into a dead path is still detected within DeadAfter. The accepting side
  // closes later than the dialling one, to handle a peer that vanished without
  // closing the connection.
  void checkControlSilence(TimePoint Now);

  void ping();

  std::shared_ptr<NetState> Net_;
  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer WriteSignal_;
  boost::asio::steady_timer SilenceTimer_;
  PeerContext Context_;
  bool IsDialled_;
  bool Connected_ = false;
  bool Closed_ = false;
  std::deque<FrameBuffer> WriteQueue_;
  std::size_t Backlog_ = 0;
  std::uint64_t PingNonce_ = 0;
  TimePoint LastReceived_;
  TimePoint LastUsed_;
  TimePoint LastSent_{};
  // When the oldest frame was sent after which nothing has been received.
  std::optional<TimePoint> UnansweredSince_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_PEERCONNECTION_H
