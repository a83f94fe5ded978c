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
// An incomplete body (missing chunk terminator, fewer bytes than
// Content-Length) is reported as an error and never as a shorter answer.
// All callbacks run on the given IoThread.

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

// The value of the first header with this name, ignoring case; nullopt when
// absent.
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

// One request on a server, with the methods to answer it. Methods are
// thread-safe; calls after the end of the answer or after the caller has
// disconnected do nothing.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  // Sends a complete answer with Content-Length.
  virtual void respond(HttpResponse R) = 0;
  // Or streams a chunked one: head(), any number of write(), finish().
  virtual void head(unsigned Status, HttpHeaders Headers) = 0;
  virtual void write(std::string Bytes) = 0;
  virtual void finish() = 0;
  // Closes the connection so that the caller sees that the body is incomplete.
  virtual void abort() = 0;
  // Bytes queued for sending that the socket has not accepted yet.
  virtual std::size_t backlog() const = 0;
  // Handler is called once if the caller disconnects before the end.
  virtual void onDisconnect(std::function<void()> Handler) = 0;
  virtual std::string peer() const = 0;
};

class HttpServer {
public:
  struct Limits {
    std::size_t MaxHeader_ = 16 * 1024;
    std::size_t MaxBody_ = 8 * 1024 * 1024;
    std::size_t MaxConnections_ = 4096;
    // Maximum time for a caller to send one request.
    Duration ReadTimeout_ = Seconds(30);
    // Maximum time that a caller may leave written bytes unread.
    Duration WriteTimeout_ = Seconds(30);
  };
  using Handler =
      std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

  HttpServer(IoThread &Io, Limits L, Handler H);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  // Binds Ip:Port and returns the port; with port 0 the kernel picks a free
  // one. Throws Error(Step::Listen).
  std::uint16_t listen(const std::string &Ip, std::uint16_t Port);
  // Stops accepting and closes idle connections; open exchanges continue.
  void closeListener();

private:
  struct State;
  std::shared_ptr<State> State_;
};

// How a client call ended.
struct HttpResult {
  // Set when a complete response was received; its Body_ is empty when OnData_
  // was given.
  std::optional<HttpResponse> Response_;
  // Set otherwise.
  std::optional<Error> Error_;
  // Whether any byte of the request may have been passed to a connected socket.
  // False means that the server cannot have seen the request.
  bool Sent_ = false;
};

class HttpCall {
public:
  virtual ~HttpCall() = default;
  // Closes the connection. When called on the client's IoThread, OnDone_ is not
  // called after cancel() returns.
  virtual void cancel() = 0;
  // Thread-safe. Stops reading the response body until resume(), so that a slow
  // reader throttles the sender through TCP flow control. Data already read, at
  // most 64 KiB, is still delivered. The idle timeout does not run meanwhile.
  virtual void pause() = 0;
  virtual void resume() = 0;
};

class HttpClient {
public:
  struct Options {
    Duration ConnectTimeout_ = Milliseconds(1000);
    // Maximum wait for the next bytes of the response.
    Duration IdleTimeout_ = Seconds(30);
    // Maximum duration of the call; zero means no limit.
    Duration Timeout_ = Duration::zero();
    // Of the response, in bytes; a longer one fails the call. Bodies are
    // collected in memory unless OnData_ is given.
    std::size_t MaxBody_ = 1024 * 1024;
  };
  struct Callbacks {
    // Status and headers, before any data. May be empty.
    std::function<void(const HttpResponse &)> OnHead_;
    // Body bytes as they arrive. When empty, the body is collected.
    std::function<void(std::string_view)> OnData_;
    // Called exactly once, unless the call is cancelled.
    std::function<void(HttpResult)> OnDone_;
  };

  explicit HttpClient(IoThread &Io);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  // Thread-safe. Address is "IP:port". Each call uses a separate connection, so
  // a stalled connection affects one call only.
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
