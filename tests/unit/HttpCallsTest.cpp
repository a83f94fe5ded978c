// HTTP calls to one server that answers as slowly as over a saturated link.

#include "hawthornroad/http/HttpCalls.h"
#include "hawthornroad/runtime/Io.h"
#include "tests/unit/RawSocket.h"

#include <atomic>
#include <future>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

using namespace hawthornroad;

namespace {
constexpr auto WaitLimit = std::chrono::seconds(5);
constexpr std::size_t MaxBody = 1024;
} // namespace

// Guards against reads that never complete: thirty entries read one long
// configuration over one link between regions. Each answer arrived steadily,
// but not completely within the limit, so the readers aborted and restarted;
// one entry had the configuration only 17 s after the store was back.
TEST_CASE("calls to one server, given a slow answer, limit each gap and the "
          "whole call separately",
          "[http]") {
  using std::chrono::milliseconds;
  struct Row {
    std::string Name_;
    milliseconds MaxTotal_;
    int Sent_;
    bool IsComplete_;
  };
  constexpr int Pieces = 5;
  constexpr milliseconds Gap(120);
  constexpr milliseconds Limit(300);
  for (const Row &R : std::vector<Row>{
           {"limit on the whole call", milliseconds(0), Pieces, false},
           {"limit on each gap", milliseconds(4000), Pieces, true},
           {"silent midway", milliseconds(4000), 2, false},
           {"call takes too long", milliseconds(400), Pieces, false}}) {
    INFO(R.Name_);
    std::uint16_t Port = 0;
    RawSocket Listener = RawSocket::listenAt(Port);
    IoThread Io("test", 64);
    HttpCalls::Options O;
    O.TotalLimit_ = R.MaxTotal_;
    HttpCalls Calls(Io.context(), "127.0.0.1:" + std::to_string(Port), O);
    std::promise<void> ServerMayEnd;
    std::thread Server([&] {
      RawSocket S = Listener.accept();
      S.readUntil("\r\n\r\n");
      S.send("HTTP/1.1 200 OK\r\nX-Stated: 7\r\nContent-Length: " +
             std::to_string(Pieces) + "\r\n\r\n");
      for (int I = 0; I < R.Sent_; ++I) {
        std::this_thread::sleep_for(Gap);
        S.trySend("x");
      }
      ServerMayEnd.get_future().wait_for(WaitLimit);
    });
    std::promise<HttpCalls::Result> Got;
    Io.submit([&] {
      HttpMessage M;
      M.Method_ = "GET";
      M.Target_ = "/";
      Calls.call(M, {Limit, MaxBody}, [&](HttpCalls::Result Answer) {
        Got.set_value(std::move(Answer));
      });
    });
    auto Future = Got.get_future();
    REQUIRE(Future.wait_for(WaitLimit) == std::future_status::ready);
    HttpCalls::Result Answer = Future.get();
    ServerMayEnd.set_value();
    Server.join();
    Io.stop();
    const auto *Complete = std::get_if<HttpAnswer>(&Answer);
    REQUIRE((Complete != nullptr) == R.IsComplete_);
    if (Complete == nullptr)
      continue;
    REQUIRE(Complete->Body_ == std::string(Pieces, 'x'));
    const std::string *Stated = findField(Complete->Headers_, "X-Stated");
    REQUIRE(Stated != nullptr);
    REQUIRE(*Stated == "7");
  }
}

// Guards against long answers that nobody waits for any more and that saturate
// the link: the server must see its connection close.
TEST_CASE("calls to one server, cancelled while the answer arrives, close the "
          "connection and give no result",
          "[http]") {
  std::uint16_t Port = 0;
  RawSocket Listener = RawSocket::listenAt(Port);
  IoThread Io("test", 64);
  HttpCalls Calls(Io.context(), "127.0.0.1:" + std::to_string(Port), {});
  std::promise<void> Begun;
  std::promise<bool> SawEnd;
  std::thread Server([&] {
    RawSocket S = Listener.accept();
    S.readUntil("\r\n\r\n");
    S.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nx");
    Begun.set_value();
    SawEnd.set_value(S.readUntil("never").empty());
  });
  std::atomic<bool> HasResult{false};
  HttpCalls::Cancel Cancel;
  Io.submit([&] {
    HttpMessage M;
    M.Method_ = "GET";
    M.Target_ = "/";
    Cancel = Calls.call(M, {WaitLimit, MaxBody},
                        [&](const HttpCalls::Result &) { HasResult = true; });
  });
  Begun.get_future().wait();
  std::promise<void> Done;
  Io.submit([&] {
    Cancel();
    Cancel();
    Done.set_value();
  });
  Done.get_future().wait();
  auto End = SawEnd.get_future();
  // The socket's own read timeout is longer than this.
  REQUIRE(End.wait_for(std::chrono::seconds(2)) == std::future_status::ready);
  REQUIRE(End.get());
  Server.join();
  Io.stop();
  REQUIRE_FALSE(HasResult);
}

// Guards against a call that owns its connection while the connection's events
// own the call: neither was released when a process ended with a call in
// progress, such as a feed of the store.
TEST_CASE("calls to one server, when their thread ends with a call in "
          "progress, release the call and its callback",
          "[http]") {
  auto Token = std::make_shared<int>(0);
  std::weak_ptr<int> Held = Token;
  {
    std::uint16_t Port = 0;
    RawSocket Listener = RawSocket::listenAt(Port);
    IoThread Io("test", 64);
    HttpCalls Calls(Io.context(), "127.0.0.1:" + std::to_string(Port), {});
    Io.submit([&Calls, Token = std::exchange(Token, nullptr)] {
      HttpMessage M;
      M.Method_ = "GET";
      M.Target_ = "/";
      Calls.call(M, {WaitLimit, MaxBody},
                 [Token](const HttpCalls::Result &) {});
    });
    RawSocket Server = Listener.accept();
    Server.readUntil("\r\n\r\n");
    Io.stop();
    CHECK_FALSE(Held.expired());
  }
  CHECK(Held.expired());
}

// Guards against a faulty server that sends without end: answers are collected
// in memory, and that of the whole process was used up.
TEST_CASE("calls to one server, given an answer longer than the call accepts, "
          "fail and close the connection at the limit",
          "[http]") {
  struct Row {
    std::string Name_;
    std::string Head_;
    // Each sent over and over, up to Times_ times.
    std::string Part_;
    std::size_t Times_ = 0;
    bool IsComplete_ = false;
  };
  const std::string Kilobyte(1024, 'x');
  constexpr std::size_t Endless = 64 * 1024;
  for (const Row &R : std::vector<Row>{
           {"as long as accepted", "Content-Length: 1024\r\n\r\n", Kilobyte, 1,
            true},
           {"a length beyond it", "Content-Length: 1025\r\n\r\n", "", 0, false},
           {"ends with the connection", "\r\n", Kilobyte, Endless, false},
           {"in chunks", "Transfer-Encoding: chunked\r\n\r\n",
            "400\r\n" + Kilobyte + "\r\n", Endless, false},
           {"an endless head", "X-A: ", Kilobyte, Endless, false}}) {
    INFO(R.Name_);
    std::uint16_t Port = 0;
    RawSocket Listener = RawSocket::listenAt(Port);
    IoThread Io("test", 64);
    HttpCalls Calls(Io.context(), "127.0.0.1:" + std::to_string(Port), {});
    std::atomic<std::size_t> Sent{0};
    std::thread Server([&] {
      RawSocket S = Listener.accept();
      S.readUntil("\r\n\r\n");
      S.trySend("HTTP/1.1 200 OK\r\n" + R.Head_);
      while (Sent < R.Times_ && S.trySend(R.Part_))
        ++Sent;
      // Waits for the end of the connection.
      if (!R.IsComplete_)
        S.readUntil("");
    });
    std::promise<HttpCalls::Result> Got;
    Io.submit([&] {
      HttpMessage M;
      M.Method_ = "GET";
      M.Target_ = "/";
      Calls.call(M, {WaitLimit, MaxBody}, [&](HttpCalls::Result Answer) {
        Got.set_value(std::move(Answer));
      });
    });
    auto Future = Got.get_future();
    REQUIRE(Future.wait_for(WaitLimit) == std::future_status::ready);
    Server.join();
    std::promise<HttpCalls::Counters> Counted;
    Io.submit([&] { Counted.set_value(Calls.counters()); });
    HttpCalls::Counters C = Counted.get_future().get();
    Io.stop();
    CHECK(std::holds_alternative<HttpAnswer>(Future.get()) == R.IsComplete_);
    CHECK(C.BytesReceived_ <= MaxBody);
    CHECK(Sent <= (R.IsComplete_ ? R.Times_ : Endless - 1));
  }
}

// Guards against an order that is taken for accepted by a late second copy of
// the answer to another call.
TEST_CASE("calls to one server, that sends each answer twice, get their own "
          "answer on a new connection",
          "[http]") {
  std::uint16_t Port = 0;
  RawSocket Listener = RawSocket::listenAt(Port);
  IoThread Io("test", 64);
  HttpCalls Calls(Io.context(), "127.0.0.1:" + std::to_string(Port), {});
  auto AnswerNumber = [](int Number) {
    return "HTTP/1.1 " + std::to_string(200 + Number) +
           " -\r\nContent-Length: 0\r\n\r\n";
  };
  std::atomic<int> Received{0};
  // Each connection: the copy of the answer before comes first.
  auto Serve = [&](const RawSocket &S) {
    std::string Copy;
    while (!S.readUntil("\r\n\r\n").empty()) {
      std::string Own = AnswerNumber(Received++);
      S.trySend(Copy + Own);
      Copy = Own;
    }
  };
  std::vector<std::thread> Connections;
  std::thread Server([&] {
    for (RawSocket S = Listener.accept(); S.handle() >= 0;
         S = Listener.accept())
      Connections.emplace_back([&Serve, S = std::move(S)] { Serve(S); });
  });
  auto StatusOf = [&](bool NeedsNewConnection) {
    std::promise<unsigned> Status;
    Io.submit([&] {
      Calls.call({}, {WaitLimit, MaxBody, NeedsNewConnection},
                 [&](HttpCalls::Result R) {
                   const auto *A = std::get_if<HttpAnswer>(&R);
                   Status.set_value(A != nullptr ? A->Status_ : 0);
                 });
    });
    return Status.get_future().get();
  };
  CHECK(StatusOf(false) == 200);
  // On the connection of the first call it would be that one's.
  CHECK(StatusOf(true) == 201);
  CHECK(StatusOf(true) == 202);
  // Its connection is not used again.
  CHECK(StatusOf(false) == 200);
  Io.stop();
  ::shutdown(Listener.handle(), SHUT_RDWR);
  Server.join();
  for (std::thread &Each : Connections)
    Each.join();
}
