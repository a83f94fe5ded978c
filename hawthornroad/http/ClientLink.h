// One kept connection to a server: a request at a time, the answer as it comes.
//
//   auto L = std::make_shared<ClientLink>(Context, "10.0.0.7:80", Options);
//   L->onIdleEnd([] {...});                  // closed while unused
//   L->send(requestText(M, Host), {.OnHead_ = ..., .OnBody_ = ...,
//                                  .OnEnd_ = ..., .OnFail_ = ...});
//   L->abandon();                            // closes; no further callback
//
// What counts as a whole answer: a length reached, a last chunk, or, with
// neither, an orderly end of the connection; a reset never ends an answer.
// A connection is used again only if its answer was whole, said nothing of
// closing, came after the request had been written in full, and no byte came
// beyond it. Bytes that arrive while no request is in progress belong to no
// request and end the connection.
//
// What failed requests may have done: LinkFailure::NeverSent says that no byte
// of the request was handed to the kernel on an established connection.

#ifndef HAWTHORNROAD_HTTP_CLIENTLINK_H
#define HAWTHORNROAD_HTTP_CLIENTLINK_H

#include "hawthornroad/http/Framing.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace hawthornroad {

struct LinkFailure {
  // No byte of the request left this process.
  bool NeverSent_ = false;
  // Connect, Send, Receive.
  Step Step_ = Step::Connect;
  std::string Message_;
};

class ClientLink : public std::enable_shared_from_this<ClientLink> {
public:
  struct Options {
    Duration ConnectTimeout_ = Milliseconds(1000);
    std::size_t MaxHeader_ = 32 * 1024;
    std::size_t MaxBody_ = 64 * 1024 * 1024;
    // Sent bytes unacknowledged for this long break the connection: a machine
    // without power or behind a cut sends no reset.
    Duration UnackedLimit_ = Milliseconds(2500);
    // Probes an unused or waiting connection, for one that has gone silent
    // shows in nothing else: 2 s until the first, 1 s to each of the next two.
    bool KeepAlive_ = false;
  };
  struct Events {
    std::function<void(unsigned Status, HeaderFields)> OnHead_;
    std::function<void(std::string)> OnBody_;
    // The answer is whole. Clean: its end was told by its own framing.
    std::function<void(bool IsFramed)> OnEnd_;
    std::function<void(const LinkFailure &)> OnFail_;
  };

  ClientLink(boost::asio::io_context &Context, std::string Address, Options O);

  // The link must be free. Connects first if need be.
  void send(std::string Text, Events E);
  // Ends the connection and whatever is in progress, without callbacks.
  void abandon();
  // Called once if the connection ends while no request is in progress.
  void onIdleEnd(std::function<void()> Handler) {
    IdleEnd_ = std::move(Handler);
  }

  bool isFree() const { return !Busy_ && !Closed_; }
  bool isClosed() const { return Closed_; }
  bool isConnected() const { return Connected_ && !Closed_; }
  const std::string &address() const { return Address_; }
  // When the last answer ended, and how long the server keeps an unused
  // connection, if it said so.
  TimePoint freeSince() const { return FreeSince_; }
  const std::optional<Duration> &serverKeeps() const { return Keeps_; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void connect();
  void probe();
  void write();
  void read();
  void onRead(boost::system::error_code Code, std::size_t Bytes);
  void parse();
  void takeHead();
  void passBody();
  void ended(bool IsFramed);
  void fail(Step Where, const std::string &Message);
  void close();

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer ConnectTimer_;
  std::string Address_;
  Options Options_;
  Events Events_;
  std::function<void()> IdleEnd_;
  boost::beast::flat_buffer In_;
  std::optional<Parser> Parser_;
  std::string Out_;
  TimePoint FreeSince_;
  std::optional<Duration> Keeps_;
  bool Connected_ = false;
  bool Connecting_ = false;
  bool Busy_ = false;
  bool Closed_ = false;
  bool Sent_ = false;
  bool Written_ = false;
  bool HeadPassed_ = false;
  bool Reading_ = false;
  bool HeadRequest_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_CLIENTLINK_H
