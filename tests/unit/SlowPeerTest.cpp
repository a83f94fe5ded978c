// Endpoints that send without end, and callers that do not read, on loopback:
// what is held stays bounded.

#include "hawthornroad/http/ClientLink.h"
#include "tests/unit/ListenerFixture.h"

#include <catch2/catch.hpp>
#include <poll.h>
#include <thread>

using namespace hawthornroad;

namespace {
constexpr auto WaitLimit = std::chrono::seconds(20);
const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

// A link whose answer is dropped as it arrives.
struct LinkFixture {
  IoThread Io_{"test", 64};
  std::uint16_t Port_ = 0;
  RawSocket Listener_ = RawSocket::listenAt(Port_);
  std::shared_ptr<ClientLink> Link_;
  std::promise<std::string> Ended_;
  std::atomic<std::size_t> BodyBytes_{0};
  std::atomic<std::size_t> MostHeld_{0};

  explicit LinkFixture(ClientLink::Options O = {}) {
    Link_ = std::make_shared<ClientLink>(
        Io_.context(), "127.0.0.1:" + std::to_string(Port_), O);
  }
  ~LinkFixture() {
    run([&] { Link_->abandon(); });
    Io_.stop();
  }
  void run(const std::function<void()> &F) {
    std::promise<void> Done;
    Io_.submit([&] {
      F();
      Done.set_value();
    });
    Done.get_future().wait();
  }
  void send() {
    Io_.submit([this] {
      ClientLink::Events E;
      E.OnBody_ = [this](const std::string &Bytes) {
        BodyBytes_ += Bytes.size();
      };
      E.OnEnd_ = [this](bool) { Ended_.set_value(""); };
      E.OnFail_ = [this](const LinkFailure &F) {
        Ended_.set_value(F.Message_);
      };
      Link_->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi",
                  std::move(E));
    });
  }
  void noteHeld() {
    run([&] {
      MostHeld_ = std::max<std::size_t>(MostHeld_, Link_->heldBytes());
    });
  }
};
} // namespace

// Guards against a process that grows until it is killed: framing without an
// end was buffered whole.
TEST_CASE("client link, given framing without an end, fails with little held "
          "and closes",
          "[http][slow]") {
  struct Row {
    std::string Name_, Start_, Repeated_;
  };
  std::string Name =
      GENERATE(as<std::string>{}, "head line", "header fields", "header value",
               "interim heads", "chunk extension", "chunk extensions",
               "trailer fields", "trailer value", "chunk size");
  const std::string Long(1000, 'a');
  const std::vector<Row> Rows = {
      {"head line", "HTTP/1.1 200 ", Long},
      {"header fields", Ok, "X-A: " + Long + "\r\n"},
      {"header value", Ok + "X-A: ", Long},
      {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"chunk extension", Chunked + "1;a=", Long},
      {"chunk extensions", Chunked, "1;a=" + Long + "\r\nx\r\n"},
      {"trailer fields", Chunked + "1\r\nx\r\n0\r\n", "X-A: " + Long + "\r\n"},
      {"trailer value", Chunked + "1\r\nx\r\n0\r\nX-A: ", Long},
      {"chunk size", Chunked, std::string(1000, '0')}};
  const Row &R = *std::find_if(Rows.begin(), Rows.end(),
                               [&](const Row &E) { return E.Name_ == Name; });
  CAPTURE(R.Name_);
  LinkFixture F;
  F.send();
  RawSocket S = F.Listener_.accept();
  REQUIRE(S.readUntil("hi").ends_with("hi"));
  auto Ended = F.Ended_.get_future();
  constexpr std::size_t Enough = 64 * 1024 * 1024;
  bool IsClosed = !S.trySend(R.Start_);
  for (std::size_t Sent = 0; Sent < Enough && !IsClosed;
       Sent += R.Repeated_.size())
    IsClosed = !S.trySend(R.Repeated_);
  F.noteHeld();
  CHECK(IsClosed);
  CHECK(F.MostHeld_ < 100 * 1024);
  REQUIRE(Ended.wait_for(WaitLimit) == std::future_status::ready);
  REQUIRE_FALSE(Ended.get().empty());
  REQUIRE(F.Link_->isClosed());
}

// Guards against a limit that fails sound answers: short chunks have more
// framing than bytes.
TEST_CASE("client link, given an answer in chunks of one byte, receives it "
          "whole",
          "[http][slow]") {
  LinkFixture F;
  F.send();
  RawSocket S = F.Listener_.accept();
  S.readUntil("hi");
  constexpr std::size_t Count = 100'000;
  std::string Text = Chunked;
  for (std::size_t I = 0; I < Count; ++I)
    Text += "01\r\nx\r\n";
  S.send(Text + "0\r\nX-Sum: 1\r\n\r\n");
  REQUIRE(F.Ended_.get_future().get().empty());
  REQUIRE(F.BodyBytes_ == Count);
}

// Guards against reading on for a caller that does not read.
TEST_CASE("client link, paused, reads no further and keeps its peer waiting "
          "until it is resumed",
          "[http][slow]") {
  LinkFixture F;
  F.send();
  RawSocket S = F.Listener_.accept();
  S.readUntil("hi");
  S.send(Ok + "\r\nfirst");
  while (F.BodyBytes_ == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  F.run([&] { F.Link_->pause(); });
  constexpr std::size_t Size = 32 * 1024 * 1024;
  std::thread Server([&] {
    S.trySend(std::string(Size, 'x'));
    S.close();
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  std::size_t Delivered = F.BodyBytes_;
  CHECK(Delivered < 10'000);
  F.noteHeld();
  CHECK(F.MostHeld_ < 10'000);
  F.run([&] { F.Link_->resume(); });
  CHECK(F.Ended_.get_future().get().empty());
  Server.join();
  REQUIRE(F.BodyBytes_ == Size + 5);
}

// Guards against a pause that outlasts its answer, which would keep an idle
// connection from noticing its end.
TEST_CASE("client link, paused within the last bytes of its answer, notices "
          "the end of the connection",
          "[http][slow]") {
  LinkFixture F;
  std::promise<void> IdleEnd;
  F.run([&] { F.Link_->onIdleEnd([&] { IdleEnd.set_value(); }); });
  std::promise<void> Done;
  F.Io_.submit([&] {
    ClientLink::Events E;
    E.OnBody_ = [&](const std::string &) { F.Link_->pause(); };
    E.OnEnd_ = [&](bool) { Done.set_value(); };
    F.Link_->send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n", std::move(E));
  });
  RawSocket S = F.Listener_.accept();
  S.readUntil("\r\n\r\n");
  S.send(Ok + "Content-Length: 2\r\n\r\nhi");
  REQUIRE(Done.get_future().wait_for(WaitLimit) == std::future_status::ready);
  S.close();
  REQUIRE(IdleEnd.get_future().wait_for(WaitLimit) ==
          std::future_status::ready);
}

namespace {
// Streams to the latest caller while it is not held back.
struct StreamHandler final : SessionHandler {
  std::shared_ptr<ServerSession> S_;
  std::string Event_ = std::string(1000, 'e');
  std::atomic<std::size_t> Written_{0};
  std::atomic<std::size_t> MostHeld_{0};
  std::atomic<int> Drained_{0};
  std::atomic<int> Gone_{0};
  std::atomic<bool> Refuses_{false};
  std::vector<SessionEnd> Ends_;
  std::atomic<int> Requests_{0};
  std::string Answer_ = std::string(50'000, 'a');

  void onRequest(const std::shared_ptr<ServerSession> &S,
                 InboundRequest R) override {
    ++Requests_;
    S_ = S;
    if (R.Target_ != "/stream")
      return S->respond(200, {}, Answer_);
    S->begin(200, {});
  }
  void onCallerDisconnected(ServerSession &) override { ++Gone_; }
  void onDrained(ServerSession &) override { ++Drained_; }
  bool refusesBodies() const override { return Refuses_; }
  void onEnd(ServerSession &, const SessionEndReport &R) override {
    Ends_.push_back(R.Why_);
  }
  void note() { MostHeld_ = std::max<std::size_t>(MostHeld_, S_->heldBytes()); }
  void writeWhileFree(std::size_t Max) {
    while (!S_->heldBack() && Written_ < Max && S_->inRequest()) {
      S_->write(Event_);
      Written_ += Event_.size();
      note();
    }
  }
};

struct SlowCallerFixture {
  StreamHandler Handler_;
  IoThread Io_{"test", 64};
  std::shared_ptr<HttpListener> Listener_;
  std::uint16_t Port_ = 0;

  explicit SlowCallerFixture(SessionLimits L = {}) {
    Listener_ = std::make_shared<HttpListener>(Io_.context(), L, Handler_);
    std::string Bound = Listener_->open("127.0.0.1:0");
    Port_ = static_cast<std::uint16_t>(
        std::stoul(Bound.substr(Bound.rfind(':') + 1)));
  }
  ~SlowCallerFixture() {
    run([&] {
      Listener_->stopAccepting();
      Listener_->closeAll();
      Handler_.S_.reset();
    });
    Io_.stop();
  }
  void run(const std::function<void()> &F) {
    std::promise<void> Done;
    Io_.submit([&] {
      F();
      Done.set_value();
    });
    Done.get_future().wait();
  }
  bool waitFor(const std::function<bool()> &Is) {
    auto Until = std::chrono::steady_clock::now() + WaitLimit;
    while (!Is() && std::chrono::steady_clock::now() < Until)
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    return Is();
  }
  void startStream(const RawSocket &Caller) {
    Caller.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(waitFor([&] { return Handler_.Requests_ == 1; }));
  }
};
constexpr std::size_t StreamSize = 64 * 1024 * 1024;
} // namespace

// Guards against a stream that is buffered for its caller, or cut for being
// slow: its source waits instead.
TEST_CASE("server session, when its caller reads a stream late, holds it back "
          "and goes on once the caller has read",
          "[http][slow]") {
  SlowCallerFixture F;
  RawSocket Caller = RawSocket::connectTo(F.Port_);
  F.startStream(Caller);
  F.run([&] { F.Handler_.writeWhileFree(StreamSize); });
  std::size_t Before = F.Handler_.Written_;
  REQUIRE(Before < StreamSize);
  REQUIRE(F.Handler_.MostHeld_ < 140 * 1024);
  std::size_t Read = 0;
  while (F.Handler_.Drained_ == 0)
    Read += Caller.readSome(64 * 1024);
  F.run([&] {
    REQUIRE_FALSE(F.Handler_.S_->heldBack());
    F.Handler_.writeWhileFree(Before + 100'000);
    if (F.Handler_.Written_ >= Before + 100'000)
      F.Handler_.S_->finish();
  });
  REQUIRE(F.Handler_.Written_ > Before);
  REQUIRE(F.Handler_.Gone_ == 0);
  REQUIRE(Read > 0);
}

TEST_CASE("server session, when its caller takes nothing of its stream for the "
          "limit, disconnects it and says why",
          "[http][slow]") {
  SessionLimits L;
  L.StallLimit_ = Milliseconds(600);
  SlowCallerFixture F(L);
  RawSocket Caller = RawSocket::connectTo(F.Port_);
  F.startStream(Caller);
  F.run([&] { F.Handler_.writeWhileFree(StreamSize); });
  REQUIRE(F.waitFor([&] { return F.Handler_.Gone_ == 1; }));
  F.run([&] {
    REQUIRE(F.Handler_.Ends_ == std::vector<SessionEnd>{SessionEnd::Stalled});
  });
}

// Guards against disconnecting callers that are slow but read.
TEST_CASE(
    "server session, when its caller reads slowly, does not disconnect it",
    "[http][slow]") {
  SessionLimits L;
  L.StallLimit_ = Milliseconds(600);
  SlowCallerFixture F(L);
  RawSocket Caller = RawSocket::connectTo(F.Port_);
  F.startStream(Caller);
  // Not through the kernel's buffers, which hold seconds of it.
  for (int I = 0; I < 15; ++I) {
    F.run([&] { F.Handler_.writeWhileFree(StreamSize); });
    for (int Kb = 0; Kb < 1024; Kb += 64)
      Caller.readSome(64 * 1024);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  REQUIRE(F.Handler_.Gone_ == 0);
  REQUIRE(F.Handler_.MostHeld_ < 140 * 1024);
}

// Guards against disconnecting a caller that reads without a pause, but so
// slowly that the kernel accepts no more bytes for seconds.
TEST_CASE("server session, when its caller reads less than the kernel holds "
          "within the limit, does not disconnect it",
          "[http][slow]") {
  SessionLimits L;
  L.StallLimit_ = Milliseconds(1000);
  SlowCallerFixture F(L);
  RawSocket Caller = RawSocket::connectTo(F.Port_);
  F.startStream(Caller);
  F.run([&] { F.Handler_.writeWhileFree(StreamSize); });
  for (int I = 0; I < 200; ++I) {
    Caller.readSome(4096);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  REQUIRE(F.Handler_.Gone_ == 0);
}

// Guards against answers that pile up for a caller that sends requests and
// reads nothing, and against input that piles up behind a last answer.
TEST_CASE("server session, when its caller sends requests and reads no answer, "
          "holds a bounded number of bytes",
          "[http][slow]") {
  SlowCallerFixture F;
  std::string Request =
      GENERATE(as<std::string>{}, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
               "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  F.run([&] { F.Handler_.Answer_.assign(8'000'000, 'a'); });
  RawSocket Caller = RawSocket::connectTo(F.Port_);
  std::thread Sender([&] {
    for (int I = 0; I < 100'000 && Caller.trySend(Request + Request); ++I) {
    }
  });
  std::size_t Most = 0;
  for (int I = 0; I < 100; ++I) {
    F.run([&] {
      for (const auto &Each : F.Listener_->live())
        Most = std::max(Most, Each->heldBytes());
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(Most < 8'200'000);
  CHECK(F.Handler_.Requests_ < 3);
  F.run([&] { F.Listener_->closeAll(); });
  Sender.join();
}

TEST_CASE("server session, given a chunked request with framing without an "
          "end, refuses it with little held",
          "[http][slow]") {
  std::string Start = GENERATE(as<std::string>{}, "1;a=", "0\r\nX: ");
  SlowCallerFixture F;
  RawSocket Caller = RawSocket::connectTo(F.Port_);
  Caller.send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
              "\r\n" +
              Start);
  std::string Got;
  std::thread Reader([&] { Got = Caller.readUntil(""); });
  const std::string Long(1000, 'a');
  constexpr int Kilobytes = 32 * 1024;
  int Sent = 0;
  std::size_t Most = 0;
  while (Sent < Kilobytes && Caller.trySend(Long))
    if (++Sent % 1024 == 0)
      F.run([&] {
        for (const auto &Each : F.Listener_->live())
          Most = std::max(Most, Each->heldBytes());
      });
  CHECK(Most < 100 * 1024);
  F.run([&] { F.Listener_->closeAll(); });
  Reader.join();
  CHECK(Got.find(" 400 ") != std::string::npos);
}

// Guards against reading megabytes only to refuse them.
TEST_CASE("server session, while bodies are refused, answers 503 before the "
          "body has arrived and serves requests without one",
          "[http][slow]") {
  SlowCallerFixture F;
  F.Handler_.Refuses_ = true;
  RawSocket Caller = RawSocket::connectTo(F.Port_);
  Caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(Caller.readUntil("\r\n\r\n").find(" 200 ") != std::string::npos);
  RawSocket Other = RawSocket::connectTo(F.Port_);
  Other.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nx");
  std::string Got = Other.readUntil("");
  REQUIRE(Got.find(" 503 ") != std::string::npos);
  REQUIRE(Got.find("Connection: close") != std::string::npos);
  REQUIRE(F.Handler_.Requests_ == 1);
}
