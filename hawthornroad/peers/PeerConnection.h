// One framed TCP connection of a PeerNet, and what PeerNet keeps of them all.
// Internal to PeerNet. Everything here lives on the net's IoThread.

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

// What a PeerNet keeps: its listener, its connections and their counts.
struct PeerNet::State : std::enable_shared_from_this<PeerNet::State> {
  using Key = std::pair<PeerAddress, Lane>;

  State(IoThread &Io, Self S, Limits L, Callbacks C)
      : Io_(Io), Self_(std::move(S)), Limits_(L), Callbacks_(std::move(C)) {}

  boost::asio::awaitable<void> acceptLoop();
  std::shared_ptr<PeerConnection> dial(const Key &K);
  void sendNow(const Key &K, const FrameBuffer &Frame, bool Fresh);
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
  // By lane.
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
        Signal_(Net_->Io_.context(), TimePoint::max()),
        Watch_(Net_->Io_.context()), Context_(std::move(Context)),
        IsDialled_(Dialled) {}

  PeerContext &context() { return Context_; }
  bool isDialled() const { return IsDialled_; }
  std::size_t backlog() const { return Backlog_; }

  // Whether the peer's end is already here, unread. A process that dies
  // closes its sockets at once, but the end waits its turn on a busy
  // IoThread; a frame written before that turn goes to nobody, and its sender
  // could only say that it may have been read. Peers close both directions
  // together, so after the end nothing is read there any more. Cost: one
  // system call.
  bool hasEnded();

  // Dials Target, or serves an accepted socket when there is none.
  void start(std::optional<boost::asio::ip::tcp::endpoint> Target);

  // A frame of the owner's, unlike this class's own pings and answers.
  void send(FrameBuffer Frame);

  // Closes the connection when the backlog passes its limit.
  void enqueue(FrameBuffer Frame);

  // Forgets the connection and tells the owner why; a second call does nothing.
  void close(Step Where, const std::string &Why);

private:
  boost::asio::awaitable<void>
  run(std::optional<boost::asio::ip::tcp::endpoint> Target);

  boost::asio::awaitable<bool> connect(boost::asio::ip::tcp::endpoint Target);

  boost::asio::awaitable<void> writeLoop();

  boost::asio::awaitable<void> readLoop();

  // Reads piecewise, so that a large frame on a slow link counts as word from
  // the peer while it is still arriving.
  boost::asio::awaitable<bool> readBody(std::vector<std::uint8_t> &Bytes);

  bool dispatch(const std::vector<std::uint8_t> &Bytes);

  void noteHeard();

  void noteHello(const wire::Hello &Hello);

  // Guards against a path that has gone silent for good: TCP would go on
  // retransmitting for minutes. Word is asked for after PingAfter, and its
  // absence for DeadAfter closes the connection.
  void watch();

  void checkSilence();

  // Probes leave connections to many members behind; asking for word on each
  // would cost a process more the more members there are. So only the
  // dialling side asks, and only for word of what it sent: a push or report
  // into a forgotten path is still noticed in DeadAfter. The accepting side
  // waits longer than the dialling one, for a peer that vanished without a
  // close.
  void checkControlSilence(TimePoint Now);

  void ping();

  std::shared_ptr<NetState> Net_;
  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Signal_;
  boost::asio::steady_timer Watch_;
  PeerContext Context_;
  bool IsDialled_;
  bool Connected_ = false;
  bool Closed_ = false;
  std::deque<FrameBuffer> Out_;
  std::size_t Backlog_ = 0;
  std::uint64_t PingNonce_ = 0;
  TimePoint LastHeard_;
  TimePoint LastUsed_;
  TimePoint LastSent_{};
  // When the first frame was sent that nothing was heard after.
  std::optional<TimePoint> UnansweredSince_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_PEERCONNECTION_H
