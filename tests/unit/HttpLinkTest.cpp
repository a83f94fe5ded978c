// Persistent connections to endpoints and from callers, against raw sockets
// that misbehave as endpoints and callers may.

#include "hawthornroad/http/LinkPool.h"
#include "hawthornroad/runtime/Io.h"
#include "tests/unit/ListenerFixture.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace hawthornroad;

namespace {
constexpr auto WaitLimit = std::chrono::seconds(5);

struct LinkOutcome {
  unsigned Status_ = 0;
  std::string Body_;
  bool IsComplete_ = false;
  bool Failed_ = false;
  bool NeverSent_ = false;
  bool Reusable_ = false;
};

// Sends one request over L and returns how it ended.
LinkOutcome sendOver(IoThread &Io, const std::shared_ptr<ClientLink> &L) {
  auto Out = std::make_shared<LinkOutcome>();
  auto Done = std::make_shared<std::promise<void>>();
  auto Ended = Done->get_future();
  Io.submit([=] {
    ClientLink::Events E;
    E.OnHead_ = [=](unsigned Status, const HeaderFields &) {
      Out->Status_ = Status;
    };
    E.OnBody_ = [=](const std::string &Bytes) { Out->Body_ += Bytes; };
    E.OnEnd_ = [=](bool) {
      Out->IsComplete_ = true;
      Out->Reusable_ = L->isFree();
      Done->set_value();
    };
    E.OnFail_ = [=](const LinkFailure &F) {
      Out->Failed_ = true;
      Out->NeverSent_ = F.NeverSent_;
      Done->set_value();
    };
    L->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", E);
  });
  REQUIRE(Ended.wait_for(WaitLimit) == std::future_status::ready);
  return *Out;
}

void abandonAndWait(IoThread &Io, const std::shared_ptr<ClientLink> &L) {
  std::promise<void> Done;
  Io.submit([&] {
    L->abandon();
    Done.set_value();
  });
  Done.get_future().wait();
}
} // namespace

TEST_CASE("client link, given an answer in any framing, knows whether it is "
          "complete and whether the connection is reusable",
          "[http]") {
  struct Row {
    std::string Name_, Answer_;
    bool Reset_;
    bool IsComplete_, Reusable_;
    std::string Body_;
  };
  const std::string Ok = "HTTP/1.1 200 OK\r\n";
  for (const Row &R : std::vector<Row>{
           {"length", Ok + "Content-Length: 3\r\n\r\nabc", false, true, true,
            "abc"},
           {"chunked",
            Ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            false, true, true, "abc"},
           {"close announced",
            Ok + "Content-Length: 3\r\nConnection: close\r\n\r\nabc", false,
            true, false, "abc"},
           {"no length, orderly end", Ok + "\r\nabc", false, true, false,
            "abc"},
           {"no length, reset", Ok + "\r\nabc", true, false, false, ""},
           {"short of its length", Ok + "Content-Length: 9\r\n\r\nabc", false,
            false, false, ""},
           {"without last chunk",
            Ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false, false,
            false, ""},
           {"bytes beyond the answer",
            Ok + "Content-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n", false, true,
            false, "abc"},
           {"no answer at all", "nonsense\r\n\r\n", false, false, false, ""},
           {"interim first",
            "HTTP/1.1 100 Continue\r\n\r\n" + Ok +
                "Content-Length: 3\r\n\r\nabc",
            false, true, true, "abc"},
           {"empty", "", false, false, false, ""}}) {
    CAPTURE(R.Name_);
    std::uint16_t Port = 0;
    RawSocket Listener = RawSocket::listenAt(Port);
    IoThread Io("test", 64);
    auto L = std::make_shared<ClientLink>(Io.context(),
                                          "127.0.0.1:" + std::to_string(Port),
                                          ClientLink::Options{});
    std::thread Server([&] {
      RawSocket S = Listener.accept();
      S.readUntil("hi");
      if (!R.Answer_.empty())
        S.send(R.Answer_);
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
      if (R.Reset_)
        S.reset();
      else if (!R.Reusable_)
        S.close();
      else
        S.readUntil("never");
    });
    LinkOutcome Out = sendOver(Io, L);
    REQUIRE(Out.IsComplete_ == R.IsComplete_);
    REQUIRE(Out.Failed_ == !R.IsComplete_);
    REQUIRE_FALSE(Out.NeverSent_);
    if (R.IsComplete_) {
      REQUIRE(Out.Body_ == R.Body_);
      REQUIRE(Out.Reusable_ == R.Reusable_);
    }
    abandonAndWait(Io, L);
    Server.join();
  }
}

// Guards against a parser that is continued with less of a last chunk than it
// requires: builds with assertions ended.
TEST_CASE("client link, given the last chunk in any pieces, completes the "
          "answer",
          "[http]") {
  const std::string Start = "HTTP/1.1 200 OK\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Body = GENERATE(as<std::string>(), "", "2\r\nhi\r\n");
  const std::string End = "0\r\n\r\n";
  auto First = GENERATE(range<std::size_t>(0, 5));
  auto Second = GENERATE(range<std::size_t>(1, 5));
  CAPTURE(Body, First, Second);
  std::vector<std::string> Parts = {Start + Body + End.substr(0, First),
                                    End.substr(First, Second)};
  if (First + Second < End.size())
    Parts.push_back(End.substr(First + Second));
  std::uint16_t Port = 0;
  RawSocket Listener = RawSocket::listenAt(Port);
  IoThread Io("test", 64);
  auto L = std::make_shared<ClientLink>(
      Io.context(), "127.0.0.1:" + std::to_string(Port), ClientLink::Options{});
  std::thread Server([&] {
    RawSocket S = Listener.accept();
    S.readUntil("hi");
    for (const std::string &Each : Parts) {
      S.trySend(Each);
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    S.readUntil("never");
  });
  LinkOutcome Out = sendOver(Io, L);
  CHECK(Out.IsComplete_);
  CHECK(Out.Reusable_);
  CHECK(Out.Body_ == (Body.empty() ? "" : "hi"));
  abandonAndWait(Io, L);
  Server.join();
}

TEST_CASE("client link, when nobody listens, says that nothing was sent",
          "[http]") {
  std::uint16_t Port = 0;
  RawSocket::listenAt(Port).close();
  IoThread Io("test", 64);
  auto L = std::make_shared<ClientLink>(
      Io.context(), "127.0.0.1:" + std::to_string(Port), ClientLink::Options{});
  LinkOutcome Out = sendOver(Io, L);
  REQUIRE(Out.Failed_);
  REQUIRE(Out.NeverSent_);
}

// Guards against a request that was given up and whose rest is still sent: its
// endpoint would run it later, beside the attempt that replaced it.
// Guards against a deadline that is stated before the connection is up, and so
// ends too late.
TEST_CASE("client link, given a text to be made late, makes it once the "
          "connection is up",
          "[http]") {
  std::uint16_t Port = 0;
  RawSocket Listener = RawSocket::listenAt(Port);
  IoThread Io("test", 64);
  auto L = std::make_shared<ClientLink>(
      Io.context(), "127.0.0.1:" + std::to_string(Port), ClientLink::Options{});
  auto Exchange = [&](std::string Target, const std::function<void()> &Answer) {
    std::promise<bool> MadeAtOnce;
    auto Ended = std::make_shared<std::promise<void>>();
    auto Made = std::make_shared<bool>(false);
    Io.submit([&] {
      ClientLink::Events E;
      E.OnEnd_ = [Ended](bool) { Ended->set_value(); };
      L->sendOnceConnected(
          [Made, Target] {
            *Made = true;
            return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n\r\n";
          },
          E);
      MadeAtOnce.set_value(*Made);
    });
    bool Result = MadeAtOnce.get_future().get();
    Answer();
    REQUIRE(Ended->get_future().wait_for(WaitLimit) ==
            std::future_status::ready);
    CHECK(*Made);
    return Result;
  };
  RawSocket S = RawSocket();
  CHECK_FALSE(Exchange("/new", [&] {
    S = Listener.accept();
    CHECK(S.readUntil("\r\n\r\n").starts_with("GET /new "));
    S.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }));
  CHECK(Exchange("/kept", [&] {
    CHECK(S.readUntil("\r\n\r\n").starts_with("GET /kept "));
    S.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }));
}

TEST_CASE(
    "client link, abandoned while its peer reads slowly, sends nothing of "
    "the request any more",
    "[http]") {
  constexpr std::size_t Size = 1 << 20;
  std::uint16_t Port = 0;
  RawSocket Listener = RawSocket::listenAt(Port);
  IoThread Io("test", 64);
  auto L = std::make_shared<ClientLink>(
      Io.context(), "127.0.0.1:" + std::to_string(Port), ClientLink::Options{});
  Io.submit([&] {
    L->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                std::to_string(Size) + "\r\n\r\n" + std::string(Size, 'a'),
            {});
  });
  RawSocket S = Listener.accept();
  std::size_t Received = S.readUntil("aaaa").size();
  abandonAndWait(Io, L);
  Received += S.readUntil("").size();
  REQUIRE(Received < Size);
}

// Guards against ending an attempt by a reset that its endpoint has received
// whole: a lost reset would not be sent again, and the endpoint works on.
TEST_CASE("client link, abandoned after its request was received, closes in "
          "order",
          "[http]") {
  std::uint16_t Port = 0;
  RawSocket Listener = RawSocket::listenAt(Port);
  IoThread Io("test", 64);
  auto L = std::make_shared<ClientLink>(
      Io.context(), "127.0.0.1:" + std::to_string(Port), ClientLink::Options{});
  Io.submit([&] {
    L->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", {});
  });
  RawSocket S = Listener.accept();
  REQUIRE(S.readUntil("hi").ends_with("hi"));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  abandonAndWait(Io, L);
  REQUIRE(S.isClosedInOrder());
}

// Guards against answering a request with stale bytes: an endpoint that sends a
// second answer after the first must not have it taken for the next request's.
TEST_CASE("link pool, when bytes arrive on an idle connection, never reuses it",
          "[http]") {
  std::uint16_t Port = 0;
  RawSocket Listener = RawSocket::listenAt(Port);
  IoThread Io("test", 64);
  auto Pool = std::make_shared<LinkPool>(Io.context(), LinkPool::Options{});
  std::string Address = "127.0.0.1:" + std::to_string(Port);
  std::thread Server([&] {
    RawSocket First = Listener.accept();
    First.readUntil("hi");
    First.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    First.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    RawSocket Second = Listener.accept();
    Second.readUntil("hi");
    Second.send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
    Second.readUntil("never");
  });
  auto Take = [&] {
    std::promise<std::shared_ptr<ClientLink>> Got;
    Io.submit([&] { Got.set_value(Pool->take("i-1", Address)); });
    return Got.get_future().get();
  };
  auto L1 = Take();
  REQUIRE(sendOver(Io, L1).Body_ == "a");
  Io.submit([&] { Pool->putBack("i-1", L1); });
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  auto L2 = Take();
  REQUIRE(L2 != L1);
  REQUIRE(sendOver(Io, L2).Body_ == "b");
  REQUIRE(Pool->opened() == 2);
  abandonAndWait(Io, L2);
  Server.join();
  Io.stop();
}

TEST_CASE("link pool, when an endpoint announces its idle timeout, reuses no "
          "connection that is close to it",
          "[http]") {
  struct Row {
    std::string KeepAlive_;
    int PauseMs_;
    std::uint64_t Opened_;
  };
  for (const Row &R : {Row{"Keep-Alive: timeout=5\r\n", 900, 1},
                       Row{"Keep-Alive: timeout=1\r\n", 750, 2},
                       Row{"", 300, 1}, Row{"", 850, 2}}) {
    CAPTURE(R.KeepAlive_, R.PauseMs_);
    std::uint16_t Port = 0;
    RawSocket Listener = RawSocket::listenAt(Port);
    IoThread Io("test", 64);
    LinkPool Pool(Io.context(), LinkPool::Options{});
    std::string Address = "127.0.0.1:" + std::to_string(Port);
    std::thread Server([&] {
      std::vector<RawSocket> Open;
      for (std::uint64_t N = 0; N < R.Opened_; ++N) {
        Open.push_back(Listener.accept());
        std::size_t Answers = R.Opened_ == 1 ? 2 : 1;
        for (std::size_t A = 0; A < Answers; ++A) {
          Open.back().readUntil("hi");
          Open.back().send("HTTP/1.1 200 OK\r\n" + R.KeepAlive_ +
                           "Content-Length: 1\r\n\r\na");
        }
      }
      Open.back().readUntil("never");
    });
    std::shared_ptr<ClientLink> Last;
    for (int N = 0; N < 2; ++N) {
      std::promise<std::shared_ptr<ClientLink>> Got;
      Io.submit([&] { Got.set_value(Pool.take("i-1", Address)); });
      Last = Got.get_future().get();
      REQUIRE(sendOver(Io, Last).Body_ == "a");
      if (N == 0) {
        Io.submit([&] { Pool.putBack("i-1", Last); });
        std::this_thread::sleep_for(std::chrono::milliseconds(R.PauseMs_));
      }
    }
    REQUIRE(Pool.opened() == R.Opened_);
    abandonAndWait(Io, Last);
    Server.join();
    Io.stop();
  }
}

// The same, for a request.
TEST_CASE("server session, given the last chunk in any pieces, answers the "
          "request",
          "[http]") {
  const std::string End = "0\r\n\r\n";
  auto First = GENERATE(range<std::size_t>(0, 5));
  auto Second = GENERATE(range<std::size_t>(1, 5));
  CAPTURE(First, Second);
  ListenerFixture F;
  RawSocket S = RawSocket::connectTo(F.Port_);
  S.send("POST /echo HTTP/1.1\r\nHost: h\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         End.substr(0, First));
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  S.send(End.substr(First, Second));
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  if (First + Second < End.size())
    S.send(End.substr(First + Second));
  CHECK(S.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
}

TEST_CASE("server session, given requests in any framing, answers each on the "
          "same connection",
          "[http]") {
  ListenerFixture F;
  RawSocket S = RawSocket::connectTo(F.Port_);
  S.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
  REQUIRE(S.readUntil("hi").find("200 OK") != std::string::npos);
  S.send("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nyo\r\n0\r\n\r\n");
  REQUIRE(S.readUntil("yo").find("/b") != std::string::npos);
  S.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(S.readUntil("0\r\n\r\n").find("3\r\none\r\n3\r\ntwo\r\n") !=
          std::string::npos);
  // Two pipelined requests: the second is answered after the first.
  S.send(
      "GET /c HTTP/1.1\r\nHost: h\r\n\r\nGET /d HTTP/1.1\r\nHost: h\r\n\r\n");
  std::string Both = S.readUntil("/d");
  REQUIRE(Both.find("/c") < Both.find("/d"));
}

TEST_CASE("server session, given a malformed request, refuses with the right "
          "status and closes",
          "[http]") {
  struct Row {
    std::string Name_, Sent_, Status_;
  };
  SessionLimits L;
  L.HeaderBytes_ = 400;
  L.BodyBytes_ = 10;
  L.HeaderTimeout_ = Milliseconds(300);
  for (const Row &R : std::vector<Row>{
           {"nonsense", "nonsense\r\n\r\n", " 400 "},
           {"long headers",
            "GET / HTTP/1.1\r\nX: " + std::string(800, 'a') + "\r\n\r\n",
            " 431 "},
           {"long body", "POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n",
            " 413 "},
           {"two lengths",
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            " 400 "},
           {"slow headers", "GET / HTTP/1.1\r\nHo", " 408 "}}) {
    CAPTURE(R.Name_);
    ListenerFixture F(L);
    RawSocket S = RawSocket::connectTo(F.Port_);
    S.send(R.Sent_);
    std::string Got = S.readUntil("");
    REQUIRE(Got.find(R.Status_) != std::string::npos);
    REQUIRE(Got.find("Connection: close") != std::string::npos);
    REQUIRE(F.Handler_.Requests_ == 0);
  }
}

TEST_CASE("server session, when its caller disconnects during a request, "
          "notifies its handler at once",
          "[http]") {
  ListenerFixture F;
  RawSocket S = RawSocket::connectTo(F.Port_);
  S.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
  while (F.Handler_.Requests_ == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  S.close();
  auto Until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(500);
  while (F.Handler_.Disconnects_ == 0 &&
         std::chrono::steady_clock::now() < Until)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  REQUIRE(F.Handler_.Disconnects_ == 1);
}

TEST_CASE(
    "server session, when an answer is aborted, does not make it look complete",
    "[http]") {
  ListenerFixture F;
  RawSocket S = RawSocket::connectTo(F.Port_);
  S.send("GET /abort HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(S.readUntil("").find("0\r\n\r\n") == std::string::npos);
}

// Planned shutdown: a caller that does not know of it sends one more request on
// its persistent connection. The answer says that the connection closes.
TEST_CASE("server session, when the process is draining, answers a next "
          "request and closes the connection after it",
          "[http]") {
  ListenerFixture F;
  RawSocket S = RawSocket::connectTo(F.Port_);
  S.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(S.readUntil("/a\r\n").find("close") == std::string::npos);
  std::promise<void> Done;
  F.Io_.submit([&] {
    F.Listener_->drainAll();
    Done.set_value();
  });
  Done.get_future().wait();
  S.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  std::string Got = S.readUntil("");
  REQUIRE(Got.find("/b") != std::string::npos);
  REQUIRE(Got.find("Connection: close") != std::string::npos);
}
