// A listener of callers' connections on loopback, whose handler echoes.
//
//   ListenerFixture F;
//   RawSocket S = RawSocket::connectTo(F.Port_);
//   S.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
//   F.run([&] { F.Listener_->drainAll(); });

#ifndef HAWTHORNROAD_TESTS_UNIT_LISTENERFIXTURE_H
#define HAWTHORNROAD_TESTS_UNIT_LISTENERFIXTURE_H

#include "hawthornroad/http/HttpListener.h"
#include "hawthornroad/runtime/Io.h"
#include "tests/unit/RawSocket.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

namespace hawthornroad {

// Echoes each request's body; "/stream" as a stream, "/hold" never.
struct EchoHandler final : SessionHandler {
  std::atomic<int> Requests_{0};
  std::atomic<int> Disconnects_{0};
  // The connection of the latest request; used on the I/O thread.
  std::weak_ptr<ServerSession> Last_;
  void onRequest(const std::shared_ptr<ServerSession> &S,
                 InboundRequest R) override {
    Last_ = S;
    ++Requests_;
    if (R.Target_ == "/hold")
      return;
    if (R.Target_ == "/abort") {
      S->begin(200, {});
      S->write("part");
      return S->abort();
    }
    if (R.Target_ == "/stream") {
      S->begin(200, {});
      S->write("one");
      S->write("two");
      return S->finish();
    }
    S->respond(200, {{"X-Target", R.Target_}}, R.Body_);
  }
  void onCallerDisconnected(ServerSession &) override { ++Disconnects_; }
  // Used on the I/O thread.
  std::vector<SessionEndReport> Ends_;
  void onEnd(ServerSession &, const SessionEndReport &R) override {
    Ends_.push_back(R);
  }
};

struct ListenerFixture {
  EchoHandler Handler_;
  IoThread Io_{"test", 64};
  std::shared_ptr<HttpListener> Listener_;
  std::uint16_t Port_ = 0;

  explicit ListenerFixture(SessionLimits L = {}) {
    Listener_ = std::make_shared<HttpListener>(Io_.context(), L, Handler_);
    std::string Bound = Listener_->open("127.0.0.1:0");
    Port_ = static_cast<std::uint16_t>(
        std::stoul(Bound.substr(Bound.rfind(':') + 1)));
  }
  ~ListenerFixture() {
    run([&] {
      Listener_->stopAccepting();
      Listener_->closeAll();
    });
    Io_.stop();
  }

  // Runs F on the I/O thread and waits for its end.
  void run(const std::function<void()> &F) {
    std::promise<void> Done;
    Io_.submit([&] {
      F();
      Done.set_value();
    });
    Done.get_future().wait();
  }
  // Sends Text while the I/O thread does not run, then runs F there before
  // anything is read.
  void runAfterArrival(const RawSocket &S, const std::string &Text,
                       const std::function<void()> &F) {
    run([&] {
      S.send(Text);
      S.waitDelivered();
      F();
    });
  }
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_UNIT_LISTENERFIXTURE_H
