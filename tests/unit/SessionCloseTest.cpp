// Connections that a server session ends by itself while a caller's bytes may
// be on their way.

#include "hawthornroad/runtime/BootClock.h"
#include "tests/unit/ListenerFixture.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <thread>
#include <vector>

using namespace hawthornroad;

namespace {
// Longer than a connection is kept after its answer in a drain.
constexpr auto IdleTime = std::chrono::milliseconds(1100);
// Longer than each of the default time limits.
constexpr Duration AllLimits = Seconds(20);

struct SessionCloseFixture : ListenerFixture {
  RawSocket Caller_ = RawSocket::connectTo(Port_);

  std::string ask(const std::string &Target) {
    Caller_.send("GET " + Target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    return Caller_.readUntil(Target + "\r\n");
  }
  // Enforces the time limits as they are when AllLimits have passed. Runs on
  // the I/O thread.
  void checkLate() const {
    if (auto S = Handler_.Last_.lock())
      S->check(bootNow() + AllLimits);
  }
  void waitUntilPartial() {
    for (bool IsPartial = false; !IsPartial;)
      run([&] { IsPartial = !Handler_.Last_.lock()->isIdle(); });
  }
};
} // namespace

// Guards against resetting a caller whose request had arrived when its
// connection was closed as idle.
TEST_CASE_METHOD(SessionCloseFixture,
                 "server session, closed as idle while a request is unread, "
                 "answers the request",
                 "[http]") {
  bool Drains = GENERATE(false, true);
  CAPTURE(Drains);
  ask("/a");
  std::this_thread::sleep_for(IdleTime);
  runAfterArrival(Caller_, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
                  [&] { Drains ? Listener_->drainAll() : checkLate(); });
  std::string Got = Caller_.readUntil("/b\r\n");
  REQUIRE(Got.find("200 OK") != std::string::npos);
}

TEST_CASE_METHOD(SessionCloseFixture,
                 "server session, closed as idle with nothing unread, ends",
                 "[http]") {
  bool Drains = GENERATE(false, true);
  CAPTURE(Drains);
  ask("/a");
  std::this_thread::sleep_for(IdleTime);
  run([&] { Drains ? Listener_->drainAll() : checkLate(); });
  REQUIRE(Caller_.readUntil("").empty());
}

// Guards against a 408 for a request that had arrived whole before its time
// limit was checked, when this process had not run for a while.
TEST_CASE_METHOD(SessionCloseFixture,
                 "server session, past a request's time limit with the rest "
                 "of it unread, answers the request",
                 "[http]") {
  // More than one read takes.
  const std::string Filler(20000, 'x');
  struct Row {
    std::string Name_, First_, Rest_;
  };
  const Row R = GENERATE_COPY(values<Row>(
      {{"headers", "GET /b HTTP/1.1\r\nHo", "st: h\r\n\r\n"},
       {"body", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n",
        Filler}}));
  CAPTURE(R.Name_);
  ask("/a");
  Caller_.send(R.First_);
  waitUntilPartial();
  runAfterArrival(Caller_, R.Rest_, [&] { checkLate(); });
  // The rest is read in parts, between which the limit is checked again.
  run([&] { checkLate(); });
  REQUIRE(Caller_.readUntil("/b\r\n").find("200 OK") != std::string::npos);
}

// Guards against a connection that a slow sender keeps open for ever.
TEST_CASE_METHOD(SessionCloseFixture,
                 "server session, given more bytes of a request after its time "
                 "limit, refuses it",
                 "[http]") {
  ask("/a");
  Caller_.send("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n");
  waitUntilPartial();
  const std::string Part(100, 'x');
  runAfterArrival(Caller_, Part, [&] { checkLate(); });
  // Lets the session read the part.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  runAfterArrival(Caller_, Part, [&] { checkLate(); });
  REQUIRE(Caller_.readUntil("").find(" 408 ") != std::string::npos);
}

// Guards against a last answer that is destroyed by the reset of a connection
// that is closed with unread bytes.
TEST_CASE_METHOD(SessionCloseFixture,
                 "server session, past its linger time with bytes unread, "
                 "keeps the answer that its caller has not read yet",
                 "[http]") {
  constexpr std::size_t AnswerBytes = 512 * 1024;
  Caller_.send("POST /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
               "Content-Length: " +
               std::to_string(AnswerBytes) + "\r\n\r\n");
  Caller_.send(std::string(AnswerBytes, 'x'));
  while (Handler_.Requests_ == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  runAfterArrival(Caller_, "unexpected bytes", [&] { checkLate(); });
  std::string Got = Caller_.readUntil("");
  REQUIRE(Got.size() > AnswerBytes);
}

// Guards against resetting callers whose connections the kernel had accepted
// when the listener was closed in a planned stop.
TEST_CASE_METHOD(ListenerFixture,
                 "listener, closed while a connection stands in its queue, "
                 "answers the request on it",
                 "[http]") {
  std::optional<RawSocket> Caller;
  run([&] {
    Caller.emplace(RawSocket::connectTo(Port_));
    Caller->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    Caller->waitDelivered();
    Listener_->stopAccepting();
    Listener_->drainAll();
  });
  std::string Got = Caller->readUntil("");
  REQUIRE(Got.find("200 OK") != std::string::npos);
  REQUIRE(Got.find("Connection: close") != std::string::npos);
}

// Guards against cutting an answer whose caller takes it for longer than an
// idle connection is kept.
TEST_CASE("server session, whose caller takes its answer slowly, is not idle "
          "before the answer is written",
          "[http]") {
  constexpr std::size_t AnswerBytes = 16 * 1024 * 1024;
  constexpr std::size_t ReadBytes = 256 * 1024;
  SessionLimits L;
  L.IdleTimeout_ = Milliseconds(300);
  ListenerFixture F(L);
  RawSocket Caller = RawSocket::connectTo(F.Port_);
  Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (F.Handler_.Requests_ == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  F.run([&] {
    F.Handler_.Last_.lock()->respond(200, {}, std::string(AnswerBytes, 'x'));
  });
  std::size_t Got = 0;
  while (std::size_t Read = Caller.readSome(ReadBytes)) {
    Got += Read;
    std::this_thread::sleep_for(std::chrono::milliseconds(15));
  }
  REQUIRE(Got > AnswerBytes);
}

// Guards against a handler that is called while it gives an answer: the record
// of the request would be destroyed during its use.
TEST_CASE_METHOD(SessionCloseFixture,
                 "server session, unable to send an answer, notifies its "
                 "handler after the call that gave the answer",
                 "[http]") {
  bool IsBacklog = GENERATE(false, true);
  CAPTURE(IsBacklog);
  Caller_.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (Handler_.Requests_ == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  int During = 0;
  run([&] {
    auto S = Handler_.Last_.lock();
    if (!IsBacklog)
      Caller_.reset();
    // The first write may still be taken by a connection that was reset.
    S->begin(200, {});
    const std::string Part(256 * 1024, 'x');
    for (int I = 0; I < 64; ++I)
      S->write(Part);
    During = Handler_.Disconnects_;
  });
  REQUIRE(During == 0);
  auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (Handler_.Disconnects_ == 0 && std::chrono::steady_clock::now() < Until)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  REQUIRE(Handler_.Disconnects_ == 1);
  // The partial answer does not look complete.
  REQUIRE(Caller_.readUntil("").find("0\r\n\r\n") == std::string::npos);
}

// Guards against connections that end without a trace of who ended them.
TEST_CASE_METHOD(SessionCloseFixture,
                 "server session, ending a connection, reports once why and "
                 "what was under way",
                 "[http]") {
  const std::string Get = "GET /hold HTTP/1.1\r\nX-Id: r1\r\n\r\n";
  struct Row {
    SessionEnd Why_;
    std::string Sent_;
    bool IsAnswering_, IsReceiving_;
    std::function<void(SessionCloseFixture &)> Act_;
  };
  auto Late = [](SessionCloseFixture &F) { F.run([&] { F.checkLate(); }); };
  auto Drain = [](SessionCloseFixture &F) {
    std::this_thread::sleep_for(IdleTime);
    F.run([&] { F.Listener_->drainAll(); });
  };
  auto Stop = [](SessionCloseFixture &F) {
    F.run([&] { F.Listener_->closeAll(); });
  };
  auto Leave = [](SessionCloseFixture &F) { F.Caller_.close(); };
  auto Reset = [](SessionCloseFixture &F) { F.Caller_.reset(); };
  auto Flood = [](SessionCloseFixture &F) {
    F.run([&] {
      auto S = F.Handler_.Last_.lock();
      S->begin(200, {});
      S->write(std::string(16 * 1024 * 1024, 'x'));
      S->write("x");
    });
  };
  auto StopUnsent = [](SessionCloseFixture &F) {
    F.run([&] {
      F.Handler_.Last_.lock()->respond(200, {},
                                       std::string(16 * 1024 * 1024, 'x'));
      F.Listener_->closeAll();
    });
  };
  auto Nothing = [](SessionCloseFixture &) {};
  const std::vector<Row> Rows = {
      {SessionEnd::Idle, "", false, false, Late},
      {SessionEnd::Drained, "", false, false, Drain},
      {SessionEnd::HeaderTimeout, "GET /b HTTP/1.1\r\nX-Id: r1\r\nHo", false,
       true, Late},
      {SessionEnd::BodyTimeout,
       "POST /b HTTP/1.1\r\nX-Id: r1\r\nContent-Length: 9\r\n\r\n", false, true,
       Late},
      {SessionEnd::Malformed, "GET /b HTTP/1.1\r\nX-Id: r1\r\nno field\r\n",
       false, true, Nothing},
      {SessionEnd::Backlog, Get, true, false, Flood},
      {SessionEnd::CallerClosed, Get, true, false, Leave},
      {SessionEnd::ReceiveFailed, Get, true, false, Reset},
      {SessionEnd::Stopped, Get, true, false, Stop},
      {SessionEnd::Stopped, Get, true, false, StopUnsent}};
  const Row &R = GENERATE_REF(from_range(Rows));
  CAPTURE(toString(R.Why_));
  ask("/a");
  if (!R.Sent_.empty()) {
    Caller_.send(R.Sent_);
    waitUntilPartial();
  }
  R.Act_(*this);
  std::vector<SessionEndReport> Ends;
  auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (Ends.empty() && std::chrono::steady_clock::now() < Until)
    run([&] { Ends = Handler_.Ends_; });
  REQUIRE(Ends.size() == 1);
  REQUIRE(Ends[0].Why_ == R.Why_);
  REQUIRE(Ends[0].IsAnswering_ == R.IsAnswering_);
  REQUIRE(Ends[0].IsReceiving_ == R.IsReceiving_);
  if (R.IsReceiving_)
    REQUIRE(findField(Ends[0].Headers_, "X-Id") != nullptr);
}
