// One proxied connection: two sockets and, for each direction, a bounded queue
// between them. Lives on the path's IoThread and keeps itself alive until both
// directions have ended, or for good once it was silenced.

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

  // Number tells apart the random choices of connections.
  ProxySession(std::shared_ptr<ProxyPath> Path, Socket Caller,
               std::uint64_t Number);

  void start();
  // Nothing passes any more, in either direction; both sockets stay open.
  void silence() { Silent_ = true; }
  void resetBoth();

private:
  // What one direction still has to write.
  struct Parcel {
    enum class Kind { Bytes, End, Reset };
    Kind Kind_ = Kind::Bytes;
    TimePoint Due_;
    std::string Bytes_;
  };
  struct Flow {
    explicit Flow(std::uint64_t Stream) : Filter_(Stream) {}
    FrameFilter Filter_;
    std::deque<Parcel> Queue_;
    std::size_t Queued_ = 0;
    TimePoint LastDue_{};
    bool Done_ = false;
  };
  template <class T> using Awaitable = boost::asio::awaitable<T>;

  // The socket a direction reads from, and the one it writes to.
  Socket &source(Direction D) { return Sockets_[D == Up ? 0 : 1]; }
  Socket &sink(Direction D) { return Sockets_[D == Up ? 1 : 0]; }
  bool isOver() const { return Closed_ || Silent_; }
  bool isBlackholed() const;

  Awaitable<void> run();
  Awaitable<void> readLoop(Direction D);
  Awaitable<void> writeLoop(Direction D);
  Awaitable<bool> writeAll(Direction D, std::string_view Bytes);
  Awaitable<void> waitUntil(TimePoint When);
  Awaitable<void> waitToPass();
  Awaitable<void> waitForLink(Direction D, std::size_t Bytes);
  bool take(Direction D, std::string_view Bytes);
  void learnZone(std::string_view Bytes);
  void push(Direction D, Parcel P);
  void endFlow(Direction D);
  void forget();

  std::shared_ptr<ProxyPath> Path_;
  // The caller's, then the target's.
  std::array<Socket, 2> Sockets_;
  std::array<Flow, Directions> Flows_;
  std::array<boost::asio::steady_timer, Directions> Wake_;
  // The caller's first bytes, until its zone is known from its Hello; the zone
  // is empty for a caller that sends no Hello.
  std::string FirstBytes_;
  std::optional<std::string> CallerZone_;
  bool Silent_ = false;
  bool Closed_ = false;
};

// Closes so that the other side gets a reset.
void resetSocket(ProxySession::Socket &S);

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_PROXYSESSION_H
