// Whole calls to one server over kept connections, with a time limit each.
//
//   HttpCalls Calls(Context, "10.0.0.7:80", {});
//   Calls.call(Message, Seconds(1), [](HttpCalls::Result R) {
//     if (auto *A = std::get_if<HttpAnswer>(&R)) use(A->Status_, A->Body_);
//   });
//
// A call has a connection to itself while it lasts, so a held one delays no
// other. One that gets no answer in time ends its connection: whether it was
// done is unknown. Calls and bytes are counted.
//
// With WholeLimit a call's limit bounds each silence, and WholeLimit all of it:
// for answers whose length is not known beforehand. Where many read the same
// long answer over one link, a bound on the whole ends reads before they are
// through, they begin anew, and the link carries the same bytes again.
//
// Bounds: MaxSpare unused connections are kept, for SpareFor.

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
};

class HttpCalls {
public:
  struct Options {
    std::size_t MaxSpare_ = 2;
    // Calls under way at once; further ones wait in order. 0: no bound.
    std::size_t AtOnce_ = 0;
    // An unused connection is not trusted for longer: it may have gone silent.
    Duration SpareFor_ = Seconds(8);
    // Zero: the limit of a call bounds the whole of it.
    Duration WholeLimit_ = Duration::zero();
    ClientLink::Options Link_ = {};
    // Limit of most dials while the server does not answer; zero: that of
    // Link_. Every fourth still gets the limit of Link_, for a link full of
    // other bytes answers late.
    Duration QuickDial_ = Duration::zero();
  };
  struct Counters {
    std::uint64_t Calls_ = 0;
    std::uint64_t BytesSent_ = 0;
    std::uint64_t BytesReceived_ = 0;
    // The part of them that belongs to answers of success.
    std::uint64_t AnswerBytes_ = 0;
  };
  using Result = std::variant<HttpAnswer, LinkFailure>;
  using Done = std::function<void(Result)>;
  // Ends a call without a result; no effect once it has ended. Its connection
  // is closed, so that the rest of a long answer does not take up the link.
  using Cancel = std::function<void()>;

  HttpCalls(boost::asio::io_context &Context, std::string Address, Options O);
  ~HttpCalls();
  HttpCalls(const HttpCalls &) = delete;
  HttpCalls &operator=(const HttpCalls &) = delete;

  Cancel call(const HttpMessage &M, Duration Limit, Done D);
  const std::string &address() const;
  const Counters &counters() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_HTTPCALLS_H
