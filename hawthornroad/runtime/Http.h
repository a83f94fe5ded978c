// HTTP/1.1 server and client over Boost.Beast, with streaming bodies.
//
// Server:
//   HttpServer Server(Io, {.MaxBody_ = 1 << 20}, [](HttpRequest R,
//                     std::shared_ptr<HttpExchange> X) {
//     X->respond({.Status_ = 200, .Body_ = "hello"});
//   });
//   std::uint16_t Port = Server.listen("127.0.0.1", 0);
//
// Client:
//   HttpClient Client(Io);
//   auto Call = Client.call("127.0.0.1:8080", {.Method_ = "GET", .Target_ =
//       "/x"}, {.Timeout_ = Seconds(2)}, {.OnDone_ = [](HttpResult R) {...}});
//   Call->cancel();
//
// A body the other side did not finish (missing chunk terminator, short
// Content-Length) is reported as an error and never as a short answer.
// All callbacks run on the IoThread given.

#ifndef HAWTHORNROAD_RUNTIME_HTTP_H
#define HAWTHORNROAD_RUNTIME_HTTP_H

#include "hawthornroad/base/Error.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/runtime/Io.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornroad {

struct HttpHeader {
  std::string Name_;
  std::string Value_;
  auto operator<=>(const HttpHeader &) const = default;
};
using HttpHeaders = std::vector<HttpHeader>;

// The first header called Name, letter case ignored; nullopt when absent.
std::optional<std::string> findHeader(const HttpHeaders &Headers,
                                      std::string_view Name);

struct HttpRequest {
  std::string Method_ = "GET";
  std::string Target_ = "/";
  HttpHeaders Headers_;
  std::string Body_;
  bool operator==(const HttpRequest &) const = default;
};

struct HttpResponse {
  unsigned Status_ = 200;
  HttpHeaders Headers_;
  std::string Body_;
  bool operator==(const HttpResponse &) const = default;
};

// Builds a response with an application/json body.
HttpResponse jsonResponse(unsigned Status, std::string Body);

// One request on a server and the way to answer it. Methods are thread-safe;
// calls after the end or after the caller left do nothing.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  // A whole answer with Content-Length.
  virtual void respond(HttpResponse R) = 0;
  // Or a streamed one (chunked): head, any writes, finish.
  virtual void head(unsigned Status, HttpHeaders Headers) = 0;
  virtual void write(std::string Bytes) = 0;
  virtual void finish() = 0;
  // Ends the connection so that the caller sees the body was not whole.
  virtual void abort() = 0;
  // Bytes handed to write() that the socket has not taken yet.
  virtual std::size_t backlog() const = 0;
  // Called once if the caller goes away before the end.
  virtual void onGone(std::function<void()> Handler) = 0;
  virtual std::string peer() const = 0;
};

class HttpServer {
public:
  struct Limits {
    std::size_t MaxHeader_ = 16 * 1024;
    std::size_t MaxBody_ = 8 * 1024 * 1024;
    std::size_t MaxConnections_ = 4096;
    // Longest time a caller may take to send one request.
    Duration ReadTimeout_ = Seconds(30);
    // Longest time a caller may leave written bytes unread.
    Duration WriteTimeout_ = Seconds(30);
  };
  using Handler =
      std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

  HttpServer(IoThread &Io, Limits L, Handler H);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  // Binds Ip:Port (0 lets the kernel choose) and returns the port. Throws
  // Error(Step::Listen).
  std::uint16_t listen(const std::string &Ip, std::uint16_t Port);
  // Stops accepting; open exchanges go on. Idle connections are closed.
  void closeListener();

private:
  struct State;
  std::shared_ptr<State> State_;
};

// How a client call ended.
struct HttpResult {
  // Set when a whole response came; its Body_ is empty when OnData_ was given.
  std::optional<HttpResponse> Response_;
  // Set otherwise.
  std::optional<Error> Error_;
  // Whether any byte of the request was handed to a connected socket. False
  // means the other side cannot have seen the request.
  bool Sent_ = false;
};

class HttpCall {
public:
  virtual ~HttpCall() = default;
  // Closes the connection; OnDone_ is not called after cancel() returns when
  // called on the client's IoThread.
  virtual void cancel() = 0;
  // Thread-safe. Reads no more of the response's body until resume(), so that
  // a slow reader holds the sender back through TCP. At most what is already
  // read (64 KiB) still comes. The idle timeout does not run meanwhile.
  virtual void pause() = 0;
  virtual void resume() = 0;
};

class HttpClient {
public:
  struct Options {
    Duration ConnectTimeout_ = Milliseconds(1000);
    // Longest silence while waiting for the next bytes of the response.
    Duration IdleTimeout_ = Seconds(30);
    // Longest time of the whole call; zero means no bound.
    Duration Timeout_ = Duration::zero();
    std::size_t MaxBody_ = 256 * 1024 * 1024;
  };
  struct Callbacks {
    // Status and headers, before any data. May be empty.
    std::function<void(const HttpResponse &)> OnHead_;
    // Body bytes as they come. When empty the body is collected.
    std::function<void(std::string_view)> OnData_;
    // Exactly once, unless cancelled.
    std::function<void(HttpResult)> OnDone_;
  };

  explicit HttpClient(IoThread &Io);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  // Thread-safe. Address is "IP:port". Each call has a connection of its own,
  // so a connection gone silent can hurt one call only.
  std::shared_ptr<HttpCall> call(const std::string &Address, HttpRequest R,
                                 Options O, Callbacks C);

private:
  struct State;
  std::shared_ptr<State> State_;
};

// A blocking call for command-line programs and tests. Throws Error.
HttpResponse httpFetch(const std::string &Address, const HttpRequest &R,
                       Duration Timeout);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_HTTP_H
