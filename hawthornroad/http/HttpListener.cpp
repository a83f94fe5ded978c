#include "hawthornroad/http/HttpListener.h"

#include "hawthornroad/runtime/Address.h"

#include <boost/asio/post.hpp>

namespace hawthornroad {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
// Timeouts are seconds long; this period keeps them accurate to about a tenth.
constexpr Duration SweepPeriod = Milliseconds(250);
} // namespace

HttpListener::HttpListener(asio::io_context &Context, SessionLimits L,
                           SessionHandler &H)
    : Context_(Context), Limits_(L), Handler_(H), Sweep_(Context) {}

std::string HttpListener::open(const std::string &Address) {
  tcp::endpoint At = parseAddress(Address, Step::Listen);
  Acceptor_.emplace(
      openAcceptor(Context_, At.address().to_string(), At.port()));
  std::string Bound = formatAddress(Acceptor_->local_endpoint());
  asio::post(Context_, [Self = shared_from_this()] {
    Self->accept();
    Self->sweep();
  });
  return Bound;
}

void HttpListener::accept() {
  if (!Acceptor_ || !Acceptor_->is_open())
    return;
  Acceptor_->async_accept([Self = shared_from_this()](
                              boost::system::error_code Code, tcp::socket S) {
    if (Code == asio::error::operation_aborted)
      return;
    if (!Code)
      Self->admit(std::move(S));
    Self->accept();
  });
}

// Above the limit the socket is closed unread: its caller may retry.
void HttpListener::admit(tcp::socket S) {
  if (Sessions_.size() < Limits_.Connections_)
    std::make_shared<ServerSession>(std::move(S), shared_from_this())->start();
}

void HttpListener::sweep() {
  Sweep_.expires_after(SweepPeriod);
  Sweep_.async_wait([Self = shared_from_this()](boost::system::error_code C) {
    if (C)
      return;
    TimePoint Now = Self->now();
    for (const auto &Each : Self->live())
      Each->check(Now);
    Self->sweep();
  });
}

void HttpListener::stopAccepting() {
  if (!Acceptor_ || !Acceptor_->is_open())
    return;
  boost::system::error_code Code;
  Acceptor_->non_blocking(true, Code);
  // Bounded, since callers may connect faster than this.
  for (std::size_t I = 0; !Code && I < Limits_.Connections_; ++I) {
    tcp::socket S(Context_);
    Acceptor_->accept(S, Code);
    if (!Code)
      admit(std::move(S));
  }
  Acceptor_->close(Code);
}

void HttpListener::drainAll() {
  Draining_ = true;
  for (const auto &Each : live())
    Each->closeIfIdle();
}

void HttpListener::closeAll() {
  for (const auto &Each : live())
    Each->stop();
}

// A session may end while the result is used, so it is kept alive.
std::vector<std::shared_ptr<ServerSession>> HttpListener::live() const {
  std::vector<std::shared_ptr<ServerSession>> Live;
  Live.reserve(Sessions_.size());
  for (ServerSession *Each : Sessions_)
    if (auto Held = Each->weak_from_this().lock())
      Live.push_back(std::move(Held));
  return Live;
}

std::size_t HttpListener::heldBytes() const {
  std::size_t Sum = 0;
  for (const ServerSession *Each : Sessions_)
    Sum += Each->heldBytes();
  return Sum;
}

std::size_t HttpListener::inRequest() const {
  std::size_t Count = 0;
  for (const ServerSession *Each : Sessions_)
    Count += Each->inRequest() ? 1 : 0;
  return Count;
}

} // namespace hawthornroad
