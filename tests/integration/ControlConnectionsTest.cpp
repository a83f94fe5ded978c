#include "hawthornroad/peers/PeerNet.h"
#include "tests/integration/Fixture.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
// Sends configuration pulls over Lane::Control through a proxy. The server
// answers every pull except the one with revision Unanswered.
struct ControlConnectionsFixture : FakesFixture {
  static constexpr Revision Unanswered = 2;

  ControlConnectionsFixture() {
    std::uint16_t Port = Server_.listen("127.0.0.1", 0);
    Proxy_ = &proxy("127.0.0.1:" + std::to_string(Port));
  }
  ~ControlConnectionsFixture() { Io_.stop(); }

  void connect(PeerNet::Limits L) {
    Client_.emplace(Io_, PeerNet::Self{.Process_ = ProcessName("asker")}, L,
                    PeerNet::Callbacks{
                        .OnFrame_ = [this](const PeerContext &,
                                           const wire::Frame &) { ++Answers_; },
                        .OnLost_ = [this](const PeerContext &,
                                          const Error &) { ++Lost_; }});
  }

  void sendPull(Revision Number) {
    wire::ConfigPullT Pull;
    Pull.after = Number;
    REQUIRE(Client_->send(PeerAddress(Proxy_->address()), Lane::Control,
                          makeFrame(std::move(Pull))));
  }

  void handlePull(const PeerContext &From, const wire::Frame &F) {
    ++Pulls_;
    if (F.body_as_ConfigPull()->after() != Unanswered)
      Server_.reply(From.Connection_, makeFrame(wire::ConfigPushT()));
  }

  std::int64_t frames(const char *Way) {
    return numberAt(Proxy_->counters(), Way);
  }

  std::atomic<int> Pulls_ = 0;
  std::atomic<int> Answers_ = 0;
  std::atomic<int> Lost_ = 0;
  Proxy *Proxy_ = nullptr;
  IoThread Io_{"control", 1024};
  PeerNet Server_{
      Io_,
      {.Process_ = ProcessName("answerer")},
      {},
      {.OnFrame_ = [this](const PeerContext &From, const wire::Frame &F) {
        handlePull(From, F);
      }}};
  std::optional<PeerNet> Client_;
};
} // namespace

TEST_CASE_METHOD(ControlConnectionsFixture,
                 "control connection, its question answered, carries no pings "
                 "and is closed when unused",
                 "[peernet]") {
  // Guards against control traffic per process that grows with the fleet until
  // its budget is exhausted: every probe left a connection behind that both
  // ends pinged for a minute, and more members meant more such connections.
  PeerNet::Limits L;
  L.PingAfter_ = Seconds(2);
  L.DeadAfter_ = Seconds(10);
  L.ControlIdleAfter_ = Seconds(5);
  connect(L);
  sendPull(1);
  eventually([&] { return Answers_ == 1; }, "the answer arrived");
  eventually([&] { return Lost_ == 1; }, "the connection is closed");
  // One Hello and one other frame in each direction.
  REQUIRE(frames("frames_up") == 2);
  REQUIRE(frames("frames_down") == 2);
}

TEST_CASE_METHOD(ControlConnectionsFixture,
                 "control connection, gone silent for good, is closed when a "
                 "push on it gets no response",
                 "[peernet]") {
  // A middlebox drops the state of the connection between two processes. Pushes
  // and reports sent on it are lost, and as pushes are not answered, the sender
  // does not notice. Later pushes must not be lost the same way.
  PeerNet::Limits L;
  L.ControlIdleAfter_ = Seconds(600);
  connect(L);
  sendPull(1);
  eventually([&] { return Answers_ == 1; }, "the connection is established");
  Proxy_->setFaults(R"({"silent_existing":true})");
  sendPull(Unanswered);
  eventually([&] { return Lost_ == 1; }, "the silent connection is closed");
  sendPull(3);
  eventually([&] { return Answers_ == 2; }, "the next one is answered");
  REQUIRE(Pulls_ == 2);
}

TEST_CASE_METHOD(ControlConnectionsFixture,
                 "control connection, alive with an unanswered push, is "
                 "pinged and stays",
                 "[peernet]") {
  PeerNet::Limits L;
  L.ControlIdleAfter_ = Seconds(600);
  connect(L);
  sendPull(1);
  eventually([&] { return Answers_ == 1; }, "the connection is established");
  sendPull(Unanswered);
  eventually([&] { return frames("frames_down") == 3; }, "a pong arrived");
  sendPull(3);
  eventually([&] { return Answers_ == 2; }, "the next one is answered");
  REQUIRE(Lost_ == 0);
  REQUIRE(numberAt(Proxy_->counters(), "accepted") == 1);
}
