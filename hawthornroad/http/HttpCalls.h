// HTTP calls to one server over pooled connections, each with a time limit.
//
//   HttpCalls Calls(Context, "10.0.0.7:80", {});
//   Calls.call(Message, {Seconds(1), 64 * 1024}, [](HttpCalls::Result R) {
//     if (auto *A = std::get_if<HttpAnswer>(&R)) use(A->Status_, A->Body_);
//   });
//
// Each call has a connection to itself, so a slow call delays no other. A call
// that times out closes its connection; whether the server ran it is unknown.
// Calls and bytes are counted.
//
// With TotalLimit_ set, a call's own limit bounds each gap without bytes, and
// TotalLimit_ the whole call: for answers of unknown length. Where many clients
// read the same long answer over one link, a short bound on the whole call
// aborts reads before they complete; they restart, and the link carries the
// same bytes again.
//
// Answers are collected in memory, so each call states the longest body that it
// accepts; a longer one fails the call and closes its connection.
//
// Limits: at most MaxIdle_ idle connections are kept, each for MaxIdleTime_.

#ifndef HAWTHORNROAD_HTTP_HTTPCALLS_H
#define HAWTHORNROAD_HTTP_HTTPCALLS_H

#include "hawthornroad/http/ClientLink.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace hawthornroad {

struct HttpAnswer {
  unsigned Status_ = 0;
  std::string Body_;
  HeaderFields Headers_ = {};
};

class HttpCalls {
public:
  struct Options {
    std::size_t MaxIdle_ = 2;
    // Calls in progress at once; further ones queue in order. 0: no limit.
    std::size_t MaxConcurrent_ = 0;
    // Idle connections are closed after this time: the peer may be gone
    // without a reset.
    Duration MaxIdleTime_ = Seconds(8);
    // Zero: the limit of a call bounds the whole call.
    Duration TotalLimit_ = Duration::zero();
    ClientLink::Options Link_ = {};
    // Timeout of most connection attempts; zero: that of Link_. Every fourth
    // attempt still gets the timeout of Link_, since a server behind a
    // saturated link answers late.
    Duration ReconnectTimeout_ = Duration::zero();
  };
  struct Counters {
    std::uint64_t Calls_ = 0;
    std::uint64_t BytesSent_ = 0;
    std::uint64_t BytesReceived_ = 0;
    // Received body bytes of answers with status 200.
    std::uint64_t AnswerBytes_ = 0;
  };
  // Bytes that the text of a failure may have.
  static constexpr std::size_t MaxFailureText = 64 * 1024;
  // Of one call.
  struct Limits {
    // Of the whole call, or of each gap without bytes, see TotalLimit_.
    Duration Time_;
    // Bytes of the answer's body. An answer that states a failure counts, too.
    std::size_t MaxBody_ = 0;
    // A server may send an answer twice, the second copy late, where the answer
    // to the next call is expected. A call whose answer does not say what it
    // answers, and that must not be mistaken, needs a new connection.
    bool NeedsNewConnection_ = false;
    bool operator==(const Limits &) const = default;
  };
  using Result = std::variant<HttpAnswer, LinkFailure>;
  using Done = std::function<void(Result)>;
  // Cancels a call without a result; no effect once it has ended. Closes its
  // connection, so that the rest of a long answer does not occupy the link.
  using Cancel = std::function<void()>;

  HttpCalls(boost::asio::io_context &Context, std::string Address, Options O);
  ~HttpCalls();
  HttpCalls(const HttpCalls &) = delete;
  HttpCalls &operator=(const HttpCalls &) = delete;

  Cancel call(const HttpMessage &M, Limits L, Done D);
  const std::string &address() const;
  const Counters &counters() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_HTTPCALLS_H
