#include "hawthornroad/base/HttpStatus.h"
#include "hawthornroad/base/TransferCoding.h"
#include "hawthornroad/runtime/Address.h"
#include "hawthornroad/runtime/Http.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <set>
#include <sys/socket.h>

namespace hawthornroad {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

std::optional<std::string> findHeader(const HttpHeaders &Headers,
                                      std::string_view Name) {
  for (const HttpHeader &Each : Headers)
    if (beast::iequals(Each.Name_, {Name.data(), Name.size()}))
      return Each.Value_;
  return std::nullopt;
}

HttpResponse jsonResponse(unsigned Status, std::string Body) {
  return {.Status_ = Status,
          .Headers_ = {{"Content-Type", "application/json"}},
          .Body_ = std::move(Body)};
}

namespace {
constexpr unsigned NotImplemented = 501;

// Hop-by-hop headers, which this server sets itself.
bool isHopHeader(const std::string &Name) {
  static constexpr std::array<const char *, 4> HopNames = {
      "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive"};
  return std::any_of(HopNames.begin(), HopNames.end(), [&](const char *Hop) {
    return beast::iequals(Name, Hop);
  });
}

std::string responseHead(unsigned Status, const HttpHeaders &Headers) {
  Status = writableStatus(Status);
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  auto Reason = http::obsolete_reason(http::int_to_status(Status));
  Text.append(Reason.data(), Reason.size());
  Text += "\r\n";
  for (const HttpHeader &Each : Headers)
    if (!isHopHeader(Each.Name_))
      Text += Each.Name_ + ": " + Each.Value_ + "\r\n";
  return Text;
}

std::string chunk(const std::string &Bytes) {
  std::array<char, 20> Size;
  int Length = std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  return std::string(Size.data(), Length) + Bytes + "\r\n";
}

// Pending output of one exchange; accessed only on the IoThread.
struct OutputQueue {
  explicit OutputQueue(asio::io_context &Context)
      : Signal_(Context, TimePoint::max()) {}

  std::deque<std::string> Pending_;
  bool Started_ = false;
  bool Ended_ = false;
  bool Aborted_ = false;
  bool Disconnected_ = false;
  std::function<void()> OnDisconnect_;
  asio::steady_timer Signal_;
};

// Answers may be produced on other threads, so each method posts to the
// IoThread. The queue is bounded by the producer, which checks backlog() and
// stops when too many bytes are unsent.
class Exchange final : public HttpExchange,
                       public std::enable_shared_from_this<Exchange> {
public:
  Exchange(IoThread &Io, std::string Peer, bool HeadOnly, bool Chunked)
      : Io_(Io), Peer_(std::move(Peer)), HeadOnly_(HeadOnly), Chunked_(Chunked),
        Output_(Io.context()) {}

  void respond(HttpResponse R) override {
    std::string Text = responseHead(R.Status_, R.Headers_);
    Text += "Content-Length: " + std::to_string(R.Body_.size()) + "\r\n\r\n";
    if (!HeadOnly_)
      Text += R.Body_;
    enqueue(std::move(Text), true, true);
  }

  void head(unsigned Status, HttpHeaders Headers) override {
    std::string Text = responseHead(Status, Headers);
    Text += Chunked_ ? "Transfer-Encoding: chunked\r\n\r\n"
                     : "Connection: close\r\n\r\n";
    enqueue(std::move(Text), true, false);
  }

  void write(std::string Bytes) override {
    if (Bytes.empty() || HeadOnly_)
      return;
    enqueue(Chunked_ ? chunk(Bytes) : std::move(Bytes), false, false);
  }

  void finish() override {
    bool Terminator = Chunked_ && !HeadOnly_;
    enqueue(Terminator ? "0\r\n\r\n" : "", false, true);
  }

  void abort() override {
    post([](OutputQueue &Out) { Out.Aborted_ = true; });
  }

  std::size_t backlog() const override {
    return Backlog_.load(std::memory_order_acquire);
  }

  void onDisconnect(std::function<void()> Handler) override {
    post([Handler = std::move(Handler)](OutputQueue &Out) {
      if (Out.Disconnected_)
        Handler();
      else
        Out.OnDisconnect_ = Handler;
    });
  }

  std::string peer() const override { return Peer_; }

  // The methods below are for the session, on the IoThread.
  OutputQueue &output() { return Output_; }
  void written(std::size_t Bytes) { Backlog_.fetch_sub(Bytes); }
  bool closesAfterAnswer() const { return !Chunked_; }

private:
  void enqueue(std::string Text, bool IsHead, bool Last) {
    Backlog_.fetch_add(Text.size());
    post([Text = std::move(Text), IsHead, Last](OutputQueue &Out) mutable {
      // Ignores a second head and anything after the end.
      if (Out.Ended_ || Out.Disconnected_ || IsHead == Out.Started_)
        return;
      Out.Started_ = true;
      Out.Ended_ = Last;
      if (!Text.empty())
        Out.Pending_.push_back(std::move(Text));
    });
  }

  template <class Fn> void post(Fn F) {
    auto Self = shared_from_this();
    asio::post(Io_.context(), [Self, F = std::move(F)]() mutable {
      F(Self->Output_);
      Self->Output_.Signal_.cancel();
    });
  }

  IoThread &Io_;
  std::string Peer_;
  bool HeadOnly_;
  bool Chunked_;
  std::atomic<std::size_t> Backlog_{0};
  OutputQueue Output_;
};

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(IoThread &Io, Limits L, Handler H)
      : Io_(Io), Limits_(L), Handler_(std::move(H)) {}

  asio::awaitable<void> acceptLoop();
  asio::awaitable<void> serve(tcp::socket Socket);
  asio::awaitable<bool> writeAnswer(beast::tcp_stream &Stream,
                                    std::shared_ptr<Exchange> X);
  asio::awaitable<void> refuse(beast::tcp_stream &Stream,
                               boost::system::error_code Code);
  asio::awaitable<void> refuse(beast::tcp_stream &Stream, unsigned Status,
                               const std::string &Detail);
  void watchDisconnect(beast::tcp_stream &Stream, std::shared_ptr<Exchange> X);

  IoThread &Io_;
  Limits Limits_;
  Handler Handler_;
  std::optional<tcp::acceptor> Acceptor_;
  bool Closing_ = false;
  std::size_t Connections_ = 0;
  // Streams waiting for the next request; closed with the listener.
  std::set<beast::tcp_stream *> Idle_;
};

HttpServer::HttpServer(IoThread &Io, Limits L, Handler H)
    : State_(std::make_shared<State>(Io, L, std::move(H))) {}

HttpServer::~HttpServer() { closeListener(); }

std::uint16_t HttpServer::listen(const std::string &Ip, std::uint16_t Port) {
  State_->Acceptor_.emplace(openAcceptor(State_->Io_.context(), Ip, Port));
  std::uint16_t Bound = State_->Acceptor_->local_endpoint().port();
  auto S = State_;
  asio::co_spawn(S->Io_.context(), S->acceptLoop(), asio::detached);
  return Bound;
}

void HttpServer::closeListener() {
  asio::post(State_->Io_.context(), [S = State_] {
    S->Closing_ = true;
    boost::system::error_code Ignored;
    if (S->Acceptor_)
      S->Acceptor_->close(Ignored);
    for (beast::tcp_stream *Stream : S->Idle_)
      Stream->socket().close(Ignored);
  });
}

asio::awaitable<void> HttpServer::State::acceptLoop() {
  auto Owner = shared_from_this();
  while (!Closing_) {
    boost::system::error_code Code;
    tcp::socket Socket = co_await Acceptor_->async_accept(
        asio::redirect_error(asio::use_awaitable, Code));
    if (Closing_)
      co_return;
    if (Code || Connections_ >= Limits_.MaxConnections_)
      continue; // closes the socket, if any: connections are limited
    asio::co_spawn(Io_.context(), serve(std::move(Socket)), asio::detached);
  }
}

// Answers an unreadable request with a problem, then ends the connection.
asio::awaitable<void>
HttpServer::State::refuse(beast::tcp_stream &Stream,
                          boost::system::error_code Code) {
  unsigned Status = 400;
  if (Code == http::error::body_limit)
    Status = 413;
  else if (Code == http::error::header_limit)
    Status = 431;
  else if (Code == beast::error::timeout)
    Status = 408;
  co_await refuse(Stream, Status, Code.message());
}

asio::awaitable<void> HttpServer::State::refuse(beast::tcp_stream &Stream,
                                                unsigned Status,
                                                const std::string &Detail) {
  std::string Body = "{\"title\":\"request not readable\",\"step\":\"receive\","
                     "\"detail\":\"" +
                     Detail + "\"}";
  HttpHeaders Headers = {{"Content-Type", "application/problem+json"},
                         {"Hawthornroad-Outcome", "not-run"}};
  std::string Text =
      responseHead(Status, Headers) +
      "Connection: close\r\nContent-Length: " + std::to_string(Body.size()) +
      "\r\n\r\n" + Body;
  boost::system::error_code Ignored;
  Stream.expires_after(Limits_.WriteTimeout_);
  co_await asio::async_write(
      Stream, asio::buffer(Text),
      asio::redirect_error(asio::use_awaitable, Ignored));
  Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
}

void HttpServer::State::watchDisconnect(beast::tcp_stream &Stream,
                                        std::shared_ptr<Exchange> X) {
  int Handle = Stream.socket().native_handle();
  Stream.socket().async_wait(
      tcp::socket::wait_read, [X, Handle](boost::system::error_code Code) {
        if (Code || X->output().Ended_)
          return;
        char Byte;
        ssize_t Received = ::recv(Handle, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (Received > 0)
          return; // a pipelined request: the caller is still connected
        OutputQueue &Out = X->output();
        Out.Disconnected_ = true;
        if (Out.OnDisconnect_)
          std::exchange(Out.OnDisconnect_, nullptr)();
        Out.Signal_.cancel();
      });
}

// Returns true when the answer is complete and the connection can serve another
// request.
asio::awaitable<bool>
HttpServer::State::writeAnswer(beast::tcp_stream &Stream,
                               std::shared_ptr<Exchange> X) {
  OutputQueue &Out = X->output();
  for (;;) {
    // Data written before abort() is still sent: the last event of a failed
    // stream gives the reason.
    if (Out.Disconnected_ || (Out.Aborted_ && Out.Pending_.empty()))
      co_return false;
    if (!Out.Pending_.empty()) {
      std::string Text = std::move(Out.Pending_.front());
      Out.Pending_.pop_front();
      boost::system::error_code Code;
      Stream.expires_after(Limits_.WriteTimeout_);
      co_await asio::async_write(
          Stream, asio::buffer(Text),
          asio::redirect_error(asio::use_awaitable, Code));
      Stream.expires_never();
      X->written(Text.size());
      if (Code) {
        Out.Disconnected_ = true;
        if (Out.OnDisconnect_)
          std::exchange(Out.OnDisconnect_, nullptr)();
        co_return false;
      }
      continue;
    }
    if (Out.Ended_)
      co_return !X->closesAfterAnswer();
    boost::system::error_code Ignored;
    Out.Signal_.expires_at(TimePoint::max());
    co_await Out.Signal_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

namespace {
HttpRequest toHttpRequest(http::request<http::string_body> &&Message) {
  HttpRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  for (const auto &Field : Message)
    Request.Headers_.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  Request.Body_ = std::move(Message.body());
  return Request;
}

struct CountGuard {
  std::size_t &Count_;
  explicit CountGuard(std::size_t &Count) : Count_(Count) { ++Count_; }
  ~CountGuard() { --Count_; }
};
} // namespace

asio::awaitable<void> HttpServer::State::serve(tcp::socket Socket) {
  auto Owner = shared_from_this();
  CountGuard Guard(Connections_);
  boost::system::error_code Code;
  Socket.set_option(tcp::no_delay(true), Code);
  tcp::endpoint Remote = Socket.remote_endpoint(Code);
  if (Code)
    co_return;
  std::string Peer = formatAddress(Remote);
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer;
  bool KeepAlive = true;
  while (KeepAlive && !Closing_) {
    http::request_parser<http::string_body> Parser;
    Parser.header_limit(static_cast<std::uint32_t>(Limits_.MaxHeader_));
    Parser.body_limit(Limits_.MaxBody_);
    Stream.expires_after(Limits_.ReadTimeout_);
    Idle_.insert(&Stream);
    co_await http::async_read_header(
        Stream, Buffer, Parser,
        asio::redirect_error(asio::use_awaitable, Code));
    Idle_.erase(&Stream);
    bool IsUnsupported =
        !Code && transferCodingOf(Parser.get()) == TransferCoding::Unsupported;
    if (IsUnsupported) {
      co_await refuse(Stream, NotImplemented, "unsupported transfer coding");
      co_return;
    }
    if (!Code &&
        beast::iequals(Parser.get()[http::field::expect], "100-continue")) {
      static constexpr std::string_view Continue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(
          Stream, asio::buffer(Continue),
          asio::redirect_error(asio::use_awaitable, Code));
    }
    if (!Code)
      co_await http::async_read(
          Stream, Buffer, Parser,
          asio::redirect_error(asio::use_awaitable, Code));
    if (Code) {
      bool Silent = Code == http::error::end_of_stream ||
                    Code == asio::error::operation_aborted ||
                    Code == asio::error::connection_reset ||
                    (Code == beast::error::timeout && !Parser.got_some());
      if (!Silent)
        co_await refuse(Stream, Code);
      co_return;
    }
    Stream.expires_never();
    KeepAlive = Parser.get().keep_alive();
    bool HeadOnly = Parser.get().method() == http::verb::head;
    bool Chunked = Parser.get().version() >= 11;
    auto X = std::make_shared<Exchange>(Io_, Peer, HeadOnly, Chunked);
    watchDisconnect(Stream, X);
    Handler_(toHttpRequest(Parser.release()), X);
    bool IsComplete = co_await writeAnswer(Stream, X);
    X->output().OnDisconnect_ = nullptr;
    X->output().Ended_ = true;
    Stream.socket().cancel(Code);
    if (!IsComplete) {
      // Reset the connection instead of closing it: even a caller that ignores
      // chunked framing then sees that the body is incomplete.
      if (X->output().Aborted_ && !X->output().Disconnected_)
        Stream.socket().set_option(asio::socket_base::linger(true, 0), Code);
      co_return;
    }
  }
  Stream.socket().shutdown(tcp::socket::shutdown_send, Code);
}

} // namespace hawthornroad
