#include "hawthornroad/base/Ring.h"
#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/runtime/Actor.h"
#include "hawthornroad/runtime/DecisionLoop.h"
#include "hawthornroad/runtime/Http.h"
#include "hawthornroad/runtime/Metrics.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace hawthornroad;

namespace {
constexpr auto WaitTimeout = Seconds(10);

template <class T> T await(std::future<T> &Future) {
  REQUIRE(Future.wait_for(WaitTimeout) == std::future_status::ready);
  return Future.get();
}

// What the receiver learned about a frame and its sender.
struct ReceivedFrame {
  wire::Body Body_ = wire::Body::NONE;
  ProcessName Process_;
  Lane Lane_ = Lane::Control;
  bool operator==(const ReceivedFrame &) const = default;
};

// A server and a client on one loopback thread.
struct HttpFixture {
  IoThread Io_{"http-test", 1024};
  HttpClient Client_{Io_};

  HttpResult call(std::uint16_t Port, HttpRequest R) {
    std::promise<HttpResult> Promise;
    auto Future = Promise.get_future();
    auto Call = Client_.call(
        "127.0.0.1:" + std::to_string(Port), std::move(R), {},
        {.OnDone_ = [&](HttpResult Result) { Promise.set_value(Result); }});
    return await(Future);
  }
};
} // namespace

TEST_CASE("ring, when full, refuses and leaves the item", "[ring]") {
  Ring<std::string> R(2);
  REQUIRE(R.tryPush("a"));
  REQUIRE(R.tryPush("b"));
  std::string Third = "c";
  REQUIRE_FALSE(R.tryPush(std::move(Third)));
  REQUIRE(Third == "c");
  REQUIRE(R.tryPop() == "a");
  REQUIRE(R.tryPush(std::move(Third)));
  REQUIRE(R.tryPop() == "b");
  REQUIRE(R.tryPop() == "c");
  REQUIRE_FALSE(R.tryPop().has_value());
}

TEST_CASE("actor, under the manual clock, ticks only when time is advanced",
          "[actor]") {
  ActorSystem System(ActorSystem::Mode::Manual);
  std::vector<TimePoint> Ticks;
  Actor A(System, {.Name_ = "test",
                   .TickPeriod_ = Milliseconds(100),
                   .OnTick_ = [&](TimePoint Now) { Ticks.push_back(Now); }});
  System.advance(Milliseconds(99));
  REQUIRE(Ticks.empty());
  System.advance(Milliseconds(1));
  REQUIRE(Ticks.size() == 1);
  System.advance(Milliseconds(100));
  REQUIRE(Ticks.size() == 2);
  REQUIRE(Ticks[1] - Ticks[0] == Milliseconds(100));
}

TEST_CASE("decision loop runs posted work in order on its own thread",
          "[loop]") {
  ActorSystem System;
  DecisionLoop Loop(System, "loop", Milliseconds(5), 1024);
  std::vector<int> Seen;
  std::promise<void> Done;
  for (int I = 0; I < 100; ++I)
    REQUIRE(Loop.post([&, I](TimePoint) {
      Seen.push_back(I);
      if (I == 99)
        Done.set_value();
    }));
  auto Future = Done.get_future();
  await(Future);
  for (int I = 0; I < 100; ++I)
    REQUIRE(Seen[I] == I);
}

TEST_CASE_METHOD(HttpFixture, "http server answers whole and streamed bodies",
                 "[http]") {
  HttpServer Server(Io_, {},
                    [](HttpRequest R, std::shared_ptr<HttpExchange> X) {
                      if (R.Target_ == "/whole") {
                        X->respond(jsonResponse(200, R.Body_));
                        return;
                      }
                      X->head(200, {{"Content-Type", "text/plain"}});
                      X->write("one ");
                      X->write("two");
                      X->finish();
                    });
  std::uint16_t Port = Server.listen("127.0.0.1", 0);
  HttpResult Whole =
      call(Port, {.Method_ = "POST", .Target_ = "/whole", .Body_ = "{}"});
  REQUIRE(Whole.Response_);
  REQUIRE(Whole.Response_->Body_ == "{}");
  HttpResult Streamed = call(Port, {.Target_ = "/stream"});
  REQUIRE(Streamed.Response_);
  REQUIRE(Streamed.Response_->Body_ == "one two");
}

TEST_CASE_METHOD(
    HttpFixture,
    "http body that the server aborts is an error, never a shorter body",
    "[http]") {
  HttpServer Server(Io_, {}, [](HttpRequest, std::shared_ptr<HttpExchange> X) {
    X->head(200, {});
    X->write("half");
    X->abort();
  });
  std::uint16_t Port = Server.listen("127.0.0.1", 0);
  HttpResult Result = call(Port, {});
  REQUIRE_FALSE(Result.Response_);
  REQUIRE(Result.Error_);
  REQUIRE(Result.Sent_);
}

TEST_CASE_METHOD(
    HttpFixture,
    "http client, when nothing listens, reports that nothing was sent",
    "[http]") {
  std::uint16_t Port = 0;
  {
    HttpServer ClosedServer(Io_, {},
                            [](HttpRequest, std::shared_ptr<HttpExchange>) {});
    Port = ClosedServer.listen("127.0.0.1", 0);
    std::promise<void> Closed;
    auto Future = Closed.get_future();
    ClosedServer.closeListener();
    Io_.submit([&] { Closed.set_value(); });
    await(Future);
  }
  HttpResult Result = call(Port, {});
  REQUIRE(Result.Error_);
  REQUIRE(Result.Error_->step() == Step::Connect);
  REQUIRE_FALSE(Result.Sent_);
}

TEST_CASE_METHOD(HttpFixture, "http request above a limit gets a clear problem",
                 "[http]") {
  HttpServer Server(
      Io_, {.MaxBody_ = 16},
      [](HttpRequest, std::shared_ptr<HttpExchange> X) { X->respond({}); });
  std::uint16_t Port = Server.listen("127.0.0.1", 0);
  HttpResult Result = call(
      Port, {.Method_ = "POST", .Target_ = "/", .Body_ = std::string(64, 'x')});
  REQUIRE(Result.Response_);
  REQUIRE(Result.Response_->Status_ == 413);
  REQUIRE(findHeader(Result.Response_->Headers_, "hawthornroad-outcome") ==
          "not-run");
}

TEST_CASE("peer net carries a frame and its reply between two processes",
          "[peernet]") {
  IoThread Io("peers", 1024);
  std::promise<ReceivedFrame> Asked;
  std::promise<std::string> Got;
  PeerNet *ServerNet = nullptr;
  PeerNet Server(
      Io, {.Process_ = ProcessName("b"), .Incarnation_ = 2}, {},
      {.OnFrame_ = [&](const PeerContext &From, const wire::Frame &F) {
        // Catch2's assertions belong to the test's own thread.
        Asked.set_value({F.body_type(), From.Process_, From.Lane_});
        wire::ConfigPushT Push;
        Push.snapshot_revision = F.body_as_ConfigPull()->after() + 1;
        ServerNet->reply(From.Connection_, makeFrame(std::move(Push)));
      }});
  ServerNet = &Server;
  std::uint16_t Port = Server.listen("127.0.0.1", 0);
  PeerNet Client(
      Io, {.Process_ = ProcessName("a"), .Incarnation_ = 1}, {},
      {.OnFrame_ = [&](const PeerContext &From, const wire::Frame &F) {
        Got.set_value(
            From.Process_.str() + " " +
            std::to_string(F.body_as_ConfigPush()->snapshot_revision()));
      }});
  wire::ConfigPullT Pull;
  Pull.after = 41;
  REQUIRE(Client.send(PeerAddress("127.0.0.1:" + std::to_string(Port)),
                      Lane::Requests, makeFrame(std::move(Pull))));
  auto ReplyReceived = Asked.get_future();
  REQUIRE(await(ReplyReceived) == ReceivedFrame{wire::Body::ConfigPull,
                                                ProcessName("a"),
                                                Lane::Requests});
  auto Future = Got.get_future();
  REQUIRE(await(Future) == "b 42");
  Io.stop();
}

TEST_CASE("peer net reports a peer that cannot be reached", "[peernet]") {
  IoThread Io("peers", 1024);
  std::promise<Step> Lost;
  PeerNet Client(
      Io, {.Process_ = ProcessName("a")}, {},
      {.OnFrame_ = [](const PeerContext &, const wire::Frame &) {},
       .OnLost_ = [&](const PeerContext &,
                      const Error &E) { Lost.set_value(E.step()); }});
  REQUIRE(Client.send(PeerAddress("127.0.0.1:1"), Lane::Control,
                      makeFrame(wire::PingT())));
  auto Future = Lost.get_future();
  REQUIRE(await(Future) == Step::Connect);
  Io.stop();
}

// An entry marks a call as begun once its frame is on a connection. If the
// refused connect is reported before the mark, the loss names no call, and the
// caller gets the outcome "unknown" for a call that was never sent.
TEST_CASE("peer net, its connect refused, reports the loss after the mark of "
          "the frame",
          "[peernet]") {
  IoThread Io("peers", 1024);
  std::vector<std::string> Order;
  std::promise<void> Lost;
  PeerNet Client(Io, {.Process_ = ProcessName("a")}, {},
                 {.OnFrame_ = [](const PeerContext &, const wire::Frame &) {},
                  .OnLost_ =
                      [&](const PeerContext &, const Error &) {
                        Order.push_back("lost");
                        Lost.set_value();
                      }});
  REQUIRE(Client.send(PeerAddress("127.0.0.1:1"), Lane::Requests,
                      makeFrame(wire::PingT()),
                      [&] { Order.push_back("mark"); }));
  auto Future = Lost.get_future();
  REQUIRE(Future.wait_for(WaitTimeout) == std::future_status::ready);
  REQUIRE(Order == std::vector<std::string>{"mark", "lost"});
  Io.stop();
}

// An entry sends a call to an agent that was killed just before. The caller got
// the outcome "unknown" although the agent was already dead: the kernel had the
// closed connection, but the busy peers' thread had not processed it yet.
TEST_CASE("peer net, its peer dead and the end not yet read, reports that the "
          "frame was not sent",
          "[peernet]") {
  IoThread Io("peers", 1024);
  auto ServerIo = std::make_unique<IoThread>("server", 1024);
  // The server must send no ping before it ends.
  PeerNet::Limits NoPings;
  NoPings.PingAfter_ = NoPings.DeadAfter_ = Seconds(60);
  PeerNet *ServerNet = nullptr;
  auto Server = std::make_unique<PeerNet>(
      *ServerIo, PeerNet::Self{.Process_ = ProcessName("b")}, NoPings,
      PeerNet::Callbacks{
          .OnFrame_ = [&](const PeerContext &From, const wire::Frame &) {
            ServerNet->reply(From.Connection_, makeFrame(wire::ConfigPushT()));
          }});
  ServerNet = Server.get();
  PeerAddress To("127.0.0.1:" + std::to_string(Server->listen("127.0.0.1", 0)));
  std::promise<void> ReplyReceived;
  std::vector<Step> Lost;
  std::promise<void> Refused;
  PeerNet Client(
      Io, {.Process_ = ProcessName("a")}, NoPings,
      {.OnFrame_ = [&](const PeerContext &,
                       const wire::Frame &) { ReplyReceived.set_value(); },
       .OnLost_ =
           [&](const PeerContext &, const Error &E) {
             Lost.push_back(E.step());
             if (E.step() == Step::Connect)
               Refused.set_value();
           }});
  REQUIRE(Client.send(To, Lane::Requests, makeFrame(wire::ConfigPullT())));
  auto First = ReplyReceived.get_future();
  REQUIRE(First.wait_for(WaitTimeout) == std::future_status::ready);

  std::promise<void> Blocked;
  std::promise<void> Unblock;
  REQUIRE(Io.submit([&] {
    Blocked.set_value();
    Unblock.get_future().wait();
  }));
  auto IsBlocked = Blocked.get_future();
  REQUIRE(IsBlocked.wait_for(WaitTimeout) == std::future_status::ready);
  REQUIRE(Client.send(To, Lane::Requests, makeFrame(wire::ConfigPullT())));
  ServerIo->stop();
  Server.reset();
  ServerIo.reset();
  Unblock.set_value();
  auto Outcome = Refused.get_future();
  REQUIRE(Outcome.wait_for(WaitTimeout) == std::future_status::ready);
  REQUIRE(Lost == std::vector<Step>{Step::Receive, Step::Connect});
  Io.stop();
}

// Guards against frames that reach an owner whose destruction has gone on: the
// owner's parts that a frame handler uses are gone by then.
TEST_CASE("peer net, destroyed while a frame is handled, waits for the handler "
          "and calls no other",
          "[peernet]") {
  IoThread Io("peers", 1024);
  std::promise<void> Entered;
  std::promise<void> Continue;
  std::atomic<int> Begun{0};
  std::atomic<int> Ended{0};
  auto Server = std::make_unique<PeerNet>(
      Io, PeerNet::Self{.Process_ = ProcessName("b")}, PeerNet::Limits(),
      PeerNet::Callbacks{
          .OnFrame_ = [&](const PeerContext &, const wire::Frame &) {
            if (++Begun == 1) {
              Entered.set_value();
              Continue.get_future().wait();
            }
            ++Ended;
          }});
  PeerAddress To("127.0.0.1:" + std::to_string(Server->listen("127.0.0.1", 0)));
  IoThread ClientIo("client", 1024);
  PeerNet Client(ClientIo, {.Process_ = ProcessName("a")}, {},
                 {.OnFrame_ = [](const PeerContext &, const wire::Frame &) {}});
  constexpr int Frames = 20;
  for (int I = 0; I < Frames; ++I)
    REQUIRE(Client.send(To, Lane::Requests, makeFrame(wire::ConfigPullT())));
  auto IsEntered = Entered.get_future();
  REQUIRE(IsEntered.wait_for(WaitTimeout) == std::future_status::ready);

  std::atomic<bool> IsDestroyed{false};
  std::thread Owner([&] {
    Server.reset();
    IsDestroyed = true;
  });
  constexpr auto Watched = Milliseconds(100);
  std::this_thread::sleep_for(Watched);
  bool WasDestroyedEarly = IsDestroyed;
  Continue.set_value();
  Owner.join();
  int EndedThen = Ended;
  int BegunThen = Begun;
  std::this_thread::sleep_for(Watched);
  CHECK_FALSE(WasDestroyedEarly);
  CHECK(EndedThen == BegunThen);
  CHECK(Begun == BegunThen);
  ClientIo.stop();
  Io.stop();
}

TEST_CASE("metrics render counters, gauges and histograms by label",
          "[metrics]") {
  Metrics M;
  M.count("requests_total", {{"outcome", "answered"}}, 2);
  M.set("revision", 7);
  M.observe("latency_seconds", 0.5, {{"customer", "a"}});
  std::string Page = M.render();
  REQUIRE_THAT(Page,
               Catch::Contains("requests_total{outcome=\"answered\"} 2\n"));
  REQUIRE_THAT(Page, Catch::Contains("revision 7\n"));
  REQUIRE_THAT(Page,
               Catch::Contains("latency_seconds_count{customer=\"a\"} 1"));
  REQUIRE_THAT(Page, Catch::Contains("le=\"+Inf\"} 1"));
}

TEST_CASE("metrics, past the series limit, count under other", "[metrics]") {
  Metrics M;
  for (std::size_t I = 0; I < Metrics::MaxSeries + 50; ++I)
    M.count("requests_total", {{"customer", std::to_string(I)}});
  REQUIRE(M.value("requests_total", {{"customer", "other"}}) == 50);
}
