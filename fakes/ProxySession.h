// One proxied connection: two sockets and, for each direction, a bounded queue
// between them. Runs on the IoThread of the path. It keeps itself alive until
// both directions have ended; a silenced session does not end by itself.

#ifndef HAWTHORNROAD_FAKES_PROXYSESSION_H
#define HAWTHORNROAD_FAKES_PROXYSESSION_H

#include "fakes/ProxyPath.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <string_view>

namespace hawthornroad {

class ProxySession : public std::enable_shared_from_this<ProxySession> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  // Number makes the random choices of connections differ.
  ProxySession(std::shared_ptr<ProxyPath> Path, Socket Caller,
               std::uint64_t Number);

  void start();
  // Stops all traffic in both directions; both sockets stay open.
  void silence() { Silent_ = true; }
  void resetBoth();

private:
  // An item that one direction still has to write.
  struct QueueItem {
    enum class Kind { Bytes, End, Reset };
    Kind Kind_ = Kind::Bytes;
    TimePoint DueAt_;
    std::string Bytes_;
  };
  struct Flow {
    explicit Flow(std::uint64_t Stream) : Filter_(Stream) {}
    FrameFilter Filter_;
    std::deque<QueueItem> Queue_;
    std::size_t QueuedBytes_ = 0;
    TimePoint LastDueAt_{};
    bool Done_ = false;
  };
  template <class T> using Awaitable = boost::asio::awaitable<T>;

  // The socket that a direction reads from, and the one it writes to.
  Socket &source(Direction D) { return Sockets_[D == Up ? 0 : 1]; }
  Socket &sink(Direction D) { return Sockets_[D == Up ? 1 : 0]; }
  bool isStopped() const { return Closed_ || Silent_; }
  bool isBlackholed() const;

  Awaitable<void> run();
  Awaitable<void> readLoop(Direction D);
  Awaitable<void> writeLoop(Direction D);
  Awaitable<bool> writeAll(Direction D, std::string_view Bytes);
  Awaitable<void> waitUntil(TimePoint When);
  Awaitable<void> waitWhileBlackholed();
  Awaitable<void> waitForLink(Direction D, std::size_t Bytes);
  bool processInput(Direction D, std::string_view Bytes);
  void readCallerZone(std::string_view Bytes);
  // Keeps the answer in progress, and repeats it when the next request comes.
  void copyAnswers(Direction D, std::string_view Bytes);
  void enqueue(Direction D, QueueItem Item);
  void endFlow(Direction D);
  void unregister();

  std::shared_ptr<ProxyPath> Path_;
  // The sockets of the caller and of the target, in this order.
  std::array<Socket, 2> Sockets_;
  std::array<Flow, Directions> Flows_;
  std::array<boost::asio::steady_timer, Directions> Wake_;
  // The first bytes of the caller, kept until its Hello gives its zone. The
  // zone is empty for a caller that does not send a Hello.
  std::string FirstBytes_;
  std::optional<std::string> CallerZone_;
  // What the target has sent since the caller's last bytes.
  std::string Answer_;
  bool Silent_ = false;
  bool Closed_ = false;
};

// Closes the socket with a TCP reset.
void resetSocket(ProxySession::Socket &S);

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_PROXYSESSION_H
