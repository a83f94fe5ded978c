// A persistent HTTP/1.1 client connection: one request at a time, the answer
// delivered as it arrives.
//
//   auto L = std::make_shared<ClientLink>(Context, "10.0.0.7:80", Options);
//   L->onIdleEnd([] {...});                  // closed while unused
//   L->send(requestText(M, Host), {.OnHead_ = ..., .OnBody_ = ...,
//                                  .OnEnd_ = ..., .OnFail_ = ...});
//   L->abandon();                            // closes; no further callback
//
// An answer is complete when its length is reached, its last chunk has arrived
// or, with neither, the server closes the connection in order, even if the
// request is still being written; a reset never completes an answer. A
// connection is reused only if its answer was complete, did not ask to close,
// arrived after the request had been written in full, and was followed by no
// further byte. Bytes that arrive while no request is in progress belong to no
// request and close the connection.
//
// A server may send an answer twice, the second copy where the next answer is
// expected. A caller that recognizes such a copy by its head calls skipAnswer()
// within OnHead_; the answer after it is then delivered as the request's own,
// and the connection is not reused.
//
// Limits: MaxHeader_ bytes of a head, of all interim (1xx) heads together, and
// of one chunk header or the trailers; MaxBody_ bytes of a body, or what is
// given for the one answer; and of a chunked body's framing a multiple of its
// bytes. An answer beyond one of them fails, and the connection is closed.
//
// Failures: LinkFailure::NeverSent_ means that no byte of the request was
// handed to the kernel on an established connection, so the server cannot have
// run it.

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
  // Nobody listens at the server's address.
  bool IsRefused_ = false;
};

class ClientLink : public std::enable_shared_from_this<ClientLink> {
public:
  struct Options {
    Duration ConnectTimeout_ = Milliseconds(1000);
    std::size_t MaxHeader_ = 32 * 1024;
    std::size_t MaxBody_ = 64 * 1024 * 1024;
    // The connection fails when sent bytes stay unacknowledged for this long: a
    // machine without power or behind a network partition sends no reset.
    Duration UnackedLimit_ = Milliseconds(2500);
    // Sends TCP keep-alive probes on an idle or waiting connection, since a
    // lost peer cannot be detected otherwise: the first after 2 s, the next two
    // 1 s apart.
    bool KeepAlive_ = false;
    // Tells it from the other connections of a pool.
    std::uint64_t Number_ = 0;
  };
  struct Events {
    std::function<void(unsigned Status, HeaderFields)> OnHead_;
    std::function<void(std::string)> OnBody_;
    // The answer is complete. IsFramed: its end was marked by a length or a
    // last chunk, not by the end of the connection.
    std::function<void(bool IsFramed)> OnEnd_;
    std::function<void(const LinkFailure &)> OnFail_;
  };

  ClientLink(boost::asio::io_context &Context, std::string Address, Options O);

  // Requires isFree(). Connects first if necessary. MaxBody: of this answer, in
  // bytes; unset: Options::MaxBody_.
  void send(std::string Text, Events E,
            std::optional<std::size_t> MaxBody = std::nullopt);
  // The same with a text that is made when the connection is up, so that it can
  // state how much time is left then. Make is not called after abandon() or a
  // failure.
  using MakeText = std::function<std::string()>;
  void sendOnceConnected(MakeText Make, Events E,
                         std::optional<std::size_t> MaxBody = std::nullopt);
  // Closes the connection and drops a request in progress, without callbacks.
  // What the server has not received of the request is not sent any more.
  void abandon();
  // Within OnHead_: drops this answer and waits for the next one. Fails when
  // the connection cannot carry another.
  void skipAnswer() { Skipping_ = IsSkipUsed_ = true; }
  // Stops reading the answer in progress, so that the server is slowed down by
  // its connection; what has already been received is still delivered. The end
  // of the connection is noticed after resume(). An ended answer ends the
  // pause.
  void pause() { Paused_ = Busy_; }
  void resume();
  // Bytes of the request not yet sent, and bytes received and not delivered.
  std::size_t heldBytes() const { return In_.size() + Out_.size(); }
  // Called once if the connection ends while no request is in progress.
  void onIdleEnd(std::function<void()> Handler) {
    IdleEnd_ = std::move(Handler);
  }

  bool isFree() const { return !Busy_ && !Closed_; }
  bool isClosed() const { return Closed_; }
  bool isConnected() const { return Connected_ && !Closed_; }
  const std::string &address() const { return Address_; }
  std::uint64_t number() const { return Options_.Number_; }
  // Whether an earlier request was sent on this connection, so that what
  // arrives may be a late copy of that one's answer.
  bool isReused() const { return Sent_ > 1; }
  // When the last answer ended, and how long the server keeps an idle
  // connection open, if its Keep-Alive header says so.
  TimePoint idleSince() const { return IdleSince_; }
  const std::optional<Duration> &serverIdleTimeout() const {
    return ServerIdleTimeout_;
  }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void begin(Events E, std::optional<std::size_t> MaxBody);
  void connect();
  void probe();
  void write();
  void read();
  void onRead(boost::system::error_code Code, std::size_t Bytes);
  // Whether the end that was read is the server's, not that of a connection
  // whose error a write has received. Linux only.
  bool isOrderlyEnd() const;
  void parse();
  void startParser();
  // Fails the answer when its framing exceeds the limits; true if so.
  bool failsByFraming();
  void processHead();
  void deliverBody();
  void finishAnswer(bool IsFramed);
  // After a skipped answer; false when the connection cannot carry another.
  bool expectNextAnswer();
  void resetCounts();
  void fail(Step Where, const std::string &Message, bool IsRefused = false);
  // Whether the kernel holds bytes that the server has not acknowledged.
  bool isUnacknowledged();
  void resetOnClose();
  void close();

  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer ConnectTimer_;
  std::string Address_;
  Options Options_;
  Events Events_;
  std::function<void()> IdleEnd_;
  boost::beast::flat_buffer In_;
  std::optional<Parser> Parser_;
  // Out_ once the connection is up.
  MakeText MakeOut_;
  std::string Out_;
  std::size_t MaxBody_ = 0;
  unsigned Interims_ = 0;
  // Received bytes of interim heads, of the body with its framing, and of the
  // body alone.
  std::size_t InterimBytes_ = 0;
  // Bytes of a body's framing that the parser has left for more to follow.
  std::size_t LeftBytes_ = 0;
  // Of the head that is being received.
  std::size_t HeadBytes_ = 0;
  std::size_t WireBytes_ = 0;
  std::size_t BodyBytes_ = 0;
  TimePoint IdleSince_;
  std::optional<Duration> ServerIdleTimeout_;
  bool Connected_ = false;
  bool Connecting_ = false;
  bool Busy_ = false;
  bool Closed_ = false;
  // Requests sent, the one in progress included.
  std::uint64_t Sent_ = 0;
  bool WriteStarted_ = false;
  bool Written_ = false;
  // Of the request in progress, whose rest is not sent any more.
  boost::system::error_code WriteError_;
  bool HeadDelivered_ = false;
  bool Reading_ = false;
  bool Paused_ = false;
  bool HeadRequest_ = false;
  // The answer in progress is dropped, or an earlier one to the same request
  // was.
  bool Skipping_ = false;
  bool IsSkipUsed_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_CLIENTLINK_H
