// Accepts callers' connections and keeps their sessions.
//
//   auto L = std::make_shared<HttpListener>(Context, Limits, Handler);
//   std::string Bound = L->open("10.0.0.1:8005");
//   L->stopAccepting(); L->drainAll();       // planned stop
//
// Single-threaded. Sessions keep their listener alive. Above
// SessionLimits::Connections_ a new connection is closed unread.

#ifndef HAWTHORNROAD_HTTP_HTTPLISTENER_H
#define HAWTHORNROAD_HTTP_HTTPLISTENER_H

#include "hawthornroad/http/ServerSession.h"
#include "hawthornroad/runtime/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_set>
#include <vector>

namespace hawthornroad {

class HttpListener : public std::enable_shared_from_this<HttpListener> {
public:
  HttpListener(boost::asio::io_context &Context, SessionLimits L,
               SessionHandler &H);

  // Throws Error(Step::Listen). Returns the address bound, "IP:port".
  std::string open(const std::string &Address);
  // Takes effect from now on, also for open sessions.
  void setLimits(SessionLimits L) { Limits_ = L; }
  const SessionLimits &limits() const { return Limits_; }
  // Also takes the connections that stand in the kernel's queue, which would be
  // reset otherwise.
  void stopAccepting();
  // Closes every connection after its request in progress.
  void drainAll();
  void closeAll();
  std::size_t sessions() const { return Sessions_.size(); }
  std::size_t inRequest() const;
  // Bytes held for all callers, see ServerSession::heldBytes().
  std::size_t heldBytes() const;
  std::vector<std::shared_ptr<ServerSession>> live() const;
  TimePoint now() const { return bootNow(); }

private:
  friend class ServerSession;
  void accept();
  void admit(boost::asio::ip::tcp::socket S);
  void sweep();

  boost::asio::io_context &Context_;
  SessionLimits Limits_;
  SessionHandler &Handler_;
  std::optional<boost::asio::ip::tcp::acceptor> Acceptor_;
  boost::asio::steady_timer Sweep_;
  std::unordered_set<ServerSession *> Sessions_;
  bool Draining_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_HTTPLISTENER_H
